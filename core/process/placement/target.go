package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

const (
	// speedWeight is the weight of a new observation of a target's speed.
	speedWeight = 0.35
	// mostRatio bounds one observation, so that a single pause does not pass
	// for a slow target.
	mostRatio = 4.0
	// slowSpeed is the speed, against the service's median, from which on
	// a target gets nothing but trials while its siblings have room.
	slowSpeed = 1.6
	// coldSpeed is what is assumed of a target that has just started.
	coldSpeed = 1.6
	// errorWeight is the weight of a new outcome in the share of failures.
	errorWeight = 0.25
	// manyErrors is the share of failures from which on a target gets nothing
	// but trials while its siblings have room.
	manyErrors = 0.3
	// trialInterval is the time between two trials of a target that is
	// avoided.
	trialInterval = 700 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a target did not answer
	// at all.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// stuckAfter is how long after it became overdue a request shows that its
	// target is slow or silent: targets pause for up to 120 ms.
	stuckAfter = 150 * time.Millisecond
	// overLimitPause is the least pause after a target took no connection, and the
	// span over which VMs spread beyond it, so that they don't return together.
	overLimitPause = time.Second
	// loadFades is the time after which a told load has lost most of its
	// meaning.
	loadFades = 40 * time.Millisecond
)

// Target is one instance as this VM knows it. The fleet's lock guards it.
type Target struct {
	instance discovery.Instance
	group    *group
	// rank orders the targets of the service for this VM.
	rank     uint64
	listed   bool
	leaving  bool
	coldTill time.Time

	inFlight map[*Lease]struct{}
	// speed is the response time against the service's median.
	speed  float64
	errors float64
	// triedAt is when a request was last sent.
	triedAt time.Time
	// seenAt is when a request from here last showed how the target does.
	seenAt time.Time
	told   told
	// downTill is the end of the pause after silence or a refused connection.
	downTill time.Time
	failures int
	// overLimitTill is the end of the pause after the target took no connection.
	overLimitTill time.Time
	// load is what the target last told, less what this VM had there.
	load   float64
	loadAt time.Time
	// coldSecond and coldSent count the sends of the present second.
	coldSecond int64
	coldSent   int
}

// Instance returns the instance as the list last named it.
func (t *Target) Instance() discovery.Instance { return t.instance }

func newTarget(i discovery.Instance, g *group, now time.Time) *Target {
	t := &Target{group: g, rank: rankOf(g.fleet.vm, i.ID()), inFlight: make(map[*Lease]struct{}), speed: 1}
	t.update(i, now)
	return t
}

// update takes over what the list says. A target that was seen leaving stays
// so: a list that is older than the news must not bring it back.
func (t *Target) update(i discovery.Instance, now time.Time) {
	first := !t.listed
	t.instance = i
	t.listed = true
	t.leaving = t.leaving || i.Leaving()
	if i.ColdFor() > 0 {
		if first {
			t.speed = coldSpeed
		}
		t.coldTill = now.Add(i.ColdFor())
	}
}

// overdue reports whether a request sent from here should have been answered.
func (t *Target) overdue(now time.Time) bool {
	for l := range t.inFlight {
		if !l.lateAt.IsZero() && now.After(l.lateAt) {
			return true
		}
	}
	return false
}

// stuck reports whether a request sent from here is overdue for so long that
// the target does not just pause.
func (t *Target) stuck(now time.Time) bool { return t.overdue(now.Add(-stuckAfter)) }

// othersLoad returns what is left of the load that the target last told.
func (t *Target) othersLoad(now time.Time) float64 {
	if t.loadAt.IsZero() {
		return 0
	}
	return t.load * math.Exp(-float64(now.Sub(t.loadAt))/float64(loadFades))
}

// tellLoad takes in the load that a response told: requests that run and wait
// at the target, of all callers.
func (t *Target) tellLoad(running, waiting int, now time.Time) {
	t.load = max(0, float64(running+waiting-len(t.inFlight)))
	t.loadAt = now
}

// succeeded takes in a response time.
func (t *Target) succeeded(took, median time.Duration) {
	t.failures = 0
	t.downTill = time.Time{}
	t.errors *= 1 - errorWeight
	if median <= 0 {
		return
	}
	ratio := min(float64(took)/float64(median), mostRatio)
	if t.speed > slowSpeed && ratio < slowSpeed {
		// A good trial ends the avoidance at once.
		t.speed = ratio
		return
	}
	t.speed += speedWeight * (ratio - t.speed)
}

// failed takes in a response that is of no use, or a refusal.
func (t *Target) failed() {
	t.errors += errorWeight * (1 - t.errors)
}

// silent takes in that nothing came back, or no connection.
func (t *Target) silent(now time.Time) {
	t.failed()
	t.failures++
	pause := min(minBackoff<<min(t.failures-1, 8), maxBackoff)
	t.downTill = now.Add(pause)
}

// recovered takes in that others found the target well after it last did badly
// for this VM, which would try it again only after many seconds.
// What keeps this VM alone from the target, as a connection that it does not
// take, is no matter of others.
func (t *Target) recovered() {
	t.errors = min(t.errors, manyErrors/2)
	t.speed = min(t.speed, 1)
}

// overLimit takes in that the target reset a new connection: it has as many as
// it takes. That says nothing of how it does for VMs that have one.
func (t *Target) overLimit(now time.Time) {
	t.overLimitTill = now.Add(overLimitPause + time.Duration(rand.Int64N(int64(overLimitPause))))
}

// room reports whether the share of this VM leaves room for one more.
func (t *Target) room(now time.Time) bool {
	return len(t.inFlight) < t.group.perTarget(t, now)
}

// coldRoom reports whether a cold target may get one more in this second.
func (t *Target) coldRoom(now time.Time) bool {
	limit := t.group.coldLimit()
	if limit < 0 || !now.Before(t.coldTill) {
		return true
	}
	return t.coldSecond != now.Unix() || t.coldSent < limit
}

func (t *Target) countCold(now time.Time) {
	if t.coldSecond != now.Unix() {
		t.coldSecond = now.Unix()
		t.coldSent = 0
	}
	t.coldSent++
}
