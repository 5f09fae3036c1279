package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// returnJitter is the largest part of a wait that is added to it at random, at most
	// maxReturnJitter, so that the VMs don't return to a target together.
	returnJitter    = 0.25
	maxReturnJitter = time.Second
)

// waiting reports whether the target has asked this VM to send nothing until later.
func (t *Target) waiting(now time.Time) bool { return now.Before(t.waitUntil) }

// resuming reports whether no request has succeeded since the target last asked this VM
// to wait. It then gets one request at a time.
func (t *Target) resuming(now time.Time) bool { return t.resumes && !t.waiting(now) }

// recordWait records that the target wants no request from this VM for a time. The wait of
// a request that was sent before does not shorten a longer one.
func (t *Target) recordWait(wait time.Duration, now time.Time) {
	jitter := min(time.Duration(returnJitter*float64(wait)), maxReturnJitter)
	until := now.Add(wait + time.Duration(rand.Int64N(int64(jitter)+1)))
	if until.After(t.waitUntil) {
		t.waitUntil = until
	}
	t.resumes = true
}

// RefusedFor ends a lease whose request the target refused together with all others of
// this VM for a time. It says nothing about other VMs, so it is no sign of bad health.
func (l *Lease) RefusedFor(wait time.Duration, now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if l.run == l.target.run {
		if !l.target.waiting(now) {
			l.fleet.addChange(NewTargetChange(l.target.id, TargetWaits, wait))
		}
		l.target.recordWait(wait, now)
	}
	l.countFailure()
	l.release(now)
}

// UntilUsable returns the time until at least the given number of the services have a
// target to which requests may be sent, if that is only a matter of waiting for targets
// that want no requests for a time. It returns 0 if they have one now, and false if it is
// not known when they will.
func (f *Fleet) UntilUsable(services []string, number int, now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var waits []time.Duration
	for _, s := range services {
		if wait, ok := f.untilSelectable(f.group(s), now); ok {
			waits = append(waits, wait)
		}
	}
	if len(waits) < number || number <= 0 {
		return 0, number <= 0
	}
	slices.Sort(waits)
	return waits[number-1], true
}

// untilSelectable returns the shortest time until a target of the service is selectable,
// or false if all of them are leaving, out of service or unreachable. The caller holds
// f.mu.
func (f *Fleet) untilSelectable(g *group, now time.Time) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for _, t := range g.targets {
		if !f.inService(t) || t.departure.known() && !f.lastResort(t, now) {
			continue
		}
		wait := max(0, t.waitUntil.Sub(now))
		if !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest, found
}
