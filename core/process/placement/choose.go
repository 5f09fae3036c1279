package placement

import (
	"hash/fnv"
	"math/bits"
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
	// spareIdle is how long a connection is kept idle to a target that this VM
	// does not prefer, where connections are scarce.
	spareIdle = 2 * time.Second
	// rankMix is an odd number that spreads a hash over all its bits.
	rankMix = 0x9E3779B97F4A7C15
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
	case !t.listed || t.leaving || f.out[t.instance.Centre()]:
		return barred
	case !t.room(now) || !t.coldRoom(now):
		return barred
	case f.cut(t.instance.Centre()) && !f.trialDue(t, now):
		return barred
	case f.cut(t.instance.Centre()) || now.Before(t.downTill) || now.Before(t.crowdedTill):
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
func (f *Fleet) expected(t, home *Target, median time.Duration, now time.Time) time.Duration {
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
	if t != home && t.instance.Centre() != f.centre {
		run += distance
	}
	return time.Duration(float64(run) * (1 + spread*rand.Float64()))
}

// home returns the target that this VM prefers where the service has none in
// its data centre, nil where it has. Each VM then keeps a connection to one of
// them and learns how it does, instead of to all: with 76 VMs and three targets
// of 70 connections each, not every VM can have one to each.
func (f *Fleet) home(g *group) *Target {
	var best *Target
	for _, t := range g.targets {
		switch {
		case t.leaving || f.out[t.instance.Centre()] || f.cut(t.instance.Centre()):
		case t.instance.Centre() == f.centre:
			return nil
		case best == nil || t.rank > best.rank:
			best = t
		}
	}
	return best
}

// idle returns how long a connection to a target is worth keeping idle. Where
// the targets take less than two connections from each VM, only those to the
// preferred ones are kept: they leave room for VMs that start while targets
// still hold the connections of the processes before.
//
// For example, 76 VMs and three targets of a shard that take 70 connections
// each: 26 VMs prefer each of them, and a hedge now and then adds some for
// seconds.
func (f *Fleet) idle(g *group, t *Target) time.Duration {
	switch {
	case g.declared.MaxConnections() <= 0 || g.declared.MaxConnections() >= 2*f.entryVMs:
		return 0
	case t.instance.Centre() == f.centre || t == f.home(g):
		return 0
	}
	return spareIdle
}

// rankOf orders the targets of a service for a VM, for each VM in another way.
func rankOf(vm, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(vm))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	// The last bytes alone change the low bits only.
	sum := h.Sum64()
	return bits.RotateLeft64(sum*rankMix, 32) * rankMix
}

// choose returns the target for a request, or nil where none has room. Those
// that the request was sent to before are left out.
func (f *Fleet) choose(g *group, kind string, avoid []*Target, now time.Time) *Target {
	median := g.latency(kind).median
	home := f.home(g)
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
		expected := f.expected(t, home, median, now)
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
