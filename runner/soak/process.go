package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/mulberrydale/mulberrydale/runner/proxy"
)

const (
	// exitTimeout is how long a process may take to leave after SIGTERM.
	exitTimeout = 8 * time.Second
	// exitPollInterval is the time between two looks whether it has.
	exitPollInterval = 20 * time.Millisecond
)

// vm is one process of the tier.
type vm struct {
	name             string
	ip               string
	binary           string
	folder           string
	callersAddress   string
	operatorsAddress string
	// sessionsProxy stands in front of the sessions of a control VM.
	sessionsProxy *proxy.Duplex
	log           *os.File

	// restartMu orders those that start the process again.
	restartMu sync.Mutex

	mu sync.Mutex
	// settings are those of the first start, later those without it.
	settings string
	command  *exec.Cmd
	exited   chan struct{}
	// starts counts the starts.
	starts int
	paused bool
	// disturbedAt is when the process was last killed or paused.
	disturbedAt time.Time
}

// loopbackIP returns the IP number of a run, so that runs at the same time take
// no ports of each other.
func loopbackIP(seed uint64) string { return fmt.Sprintf("127.0.%d.%d", 1+seed/250%250, 1+seed%250) }

// freeAddress returns an address of an IP number on which nothing listens.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// start starts the process.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	path := filepath.Join(v.folder, "settings.json")
	if err := os.WriteFile(path, []byte(v.settings), 0o600); err != nil {
		return err
	}
	v.command = exec.Command(v.binary, "route", "--settings", path)
	v.command.Stdout = v.log
	v.command.Stderr = v.log
	if err := v.command.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	v.starts++
	v.paused = false
	go (&exitWaiter{command: v.command, exited: v.exited}).run()
	return nil
}

type exitWaiter struct {
	command *exec.Cmd
	exited  chan struct{}
}

// run waits for the end of a process. Processes are killed here, so the way in
// which one ended says nothing.
func (w *exitWaiter) run() {
	_ = w.command.Wait()
	close(w.exited)
}

// signal sends a signal to the process and returns in which of its lives.
func (v *vm) signal(s syscall.Signal) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.paused = s == syscall.SIGSTOP || v.paused && s != syscall.SIGCONT
	if s == syscall.SIGKILL || s == syscall.SIGSTOP || s == syscall.SIGCONT {
		v.disturbedAt = time.Now()
	}
	// A process that has ended already needs no signal.
	_ = v.command.Process.Signal(s)
	return v.starts
}

// startNumber returns the number of the present life.
func (v *vm) startNumber() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.starts
}

// isPaused reports whether the process was paused and not told to go on.
func (v *vm) isPaused() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.paused
}

// done returns a channel that is closed when the process has ended.
func (v *vm) done() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.exited
}

// running reports whether the process lives.
func (v *vm) running() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

// undisturbedFor reports whether the process was neither killed nor paused for a while.
func (v *vm) undisturbedFor(d time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.disturbedAt) > d
}

// kill ends the process for good.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	<-v.done()
}

// wipe removes the data of a process that has ended.
func (v *vm) wipe() error {
	if err := os.RemoveAll(v.dataFolder()); err != nil {
		return err
	}
	return os.Mkdir(v.dataFolder(), 0o700)
}

func (v *vm) dataFolder() string { return filepath.Join(v.folder, "data") }

// newVM prepares a process in a folder of its own. A control VM keeps the log.
func newVM(binary, root, ip, name string, isControl bool) (*vm, error) {
	v := &vm{name: name, binary: binary, ip: ip, folder: filepath.Join(root, name)}
	if err := os.MkdirAll(v.dataFolder(), 0o700); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(root, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	v.log = log
	address, err := freeAddress(ip)
	if err != nil {
		return nil, err
	}
	if !isControl {
		v.callersAddress = address
		return v, nil
	}
	v.operatorsAddress = address
	return v, nil
}

// configure writes the settings of a process that knows the seeds.
func (v *vm) configure(centre, seeds, targetsAddress string, firstStart bool) error {
	metrics, err := freeAddress(v.ip)
	if err != nil {
		return err
	}
	common := fmt.Sprintf(`"vm": %q, "data-centre": %q, "seeds": [%s], "targets-address": %q, "metrics-address": %q, "grace-ms": 4000,
	"further-sends": {"ratio": 0.3, "slack": 60}, "first-start": %t`, v.name, centre, seeds, targetsAddress, metrics, firstStart)
	if v.callersAddress != "" {
		readiness, err := freeAddress(v.ip)
		if err != nil {
			return err
		}
		v.settings = fmt.Sprintf("{%s,\n\"callers-address\": %q, \"readiness-address\": %q}", common, v.callersAddress, readiness)
		return nil
	}
	v.settings = fmt.Sprintf("{%s,\n\"operators-address\": %q, \"sessions-address\": %q, \"sessions-reached-at\": %q, \"data-folder\": %q, \"losses\": 1}",
		common, v.operatorsAddress, v.sessionsProxy.To(), v.sessionsProxy.Address(), v.dataFolder())
	return nil
}
