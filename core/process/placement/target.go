package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

const (
	// speedWeight is the weight of a new observation of a target's speed.
	slowdownWeight = 0.35
	// mostRatio bounds one observation, so that a single pause does not pass
	// for a slow target.
	maxSlowdownSample = 4.0
	// slowSpeed is the speed, against the service's median, from which on
	// a target gets nothing but trials while its siblings have room.
	slowThreshold = 1.6
	// coldSpeed is what is assumed of a target that has just started.
	coldSlowdown = 1.6
	// errorWeight is the weight of a new outcome in the share of failures.
	errorWeight = 0.25
	// manyErrors is the share of failures from which on a target gets nothing
	// but trials while its siblings have room.
	errorRateThreshold = 0.3
	// trialInterval is the time between two trials of a target that is
	// avoided.
	trialInterval = 700 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a target did not answer
	// at all.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// stuckAfter is how long after it became overdue a request shows that its
	// target is slow or silent: targets pause for up to 120 ms.
	stalledAfter = 150 * time.Millisecond
	// overLimitPause is the least pause after a target took no connection, and the
	// span over which VMs spread beyond it, so that they don't return together.
	overLimitBackoff = time.Second
	// loadFades is the time after which a told load has lost most of its
	// meaning.
	loadDecayTime = 40 * time.Millisecond
)

// Target is one instance as this VM knows it. The fleet's lock guards it.
type Target struct {
	instance discovery.Instance
	group    *group
	// rank orders the targets of the service for this VM.
	rank      uint64
	listed    bool
	leaving   bool
	coldUntil time.Time

	inFlight map[*Lease]struct{}
	// speed is the response time against the service's median.
	slowdown  float64
	errorRate float64
	// triedAt is when a request was last sent.
	lastSentAt time.Time
	// seenAt is when a request from here last showed how the target does.
	lastObservedAt time.Time
	peerReport     peerFinding
	// downTill is the end of the pause after silence or a refused connection.
	downUntil           time.Time
	consecutiveFailures int
	// overLimitTill is the end of the pause after the target took no connection.
	overLimitUntil time.Time
	// load is what the target last told, less what this VM had there.
	reportedLoad   float64
	reportedLoadAt time.Time
	// coldSecond and coldSent count the sends of the present second.
	coldSecond int64
	coldSends  int
}

// Instance returns the instance as the list last named it.
func (t *Target) Instance() discovery.Instance { return t.instance }

func newTarget(i discovery.Instance, g *group, now time.Time) *Target {
	t := &Target{group: g, rank: rendezvousRank(g.fleet.vm, i.ID()), inFlight: make(map[*Lease]struct{}), slowdown: 1}
	t.update(i, now)
	return t
}

// update takes over what the list says. A target that was seen leaving stays
// so: a list that is older than the news must not bring it back.
func (t *Target) update(i discovery.Instance, now time.Time) {
	newlyListed := !t.listed
	t.instance = i
	t.listed = true
	t.leaving = t.leaving || i.Leaving()
	if i.ColdFor() > 0 {
		if newlyListed {
			t.slowdown = coldSlowdown
		}
		t.coldUntil = now.Add(i.ColdFor())
	}
}

// overdue reports whether a request sent from here should have been answered.
func (t *Target) overdue(now time.Time) bool {
	for l := range t.inFlight {
		if !l.overdueAt.IsZero() && now.After(l.overdueAt) {
			return true
		}
	}
	return false
}

// stuck reports whether a request sent from here is overdue for so long that
// the target does not just pause.
func (t *Target) stalled(now time.Time) bool { return t.overdue(now.Add(-stalledAfter)) }

// othersLoad returns what is left of the load that the target last told.
func (t *Target) decayedLoad(now time.Time) float64 {
	if t.reportedLoadAt.IsZero() {
		return 0
	}
	return t.reportedLoad * math.Exp(-float64(now.Sub(t.reportedLoadAt))/float64(loadDecayTime))
}

// tellLoad takes in the load that a response told: requests that run and wait
// at the target, of all callers.
func (t *Target) setReportedLoad(running, waiting int, now time.Time) {
	t.reportedLoad = max(0, float64(running+waiting-len(t.inFlight)))
	t.reportedLoadAt = now
}

// succeeded takes in a response time.
func (t *Target) recordResponse(responseTime, median time.Duration) {
	t.consecutiveFailures = 0
	t.downUntil = time.Time{}
	t.errorRate *= 1 - errorWeight
	if median <= 0 {
		return
	}
	sample := min(float64(responseTime)/float64(median), maxSlowdownSample)
	if t.slowdown > slowThreshold && sample < slowThreshold {
		// A good trial ends the avoidance at once.
		t.slowdown = sample
		return
	}
	t.slowdown += slowdownWeight * (sample - t.slowdown)
}

// failed takes in a response that is of no use, or a refusal.
func (t *Target) recordError() {
	t.errorRate += errorWeight * (1 - t.errorRate)
}

// silent takes in that nothing came back, or no connection.
func (t *Target) recordNoResponse(now time.Time) {
	t.recordError()
	t.consecutiveFailures++
	backoff := min(minBackoff<<min(t.consecutiveFailures-1, 8), maxBackoff)
	t.downUntil = now.Add(backoff)
}

// recovered takes in that others found the target well after it last did badly
// for this VM, which would try it again only after many seconds.
// What keeps this VM alone from the target, as a connection that it does not
// take, is no matter of others.
func (t *Target) recordPeerRecovery() {
	t.errorRate = min(t.errorRate, errorRateThreshold/2)
	t.slowdown = min(t.slowdown, 1)
}

// overLimit takes in that the target reset a new connection: it has as many as
// it takes. That says nothing of how it does for VMs that have one.
func (t *Target) recordOverLimit(now time.Time) {
	t.overLimitUntil = now.Add(overLimitBackoff + time.Duration(rand.Int64N(int64(overLimitBackoff))))
}

// room reports whether the share of this VM leaves room for one more.
func (t *Target) hasRoom(now time.Time) bool {
	return len(t.inFlight) < t.group.maxInFlight(t, now)
}

// coldRoom reports whether a cold target may get one more in this second.
func (t *Target) hasColdRoom(now time.Time) bool {
	limit := t.group.coldLimit()
	if limit < 0 || !now.Before(t.coldUntil) {
		return true
	}
	return t.coldSecond != now.Unix() || t.coldSends < limit
}

func (t *Target) countColdSend(now time.Time) {
	if t.coldSecond != now.Unix() {
		t.coldSecond = now.Unix()
		t.coldSends = 0
	}
	t.coldSends++
}
