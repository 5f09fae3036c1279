package target

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
)

// Settle takes in the outcome of a sub-request that was acquired before, with
// the time that it took.
func (t *Target) Settle(outcome leaf.Outcome, took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	switch o := outcome.(type) {
	case leaf.Answered:
		t.observe(o.Report(), now)
		t.succeeded(took, now)
	case leaf.Refused:
		t.observe(o.Report(), now)
		t.refused(o.Reason(), now)
	case leaf.Unusable:
		t.answered()
	case leaf.Failed:
		t.failed(o)
	case leaf.Withheld:
	}
}

// answered notes that the leaf answers at all.
func (t *Target) answered() {
	t.silent = 0
}

func (t *Target) succeeded(took time.Duration, now time.Time) {
	t.answered()
	t.suspect = false
	t.sheds = 0
	if t.jumped(took, now) {
		t.suspectCold(now)
		return
	}
	if t.state == Cold && t.mayRamp(now) {
		t.move(eventSuccess, now)
	}
	if t.state == Warming && t.ramp.succeed(now) {
		t.move(eventProven, now)
	}
}

// jumped reports whether several responses in a row took many times the usual
// time, and many times that of the siblings. One slow response is a straggler;
// siblings that are slow together are overloaded, not cold.
func (t *Target) jumped(took time.Duration, now time.Time) bool {
	average(&t.recent, took, recentWeight)
	if t.usual == 0 {
		t.usual = took
		return false
	}
	if t.state != Cold && took > latencyJump*t.usual && took > siblingJump*t.siblingTime() {
		t.jumps++
		if t.full(now) {
			t.jumps += fullJump - 1
		}
		return t.jumps >= jumpsInRow
	}
	t.jumps = 0
	t.usual += time.Duration(usualWeight * float64(took-t.usual))
	return false
}

// average moves an average towards a new value; the first sets it.
func average(of *atomic.Int64, value time.Duration, weight float64) {
	old := of.Load()
	if old == 0 {
		of.Store(int64(value))
		return
	}
	of.Store(old + int64(weight*float64(int64(value)-old)))
}

// siblingTime returns the median of the siblings' recent response times, 0
// where there are none.
func (t *Target) siblingTime() time.Duration {
	var times []int64
	for _, s := range t.group {
		if recent := s.recent.Load(); s != t && recent > 0 {
			times = append(times, recent)
		}
		if len(times) == maxCompared {
			break
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return time.Duration(times[len(times)/2])
}

func (t *Target) refused(reason leaf.RefusalReason, now time.Time) {
	t.answered()
	switch reason {
	case leaf.RefusedShed:
		t.sheds++
		t.ramp.shed()
		if t.sheds >= shedsInRow {
			t.suspectCold(now)
		}
	case leaf.RefusedLeaving:
		t.leave(t.startID, now)
	case leaf.RefusedSnapshot:
	}
}

func (t *Target) failed(o leaf.Failed) {
	if !o.TimedOut() {
		// The leaf refused or reset the connection: it is not there.
		t.suspect = true
		return
	}
	t.silent++
	if t.silent >= suspectAfter {
		t.suspect = true
	}
}

// Probed takes in the result of a probe. A probe that succeeds ends suspicion
// and finds a target that was unknown.
func (t *Target) Probed(report leaf.Report, err error, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.suspect = true
		return
	}
	t.silent = 0
	t.suspect = false
	t.observe(report, now)
	if t.state == Unknown {
		t.move(eventFound, now)
		t.ramp = newRamp(t.coldShare, now)
	}
}
