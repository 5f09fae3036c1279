package soak

import (
	"context"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mulberrydale/mulberrydale/runner/proxy"
)

const (
	// maxFaultInterval is the longest time between the starts of two consecutive
	// faults. It is shorter than maxFaultDuration, so that faults overlap.
	maxFaultInterval = 700 * time.Millisecond
	// maxFaultDuration bounds the random part of a fault's duration; 100 ms are
	// added to it.
	maxFaultDuration = 3 * time.Second
	// minWipeInterval is the shortest time between the starts of two faults that
	// wipe data. It gives a wiped control VM time to recover its data.
	minWipeInterval = 8 * time.Second
)

// wipeFaultPrefix begins the name of every fault that wipes the data of a
// control VM.
const wipeFaultPrefix = "kill and wipe "

// fault is a fault that begin starts and end stops.
type fault struct {
	name  string
	begin func()
	end   func()
}

// injectFaults starts random faults until span has passed or ctx ends, and then
// waits until every fault has ended.
func (r *Run) injectFaults(ctx context.Context, span time.Duration) {
	var wg sync.WaitGroup
	var wipedAt time.Time
	for start := time.Now(); time.Since(start) < span && ctx.Err() == nil; {
		f := r.drawFault(time.Since(wipedAt) > minWipeInterval)
		if strings.HasPrefix(f.name, wipeFaultPrefix) {
			wipedAt = time.Now()
		}
		duration := 100*time.Millisecond + time.Duration(r.rng.Int64N(int64(maxFaultDuration)))
		r.logf("fault: %s for %v", f.name, duration.Round(time.Millisecond))
		wg.Add(1)
		go (&timedFault{fault: f, duration: duration, wg: &wg}).run()
		time.Sleep(time.Duration(r.rng.Int64N(int64(maxFaultInterval))))
	}
	wg.Wait()
}

// timedFault keeps a fault active for duration and then calls wg.Done.
type timedFault struct {
	fault    fault
	duration time.Duration
	wg       *sync.WaitGroup
}

func (f *timedFault) run() {
	defer f.wg.Done()
	f.fault.begin()
	time.Sleep(f.duration)
	f.fault.end()
}

// drawFault returns a random fault. Without wipeAllowed, a fault that would
// wipe a control VM's data is replaced by a slow connection to that VM.
func (r *Run) drawFault(wipeAllowed bool) fault {
	l := r.leafs[r.rng.IntN(len(r.leafs))]
	c := r.controls[r.rng.IntN(len(r.controls))]
	vms := r.vms()
	v := vms[r.rng.IntN(len(vms))]
	switch r.rng.IntN(14) {
	case 0, 1:
		return r.killFault(v, "kill "+v.name, nil)
	case 2:
		return r.stopFault(v)
	case 3:
		return fault{"pause " + v.name, func() { v.signal(syscall.SIGSTOP) }, func() { v.signal(syscall.SIGCONT) }}
	case 4:
		return fault{"reload " + v.name, func() { v.signal(syscall.SIGHUP) }, func() {}}
	case 5:
		if wipeAllowed {
			return r.killFault(c, wipeFaultPrefix+c.name, c.wipe)
		}
		return r.sessionsFault(c, proxy.Delay, "delay sessions of ")
	case 6:
		return r.sessionsFault(c, []proxy.Fault{proxy.DropUpstream, proxy.DropDownstream, proxy.DropBoth}[r.rng.IntN(3)], "block sessions of ")
	case 7:
		return fault{"reset sessions of " + c.name, c.sessionsProxy.Reset, c.sessionsProxy.Reset}
	case 8:
		return fault{"target list unavailable", func() { r.targetListDown.Store(true) }, func() { r.targetListDown.Store(false) }}
	case 9:
		return fault{"restart leaf " + l.id(), l.restart, func() {}}
	case 10:
		return fault{"leaving leaf " + l.id(), func() { l.setLeaving(true) }, l.restart}
	case 11:
		f := []proxy.Fault{proxy.DropBoth, proxy.DropDownstream, proxy.Delay}[r.rng.IntN(3)]
		return fault{"connections to leaf " + l.id() + " blocked or slow", func() { l.proxy.SetFault(f) }, func() { l.proxy.SetFault(proxy.None) }}
	}
	b := []behaviour{slow, shedding, failing, resetting, hanging}[r.rng.IntN(5)]
	return fault{"misbehaving leaf " + l.id(), func() { l.setBehaviour(b) }, func() { l.setBehaviour(healthy) }}
}

// sessionsFault returns a fault that makes the proxy in front of the sessions
// address of control VM c apply f. Its name is namePrefix and the name of c.
func (r *Run) sessionsFault(c *vm, f proxy.Fault, namePrefix string) fault {
	return fault{namePrefix + c.name, func() { c.sessionsProxy.SetFault(f) }, func() { c.sessionsProxy.SetFault(proxy.None) }}
}

// killFault returns a fault that kills a process with SIGKILL and, when the fault
// ends, starts the process again. beforeStart, if not nil, is called after the
// process has exited and before it is started again.
func (r *Run) killFault(v *vm, name string, beforeStart func() error) fault {
	var startNumber int
	begin := func() { startNumber = v.signal(syscall.SIGKILL) }
	return fault{name, begin, func() { r.restart(v, startNumber, beforeStart) }}
}

// stopFault returns a fault that sends SIGTERM to a process and, when the fault
// ends, waits for the exit and starts the process again.
func (r *Run) stopFault(v *vm) fault {
	var startNumber int
	return fault{"stop " + v.name, func() { startNumber = v.signal(syscall.SIGTERM) }, func() { r.restart(v, startNumber, nil) }}
}

// restart waits until the process with the given start number has exited and
// starts it again. It does nothing if another fault has already restarted the
// process.
func (r *Run) restart(v *vm, startNumber int, beforeStart func() error) {
	v.restartMu.Lock()
	defer v.restartMu.Unlock()
	if v.startNumber() != startNumber {
		return
	}
	for waitStart := time.Now(); v.running(); time.Sleep(exitPollInterval) {
		// A process that another fault has paused does not handle SIGTERM until
		// it is resumed, so the time limit starts again.
		if v.isPaused() {
			waitStart = time.Now()
		}
		if time.Since(waitStart) > exitTimeout {
			r.reportViolation("%s has not exited %v after it was killed or got SIGTERM", v.name, exitTimeout)
			v.kill()
		}
	}
	if beforeStart != nil {
		if err := beforeStart(); err != nil {
			r.reportViolation("prepare the restart of %s: %v", v.name, err)
		}
	}
	if err := v.start(); err != nil {
		r.reportViolation("restart %s: %v", v.name, err)
	}
}

// clearFaults ends all faults that may still be active and restarts processes
// that have exited.
func (r *Run) clearFaults() {
	for _, v := range r.vms() {
		v.signal(syscall.SIGCONT)
		if v.sessionsProxy != nil {
			v.sessionsProxy.SetFault(proxy.None)
		}
		if !v.running() {
			r.restart(v, v.startNumber(), nil)
		}
	}
	for _, l := range r.leafs {
		l.setBehaviour(healthy)
		l.setLeaving(false)
		l.proxy.SetFault(proxy.None)
	}
	r.targetListDown.Store(false)
}
