package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

const (
	// slowdownWeight is the weight of a new sample in a target's slowdown.
	slowdownWeight = 0.35
	// maxSlowdownSample bounds one sample, so that a target that was very slow
	// needs few good responses to count as healthy again.
	maxSlowdownSample = 4.0
	// lateSample is the response time, divided by the median, above which a
	// response is reported to the other VMs as late.
	lateSample = 2.5
	// suspicionDecayTime is the time constant with which the slowdown from a
	// single late response decays exponentially.
	suspicionDecayTime = 500 * time.Millisecond
	// maxSlowGap is the longest time between two slow responses of one series.
	// Pauses of a target are further apart.
	maxSlowGap = 2 * time.Second
	// slowThreshold is the slowdown above which a target gets only trial
	// requests while other targets of the service have capacity left.
	slowThreshold = 1.6
	// coldSlowdown is the initial slowdown of a target that has just started. It
	// raises the target's expected time, but does not exceed slowThreshold, so
	// that the target still counts as healthy.
	coldSlowdown = 1.6
	// errorWeight is the weight of a new outcome in a target's error rate.
	errorWeight = 0.25
	// errorRateThreshold is the error rate above which a target gets only trial
	// requests while other targets of the service have capacity left.
	errorRateThreshold = 0.3
	// trialInterval is the time within which about trialsPerInterval VMs send a
	// trial request to an avoided target. It is also the minimum time between
	// two trial requests of one VM to the same target.
	trialInterval = 700 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff after a target
	// gave no response or no connection.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// stalledAfter is how long a request must be overdue before its target
	// counts as stalled. Targets pause for up to 120 ms, so this is longer.
	stalledAfter = 150 * time.Millisecond
	// overLimitBackoff is the minimum backoff after a target reset a new
	// connection, and also the maximum random addition to it, so that the VMs
	// don't all return at the same time.
	overLimitBackoff = time.Second
	// loadDecayTime is the time constant with which a reported load decays
	// exponentially.
	loadDecayTime = 40 * time.Millisecond
)

// Target is one instance of a service with its state as observed by this VM. It
// is guarded by Fleet.mu.
type Target struct {
	// id never changes, so that it can be read without Fleet.mu.
	id       string
	instance discovery.Instance
	group    *group
	// rank is the preference of this VM for the target among those of the
	// service; the highest is preferred.
	rank   uint64
	listed bool
	// departure is what is known of the end of the current run, and run counts the
	// runs of the target that this VM has seen.
	departure departure
	run       int
	// waitUntil is when the target wants requests from this VM again, and resumes is
	// set until one has succeeded after that.
	waitUntil time.Time
	resumes   bool
	// coldUntil is when the target stops being cold, zero if it never was.
	coldUntil time.Time

	inFlight map[*Lease]struct{}
	// slowdown is the moving average of the target's response times, each
	// divided by the service's median for that kind of request; 1 is average
	// and higher is slower.
	slowdown float64
	// slowSince is when the first of the latest responses that were all slow
	// arrived, zero if the last response was not slow.
	slowSince time.Time
	// errorRate is the moving average of failed outcomes, from 0 to 1.
	errorRate float64
	// lastSentAt is when a request was last sent. TakeFindings sets it to a
	// random earlier time to schedule the next trial request.
	lastSentAt time.Time
	// lastObservedAt is when the outcome of a request of this VM last indicated
	// how healthy the target is.
	lastObservedAt time.Time
	peerReport     peerFinding
	// downUntil is the end of the backoff after no response or no connection.
	downUntil time.Time
	// consecutiveFailures counts the requests without a response or connection
	// since a response time was last recorded: that of a successful response or
	// of an abandoned overdue request.
	consecutiveFailures int
	// overLimitUntil is the end of the backoff after the target reset a new
	// connection.
	overLimitUntil time.Time
	// reportedLoad is the number of running and queued requests that the target
	// last reported, without those in flight from this VM.
	reportedLoad   float64
	reportedLoadAt time.Time
	slowness       slowness
	sharedSlowness sharedSlowness
	// openUntil is until when a connection of this VM to the target is probably open.
	openUntil time.Time
	// sends counts the requests of this VM for the limit on cold targets, also while
	// the target is not cold.
	sends coldSends
	// start limits the requests after the target has started or failed.
	start slowStart
}

// ID returns the id of the target's instance.
func (t *Target) ID() string { return t.id }

// newTarget returns a target without history, apart from the departure of a run that
// was seen before. readAt is when the list was read.
func newTarget(i discovery.Instance, g *group, d departure, readAt, now time.Time) *Target {
	t := &Target{id: i.ID(), group: g, rank: rendezvousRank(g.fleet.vm, i.ID()), inFlight: make(map[*Lease]struct{}), slowdown: 1, departure: d}
	t.update(i, readAt, time.Time{}, now)
	return t
}

// update applies the state of the instance in a list that was read at readAt. The list
// before was read at previousReadAt, which is zero for a target that was not in it.
func (t *Target) update(i discovery.Instance, readAt, previousReadAt, now time.Time) {
	newlyListed := !t.listed
	t.instance = i
	t.listed = true
	departed := t.departure.known()
	t.departure = t.departure.afterListing(i.Leaving(), readAt, previousReadAt, t.group.fleet.times)
	switch {
	case !departed && t.departure.known():
		t.group.fleet.addChange(NewTargetChange(t.id, TargetLeaves, 0))
	case departed && !t.departure.known():
		t.group.fleet.addChange(NewTargetChange(t.id, TargetReturns, 0))
		t.startRun()
		newlyListed = true
		t.group.fleet.beginAfterListing(t, causeNewRun, now)
	case newlyListed:
		t.group.fleet.beginAfterListing(t, causeListed, now)
	}
	if i.ColdFor() > 0 {
		if !now.Before(t.coldUntil) {
			t.group.fleet.beginAfterListing(t, causeCold, now)
		}
		if newlyListed {
			t.slowdown = coldSlowdown
		}
		t.coldUntil = now.Add(i.ColdFor())
	}
}

// startRun forgets what was observed of the previous run of the target.
func (t *Target) startRun() {
	t.run++
	t.waitUntil = time.Time{}
	t.resumes = false
	t.slowdown = 1
	t.slowSince = time.Time{}
	t.errorRate = 0
	t.lastObservedAt = time.Time{}
	t.peerReport = peerFinding{}
	t.downUntil = time.Time{}
	t.consecutiveFailures = 0
	t.reportedLoadAt = time.Time{}
	t.slowness = slowness{}
	t.sharedSlowness = sharedSlowness{}
	t.openUntil = time.Time{}
	t.start = slowStart{}
}

// overdue reports whether this VM has a request in flight at the target whose
// response has not begun by the overdueAt of its lease.
func (t *Target) overdue(now time.Time) bool {
	for l := range t.inFlight {
		if !l.overdueAt.IsZero() && now.After(l.overdueAt) {
			return true
		}
	}
	return false
}

// stalled reports whether a request in flight has been overdue for longer than
// a pause of the target can explain.
func (t *Target) stalled(now time.Time) bool { return t.overdue(now.Add(-stalledAfter)) }

// decayedLoad returns the last reported load of other callers, decayed by its
// age, 0 if none was reported.
func (t *Target) decayedLoad(now time.Time) float64 {
	if t.reportedLoadAt.IsZero() {
		return 0
	}
	return t.reportedLoad * math.Exp(-float64(now.Sub(t.reportedLoadAt))/float64(loadDecayTime))
}

// setReportedLoad stores the load that a response reported: the number of
// requests, from all callers, that the target runs and those in its queue.
func (t *Target) setReportedLoad(running, waiting int, now time.Time) {
	t.reportedLoad = max(0, float64(running+waiting-len(t.inFlight)))
	t.reportedLoadAt = now
	t.addLoadSample(running, waiting)
}

// recordResponse updates the target's health with a response time. The median
// is that of the service for this kind of request. If it is 0, which means
// unknown, the slowdown stays as it is. It reports whether the response was late.
//
// Slow responses that a single pause of the target can explain do not raise the
// slowdown above slowThreshold. For example, after one response that took 130 ms
// instead of 10 ms the slowdown is 1.6, so that the next requests go to other
// targets, and half a second later 1.2. The caller sets lastObservedAt afterwards.
func (t *Target) recordResponse(responseTime, median time.Duration, now time.Time) (late bool) {
	t.consecutiveFailures = 0
	t.downUntil = time.Time{}
	t.errorRate *= 1 - errorWeight
	if median <= 0 {
		return false
	}
	sample := min(float64(responseTime)/float64(median), maxSlowdownSample)
	wasSlow := t.slowdown > slowThreshold
	if wasSlow && sample < slowThreshold {
		// One normal response to a trial request is enough to use a slow target
		// again.
		t.slowdown = sample
		t.slowSince = time.Time{}
		return false
	}
	t.slowdown = t.currentSlowdown(now) + slowdownWeight*(sample-t.currentSlowdown(now))
	switch {
	case sample <= slowThreshold:
		t.slowSince = time.Time{}
	case t.slowSince.IsZero() || now.Sub(t.lastObservedAt) > maxSlowGap:
		t.slowSince = now
	}
	paused := now.Sub(t.slowSince) < stalledAfter && responseTime-median < stalledAfter
	if !wasSlow && paused {
		t.slowdown = min(t.slowdown, slowThreshold)
	}
	return sample > lateSample
}

// currentSlowdown returns the slowdown. While the last responses were slow but may
// all have been delayed by one pause, it decays.
func (t *Target) currentSlowdown(now time.Time) float64 {
	if t.slowSince.IsZero() || t.slowdown > slowThreshold || t.slowdown <= 1 {
		return t.slowdown
	}
	return 1 + (t.slowdown-1)*math.Exp(-float64(now.Sub(t.lastObservedAt))/float64(suspicionDecayTime))
}

// recordError records an error response or a refused request.
func (t *Target) recordError() {
	t.errorRate += errorWeight * (1 - t.errorRate)
}

// recordNoResponse records that no response was received or no connection was
// established, and starts a backoff that doubles, up to maxBackoff, with each
// such failure since recordResponse was last called.
func (t *Target) recordNoResponse(now time.Time) {
	t.recordError()
	t.consecutiveFailures++
	backoff := min(minBackoff<<min(t.consecutiveFailures-1, 8), maxBackoff)
	t.downUntil = now.Add(backoff)
}

// recordPeerRecovery lowers the slowdown and error rate of a target, so that
// they no longer count as unhealthy, after other VMs found it healthy more
// recently than this VM observed it. On its own this VM would send it a trial
// request only after many seconds. Conditions that affect only this VM, such as
// a connection that the target does not accept, are kept.
func (t *Target) recordPeerRecovery() {
	t.errorRate = min(t.errorRate, errorRateThreshold/2)
	t.slowdown = min(t.slowdown, 1)
}

// recordOverLimit starts a backoff after the target reset a new connection
// because it is at its connection limit. This does not indicate how the target
// performs for VMs that have a connection.
func (t *Target) recordOverLimit(now time.Time) {
	t.overLimitUntil = now.Add(overLimitBackoff + time.Duration(rand.Int64N(int64(overLimitBackoff))))
}

// hasCapacity reports whether this VM may have another request in flight at the
// target.
func (t *Target) hasCapacity(now time.Time) bool {
	limit := t.group.maxInFlight(t, now)
	if t.resuming(now) {
		limit = min(limit, 1)
	}
	return len(t.inFlight) < limit
}
