package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
)

// A target that asks this VM to wait gets nothing until the wait is over, neither trials
// nor retries, and then one request at a time until one succeeds.
func TestTargetThatAsksToWaitGetsNothing(t *testing.T) {
	const wait = 2 * time.Second
	f := leavingFleet(2)
	acquireAt(f, "i-0", start).RefusedFor(wait, start)
	for now := start; now.Before(start.Add(wait)); now = now.Add(20 * time.Millisecond) {
		l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), now)
		assert.Assert(t, ok)
		assert.Equal(t, l.Instance().ID(), "i-1")
		_, ok = f.Acquire(placement.NewLeaseRequest("s-1", "k").ExtraAttempt([]*placement.Target{l.Target()}, true), now)
		assert.Assert(t, !ok, "a retry was sent to the waiting target")
		l.NoResponse(now)
	}
	assert.Equal(t, len(f.Findings(start.Add(wait))), 1, "other VMs learn of the failures only, not of the wait")
	later := start.Add(2 * wait)
	first := acquireAt(f, "i-0", later)
	assert.Assert(t, first != nil)
	assert.Assert(t, acquireAt(f, "i-0", later) == nil, "more than one request before one has succeeded")
	first.Succeeded(later.Add(time.Millisecond))
	second := acquireAt(f, "i-0", later.Add(2*time.Millisecond))
	assert.Assert(t, second != nil && acquireAt(f, "i-0", later.Add(2*time.Millisecond)) != nil)
}

// An answer to a request that was sent earlier does not shorten the wait, and the success
// of one does not end it.
func TestWaitIsNotShortenedByEarlierRequests(t *testing.T) {
	f := leavingFleet(2)
	first := acquireAt(f, "i-0", start)
	second := acquireAt(f, "i-0", start)
	third := acquireAt(f, "i-1", start)
	assert.Assert(t, first != nil && second != nil && third != nil)
	first.RefusedFor(4*time.Second, start)
	second.RefusedFor(time.Second, start)
	third.Succeeded(start.Add(time.Millisecond))
	now := start.Add(3900 * time.Millisecond)
	assert.Assert(t, acquireAt(f, "i-0", now) == nil)
}

// The caller of a query is told when enough of its services have a target that wants
// requests again.
func TestUntilUsable(t *testing.T) {
	f := leavingFleet(2)
	wait, known := f.UntilUsable([]string{"s-1"}, 1, start)
	assert.Assert(t, known && wait == 0)
	acquireAt(f, "i-0", start).RefusedFor(4*time.Second, start)
	wait, known = f.UntilUsable([]string{"s-1"}, 1, start)
	assert.Assert(t, known && wait == 0)
	acquireAt(f, "i-1", start).RefusedFor(2*time.Second, start)
	assert.Equal(t, f.UsableTargets("s-1", start), 0)
	now := start.Add(500 * time.Millisecond)
	wait, known = f.UntilUsable([]string{"s-1"}, 1, now)
	assert.Assert(t, known && wait >= 1500*time.Millisecond && wait <= 2*time.Second, "%v", wait)
	_, known = f.UntilUsable([]string{"s-1", "s-2"}, 2, now)
	assert.Assert(t, !known, "s-2 has no target")
	f.SetOutOfService([]string{"dc-1"}, now)
	_, known = f.UntilUsable([]string{"s-1"}, 1, now)
	assert.Assert(t, !known)
}

// VMs that were asked to wait for the same time don't return together.
func TestWaitsEndAtDifferentTimes(t *testing.T) {
	const wait = 2 * time.Second
	ends := make(map[time.Duration]int)
	for range 200 {
		f := leavingFleet(1)
		acquireAt(f, "i-0", start).RefusedFor(wait, start)
		until, _ := f.UntilUsable([]string{"s-1"}, 1, start)
		assert.Assert(t, until >= wait && until <= wait*5/4)
		ends[until.Truncate(50*time.Millisecond)]++
	}
	for at, n := range ends {
		assert.Assert(t, n < 60, "%d of 200 return within 50 ms at %v", n, at)
	}
}
