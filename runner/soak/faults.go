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
	// faultGap is the longest time between two faults; they overlap.
	faultGap = 700 * time.Millisecond
	// faultTime is the longest time that one lasts.
	faultTime = 3 * time.Second
	// repairTime is how long after a disk was lost no other one is.
	repairTime = 8 * time.Second
)

// diskLost begins the name of a fault that takes a disk.
const diskLost = "disk lost of "

// fault is one drawn fault. It begins, and ends after a while.
type fault struct {
	name  string
	begin func()
	end   func()
}

// faults draws faults for a time, or until ctx ends, and waits for the end of
// each.
func (r *Run) faults(ctx context.Context, span time.Duration) {
	var all sync.WaitGroup
	var wipedAt time.Time
	for began := time.Now(); time.Since(began) < span && ctx.Err() == nil; {
		f := r.draw(time.Since(wipedAt) > repairTime)
		if strings.HasPrefix(f.name, diskLost) {
			wipedAt = time.Now()
		}
		lasts := 100*time.Millisecond + time.Duration(r.rng.Int64N(int64(faultTime)))
		r.say("%s for %v", f.name, lasts.Round(time.Millisecond))
		all.Add(1)
		go (&faultLoop{fault: f, lasts: lasts, done: &all}).run()
		time.Sleep(time.Duration(r.rng.Int64N(int64(faultGap))))
	}
	all.Wait()
}

type faultLoop struct {
	fault fault
	lasts time.Duration
	done  *sync.WaitGroup
}

func (l *faultLoop) run() {
	defer l.done.Done()
	l.fault.begin()
	time.Sleep(l.lasts)
	l.fault.end()
}

// draw draws a fault; a disk is lost only where it may be.
func (r *Run) draw(mayWipe bool) fault {
	l := r.leafs[r.rng.IntN(len(r.leafs))]
	c := r.controls[r.rng.IntN(len(r.controls))]
	vms := r.vms()
	v := vms[r.rng.IntN(len(vms))]
	switch r.rng.IntN(14) {
	case 0, 1:
		return r.down(v, "killed "+v.name, nil)
	case 2:
		return r.stopped(v)
	case 3:
		return fault{"paused " + v.name, func() { v.signal(syscall.SIGSTOP) }, func() { v.signal(syscall.SIGCONT) }}
	case 4:
		return fault{"reload " + v.name, func() { v.signal(syscall.SIGHUP) }, func() {}}
	case 5:
		if mayWipe {
			return r.down(c, diskLost+c.name, c.wipe)
		}
		return r.linkFault(c, proxy.Delay, "slow link of ")
	case 6:
		return r.linkFault(c, []proxy.Fault{proxy.DropUpstream, proxy.DropDownstream, proxy.DropBoth}[r.rng.IntN(3)], "cut link of ")
	case 7:
		return fault{"resets at " + c.name, c.link.Reset, c.link.Reset}
	case 8:
		return fault{"list down", func() { r.listDown.Store(true) }, func() { r.listDown.Store(false) }}
	case 9:
		return fault{"restart of " + l.id(), l.restart, func() {}}
	case 10:
		return fault{"leaving " + l.id(), func() { l.leave(true) }, l.restart}
	case 11:
		f := []proxy.Fault{proxy.DropBoth, proxy.DropDownstream, proxy.Delay}[r.rng.IntN(3)]
		return fault{"way to " + l.id() + " fails", func() { l.proxy.SetFault(f) }, func() { l.proxy.SetFault(proxy.None) }}
	}
	t := []trouble{slow, shedding, failing, losing, hanging}[r.rng.IntN(5)]
	return fault{"trouble at " + l.id(), func() { l.set(t) }, func() { l.set(sound) }}
}

func (r *Run) linkFault(c *vm, f proxy.Fault, name string) fault {
	return fault{name + c.name, func() { c.link.SetFault(f) }, func() { c.link.SetFault(proxy.None) }}
}

// down kills a process and starts it again, after what happens between.
func (r *Run) down(v *vm, name string, between func() error) fault {
	var life int
	begin := func() { life = v.signal(syscall.SIGKILL) }
	return fault{name, begin, func() { r.restart(v, life, between) }}
}

// stopped tells a process to leave and starts it again when it has.
func (r *Run) stopped(v *vm) fault {
	var life int
	return fault{"stopped " + v.name, func() { life = v.signal(syscall.SIGTERM) }, func() { r.restart(v, life, nil) }}
}

// restart waits for the end of a process in one of its lives and starts the
// next, unless another fault did already.
func (r *Run) restart(v *vm, life int, between func() error) {
	v.restarting.Lock()
	defer v.restarting.Unlock()
	if v.life() != life {
		return
	}
	for began := time.Now(); v.running(); time.Sleep(stopPoll) {
		// A process that another fault has paused can't leave.
		if v.pausedNow() {
			began = time.Now()
		}
		if time.Since(began) > stopLimit {
			r.fail("%s still runs %v after it was told to stop", v.name, stopLimit)
			v.kill()
		}
	}
	if between != nil {
		if err := between(); err != nil {
			r.fail("%s: %v", v.name, err)
		}
	}
	if err := v.start(); err != nil {
		r.fail("%s can't start: %v", v.name, err)
	}
}

// heal ends every fault that may still be there.
func (r *Run) heal() {
	for _, v := range r.vms() {
		v.signal(syscall.SIGCONT)
		if v.link != nil {
			v.link.SetFault(proxy.None)
		}
		if !v.running() {
			r.restart(v, v.life(), nil)
		}
	}
	for _, l := range r.leafs {
		l.set(sound)
		l.leave(false)
		l.proxy.SetFault(proxy.None)
	}
	r.listDown.Store(false)
}
