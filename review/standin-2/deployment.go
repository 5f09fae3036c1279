package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

const (
	program   = "./target/mulberrydale-platform"
	startTime = 30 * time.Second
	// settleTime is the time after the start before anything else happens.
	settleTime = 3 * time.Second
	memoryMB   = 284
	// metricsPort is the port at which each process serves its metrics.
	metricsPort = 9464
)

// machine is one machine of the system, which runs one process.
type machine struct {
	Name, Role, Class, Serves, IP, Zone string
	Front, Readiness, Control           string
	InternalPort, MemoryMB              int
	Seeds                               []string
	Bootstrap, Strict                   bool
	DataDir, List                       string

	folder string
	cmd    *exec.Cmd
}

// deployment is a small deployment on loopback addresses: three control machines and three
// entry machines in three zones.
type deployment struct {
	record  *record
	folder  string
	control []*machine
	entries []*machine
	leafs   []*leaf
	// later holds leafs of another service, which are not on the list at the start.
	later []*leaf
	list  *list
	// first is the configuration that is sent at the start.
	first config
}

// newDeployment prepares a deployment with two leafs in each zone.
func newDeployment(r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder, list: &list{}, first: config{Version: 7}}
	for range 20 {
		if err = d.assign(1+rand.IntN(250), 20000+rand.IntN(8000)); err == nil {
			return d, nil
		}
	}
	return nil, err
}

// assign gives addresses to all machines and leafs, and starts the stand-ins. It fails if an
// address is in use.
func (d *deployment) assign(net3, port int) error {
	ip := func(n int) string { return fmt.Sprintf("127.88.%d.%d", net3, n) }
	at := func(n, p int) string { return net.JoinHostPort(ip(n), fmt.Sprint(p)) }
	zones := []string{"zone-a", "zone-b", "zone-c"}
	seeds := []string{at(11, port), at(12, port), at(13, port)}
	for n := 11; n <= 23; n++ {
		for _, p := range []int{port, port + 2, port + 3, port + 4, metricsPort} {
			if err := free(at(n, p)); err != nil {
				return err
			}
		}
	}
	listAddress := at(5, port+1)
	socket, err := net.Listen("tcp", listAddress)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(socket, d.list) }()
	d.control, d.entries, d.leafs, d.later = nil, nil, nil, nil
	for i, zone := range zones {
		c := &machine{Name: "core-" + zone, Role: "control", Class: "core", Serves: "control", IP: ip(11 + i), Zone: zone,
			Control: seeds[i], InternalPort: port + 2, MemoryMB: memoryMB, Seeds: seeds, Bootstrap: true, List: listAddress}
		c.folder = filepath.Join(d.folder, c.Name)
		c.DataDir = filepath.Join(c.folder, "data")
		e := &machine{Name: "front-" + zone, Role: "entry", Class: "front", Serves: "front", IP: ip(21 + i), Zone: zone,
			Front: at(21+i, port+3), Readiness: at(21+i, port+4), InternalPort: port + 2, MemoryMB: memoryMB, Seeds: seeds, Bootstrap: true, List: listAddress}
		e.folder = filepath.Join(d.folder, e.Name)
		d.control = append(d.control, c)
		d.entries = append(d.entries, e)
		for n := range 2 {
			l := &leaf{id: fmt.Sprintf("i-%s-%d", zone, n), service: "single", zone: zone, address: at(31+2*i+n, port+5), record: d.record, work: 5 * time.Millisecond}
			if err := l.start(); err != nil {
				return err
			}
			d.leafs = append(d.leafs, l)
			later := &leaf{id: fmt.Sprintf("i-later-%s-%d", zone, n), service: "later", zone: zone, address: at(41+2*i+n, port+5), record: d.record, work: 5 * time.Millisecond}
			if err := later.start(); err != nil {
				return err
			}
			d.later = append(d.later, later)
		}
	}
	d.list.leafs = d.leafs
	return nil
}

// free returns an error if an address is in use.
func free(address string) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return socket.Close()
}

// machines returns all machines.
func (d *deployment) machines() []*machine {
	return append(append([]*machine(nil), d.control...), d.entries...)
}

// start starts the process of a machine with the command of the deploy file.
func (m *machine) start() error {
	if err := os.MkdirAll(m.folder, 0o700); err != nil {
		return err
	}
	var text bytes.Buffer
	if err := settingsTemplate.Execute(&text, m); err != nil {
		return err
	}
	settings := filepath.Join(m.folder, "settings.json")
	if err := os.WriteFile(settings, text.Bytes(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(m.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command(program, "serve")
	m.cmd.Env = append(os.Environ(), "MULBERRYDALE_SETTINGS="+settings)
	m.cmd.Stdout = log
	m.cmd.Stderr = log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return m.cmd.Start()
}

func (m *machine) logPath() string { return filepath.Join(m.folder, "log") }

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) error { return m.cmd.Process.Signal(s) }

// end kills all processes that were started and removes the folder.
func (d *deployment) end() {
	for _, m := range d.machines() {
		if m.cmd == nil || m.cmd.Process == nil {
			continue
		}
		_ = m.signal(syscall.SIGKILL)
		_ = m.cmd.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// startAll starts all processes, sends the first configuration and waits until all entry
// machines are ready.
func (d *deployment) startAll() error {
	for _, m := range d.machines() {
		if err := m.start(); err != nil {
			return err
		}
		m.Bootstrap = false
	}
	deadline := time.Now().Add(startTime)
	for {
		status, err := d.call(d.control[0], http.MethodPut, "/config", d.first.text())
		if status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the first configuration was not acknowledged: status %d, %v", status, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, m := range d.entries {
		for !ready(m) {
			if time.Now().After(deadline) {
				return errors.New(m.Name + " did not become ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	return nil
}

// ready reports whether the readiness check of an entry machine succeeds.
func ready(m *machine) bool {
	res, err := http.Get("http://" + m.Readiness + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// operatorPatience is the time after which the operator moves on to another machine.
const operatorPatience = time.Second

// call sends an order of the operator to one control machine. The operator closes the
// connection if there is no answer after operatorPatience.
func (d *deployment) call(m *machine, method, path string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.Control+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	d.record.add("order    %s %s to %s", method, path, m.Name)
	res, err := client.Do(req)
	if err != nil {
		d.record.add("answer   to %s %s from %s: none (%v)", method, path, m.Name, err)
		return 0, err
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	d.record.add("answer   to %s %s from %s: %d", method, path, m.Name, res.StatusCode)
	return res.StatusCode, nil
}

// order sends an order to the machines in turn until one acknowledges it.
func (d *deployment) order(method, path string, body []byte, turn ...*machine) (time.Time, error) {
	for range 5 {
		for _, m := range turn {
			status, _ := d.call(m, method, path, body)
			if status == http.StatusOK {
				return time.Now(), nil
			}
		}
	}
	return time.Time{}, fmt.Errorf("%s %s was not acknowledged", method, path)
}

var leaderPattern = regexp.MustCompile(`"leader of the replicated log changed","vm":"[^"]*","vm":"([^"]+)"`)

// leader returns the control machine that leads, as the log of another one shows it.
func (d *deployment) leader() *machine {
	text, err := os.ReadFile(d.control[0].logPath())
	if err != nil {
		return nil
	}
	found := leaderPattern.FindAllSubmatch(text, -1)
	if len(found) == 0 {
		return nil
	}
	address := string(found[len(found)-1][1])
	for _, m := range d.control {
		if net.JoinHostPort(m.IP, fmt.Sprint(m.InternalPort)) == address {
			return m
		}
	}
	return nil
}
