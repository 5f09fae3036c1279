package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// slowFactor and slowMargin say from which response time on a response is slow: the
	// median of the old versions on the same route times the factor, and at least the
	// margin above it. Targets that share a machine may take 2.5 times as long for a
	// while, and a target in another data centre 9 ms longer.
	slowFactor = 2.7
	slowMargin = 12 * time.Millisecond
	// baselineResponses is the least number of responses of the old versions for a median.
	baselineResponses = 3
	// expectedBad is the share of bad responses that is expected of a good version if the
	// old versions have none, badMargin the share above it that a bad version shows, and
	// badOldFactor the weight of the share that the old versions show.
	expectedBad  = 0.02
	badMargin    = 0.10
	badOldFactor = 1.5
	// oldWindow is the number of responses of the old versions over which their share of
	// bad responses is averaged.
	oldWindow = 200
	// maxStepEvidence bounds the evidence against the version from one step: a pause or a
	// crash of one target, or a burst of slow responses, is over after one or two. It does
	// not bound the first step with responses, which for a new leader are all of them.
	maxStepEvidence = 2.5
	// badThreshold is the evidence from which on the version counts as bad, and
	// doubtThreshold the evidence from which on the rollout does not advance. Both are
	// logarithms of a likelihood ratio.
	badThreshold   = 5.0
	doubtThreshold = 2.5
	// goodThreshold is the evidence from all responses up to which the version counts as
	// good, and lateGoodThreshold the same when no time is left to gather more: it
	// allows for one bad response of ten.
	goodThreshold     = 0.0
	lateGoodThreshold = 1.0
	// goodResponses is the least number of responses of a version that counts as good.
	goodResponses = 4
)

// tally holds the responses of both sides and how many of them were bad.
type tally struct {
	oldBad, oldTotal         uint64
	updatedBad, updatedTotal uint64
}

func (t *tally) add(other tally) {
	t.oldBad += other.oldBad
	t.oldTotal += other.oldTotal
	t.updatedBad += other.updatedBad
	t.updatedTotal += other.updatedTotal
}

// tallyOf counts the bad responses of a route. A response is bad if it is a failure or
// much slower than the median of the old versions.
func tallyOf(r RouteCounts) tally {
	t := tally{oldBad: r.old.failures, oldTotal: r.old.Responses(), updatedBad: r.updated.failures, updatedTotal: r.updated.Responses()}
	if median, ok := r.oldMedian(); ok {
		limit := max(time.Duration(slowFactor*float64(median)), median+slowMargin)
		t.oldBad += r.old.slowerThan(limit)
		t.updatedBad += r.updated.slowerThan(limit)
	}
	return t
}

// evidence weighs the responses of one route, or of all of them, by the likelihood ratio of
// a bad version to a good one.
type evidence struct {
	last tally
	// oldBad and oldTotal count the latest responses of the old versions.
	oldBad, oldTotal float64
	// sum is the evidence from all responses. recent adds up the evidence of each step
	// and starts again whenever it is negative, so that a fault that begins late is not
	// outweighed by what was before.
	sum, recent float64
}

// step adds the responses since the last step.
func (e *evidence) step(t tally) {
	oldBad, oldTotal := increase(e.last.oldBad, t.oldBad), increase(e.last.oldTotal, t.oldTotal)
	bad, total := increase(e.last.updatedBad, t.updatedBad), increase(e.last.updatedTotal, t.updatedTotal)
	first := e.last == (tally{})
	e.last = t
	keep := max(0, 1-oldTotal/oldWindow)
	e.oldBad = e.oldBad*keep + oldBad
	e.oldTotal = e.oldTotal*keep + oldTotal
	good := expectedBad
	if e.oldTotal > 0 {
		good += badOldFactor * e.oldBad / (e.oldTotal + baselineResponses)
	}
	good = min(good, 0.5)
	e.sum = weight(float64(t.updatedBad), float64(t.updatedTotal), good)
	gain := weight(bad, total, good)
	if !first {
		gain = min(gain, maxStepEvidence)
	}
	e.recent = max(0, e.recent+gain)
}

// weight returns the logarithm of the likelihood ratio of a bad version to a good one, of
// which the given share of responses is bad.
func weight(bad, total, good float64) float64 {
	worse := good + badMargin
	bad = min(bad, total)
	return bad*math.Log(worse/good) + (total-bad)*math.Log((1-worse)/(1-good))
}

// increase returns the difference of two counts, or 0 if the count has gone down, which a
// change of the median can cause.
func increase(before, after uint64) float64 {
	if after < before {
		return 0
	}
	return float64(after - before)
}

// judge decides from the counts of all VMs whether a version is good or bad.
type judge struct {
	all    evidence
	routes map[string]*evidence
}

func newJudge() judge { return judge{routes: make(map[string]*evidence)} }

// step adds the counts of all routes, and the attempts whose response is overdue, which
// count as bad.
func (j *judge) step(routes map[string]*RouteCounts, running InFlight) {
	var sum tally
	for name, counts := range routes {
		t := tallyOf(*counts)
		sum.add(t)
		if j.routes[name] == nil {
			j.routes[name] = &evidence{}
		}
		j.routes[name].step(t)
	}
	sum.add(tally{oldBad: running.oldOverdue, oldTotal: running.oldOverdue, updatedBad: running.overdue, updatedTotal: running.overdue})
	j.all.step(sum)
}

// worst returns the strongest recent evidence against the version.
func (j *judge) worst() float64 {
	worst := j.all.recent
	for _, e := range j.routes {
		worst = max(worst, e.recent)
	}
	return worst
}

// bad reports whether the version is bad.
func (j *judge) bad() bool { return j.worst() >= badThreshold }

// doubtful reports whether the version may be bad.
func (j *judge) doubtful() bool { return j.worst() >= doubtThreshold }

// good reports whether the version is known to be good. late is true if no time is left to
// gather more evidence.
func (j *judge) good(late bool) bool {
	limit := goodThreshold
	if late {
		limit = lateGoodThreshold
	}
	return j.all.last.updatedTotal >= goodResponses && j.all.sum <= limit && !j.doubtful()
}

// String describes the evidence for the log.
func (j *judge) String() string {
	t := j.all.last
	return fmt.Sprintf("%d bad of %d responses, before %d of %d, evidence %.1f, recent %.1f", t.updatedBad, t.updatedTotal, t.oldBad, t.oldTotal, j.all.sum, j.worst())
}
