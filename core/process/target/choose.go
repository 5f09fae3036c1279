package target

import (
	"slices"
	"time"
)

// Choice is the answer to the question which target to use: Chosen, Wait or
// None.
type Choice interface{ choice() }

// Chosen is a target that has been acquired; Settle must follow.
type Chosen struct{ target *Target }

// Wait says that no target has room before the given time.
type Wait struct{ until time.Time }

// None says that no target may be used, with the reason for the answer.
type None struct{ reason NoneReason }

// NoneReason says why no target may be used.
type NoneReason int

// The reasons for having no target.
const (
	// NoUsable: all targets are unknown, leaving, silent or excluded.
	NoUsable NoneReason = iota
	// NoSnapshot: usable targets exist, none holds the snapshot.
	NoSnapshot
)

func (Chosen) choice() {}
func (Wait) choice()   {}
func (None) choice()   {}

// Target returns the acquired target.
func (c Chosen) Target() *Target { return c.target }

// Until returns the earliest time at which a target may have room.
func (w Wait) Until() time.Time { return w.until }

// Reason returns why no target may be used.
func (n None) Reason() NoneReason { return n.reason }

// busyWait is how long to wait for a sub-request of one's own to end.
const busyWait = 2 * time.Millisecond

// Choose acquires the better of two random targets that may be used, hold the
// snapshot and are not excluded. Where neither has room it tries the others,
// from the least busy on. The function pick returns a number below its
// argument; it decides ties and the sample.
func Choose(targets []*Target, snapshot string, excluded []string, pick func(n int) int, now time.Time) Choice {
	candidates := make([]candidate, 0, len(targets))
	reason := NoUsable
	for _, t := range targets {
		if slices.Contains(excluded, t.Name()) {
			continue
		}
		usable, holds, score := t.rate(snapshot, now)
		if usable && !holds {
			reason = NoSnapshot
		}
		if usable && holds {
			candidates = append(candidates, candidate{target: t, score: score})
		}
	}
	if len(candidates) == 0 {
		return None{reason: reason}
	}
	sample(candidates, pick)
	var until time.Time
	for _, c := range candidates {
		ok, at := c.target.acquire(now)
		if ok {
			return Chosen{target: c.target}
		}
		if until.IsZero() || at.Before(until) {
			until = at
		}
	}
	return Wait{until: until}
}

type candidate struct {
	target *Target
	score  float64
}

// sample puts the better of two random candidates first and the rest in order
// of their score.
func sample(candidates []candidate, pick func(n int) int) {
	n := len(candidates)
	if n > 1 {
		first := pick(n)
		candidates[0], candidates[first] = candidates[first], candidates[0]
		second := 1 + pick(n-1)
		if candidates[second].score < candidates[0].score {
			candidates[0], candidates[second] = candidates[second], candidates[0]
		}
	}
	// Insertion sort: a service has few leafs and the first stays in place.
	for i := 2; i < n; i++ {
		for j := i; j > 1 && candidates[j].score < candidates[j-1].score; j-- {
			candidates[j], candidates[j-1] = candidates[j-1], candidates[j]
		}
	}
}

func (t *Target) rate(snapshot string, now time.Time) (usable, holds bool, score float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.usable() {
		return false, false, 0
	}
	return true, t.holds(snapshot), t.score(now)
}

// full reports whether the leaf said, lately, that requests queue up in it. A
// longer queue there serves nobody sooner; what waits here can still go
// elsewhere. The caller holds the lock.
func (t *Target) full(now time.Time) bool {
	return t.load >= maxLoadPerSlot*float64(t.slots) && now.Sub(t.loadAt) < loadHalfLife
}

// acquire takes a place at the target: one of this VM's connections and, while
// the target is not warm, a token of its ramp.
func (t *Target) acquire(now time.Time) (ok bool, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.usable() {
		return false, now.Add(busyWait)
	}
	if t.inFlight >= t.pool.MaxConnections() || t.inFlight > 0 && t.full(now) {
		return false, now.Add(busyWait)
	}
	if t.state != Warm {
		if ok, at = t.ramp.take(now); !ok {
			return false, at
		}
	}
	t.inFlight++
	return true, now
}
