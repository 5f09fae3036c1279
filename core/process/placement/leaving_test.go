package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
)

// The times of the platform in the tests of this file.
const (
	testListLag      = 800 * time.Millisecond
	testDrainTimeout = 3 * time.Second
	// certain is a time after which a list shows a state later than an earlier sign.
	certain = 3 * time.Second
)

// leavingFleet returns a fleet with targets i-0, i-1 and so on in dc-1.
func leavingFleet(targets int) *placement.Fleet {
	f := newTestFleet(newService())
	f.SetTargetTimes(placement.NewTargetTimes(testListLag, testDrainTimeout))
	f.SetTargets(readList(2, start, targets), start)
	return f
}

// readList returns a list of targets that was read at a time. The first of them are
// listed as leaving.
func readList(number uint64, readAt time.Time, targets int, leaving ...int) discovery.List {
	var out []discovery.Instance
	for n := range targets {
		i := discovery.NewInstance(fmt.Sprintf("i-%d", n), "s-1", fmt.Sprintf("10.0.0.%d:80", n), "dc-1", 2)
		for _, l := range leaving {
			if l == n {
				i = i.WithLeaving(true)
			}
		}
		out = append(out, i)
	}
	return discovery.NewList(out, number, readAt)
}

// acquireAt returns a lease for a target, which must be granted within many tries, or nil
// if the fleet never chooses it.
func acquireAt(f *placement.Fleet, id string, now time.Time) *placement.Lease {
	var others []*placement.Lease
	defer func() {
		for _, l := range others {
			l.Unsent(now)
		}
	}()
	for range 50 {
		l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), now)
		if !ok {
			return nil
		}
		if l.Instance().ID() == id {
			return l
		}
		others = append(others, l)
	}
	return nil
}

// A target that left and starts again under its id and address must be used again, once
// the list shows it at a time after the last run was seen to leave. Neither an older list
// nor a late sign of the last run may change what is known of the current one.
func TestLeavingTargetIsUsedAgainOnlyInANewRun(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	tests := []struct {
		name string
		play func(f *placement.Fleet)
		want bool
	}{
		{"listed as leaving", func(f *placement.Fleet) {
			f.SetTargets(readList(3, at(time.Second), 2, 0), at(time.Second))
		}, false},
		{"listed as leaving, then an older state", func(f *placement.Fleet) {
			f.SetTargets(readList(3, at(time.Second), 2, 0), at(time.Second))
			f.SetTargets(readList(4, at(time.Second+testListLag), 2), at(2*time.Second))
		}, false},
		{"listed as leaving, then ready", func(f *placement.Fleet) {
			f.SetTargets(readList(3, at(time.Second), 2, 0), at(time.Second))
			f.SetTargets(readList(4, at(time.Second+certain), 2), at(time.Second+certain))
		}, true},
		{"listed as leaving again in the new run", func(f *placement.Fleet) {
			f.SetTargets(readList(3, at(time.Second), 2, 0), at(time.Second))
			f.SetTargets(readList(4, at(time.Second+certain), 2), at(time.Second+certain))
			f.SetTargets(readList(5, at(2*time.Second+certain), 2, 0), at(2*time.Second+certain))
		}, false},
		{"an answer said so", func(f *placement.Fleet) {
			l := acquireAt(f, "i-0", at(time.Second))
			l.Leaving(at(time.Second))
			l.Succeeded(at(time.Second))
			f.SetTargets(readList(3, at(time.Second+testListLag), 2), at(time.Second+testListLag))
		}, false},
		{"an answer said so, then ready in the list", func(f *placement.Fleet) {
			l := acquireAt(f, "i-0", at(time.Second))
			l.Leaving(at(time.Second))
			l.Succeeded(at(time.Second))
			f.SetTargets(readList(3, at(time.Second+certain), 2), at(time.Second+certain))
		}, true},
		{"a late answer of the last run", func(f *placement.Fleet) {
			late := acquireAt(f, "i-0", at(time.Second))
			f.SetTargets(readList(3, at(time.Second), 2, 0), at(time.Second))
			f.SetTargets(readList(4, at(time.Second+certain), 2), at(time.Second+certain))
			late.Leaving(at(time.Second + certain))
			late.Refused(true, at(time.Second+certain))
		}, true},
		{"another instance has its address", func(f *placement.Fleet) {
			acquireAt(f, "i-0", at(time.Second)).Refused(true, at(time.Second))
		}, false},
		{"another instance had its address", func(f *placement.Fleet) {
			acquireAt(f, "i-0", at(time.Second)).Refused(true, at(time.Second))
			f.SetTargets(readList(3, at(time.Second+certain), 2), at(time.Second+certain))
		}, true},
		{"removed while leaving, then in an older list", func(f *placement.Fleet) {
			f.SetTargets(readList(3, at(time.Second), 2, 0), at(time.Second))
			onlySecond := discovery.NewList(readList(0, start, 2).Instances()[1:], 4, at(1500*time.Millisecond))
			f.SetTargets(onlySecond, at(1500*time.Millisecond))
			f.SetTargets(readList(5, at(1600*time.Millisecond), 2), at(1600*time.Millisecond))
		}, false},
		{"removed while leaving, then listed again", func(f *placement.Fleet) {
			f.SetTargets(readList(3, at(time.Second), 2, 0), at(time.Second))
			onlySecond := discovery.NewList(readList(0, start, 2).Instances()[1:], 4, at(2*time.Second))
			f.SetTargets(onlySecond, at(2*time.Second))
			f.SetTargets(readList(5, at(time.Second+certain), 2), at(time.Second+certain))
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := leavingFleet(2)
			tt.play(f)
			now := start.Add(10 * time.Second)
			l := acquireAt(f, "i-0", now)
			assert.Equal(t, l != nil, tt.want)
			assert.Equal(t, f.UsableTargets("s-1", now) == 2, tt.want)
		})
	}
}

// While one target stays, the others that leave get nothing. If all leave at once they
// serve for a part of the drain timeout, and requests are refused after that.
func TestLeavingTargetsAreALastResort(t *testing.T) {
	f := leavingFleet(3)
	f.SetTargets(readList(3, start, 3, 0, 1), start)
	assert.Equal(t, f.UsableTargets("s-1", start), 1)
	assert.Assert(t, acquireAt(f, "i-0", start) == nil)
	f.SetTargets(readList(4, start.Add(100*time.Millisecond), 3, 0, 1, 2), start.Add(100*time.Millisecond))
	tests := []struct {
		after time.Duration
		want  int
	}{{200 * time.Millisecond, 3}, {2249 * time.Millisecond, 3}, {2251 * time.Millisecond, 0}, {testDrainTimeout, 0}}
	for _, tt := range tests {
		now := start.Add(tt.after)
		assert.Equal(t, f.UsableTargets("s-1", now), tt.want, "after %v", tt.after)
		_, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), now)
		assert.Equal(t, ok, tt.want > 0, "after %v", tt.after)
	}
}

// The drain timeout runs from the moment when the list shows that a target is leaving, and
// this VM knows only that it was after the read before. A target that was not in that read
// may have been leaving for long.
func TestLastResortEndsBeforeTheDrainTimeoutOfTheList(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	tests := []struct {
		name string
		play func(f *placement.Fleet)
		// until is how long after the start the target is usable.
		until time.Duration
	}{
		{"listed as ready a second before", func(f *placement.Fleet) {
			f.SetTargets(readList(3, at(time.Second), 1, 0), at(time.Second))
		}, 2250 * time.Millisecond},
		{"the list did not change in between", func(f *placement.Fleet) {
			f.ConfirmTargets(at(2 * time.Second))
			f.SetTargets(readList(3, at(3*time.Second), 1, 0), at(3*time.Second))
		}, 4250 * time.Millisecond},
		{"no list for two seconds", func(f *placement.Fleet) {
			f.SetTargets(readList(3, at(2*time.Second), 1, 0), at(2*time.Second))
		}, 2250 * time.Millisecond},
		{"an answer said so before", func(f *placement.Fleet) {
			l := acquireAt(f, "i-0", at(500*time.Millisecond))
			l.Leaving(at(500 * time.Millisecond))
			l.Succeeded(at(500 * time.Millisecond))
			f.SetTargets(readList(3, at(time.Second), 1, 0), at(time.Second))
		}, 2250 * time.Millisecond},
		{"only an answer said so", func(f *placement.Fleet) {
			l := acquireAt(f, "i-0", at(500*time.Millisecond))
			l.Leaving(at(500 * time.Millisecond))
			l.Succeeded(at(500 * time.Millisecond))
		}, 2750 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := leavingFleet(1)
			tt.play(f)
			assert.Equal(t, f.UsableTargets("s-1", at(tt.until-time.Millisecond)), 1)
			assert.Equal(t, f.UsableTargets("s-1", at(tt.until)), 0)
		})
	}
	f := newTestFleet(newService())
	f.SetTargets(readList(2, start, 1, 0), start)
	assert.Equal(t, f.UsableTargets("s-1", start), 0, "a target that was leaving when this VM first saw it")
}

// A target that is gone is no last resort, whatever the others do.
func TestGoneTargetIsNoLastResort(t *testing.T) {
	f := leavingFleet(1)
	acquireAt(f, "i-0", start).Refused(true, start)
	assert.Equal(t, f.UsableTargets("s-1", start), 0)
}

// No request may reach a leaving target after the drain timeout, whether it is a first
// attempt, a retry, or waits in the queue.
func TestQueuedRequestsAndRetriesAvoidALeavingTarget(t *testing.T) {
	f := leavingFleet(2)
	first := acquireAt(f, "i-1", start)
	assert.Assert(t, first != nil)
	for range 8 {
		// The connections of both targets are in use.
		if _, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), start); !ok {
			break
		}
	}
	notify := make(chan *placement.Lease, 1)
	f.Enqueue(placement.NewLeaseRequest("s-1", "k"), placement.NewPriority(0, 1), start.Add(time.Minute), notify, start)
	f.SetTargets(readList(3, start, 2, 1), start)
	first.Leaving(start)
	first.Succeeded(start.Add(time.Millisecond))
	select {
	case l := <-notify:
		t.Fatalf("the queue got %s", l.Instance().ID())
	default:
	}
	_, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k").ExtraAttempt(nil, true), start.Add(testDrainTimeout))
	assert.Assert(t, !ok)
}
