package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
)

// A target that starts again under its id at another address must not leave
// connections to the old address behind.
func TestSetTargetsReturnsAddressThatTargetsLeave(t *testing.T) {
	f := newTestFleet(newService(), "dc-1", "dc-1")
	moved := discovery.NewInstance("i-0", "s-1", "10.0.0.9:80", "dc-1", 2)
	kept := newList(1, "dc-1", "dc-1").Instances()[1]
	assert.DeepEqual(t, f.SetTargets(discovery.NewList([]discovery.Instance{moved, kept}, 2, start), start), []string{"10.0.0.0:80"})
	// The address of a target that left is now that of another one.
	taken := discovery.NewInstance("i-2", "s-1", "10.0.0.9:80", "dc-1", 2)
	assert.Equal(t, len(f.SetTargets(discovery.NewList([]discovery.Instance{taken, kept}, 3, start), start)), 0)
}

// lister replaces the target list until it is stopped.
type lister struct {
	fleet *placement.Fleet
	stop  chan struct{}
	done  chan struct{}
}

func (l *lister) run() {
	defer close(l.done)
	for n := uint64(2); ; n++ {
		select {
		case <-l.stop:
			return
		default:
			l.fleet.SetTargets(newList(n, "dc-1"), start)
		}
	}
}

// Checks, with the race detector, that a request may read its target's address while
// a new list arrives.
func TestInstanceMayBeReadWhileTheListChanges(t *testing.T) {
	f := newTestFleet(newService(), "dc-1")
	l := &lister{fleet: f, stop: make(chan struct{}), done: make(chan struct{})}
	go l.run()
	for n := range 1000 {
		now := start.Add(time.Duration(n) * 20 * time.Millisecond)
		lease, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), now)
		assert.Assert(t, ok)
		assert.Equal(t, lease.Instance().Address(), "10.0.0.0:80")
		lease.Succeeded(now.Add(time.Millisecond))
	}
	close(l.stop)
	<-l.done
}
