package target

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
)

// RecordOutcome releases the capacity that Choose acquired and records the
// outcome of the sub-request and how long it took.
func (t *Target) RecordOutcome(outcome leaf.Outcome, took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	switch o := outcome.(type) {
	case leaf.Answered:
		t.recordReport(o.Report(), now)
		t.recordSuccess(took, now)
	case leaf.Refused:
		t.recordReport(o.Report(), now)
		t.recordRefusal(o.Reason(), now)
	case leaf.Unusable:
		t.recordResponse()
	case leaf.Failed:
		t.recordFailure(o)
	case leaf.Withheld:
		// Nothing was sent, so the outcome contains no information about the
		// leaf.
	}
}

// recordResponse records that the leaf responded, whatever the response was.
func (t *Target) recordResponse() {
	t.consecutiveTimeouts = 0
}

func (t *Target) recordSuccess(took time.Duration, now time.Time) {
	t.recordResponse()
	t.suspect = false
	t.consecutiveSheds = 0
	if t.latencyJumped(took, now) {
		t.inferCold(now)
		return
	}
	if t.state == Cold && t.canRampUp(now) {
		t.transition(eventFirstSuccess, now)
	}
	if t.state == Warming && t.ramp.recordSuccess(now) {
		t.transition(eventProvenWarm, now)
	}
}

// latencyJumped adds a response time to the moving averages. It returns whether
// latencyJumpsUntilCold responses in a row took more than latencyJumpFactor
// times the target's usual latency and more than siblingLatencyFactor times the
// latency of the other targets of the service. Such responses are excluded from
// the usual latency, and one from a full leaf counts as fullLeafJumpCount
// responses. For a target that is already cold, no response is counted or
// excluded. A single slow response is a straggler, and if all targets are slow,
// they are overloaded, not cold.
func (t *Target) latencyJumped(took time.Duration, now time.Time) bool {
	updateAverage(&t.recentLatency, took, recentLatencyWeight)
	if t.usualLatency == 0 {
		t.usualLatency = took
		return false
	}
	if t.state != Cold && took > latencyJumpFactor*t.usualLatency && took > siblingLatencyFactor*t.siblingLatency() {
		t.latencyJumps++
		if t.full(now) {
			t.latencyJumps += fullLeafJumpCount - 1
		}
		return t.latencyJumps >= latencyJumpsUntilCold
	}
	t.latencyJumps = 0
	t.usualLatency += time.Duration(usualLatencyWeight * float64(took-t.usualLatency))
	return false
}

// updateAverage moves an exponential moving average towards a new sample, whose
// weight is between 0 and 1. The first sample sets the average.
func updateAverage(average *atomic.Int64, sample time.Duration, weight float64) {
	old := average.Load()
	if old == 0 {
		average.Store(int64(sample))
		return
	}
	average.Store(old + int64(weight*float64(int64(sample)-old)))
}

// siblingLatency returns the median of the recent latencies of the other
// targets of the service, for an even number of them the upper of the two
// middle ones. It skips targets without a response, uses at most
// maxComparedSiblings of the others, and returns 0 if there are none.
func (t *Target) siblingLatency() time.Duration {
	var latencies []int64
	for _, s := range t.serviceTargets {
		if recentLatency := s.recentLatency.Load(); s != t && recentLatency > 0 {
			latencies = append(latencies, recentLatency)
		}
		if len(latencies) == maxComparedSiblings {
			break
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return time.Duration(latencies[len(latencies)/2])
}

func (t *Target) recordRefusal(reason leaf.RefusalReason, now time.Time) {
	t.recordResponse()
	switch reason {
	case leaf.RefusedShed:
		t.consecutiveSheds++
		t.ramp.recordShed()
		if t.consecutiveSheds >= shedsUntilCold {
			t.inferCold(now)
		}
	case leaf.RefusedLeaving:
		t.markLeaving(t.startID, now)
	case leaf.RefusedSnapshot:
		// The report that came with the refusal has updated the snapshots.
	}
}

func (t *Target) recordFailure(o leaf.Failed) {
	if !o.TimedOut() {
		// The connection was refused or reset, so the leaf is not running.
		t.suspect = true
		return
	}
	t.consecutiveTimeouts++
	if t.consecutiveTimeouts >= timeoutsUntilSuspect {
		t.suspect = true
	}
}

// RecordProbe records the result of a probe. A probe that failed with err makes
// the target suspected to be down. A successful probe ends that suspicion and
// turns an unknown target cold.
func (t *Target) RecordProbe(report leaf.Report, err error, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.suspect = true
		return
	}
	t.consecutiveTimeouts = 0
	t.suspect = false
	t.recordReport(report, now)
	if t.state == Unknown {
		t.transition(eventFound, now)
		t.ramp = newRamp(t.coldShare, now)
	}
}
