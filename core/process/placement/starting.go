package placement

import (
	"math/rand/v2"
	"time"
)

// siblingLoadWeight is the weight of a new sample in the mean load of a service's
// targets.
const siblingLoadWeight = 0.3

// failedTrialFactor is the time between two trial requests to a target that gives no
// response, in trial intervals.
const failedTrialFactor = 2

// normalRatio is the response time, divided by the median, up to which a response in a slow
// start is normal. One normal response of one VM lets the share of all of them grow, so it
// must be rare while the target is three times as slow as its siblings.
const normalRatio = 1.25

// The causes of a slow start, for the log.
const (
	causeListed   = "listed"
	causeNewRun   = "new-run"
	causeCold     = "cold"
	causeFailed   = "failed"
	causeErrors   = "errors"
	causeReported = "reported"
)

// NewFleetWithoutSlowStart returns a fleet in which targets that have started or failed
// get their whole share at once. It serves comparisons in tests.
func NewFleetWithoutSlowStart(vm, centre string, limits Limits, now time.Time) *Fleet {
	f := NewFleet(vm, centre, limits, now)
	f.noSlowStart = true
	return f
}

// beginAfterListing begins a slow start of a target that the list shows to have started
// or turned cold, if requests go to the service and another target can take them. This is
// not so in the first list of a process, and for a new set of shards before its first
// request: there all targets are used at once. The caller holds f.mu.
func (f *Fleet) beginAfterListing(t *Target, cause string, now time.Time) {
	if f.listReadAt.IsZero() || len(t.group.latencies) == 0 {
		return
	}
	for _, other := range t.group.targets {
		if other != t && f.stays(other) && !other.start.active() {
			f.beginSlowStart(t, cause, now)
			return
		}
	}
}

// beginAfterFinding begins a slow start of a target that other VMs found unhealthy, unless
// the cause may be the load of the whole service: the targets have at least as many requests
// as slots, or another target is unhealthy too, or is in slow start, so that this one gets
// more requests than usual. The caller holds f.mu.
func (f *Fleet) beginAfterFinding(t *Target, now time.Time) {
	if t.group.load >= 1 {
		return
	}
	for _, other := range t.group.targets {
		if other != t && (other.start.active() || other.reportedUnhealthy(now)) {
			return
		}
	}
	f.beginSlowStart(t, causeReported, now)
}

// beginSlowStart begins a slow start of a target, if its service has others. The first
// trial requests to it are due at random times, so that the VMs don't all send theirs at
// once. The caller holds f.mu.
func (f *Fleet) beginSlowStart(t *Target, cause string, now time.Time) {
	if f.noSlowStart || t.start.active() || !t.hasSibling() {
		return
	}
	initial := initialShare(f.responseInterval(t.group, now), t.group.anyMedian())
	t.start = beginSlowStart(initial, now)
	switch cause {
	case causeListed, causeNewRun, causeCold:
		t.lastSentAt = now.Add(-time.Duration(rand.Int64N(int64(f.ownTrialInterval()))))
	case causeFailed:
		t.lastSentAt = now.Add(-time.Duration(rand.Int64N(int64(failedTrialFactor * f.ownTrialInterval()))))
	}
	f.addChange(NewTargetChange(t.id, TargetStartsSlowly, 0).WithCause(cause))
}

// hasSibling reports whether the service has another target. A new target is not yet in
// its group.
func (t *Target) hasSibling() bool {
	n := len(t.group.targets)
	return n > 1 || n == 1 && t.group.targets[0] != t
}

// anyMedian returns the median response time of one kind of request to the service, 0 if
// none is known.
func (g *group) anyMedian() time.Duration {
	for _, l := range g.latencies {
		if l.median > 0 {
			return l.median
		}
	}
	return 0
}

// observeStart adds evidence to the slow start of a target, if one is active. The caller
// holds f.mu.
func (f *Fleet) observeStart(t *Target, e startEvidence, at, now time.Time) {
	if !t.start.active() {
		return
	}
	if e == startNormal && f.coldLimited(t, now) {
		// The declared rate limits the target, so its share is not tested.
		e = startBusy
	}
	if e == startNormal && t.start.failed {
		// The cost of the failures would keep the target last in the order of expected
		// times, without requests that lower it.
		t.errorRate = 0
		t.consecutiveFailures = 0
		t.downUntil = time.Time{}
	}
	t.start.add(e, at, now)
	f.endSlowStart(t, now)
}

// coldLimited reports whether a declared rate limits the requests to the target. The
// caller holds f.mu.
func (f *Fleet) coldLimited(t *Target, now time.Time) bool {
	return now.Before(t.coldUntil) && t.group.declared.MaxColdRate() > 0
}

// endSlowStart ends the slow start of a target that takes its whole share. The caller
// holds f.mu.
func (f *Fleet) endSlowStart(t *Target, now time.Time) {
	if !t.start.done() {
		return
	}
	f.addChange(NewTargetChange(t.id, TargetTakesItsShare, now.Sub(t.start.began)))
	t.start = slowStart{}
}

// observeStartRecovery adds the finding of other VMs that a target is healthy. If the latest
// request of this VM got no response, the target is used again, with its share: a trial
// request of this VM would be due only after many seconds. This needs an established sibling,
// since otherwise all VMs would send all requests to the first target that is back. The
// caller holds f.mu.
func (f *Fleet) observeStartRecovery(t *Target, observedAt, now time.Time) {
	if !t.start.failed || observedAt.After(t.lastObservedAt) && f.hasEstablished(t.group, now) {
		f.observeStart(t, startNormal, observedAt, now)
	}
}

// observeStartResponse adds a successful response to the slow start of the lease's target. The
// caller holds l.fleet.mu.
func (l *Lease) observeStartResponse(responseTime, median time.Duration, now time.Time) {
	f, t := l.fleet, l.target
	if !t.start.active() || l.run != t.run || l.sentAt.Before(t.start.began) {
		return
	}
	e := startNormal
	compared := median > 0 && f.hasEstablished(t.group, now)
	switch ratio := float64(responseTime) / float64(max(median, 1)); {
	case compared && ratio > lateSample:
		e = startOverloaded
	case compared && ratio > normalRatio || t.busierThanSiblings(now):
		e = startBusy
	}
	if e == startNormal {
		t.start.normalAt = now
	}
	f.observeStart(t, e, now, now)
}

// observeStartRejection adds a rejection or an error response. The caller holds l.fleet.mu.
func (l *Lease) observeStartRejection(now time.Time) {
	if l.run != l.target.run {
		return
	}
	if l.target.errorRate > errorRateThreshold && l.target.group.load < 1 {
		l.fleet.beginSlowStart(l.target, causeErrors, now)
	}
	l.fleet.observeStart(l.target, startOverloaded, now, now)
}

// observeStartNoResponse adds a request without a response or connection. The caller holds
// l.fleet.mu.
func (l *Lease) observeStartNoResponse(now time.Time) {
	if l.run != l.target.run {
		return
	}
	l.fleet.beginSlowStart(l.target, causeFailed, now)
	l.fleet.observeStart(l.target, startFailed, now, now)
}

// addLoadSample adds the load that a target reported, unless it is in slow start, to the
// mean load of the service's targets.
func (t *Target) addLoadSample(running, waiting int) {
	if t.start.active() {
		return
	}
	load := float64(running+waiting) / float64(max(t.instance.Slots(), 1))
	t.group.load += siblingLoadWeight * (load - t.group.load)
}

// busierThanSiblings reports whether the target's last response reported at least as many
// requests as it has slots, and more for each slot than its siblings do.
func (t *Target) busierThanSiblings(now time.Time) bool {
	load := t.decayedLoad(now) / float64(max(t.instance.Slots(), 1))
	return load >= max(1, t.group.load)
}

// takesRequests reports whether the target is in service and answers this VM. It may be slow:
// the siblings of a target in slow start get more requests and become slower, and are still
// preferred to it. The caller holds f.mu.
func (f *Fleet) takesRequests(t *Target, now time.Time) bool {
	return f.selectable(t, now) && !now.Before(t.downUntil) && t.consecutiveFailures == 0 && !t.stalled(now)
}

// hasEstablished reports whether the service has a target that takes requests and is not in
// slow start. Without one there is nothing to compare response times with. The caller holds
// f.mu.
func (f *Fleet) hasEstablished(g *group, now time.Time) bool {
	for _, t := range g.targets {
		if !t.start.active() && f.takesRequests(t, now) {
			return true
		}
	}
	return false
}

// largestShare returns the largest share of a service's targets, 1 if one of them that takes
// requests is not in slow start. Limits apply in relation to it, so that the targets of a
// service that has no other ones share its requests. It returns 0 if none is in slow
// start. The caller holds f.mu.
func (f *Fleet) largestShare(g *group, now time.Time) float64 {
	starting := false
	largest := 0.0
	for _, t := range g.targets {
		if !t.start.active() {
			continue
		}
		t.start.advance(now)
		f.endSlowStart(t, now)
		starting = starting || t.start.active()
	}
	if !starting {
		return 0
	}
	// A difference of one step between targets in slow start does not matter.
	for _, t := range g.targets {
		switch {
		case !f.takesRequests(t, now):
		case !t.start.active():
			return 1
		default:
			largest = max(largest, t.start.share/growthFactor)
		}
	}
	return largest
}

// admitsStart reports whether a request may go to a target: a trial request that is due, or
// a part of the others that is its share in relation to the largest. The caller holds f.mu.
func (f *Fleet) admitsStart(t *Target, largest float64, now time.Time) bool {
	return !t.start.active() || f.trialDue(t, now) || rand.Float64()*largest < t.start.share
}

// answeredNormally reports whether the target is in slow start and its latest response to this
// VM was normal. The VM reports this, so that the share grows at the other VMs too.
func (t *Target) answeredNormally() bool {
	return t.start.active() && !t.start.normalAt.IsZero() && t.start.normalAt.Equal(t.lastObservedAt)
}
