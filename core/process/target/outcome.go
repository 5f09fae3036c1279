package target

import (
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
	if t.jumped(took) {
		t.fall(now)
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
// time. One slow response is a straggler and says nothing about warmth.
func (t *Target) jumped(took time.Duration) bool {
	usual := t.average
	if usual == 0 {
		t.average = took
		return false
	}
	if took > latencyJump*usual && t.state == Warm {
		t.jumps++
		return t.jumps >= jumpsInRow
	}
	t.jumps = 0
	t.average = usual + time.Duration(latencyWeight*float64(took-usual))
	return false
}

func (t *Target) refused(reason leaf.RefusalReason, now time.Time) {
	t.answered()
	switch reason {
	case leaf.RefusedShed:
		t.sheds++
		t.ramp.shed()
		if t.state == Warming || t.sheds >= shedsInRow {
			t.fall(now)
		}
	case leaf.RefusedLeaving:
		t.leave(t.startID, now)
	case leaf.RefusedSnapshot:
	}
}

func (t *Target) failed(o leaf.Failed) {
	if !o.Silent() {
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
