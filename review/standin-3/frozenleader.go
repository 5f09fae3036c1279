package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// calmTime is longer than the time in which all machines catch up.
	calmTime = 5 * time.Second
	// downTime is how long the machine that loses its disk is down, and freezeTime how long
	// the leader stands still.
	downTime   = 3 * time.Second
	freezeTime = 3400 * time.Millisecond
	// maxRounds bounds the installations that are played, each one from its first start on. None
	// is begun after lastStart.
	maxRounds = 8
	lastStart = 75 * time.Second
	// The configuration grows by growthRoutes at a time, growths times.
	growthRoutes = 350
	growths      = 4
	// journalBytes is the size of the changes after which a control VM rewrites its journal.
	journalBytes = 1 << 20
	// readBackTime is how long the operator asks for the configuration after all machines are
	// back: the time to recover, that in which the operator asks at least, and some more.
	readBackTime = 20 * time.Second
)

// frozenLeader grows the configuration and changes it. The trouble is that a control VM that
// doesn't lead loses its disk, and that the leader then stands still just after it has
// acknowledged a change, while it rewrites its journal. The rule is broken if the
// configuration that was acknowledged doesn't come after all machines are back. As the moment
// is hit by chance, it plays some installations one after the other.
func frozenLeader(d *deployment, trouble bool) (bool, error) {
	d.addSpare()
	began := time.Now()
	for n := 0; n < maxRounds && time.Since(began) < lastStart; n++ {
		d.record.write("installation %d", n+1)
		if err := d.start(); err != nil {
			return false, err
		}
		if err := d.playFreeze(trouble); err != nil {
			return false, err
		}
		if !d.readBack() {
			return true, nil
		}
		if err := d.reset(); err != nil {
			return false, err
		}
	}
	return false, nil
}

// playFreeze plays the changes and the trouble. All machines run at its end.
func (d *deployment) playFreeze(trouble bool) error {
	for range growths {
		d.routes += growthRoutes
		if !acknowledged(d.publish) {
			return errors.New("a growth of the configuration was not acknowledged")
		}
	}
	time.Sleep(calmTime)
	leader, err := d.leader()
	if err != nil {
		return err
	}
	// The voters are the seeds. This is the other one with the highest address.
	lost := controlVMs - 1
	if lost == leader {
		lost--
	}
	killedAt := time.Now()
	if trouble {
		if err := d.wipe(lost); err != nil {
			return err
		}
	}
	for d.publishedBytes < journalBytes {
		if !acknowledged(func() int { return d.publishAt(leader) }) {
			return errors.New("a change was not acknowledged by the leader")
		}
	}
	if !trouble {
		return nil
	}
	process := d.running[d.controls[leader].Name].Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	frozenAt := time.Now()
	d.record.write("%s stands still", d.controls[leader].Name)
	time.Sleep(time.Until(killedAt.Add(downTime)))
	again := d.controls[lost]
	again.FirstStart = false
	if _, err := d.startProcess(again); err != nil {
		return err
	}
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	d.record.write("%s goes on", d.controls[leader].Name)
	return process.Signal(syscall.SIGCONT)
}

// reset ends all processes and empties all disks, for a new installation.
func (d *deployment) reset() error {
	for _, m := range d.machines() {
		d.kill(m)
	}
	for _, m := range d.controls {
		if err := emptyFolder(m.DataFolder); err != nil {
			return err
		}
	}
	d.version, d.routes, d.publishedBytes = 0, 0, 0
	return nil
}

// kill ends the process of a machine.
func (d *deployment) kill(m machine) {
	cmd := d.running[m.Name]
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// emptyFolder replaces a folder by an empty one.
func emptyFolder(path string) error {
	if err := os.RemoveAll(path); err != nil {
		return err
	}
	return os.Mkdir(path, 0o700)
}

// addSpare adds a control VM that is no seed.
func (d *deployment) addSpare() {
	m := d.controls[controlVMs-1]
	m.Name = fmt.Sprintf("core-%d", controlVMs+1)
	m.IP = d.address(1 + controlVMs)
	m.Zone = "bru-d"
	m.DataFolder = filepath.Join(d.folder, fmt.Sprintf("data-%d", controlVMs+1))
	_ = os.Mkdir(m.DataFolder, 0o700)
	d.controls = append(d.controls, m)
}

// wipe kills the process of a control VM and removes what is on its disk.
func (d *deployment) wipe(n int) error {
	m := d.controls[n]
	d.kill(m)
	d.record.write("%s is killed and loses its disk", m.Name)
	return emptyFolder(m.DataFolder)
}

// leader returns the number of the control VM that the logs name as the latest leader.
func (d *deployment) leader() (int, error) {
	type line struct {
		Message string `json:"msg"`
		VM      string
		Term    int
	}
	best, vm := -1, ""
	for _, m := range d.controls {
		file, err := os.Open(filepath.Join(d.folder, m.Name+".log"))
		if err != nil {
			return 0, err
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var l line
			if json.Unmarshal(lines.Bytes(), &l) == nil && strings.HasPrefix(l.Message, "leader of") && l.VM != "" && l.Term >= best {
				best, vm = l.Term, l.VM
			}
		}
		_ = file.Close()
	}
	for n, m := range d.controls {
		if strings.HasPrefix(vm, m.IP+":") {
			d.record.write("%s leads in term %d", m.Name, best)
			return n, nil
		}
	}
	return 0, errors.New("no leader is known")
}

// readBack asks all control VMs for the configuration until one answers with the latest that
// was acknowledged, and reports whether one did in time.
func (d *deployment) readBack() bool {
	for began := time.Now(); time.Since(began) < readBackTime; time.Sleep(500 * time.Millisecond) {
		for _, m := range d.controls {
			status, text := call(http.MethodGet, fmt.Sprintf("http://%s:%d%s", m.IP, d.controlPort, d.names.Configuration), nil)
			var held struct{ Version int }
			if status == http.StatusOK && json.Unmarshal(text, &held) == nil && held.Version >= d.version {
				d.record.write("%s answers with configuration %d after %.1f s", m.Name, held.Version, time.Since(began).Seconds())
				return true
			}
		}
	}
	d.record.write("no control VM has answered with configuration %d for %s", d.version, readBackTime)
	return false
}
