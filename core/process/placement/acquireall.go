package placement

import (
	"slices"
	"time"
)

// unknownWait stands for the wait for a service that may not have capacity for a long time.
const unknownWait = 24 * time.Hour

// AcquireAll returns leases for the first attempts of a request to several services, nil
// for each service whose targets have no capacity left. It grants none and returns false
// if fewer than least services have capacity or are expected to have some within maxWait:
// the work of the others would be wasted. least must be at least 1. The time returned is
// that after which enough services are expected to have capacity, 0 if it is not known.
func (f *Fleet) AcquireAll(requests []LeaseRequest, least int, priority Priority, maxWait time.Duration, now time.Time) ([]*Lease, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := make([]*Target, len(requests))
	waits := make([]time.Duration, len(requests))
	for n, r := range requests {
		g := f.group(r.service)
		if targets[n] = f.chooseFirst(g, r, now); targets[n] == nil {
			waits[n] = f.capacityAfter(g, r, priority, now)
		}
	}
	slices.Sort(waits)
	if wait := waits[max(1, min(least, len(waits)))-1]; wait > maxWait {
		if wait >= unknownWait {
			wait = 0
		}
		return nil, wait, false
	}
	leases := make([]*Lease, len(requests))
	for n, r := range requests {
		if targets[n] != nil {
			g := f.group(r.service)
			g.countFirst(r.team, now)
			leases[n] = f.grant(g, targets[n], r, now)
			g.countSend(leases[n], true)
		}
	}
	return leases, 0, true
}

// chooseFirst returns the target for a first attempt, or nil if none has capacity left or
// others wait. The caller holds f.mu.
func (f *Fleet) chooseFirst(g *group, r LeaseRequest, now time.Time) *Target {
	if len(g.queue.waiting) > 0 {
		f.grantWaiting(g, now)
		if len(g.queue.waiting) > 0 {
			return nil
		}
	}
	return f.choose(g, r.kind, nil, now)
}

// capacityAfter returns the time after which a service without capacity is expected to have
// some for a request, or unknownWait. The caller holds f.mu.
func (f *Fleet) capacityAfter(g *group, r LeaseRequest, priority Priority, now time.Time) time.Duration {
	selectable := false
	next := unknownWait
	median := g.latency(r.kind).median
	for _, t := range g.targets {
		if !f.selectable(t, now) {
			continue
		}
		selectable = true
		for l := range t.inFlight {
			next = min(next, remainingTime(now.Sub(l.sentAt), median))
		}
	}
	if !selectable {
		return unknownWait
	}
	if next == unknownWait {
		// The targets have no capacity for another reason, such as their rate while
		// they are cold, which passes soon.
		next = 0
	}
	ahead := f.fairness.ahead(g.queue.waiting, r.team, priority, now)
	return max(next, g.queue.expectedWait(ahead, now))
}

// remainingTime returns how long a request that has run for a time is expected to run on.
// One that runs for longer than the median is expected to take as long again as it is late.
func remainingTime(elapsed, median time.Duration) time.Duration {
	if median <= 0 {
		median = defaultResponseTime
	}
	return max(median-elapsed, elapsed-median)
}
