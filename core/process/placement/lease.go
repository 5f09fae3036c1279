package placement

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
)

// Lease is the permission to send one request to a target. The request counts
// as in flight until exactly one of the methods Unsent, Succeeded, Failed,
// Refused, NoResponse, OverLimit and Abandoned is called with its outcome.
type Lease struct {
	fleet  *Fleet
	target *Target
	// instance is the target's instance when the lease was granted. It does not
	// change, so that it can be read without Fleet.mu.
	instance discovery.Instance
	// run is the run of the target at that time.
	run  int
	kind string
	team string
	// charged is true for an extra attempt that was charged to the retry
	// budget.
	charged bool
	sentAt  time.Time
	// overdueAt is when the response becomes overdue, zero if that is unknown
	// or a streamed response has begun.
	overdueAt   time.Time
	idleTimeout time.Duration
	// slowness is the slowness that was expected of the target, at least 1, and link its
	// link time, both when the lease was granted.
	slowness float64
	link     time.Duration
	// streamingSince is when a streamed response began. It is zero if no
	// response has begun yet or if the response was received whole.
	streamingSince time.Time
	// gate counts the outcome for a rollout, and updated is true if the target runs its
	// target version. gate is nil if no rollout ran when the lease was granted.
	gate    *rollout.Gate
	updated bool
	// setupTime is the part of the response time that the rollout does not count.
	setupTime time.Duration
}

// IdleTimeout returns how long the connection to the target should be kept
// idle, 0 for as long as the target keeps it.
func (l *Lease) IdleTimeout() time.Duration { return l.idleTimeout }

// Target returns the target to send the request to.
func (l *Lease) Target() *Target { return l.target }

// Instance returns the target's instance as listed when the lease was granted.
func (l *Lease) Instance() discovery.Instance { return l.instance }

// grant returns a lease for a request to a target and counts it as in flight. The time
// after which its response is overdue is multiplied by the target's slowdown and its
// expected slowness, each if it is above 1, and the link time is added. The caller holds
// f.mu.
func (f *Fleet) grant(g *group, t *Target, r LeaseRequest, now time.Time) *Lease {
	l := &Lease{fleet: f, target: t, instance: t.instance, run: t.run, kind: r.kind, team: r.team, charged: r.charged, sentAt: now, idleTimeout: f.idleTimeout(g, t)}
	f.fairness.recordServed(r.team, 1, now)
	l.link, _ = f.linkTime(t)
	l.slowness = max(1, f.expectedSlowness(t, now))
	if stats := g.latency(r.kind); stats.known() {
		usual := time.Duration(float64(stats.overdueAfter) * max(1, t.currentSlowdown(now)))
		l.overdueAt = now.Add(l.OverdueAfter(usual))
	}
	t.inFlight[l] = struct{}{}
	t.lastSentAt = now
	t.sends.add(now)
	return l
}

// LeaseRequest describes a request of some kind to a service, for which a lease
// is needed.
type LeaseRequest struct {
	service string
	kind    string
	// team is the name of the caller's team, empty for a request without one.
	team string
	// tried holds the targets that must not be chosen; it is nil for a first
	// attempt. charged is true if the lease is for an extra attempt that is
	// charged to the retry budget.
	tried   []*Target
	charged bool
}

// NewLeaseRequest returns a lease request for the first attempt of a request to
// a service. Requests of the same kind are expected to have similar response
// times.
func NewLeaseRequest(service, kind string) LeaseRequest {
	return LeaseRequest{service: service, kind: kind}
}

// ForTeam returns a lease request to which a team's share applies.
func (r LeaseRequest) ForTeam(team string) LeaseRequest {
	r.team = team
	return r
}

// ExtraAttempt returns a lease request for a retry or hedge to a target that is
// not in tried. It is charged to the retry budget unless exempt, which is for
// an attempt that replaces one that was not sent.
func (r LeaseRequest) ExtraAttempt(tried []*Target, exempt bool) LeaseRequest {
	r.tried = tried
	r.charged = !exempt
	return r
}

// Acquire returns a lease for a target that has capacity left, or false if
// there is none. An extra attempt must also be allowed by the retry budget. A
// first attempt gets no lease while others wait in the queue.
func (f *Fleet) Acquire(r LeaseRequest, now time.Time) (*Lease, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(r.service)
	var t *Target
	if !r.charged && len(r.tried) == 0 {
		t = f.chooseFirst(g, r, now)
	} else {
		t = f.choose(g, r.kind, r.tried, now)
	}
	if t == nil || r.charged && !f.takeExtra(g, r.team, now) {
		return nil, false
	}
	first := !r.charged && len(r.tried) == 0
	if first {
		g.countFirst(r.team, now)
	}
	l := f.grant(g, t, r, now)
	g.countSend(l, first)
	return l, true
}

// countFirst counts the first attempt of a request of a team. The caller holds g.fleet.mu.
func (g *group) countFirst(team string, now time.Time) {
	g.budget.countFirst(now)
	g.extraShares.countFirst(team, g.budget.window, now)
}

// takeExtra counts an extra attempt of a team and returns true if the retry budget of the
// service, and the team's share of it, allow one. The caller holds f.mu.
func (f *Fleet) takeExtra(g *group, team string, now time.Time) bool {
	vms, known := f.limitShares()
	used, allowed := g.budget.use(vms, known, now)
	if !g.extraShares.allows(team, float64(used), allowed, g.budget.window, now) || !g.budget.tryTake(vms, known, now) {
		return false
	}
	g.extraShares.countExtra(team, 1, g.budget.window, now)
	return true
}

// Enqueue adds a first attempt to the queue of its service. Its lease is sent
// to notify, which must be buffered, when a target has capacity left.
func (f *Fleet) Enqueue(r LeaseRequest, priority Priority, deadline time.Time, notify chan<- *Lease, now time.Time) *Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(r.service)
	g.countFirst(r.team, now)
	w := &Waiter{group: g, kind: r.kind, team: r.team, priority: priority, deadline: deadline, notify: notify}
	g.queue.insert(w, now)
	f.grantWaiting(g, now)
	return w
}

// Dequeue removes a waiter from its queue. It returns false if the waiter was
// already sent a lease, which the caller must then end.
func (f *Fleet) Dequeue(w *Waiter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.granted {
		return false
	}
	w.group.queue.remove(w)
	return true
}

// ExpectedWait returns how long a new request of a priority would wait in the queue of
// its service.
func (f *Fleet) ExpectedWait(r LeaseRequest, priority Priority, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := &f.group(r.service).queue
	return q.expectedWait(f.fairness.ahead(q.waiting, r.team, priority, now), now)
}

// RecordDemand records that a request of a team needs a number of first attempts, whether
// it will be admitted or not.
func (f *Fleet) RecordDemand(team string, attempts int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fairness.recordDemand(team, attempts, now)
}

// OverdueAfter returns the time after which a response to a kind of request is
// overdue, without the link to another data centre, or false if there are too few
// responses to estimate it.
func (f *Fleet) OverdueAfter(service, kind string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.group(service).latency(kind)
	return l.overdueAfter, l.known()
}

// RecheckQueue serves the queue that a waiter is in. It is needed because a
// target may become usable merely because time passes, for example when a
// backoff ends.
func (f *Fleet) RecheckQueue(w *Waiter, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.granted {
		f.grantWaiting(w.group, now)
	}
}
