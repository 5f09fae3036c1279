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
	// maxFaultInterval is the longest time between two faults; they overlap.
	maxFaultInterval = 700 * time.Millisecond
	// maxFaultDuration is the longest time that one lasts.
	maxFaultDuration = 3 * time.Second
	// minWipeInterval is how long after a disk was lost no other one is.
	minWipeInterval = 8 * time.Second
)

// wipeFaultPrefix begins the name of a fault that takes a disk.
const wipeFaultPrefix = "disk lost of "

// fault is one drawn fault. It begins, and ends after a while.
type fault struct {
	name  string
	begin func()
	end   func()
}

// injectFaults draws faults for a time, or until ctx ends, and waits for the end of
// each.
func (r *Run) injectFaults(ctx context.Context, span time.Duration) {
	var wg sync.WaitGroup
	var wipedAt time.Time
	for start := time.Now(); time.Since(start) < span && ctx.Err() == nil; {
		f := r.drawFault(time.Since(wipedAt) > minWipeInterval)
		if strings.HasPrefix(f.name, wipeFaultPrefix) {
			wipedAt = time.Now()
		}
		duration := 100*time.Millisecond + time.Duration(r.rng.Int64N(int64(maxFaultDuration)))
		r.logf("%s for %v", f.name, duration.Round(time.Millisecond))
		wg.Add(1)
		go (&timedFault{fault: f, duration: duration, wg: &wg}).run()
		time.Sleep(time.Duration(r.rng.Int64N(int64(maxFaultInterval))))
	}
	wg.Wait()
}

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

// drawFault draws a fault; a disk is lost only where it may be.
func (r *Run) drawFault(wipeAllowed bool) fault {
	l := r.leafs[r.rng.IntN(len(r.leafs))]
	c := r.controls[r.rng.IntN(len(r.controls))]
	vms := r.vms()
	v := vms[r.rng.IntN(len(vms))]
	switch r.rng.IntN(14) {
	case 0, 1:
		return r.killFault(v, "killed "+v.name, nil)
	case 2:
		return r.stopFault(v)
	case 3:
		return fault{"paused " + v.name, func() { v.signal(syscall.SIGSTOP) }, func() { v.signal(syscall.SIGCONT) }}
	case 4:
		return fault{"reload " + v.name, func() { v.signal(syscall.SIGHUP) }, func() {}}
	case 5:
		if wipeAllowed {
			return r.killFault(c, wipeFaultPrefix+c.name, c.wipe)
		}
		return r.sessionsFault(c, proxy.Slow, "slow link of ")
	case 6:
		return r.sessionsFault(c, []proxy.Fault{proxy.Deaf, proxy.Mute, proxy.Silence}[r.rng.IntN(3)], "cut link of ")
	case 7:
		return fault{"resets at " + c.name, c.sessionsProxy.Reset, c.sessionsProxy.Reset}
	case 8:
		return fault{"list down", func() { r.targetListDown.Store(true) }, func() { r.targetListDown.Store(false) }}
	case 9:
		return fault{"restart of " + l.id(), l.restart, func() {}}
	case 10:
		return fault{"leaving " + l.id(), func() { l.setLeaving(true) }, l.restart}
	case 11:
		f := []proxy.Fault{proxy.Silence, proxy.Mute, proxy.Slow}[r.rng.IntN(3)]
		return fault{"way to " + l.id() + " fails", func() { l.proxy.Set(f) }, func() { l.proxy.Set(proxy.None) }}
	}
	b := []behaviour{slow, shedding, failing, resetting, hanging}[r.rng.IntN(5)]
	return fault{"trouble at " + l.id(), func() { l.setBehaviour(b) }, func() { l.setBehaviour(healthy) }}
}

func (r *Run) sessionsFault(c *vm, f proxy.Fault, name string) fault {
	return fault{name + c.name, func() { c.sessionsProxy.Set(f) }, func() { c.sessionsProxy.Set(proxy.None) }}
}

// killFault kills a process and starts it again, after what happens between.
func (r *Run) killFault(v *vm, name string, beforeStart func() error) fault {
	var start int
	begin := func() { start = v.signal(syscall.SIGKILL) }
	return fault{name, begin, func() { r.restart(v, start, beforeStart) }}
}

// stopFault tells a process to leave and starts it again when it has.
func (r *Run) stopFault(v *vm) fault {
	var start int
	return fault{"stopped " + v.name, func() { start = v.signal(syscall.SIGTERM) }, func() { r.restart(v, start, nil) }}
}

// restart waits for the end of a process in one of its lives and starts the
// next, unless another fault did already.
func (r *Run) restart(v *vm, start int, beforeStart func() error) {
	v.restartMu.Lock()
	defer v.restartMu.Unlock()
	if v.startNumber() != start {
		return
	}
	for waitStart := time.Now(); v.running(); time.Sleep(exitPollInterval) {
		// A process that another fault has paused can't leave.
		if v.isPaused() {
			waitStart = time.Now()
		}
		if time.Since(waitStart) > exitTimeout {
			r.reportViolation("%s still runs %v after it was told to stop", v.name, exitTimeout)
			v.kill()
		}
	}
	if beforeStart != nil {
		if err := beforeStart(); err != nil {
			r.reportViolation("%s: %v", v.name, err)
		}
	}
	if err := v.start(); err != nil {
		r.reportViolation("%s can't start: %v", v.name, err)
	}
}

// clearFaults ends every fault that may still be there.
func (r *Run) clearFaults() {
	for _, v := range r.vms() {
		v.signal(syscall.SIGCONT)
		if v.sessionsProxy != nil {
			v.sessionsProxy.Set(proxy.None)
		}
		if !v.running() {
			r.restart(v, v.startNumber(), nil)
		}
	}
	for _, l := range r.leafs {
		l.setBehaviour(healthy)
		l.setLeaving(false)
		l.proxy.Set(proxy.None)
	}
	r.targetListDown.Store(false)
}
