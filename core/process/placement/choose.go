package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// unknownTime is assumed for a request of which nothing is known.
	unknownTime = 20 * time.Millisecond
	// distance is what a target of another data centre costs in addition: the
	// way there and back, and the bytes between data centres.
	distance = 6 * time.Millisecond
	// spread is the part of the expected time by which equals are mixed, so
	// that VMs do not all turn to the same target.
	spread = 0.15
	// errorCost is what a certain failure costs: the time for another try.
	errorCost = 60 * time.Millisecond
)

// standing says how a target compares with its siblings before time counts.
type standing int

const (
	// sound targets are chosen by their expected time.
	sound standing = iota
	// doubtful targets are slow or fail often; they come after sound ones.
	doubtful
	// suspect targets have a request from here that is overdue.
	suspect
	// down targets did not answer or refused the connection a moment ago.
	down
	// barred targets may get nothing: they leave, are out of service or full.
	barred
)

// standing judges a target. With a service in which one of three targets
// pauses, its overdue request makes it suspect and the others take over.
func (f *Fleet) standing(t *Target, now time.Time) standing {
	switch {
	case !t.listed || t.leaving || f.out[t.instance.DataCentre()]:
		return barred
	case !t.room(now) || !t.coldRoom(now):
		return barred
	case f.cut(t.instance.DataCentre()) && !f.trialDue(t, now):
		return barred
	case f.cut(t.instance.DataCentre()) || now.Before(t.downTill) || now.Before(t.overLimitTill):
		return down
	case t.overdue(now):
		return suspect
	case f.trialDue(t, now):
		return sound
	case t.failures > 0:
		return suspect
	case t.bad(now) || t.toldBad(now):
		return doubtful
	}
	return sound
}

// expected returns the time after which a request sent now should be answered,
// with what a likely failure would cost.
func (f *Fleet) expected(t, preferred *Target, median time.Duration, now time.Time) time.Duration {
	if median <= 0 {
		median = unknownTime
	}
	speed := t.speed
	if f.trialDue(t, now) {
		speed = min(speed, 1)
	}
	run := time.Duration(float64(median) * speed)
	slots := max(t.instance.Slots(), 1)
	load := float64(len(t.inFlight)) + t.othersLoad(now)
	if over := load - float64(slots) + 1; over > 0 {
		run += time.Duration(float64(run) * over / float64(slots))
	}
	run += time.Duration(t.errors * float64(errorCost))
	if t != preferred && t.instance.DataCentre() != f.centre {
		run += distance
	}
	return time.Duration(float64(run) * (1 + spread*rand.Float64()))
}

// choose returns the target for a request, or nil where none has room. Those
// that the request was sent to before are left out.
func (f *Fleet) choose(g *group, kind string, avoid []*Target, now time.Time) *Target {
	median := g.latency(kind).median
	preferred := f.preferred(g)
	var best *Target
	bestStanding := barred
	var bestTime time.Duration
	for _, t := range g.targets {
		if contains(avoid, t) {
			continue
		}
		s := f.standing(t, now)
		if s == barred || s > bestStanding {
			continue
		}
		expected := f.expected(t, preferred, median, now)
		if s < bestStanding || expected < bestTime {
			best = t
			bestStanding = s
			bestTime = expected
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
