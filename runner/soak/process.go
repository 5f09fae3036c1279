package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mulberrydale/mulberrydale/runner/proxy"
)

const (
	// exitTimeout is how long a process may take to exit after a signal that
	// ends it.
	exitTimeout = 8 * time.Second
	// exitPollInterval is the interval at which the exit is checked.
	exitPollInterval = 20 * time.Millisecond
)

// vm is one process of the installation: a control VM or an entry VM. A
// fault that kills or stops the process starts it again when the fault ends.
type vm struct {
	name   string
	ip     string
	binary string
	folder string
	// callersAddress is set only for entry VMs, operatorsAddress only for
	// control VMs.
	callersAddress   string
	operatorsAddress string
	// sessionsProxy is the proxy in front of a control VM's sessions address. It
	// is nil for entry VMs.
	sessionsProxy *proxy.Duplex
	log           *os.File

	// restartMu is held during a restart, so that only one fault restarts the
	// process.
	restartMu sync.Mutex

	mu sync.Mutex
	// settings holds the JSON settings for the next start. A control VM has
	// "first-start": true only for its first start.
	settings string
	command  *exec.Cmd
	exited   chan struct{}
	// starts counts the starts. The count after a start is the start number of
	// the process.
	starts int
	paused bool
	// disturbedAt is when the process was last killed, paused or resumed.
	disturbedAt time.Time
}

// loopbackIP returns the loopback IP address of a run. It differs for seeds that
// differ by less than 62500, so that concurrent runs with such seeds do not
// compete for ports.
func loopbackIP(seed uint64) string { return fmt.Sprintf("127.0.%d.%d", 1+seed/250%250, 1+seed%250) }

// The ports of a run lie below those that the system gives to outgoing connections and to
// listeners that name no port. Any of these could take a port in the time from freeAddress to
// the start of the process that is to listen on it.
const (
	firstPort = 10_000
	portCount = 20_000
)

// nextPort counts the ports that were tried, so that no two calls return the same one. It
// starts anywhere, because runs with the same seed in several processes share an IP address.
var nextPort = newPortCounter()

func newPortCounter() *atomic.Uint32 {
	var counter atomic.Uint32
	counter.Store(rand.Uint32N(portCount))
	return &counter
}

// freeAddress returns an address with a port that is free at the time of the
// call.
func freeAddress(ip string) (string, error) {
	var failure error
	for range portCount {
		port := firstPort + nextPort.Add(1)%portCount
		address := net.JoinHostPort(ip, strconv.FormatUint(uint64(port), 10))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
		failure = err
	}
	return "", failure
}

// start writes the settings file and starts the process.
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

// exitWaiter waits for a process and closes a channel when it has exited.
type exitWaiter struct {
	command *exec.Cmd
	exited  chan struct{}
}

// run ignores the exit status, because faults kill processes.
func (w *exitWaiter) run() {
	_ = w.command.Wait()
	close(w.exited)
}

// signal sends a signal to the process and returns its start number.
func (v *vm) signal(s syscall.Signal) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.paused = s == syscall.SIGSTOP || v.paused && s != syscall.SIGCONT
	if s == syscall.SIGKILL || s == syscall.SIGSTOP || s == syscall.SIGCONT {
		v.disturbedAt = time.Now()
	}
	// Signal fails if the process has already exited, which is expected.
	_ = v.command.Process.Signal(s)
	return v.starts
}

// startNumber returns the number of the last start, counted from 1.
func (v *vm) startNumber() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.starts
}

// isPaused reports whether the process got SIGSTOP and no SIGCONT after it.
func (v *vm) isPaused() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.paused
}

// done returns a channel that is closed when the process has exited.
func (v *vm) done() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.exited
}

// running reports whether the process has not exited; it may be paused.
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

// undisturbedFor reports whether the process was not killed, paused or resumed
// within the last d.
func (v *vm) undisturbedFor(d time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.disturbedAt) > d
}

// kill sends SIGKILL and waits for the exit.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	<-v.done()
}

// wipe deletes the contents of the data folder. The process must have exited.
func (v *vm) wipe() error {
	if err := os.RemoveAll(v.dataFolder()); err != nil {
		return err
	}
	return os.Mkdir(v.dataFolder(), 0o700)
}

func (v *vm) dataFolder() string { return filepath.Join(v.folder, "data") }

// newVM creates the folder and the log file of a VM below root and chooses a free
// port of ip for its callers' address, or for its operators' address if it is a
// control VM. It starts no process.
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

// configure sets the settings of the next start. seeds is a comma-separated
// list of the quoted sessions addresses of the control VMs, and targetsAddress is
// the address of the server of the list of targets. firstStart is true
// for the first start of the whole installation.
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
		common, v.operatorsAddress, v.sessionsProxy.Upstream(), v.sessionsProxy.Address(), v.dataFolder())
	return nil
}
