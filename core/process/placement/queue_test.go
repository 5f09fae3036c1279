package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
)

// A request of an urgent team must not wait behind a less urgent team's, whatever their
// routes.
func TestWaitersAreServedByTeamThenRouteThenDeadline(t *testing.T) {
	f := newTestFleet(newService(), "dc-1")
	held := fill(f, placement.NewLeaseRequest("s-1", "k"), start)
	waiters := []struct {
		team, route int
		deadline    time.Duration
	}{{0, 2, time.Second}, {0, 1, 2 * time.Second}, {0, 1, time.Second}, {1, 0, time.Millisecond}}
	notify := make([]chan *placement.Lease, len(waiters))
	for n, r := range waiters {
		notify[n] = make(chan *placement.Lease, 1)
		f.Enqueue(placement.NewLeaseRequest("s-1", "k"), placement.NewPriority(r.team, r.route), start.Add(r.deadline), notify[n], start)
	}
	for _, want := range []int{2, 1, 0, 3} {
		held[0].Succeeded(start)
		select {
		case l := <-notify[want]:
			held = append(held[1:], l)
		default:
			t.Fatalf("waiter %d got no lease", want)
		}
	}
}

// Without a completed request there is no rate to estimate the wait from. Requests
// must not be refused for a wait counted from the year 1, nor for the time in which
// the service had no requests.
func TestExpectedWaitDoesNotCountIdleTime(t *testing.T) {
	f := newTestFleet(newService().WithMaxConnections(1), "dc-1")
	request := placement.NewLeaseRequest("s-1", "k")
	expectWait := func(now time.Time, most time.Duration) {
		t.Helper()
		wait := f.ExpectedWait(placement.NewLeaseRequest("s-1", ""), placement.NewPriority(0, 1), now)
		assert.Assert(t, wait >= 0 && wait <= most, "%v", wait)
	}
	enqueue := func(now time.Time) *placement.Waiter {
		return f.Enqueue(request, placement.NewPriority(0, 1), now.Add(time.Second), make(chan *placement.Lease, 1), now)
	}
	first, ok := f.Acquire(request, start)
	assert.Assert(t, ok)
	waiters := []*placement.Waiter{enqueue(start), enqueue(start), enqueue(start)}
	expectWait(start.Add(10*time.Millisecond), 15*time.Millisecond)
	for _, w := range waiters {
		f.Dequeue(w)
	}
	first.Succeeded(start.Add(20 * time.Millisecond))

	later := start.Add(time.Hour)
	_, ok = f.Acquire(request, later)
	assert.Assert(t, ok)
	enqueue(later)
	expectWait(later.Add(10*time.Millisecond), 15*time.Millisecond)
}
