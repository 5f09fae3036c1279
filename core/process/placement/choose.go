package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultResponseTime is used as the median response time of a kind of
	// request if fewer than latencyMinSamples response times of that kind have
	// been measured.
	defaultResponseTime = 20 * time.Millisecond
	// expectedTimeJitter is the largest fraction by which an expected time is
	// randomly increased. It spreads requests over nearly equal targets, so
	// that the VMs don't all choose the same one.
	expectedTimeJitter = 0.15
	// errorCost is the expected cost of one failed request: the time that a
	// retry takes. It is multiplied by the target's error rate.
	errorCost = 60 * time.Millisecond
)

// healthClass ranks the targets of a service by health, best first. Expected
// times are compared only within a class.
type healthClass int

const (
	// healthy targets are ranked by expectedTime. A target that is due for a
	// trial request is healthy even if it would otherwise be degraded, or
	// suspect because of failures.
	healthy healthClass = iota
	// degraded targets are slow, have a high error rate or were recently
	// reported unhealthy by another VM. They are used only when no healthy
	// target has capacity left.
	degraded
	// limited targets are healthy, but in slow start and not admitted for this request.
	limited
	// suspect targets have an overdue request from this VM, or have given no
	// response or no connection to a request since a response time was last
	// recorded for them; see Target.consecutiveFailures.
	suspect
	// down targets recently gave no response, refused or reset a connection, or
	// are in an unreachable data centre and due for a trial request.
	down
	// excluded targets get no requests: they are not listed, are shutting down
	// while others are not, want no requests for a time, are out of service, have no
	// capacity left for this VM, or are in an unreachable data centre and not due for
	// a trial request.
	excluded
)

// classify returns the health class of a target. For example, if one of the
// three targets of a service stops responding, its overdue request makes it
// suspect, and requests go to the other two. The caller holds f.mu.
func (f *Fleet) classify(t *Target, now time.Time) healthClass {
	switch {
	case !t.listed || t.waiting(now) || f.outOfService[t.instance.DataCentre()]:
		return excluded
	case t.departure.known() && !f.lastResort(t, now):
		return excluded
	case !t.hasCapacity(now) || !t.hasColdCapacity(now):
		return excluded
	case f.unreachable(t.instance.DataCentre()) && !f.trialDue(t, now):
		return excluded
	case f.unreachable(t.instance.DataCentre()) || now.Before(t.downUntil) || now.Before(t.overLimitUntil):
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

// expectedTime returns the estimated time to the response of a request sent
// now, including queueing at the target, the slowness of its machine and the
// expected cost of failures. The result contains random jitter. The median is
// that of the service for this kind of request, 0 if unknown. If the target is
// due for a trial request, a slowdown above 1 is ignored, and so is the cost of
// failures of one whose latest request got no response. The costs of the data
// centre and of a new connection are added for targets in other data centres,
// except for the preferred one, which may be nil.
func (f *Fleet) expectedTime(t, preferred *Target, median time.Duration, now time.Time) time.Duration {
	if median <= 0 {
		median = defaultResponseTime
	}
	slowdown := t.currentSlowdown(now)
	if f.trialDue(t, now) {
		slowdown = min(slowdown, 1)
	}
	estimate := time.Duration(float64(median) * slowdown * f.expectedSlowness(t, now))
	slots := max(t.instance.Slots(), 1)
	load := float64(len(t.inFlight)) + t.decayedLoad(now)
	if excess := load - float64(slots) + 1; excess > 0 {
		estimate += time.Duration(float64(estimate) * excess / float64(slots))
	}
	if !t.start.failed || !f.trialDue(t, now) {
		estimate += time.Duration(t.errorRate * float64(errorCost))
	}
	if t != preferred && t.instance.DataCentre() != f.ownCentre {
		estimate += f.centreCost(t) + f.connectCost(t, now)
	}
	return time.Duration(float64(estimate) * (1 + expectedTimeJitter*rand.Float64()))
}

// chooseOf returns the target for a request of a kind among those of one side, or nil if
// all of them are excluded or in tried. Targets in tried, which this request was already
// sent to, are skipped. The caller holds f.mu.
func (f *Fleet) chooseOf(g *group, wanted side, kind string, tried []*Target, now time.Time) *Target {
	median := g.latency(kind).median
	preferred := f.preferredRemote(g)
	largestShare := f.largestShare(g, now)
	var best *Target
	bestClass := excluded
	var bestTime time.Duration
	for _, t := range g.targets {
		if g.sideOf(t) != wanted || contains(tried, t) {
			continue
		}
		class := f.classify(t, now)
		if class == healthy && largestShare > 0 && !f.admitsStart(t, largestShare, now) {
			class = limited
		}
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
