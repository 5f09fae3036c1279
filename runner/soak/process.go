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
	// stopLimit is how long a process may take to leave after SIGTERM.
	stopLimit = 8 * time.Second
	// stopPoll is the time between two looks whether it has.
	stopPoll = 20 * time.Millisecond
)

// vm is one process of the tier.
type vm struct {
	name     string
	ip       string
	binary   string
	folder   string
	callers  string
	operator string
	// link stands in front of the sessions of a control VM.
	link *proxy.Duplex
	log  *os.File

	// restarting orders those that start the process again.
	restarting sync.Mutex

	mu sync.Mutex
	// settings are those of the first start, later those without it.
	settings string
	command  *exec.Cmd
	exited   chan struct{}
	// lives counts the starts.
	lives  int
	paused bool
	// struckAt is when the process was last killed or paused.
	struckAt time.Time
}

// loopbackOf returns the IP number of a run, so that runs at the same time take
// no ports of each other.
func loopbackOf(seed uint64) string { return fmt.Sprintf("127.0.%d.%d", 1+seed/250%250, 1+seed%250) }

// free returns an address of an IP number on which nothing listens.
func free(ip string) (string, error) {
	socket, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer socket.Close()
	return socket.Addr().String(), nil
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
	v.lives++
	v.paused = false
	go (&waitLoop{command: v.command, exited: v.exited}).run()
	return nil
}

type waitLoop struct {
	command *exec.Cmd
	exited  chan struct{}
}

// run waits for the end of a process. Processes are killed here, so the way in
// which one ended says nothing.
func (l *waitLoop) run() {
	_ = l.command.Wait()
	close(l.exited)
}

// signal sends a signal to the process and returns in which of its lives.
func (v *vm) signal(s syscall.Signal) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.paused = s == syscall.SIGSTOP || v.paused && s != syscall.SIGCONT
	if s == syscall.SIGKILL || s == syscall.SIGSTOP || s == syscall.SIGCONT {
		v.struckAt = time.Now()
	}
	// A process that has ended already needs no signal.
	_ = v.command.Process.Signal(s)
	return v.lives
}

// life returns the number of the present life.
func (v *vm) life() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lives
}

// pausedNow reports whether the process was paused and not told to go on.
func (v *vm) pausedNow() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.paused
}

// ended returns a channel that is closed when the process has ended.
func (v *vm) ended() <-chan struct{} {
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

// spared reports whether the process was neither killed nor paused for a while.
func (v *vm) spared(d time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.struckAt) > d
}

// kill ends the process for good.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	<-v.ended()
}

// wipe removes the data of a process that has ended.
func (v *vm) wipe() error {
	if err := os.RemoveAll(v.data()); err != nil {
		return err
	}
	return os.Mkdir(v.data(), 0o700)
}

func (v *vm) data() string { return filepath.Join(v.folder, "data") }

// newVM prepares a process in a folder of its own. A control VM keeps the log.
func newVM(binary, root, ip, name string, control bool) (*vm, error) {
	v := &vm{name: name, binary: binary, ip: ip, folder: filepath.Join(root, name)}
	if err := os.MkdirAll(v.data(), 0o700); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(root, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	v.log = log
	address, err := free(ip)
	if err != nil {
		return nil, err
	}
	if !control {
		v.callers = address
		return v, nil
	}
	v.operator = address
	return v, nil
}

// configure writes the settings of a process that knows the seeds.
func (v *vm) configure(centre, seeds, list string, firstStart bool) error {
	metrics, err := free(v.ip)
	if err != nil {
		return err
	}
	common := fmt.Sprintf(`"vm": %q, "data-centre": %q, "seeds": [%s], "targets-address": %q, "metrics-address": %q, "grace-ms": 4000,
	"further-sends": {"ratio": 0.3, "slack": 60}, "first-start": %t`, v.name, centre, seeds, list, metrics, firstStart)
	if v.callers != "" {
		ready, err := free(v.ip)
		if err != nil {
			return err
		}
		v.settings = fmt.Sprintf("{%s,\n\"callers-address\": %q, \"readiness-address\": %q}", common, v.callers, ready)
		return nil
	}
	v.settings = fmt.Sprintf("{%s,\n\"operators-address\": %q, \"sessions-address\": %q, \"sessions-reached-at\": %q, \"data-folder\": %q, \"losses\": 1}",
		common, v.operator, v.link.Upstream(), v.link.Address(), v.data())
	return nil
}
