package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

// A leader that was paused while another one was elected and accepted a change must not prove
// that there is none: the time in its proof must stay that of its last contact.
func TestPausedLeaderProvesOnlyThePast(t *testing.T) {
	n := newNetwork(t)
	n.publish(t, 1)
	old, ok := n.leader()
	assert.Assert(t, ok)
	n.paused = old
	pausedAt := bootclock.Now()
	n.publish(t, 2)
	status := n.vms[old].Status()
	at, proven := status.RoutesProvenAt()
	assert.Assert(t, proven, "the paused VM must still believe that it leads")
	assert.Assert(t, at.Before(pausedAt.Add(1)), "the proof reaches past the last contact")
	assert.Equal(t, status.Routes().Version(), uint64(1))

	n.paused = ""
	assert.NilError(t, n.vms[old].step(n.clock))
	at, proven = n.vms[old].Status().RoutesProvenAt()
	assert.Assert(t, !proven || at.Before(pausedAt.Add(1)), "the proof of the old leader was renewed without a quorum")
	n.stepUntil(t, "the new leader proves its routes", func() bool {
		for name, c := range n.vms {
			status := c.Status()
			if at, proven := status.RoutesProvenAt(); proven && !at.Before(pausedAt) && name != old {
				return status.Routes().Version() == 2
			}
		}
		return false
	})
}

// The loop must decide by the boot clock, which counts while the machine is suspended, and so
// must the times in the log, which steps of the time of day must not change.
func TestClockFollowsTheBootClock(t *testing.T) {
	before := bootclock.Now()
	at := newClock(bootclock.Now).now()
	after := bootclock.Now()
	assert.Assert(t, !at.Before(before) && !after.Before(at), "%v, %v, %v", before, at, after)
	held := &heldClock{at: before}
	c := newClock(held.now)
	first := c.appendTime(c.now())
	assert.Equal(t, first, c.timeOfDay)
	assert.Equal(t, first, first.Round(0), "the time of day has a monotonic reading")
	held.advance(time.Hour)
	assert.Equal(t, c.appendTime(c.now()).Sub(first), time.Hour)
}
