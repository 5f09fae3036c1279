package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// unknownTime is assumed for a request of which nothing is known.
	defaultResponseTime = 20 * time.Millisecond
	// distance is what a target of another data centre costs in addition: the
	// way there and back, and the bytes between data centres.
	remoteCentreCost = 6 * time.Millisecond
	// spread is the part of the expected time by which equals are mixed, so
	// that VMs do not all turn to the same target.
	expectedTimeJitter = 0.15
	// errorCost is what a certain failure costs: the time for another try.
	errorCost = 60 * time.Millisecond
)

// standing says how a target compares with its siblings before time counts.
type healthClass int

const (
	// sound targets are chosen by their expected time.
	healthy healthClass = iota
	// doubtful targets are slow or fail often; they come after sound ones.
	degraded
	// suspect targets have a request from here that is overdue.
	suspect
	// down targets did not answer or refused the connection a moment ago.
	down
	// barred targets may get nothing: they leave, are out of service or full.
	excluded
)

// standing judges a target. With a service in which one of three targets
// pauses, its overdue request makes it suspect and the others take over.
func (f *Fleet) classify(t *Target, now time.Time) healthClass {
	switch {
	case !t.listed || t.leaving || f.outOfService[t.instance.Centre()]:
		return excluded
	case !t.hasRoom(now) || !t.hasColdRoom(now):
		return excluded
	case f.unreachable(t.instance.Centre()) && !f.trialDue(t, now):
		return excluded
	case f.unreachable(t.instance.Centre()) || now.Before(t.downUntil) || now.Before(t.overLimitUntil):
		return down
	case t.overdue(now):
		return suspect
	case f.trialDue(t, now):
		return healthy
	case t.consecutiveFailures > 0:
		return suspect
	case t.unhealthy(now) || t.reportedUnhealthy(now):
		return degraded
	}
	return healthy
}

// expected returns the time after which a request sent now should be answered,
// with what a likely failure would cost.
func (f *Fleet) expectedTime(t, preferred *Target, median time.Duration, now time.Time) time.Duration {
	if median <= 0 {
		median = defaultResponseTime
	}
	slowdown := t.slowdown
	if f.trialDue(t, now) {
		slowdown = min(slowdown, 1)
	}
	estimate := time.Duration(float64(median) * slowdown)
	slots := max(t.instance.Slots(), 1)
	load := float64(len(t.inFlight)) + t.decayedLoad(now)
	if excess := load - float64(slots) + 1; excess > 0 {
		estimate += time.Duration(float64(estimate) * excess / float64(slots))
	}
	estimate += time.Duration(t.errorRate * float64(errorCost))
	if t != preferred && t.instance.Centre() != f.ownCentre {
		estimate += remoteCentreCost
	}
	return time.Duration(float64(estimate) * (1 + expectedTimeJitter*rand.Float64()))
}

// choose returns the target for a request, or nil where none has room. Those
// that the request was sent to before are left out.
func (f *Fleet) choose(g *group, kind string, tried []*Target, now time.Time) *Target {
	median := g.latency(kind).median
	preferred := f.preferredRemote(g)
	var best *Target
	bestClass := excluded
	var bestTime time.Duration
	for _, t := range g.targets {
		if contains(tried, t) {
			continue
		}
		class := f.classify(t, now)
		if class == excluded || class > bestClass {
			continue
		}
		estimate := f.expectedTime(t, preferred, median, now)
		if class < bestClass || estimate < bestTime {
			best = t
			bestClass = class
			bestTime = estimate
		}
	}
	return best
}

func contains(list []*Target, t *Target) bool {
	for _, other := range list {
		if other == t {
			return true
		}
	}
	return false
}
