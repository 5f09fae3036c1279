package target

import (
	"slices"
	"time"
)

// Choice is the result of Choose. It is a Chosen, a Wait or a None.
type Choice interface{ choice() }

// Chosen holds the target on which Choose acquired capacity for one
// sub-request. RecordOutcome must be called on the target to release the
// capacity.
type Chosen struct{ target *Target }

// Wait means that no target has capacity now, and holds the time at which
// Choose should be called again.
type Wait struct{ until time.Time }

// None means that no target may be used, and holds the reason.
type None struct{ reason NoneReason }

// NoneReason is the reason why no target may be used.
type NoneReason int

// The values of NoneReason.
const (
	// NoUsable: every target is unknown, leaving, gone, suspected to be down,
	// excluded, or in a data centre that is out of service or unreachable.
	NoUsable NoneReason = iota
	// NoSnapshot: there are usable targets, but none holds the snapshot.
	NoSnapshot
)

func (Chosen) choice() {}
func (Wait) choice()   {}
func (None) choice()   {}

// Target returns the acquired target.
func (c Chosen) Target() *Target { return c.target }

// Until returns the earliest time at which a target may have capacity.
func (w Wait) Until() time.Time { return w.until }

// Reason returns why no target may be used.
func (n None) Reason() NoneReason { return n.reason }

// retryDelay is the wait before the next attempt to acquire a target that is
// full, has no connection of this VM's share left or has become unusable. By
// then a running sub-request of this VM may have ended.
const retryDelay = 2 * time.Millisecond

// Choose acquires capacity on the less loaded of two random targets that are
// usable, may hold the snapshot and are not excluded. If that target has no
// capacity, the remaining ones are tried in order of increasing load. Choose
// returns Wait if none of them has capacity, and None if no target qualifies.
//
// An empty snapshot matches any snapshot, excluded holds names of targets, and
// randIntN returns a random number in [0, n).
func Choose(targets []*Target, snapshot string, excluded []string, randIntN func(n int) int, now time.Time) Choice {
	candidates := make([]candidate, 0, len(targets))
	reason := NoUsable
	for _, t := range targets {
		if slices.Contains(excluded, t.Name()) {
			continue
		}
		usable, mayHold, loadScore := t.evaluate(snapshot, now)
		if usable && !mayHold {
			reason = NoSnapshot
		}
		if usable && mayHold {
			candidates = append(candidates, candidate{target: t, loadScore: loadScore})
		}
	}
	if len(candidates) == 0 {
		return None{reason: reason}
	}
	sortCandidates(candidates, randIntN)
	var earliestRetry time.Time
	for _, c := range candidates {
		ok, retryAt := c.target.acquire(now)
		if ok {
			return Chosen{target: c.target}
		}
		if earliestRetry.IsZero() || retryAt.Before(earliestRetry) {
			earliestRetry = retryAt
		}
	}
	return Wait{until: earliestRetry}
}

type candidate struct {
	target    *Target
	loadScore float64
}

// sortCandidates puts the less loaded of two random candidates first and sorts
// the remaining ones by load score.
func sortCandidates(candidates []candidate, randIntN func(n int) int) {
	n := len(candidates)
	if n > 1 {
		first := randIntN(n)
		candidates[0], candidates[first] = candidates[first], candidates[0]
		second := 1 + randIntN(n-1)
		if candidates[second].loadScore < candidates[0].loadScore {
			candidates[0], candidates[second] = candidates[second], candidates[0]
		}
	}
	// Insertion sort, because a service has few leafs. The first candidate
	// stays in place.
	for i := 2; i < n; i++ {
		for j := i; j > 1 && candidates[j].loadScore < candidates[j-1].loadScore; j-- {
			candidates[j], candidates[j-1] = candidates[j-1], candidates[j]
		}
	}
}

// evaluate reports whether the target may receive queries and may hold the
// snapshot, and returns its load score. For a target that is not usable the
// other two results are false and 0.
func (t *Target) evaluate(snapshot string, now time.Time) (usable, mayHold bool, loadScore float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.usable() {
		return false, false, 0
	}
	return true, t.mayHold(snapshot), t.loadScore(now)
}

// full reports whether the leaf reported within the last loadHalfLife a load of
// at least maxLoadPerSlot requests per slot, which means that requests are
// queuing in it. A longer queue there makes no request finish sooner, while a
// request that waits in this VM can still be sent to another leaf. The caller
// holds the lock.
func (t *Target) full(now time.Time) bool {
	return t.reportedLoad >= maxLoadPerSlot*float64(t.slots) && now.Sub(t.loadReportedAt) < loadHalfLife
}

// acquire reserves capacity for one sub-request: one of this VM's connections
// and, unless the target is warm, one send from its allowance. It fails if
// either is used up, if the target is not usable, or if the leaf is full and
// already runs a sub-request of this VM. If acquire fails, retryAt is when to
// retry; otherwise it is now.
func (t *Target) acquire(now time.Time) (ok bool, retryAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.usable() {
		return false, now.Add(retryDelay)
	}
	if t.inFlight >= t.pool.MaxConnections() || t.inFlight > 0 && t.full(now) {
		return false, now.Add(retryDelay)
	}
	if t.state != Warm {
		if ok, retryAt = t.ramp.take(now); !ok {
			return false, retryAt
		}
	}
	t.inFlight++
	return true, now
}
