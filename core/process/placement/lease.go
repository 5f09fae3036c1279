package placement

import "time"

// Lease is the right to send one request to a target. It ends with one of its
// outcomes.
type Lease struct {
	fleet  *Fleet
	target *Target
	kind   string
	extra  bool
	sentAt time.Time
	// lateAt is when the response counts as overdue.
	overdueAt   time.Time
	idleTimeout time.Duration
	// begunAt is when a long response began, zero for one that came whole.
	streamingSince time.Time
}

// StreamingStarted notes that a response has begun whose rest is on its way. How long the
// rest takes depends on the caller that reads it, and says nothing of the
// target.
func (l *Lease) StreamingStarted(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.streamingSince = now
	l.overdueAt = time.Time{}
}

// IdleTimeout returns how long the connection to the target is worth keeping idle, 0
// for as long as the target does.
func (l *Lease) IdleTimeout() time.Duration { return l.idleTimeout }

// Target returns the target that the request goes to.
func (l *Lease) Target() *Target { return l.target }

// lease counts a request at a target. The caller holds the lock.
func (f *Fleet) grant(g *group, t *Target, kind string, extra bool, now time.Time) *Lease {
	l := &Lease{fleet: f, target: t, kind: kind, extra: extra, sentAt: now, idleTimeout: f.idleTimeout(g, t)}
	if stats := g.latency(kind); stats.known() {
		l.overdueAt = now.Add(max(stats.overdueAfter, time.Duration(float64(stats.overdueAfter)*t.slowdown)))
	}
	t.inFlight[l] = struct{}{}
	t.lastSentAt = now
	t.countColdSend(now)
	return l
}

// LeaseRequest is a wish to send a request of a kind to a service.
type LeaseRequest struct {
	service string
	kind    string
	tried   []*Target
	extra   bool
}

// NewLeaseRequest returns the wish for the first send of a request to a service. The
// kind names requests that take about the same time.
func NewLeaseRequest(service, kind string) LeaseRequest {
	return LeaseRequest{service: service, kind: kind}
}

// ExtraAttempt returns the wish for a further send, to other targets than those that
// were tried. It is counted against the budget unless it is free: a send that
// follows one that never left.
func (r LeaseRequest) ExtraAttempt(tried []*Target, exempt bool) LeaseRequest {
	r.tried = tried
	r.extra = !exempt
	return r
}

// Acquire returns a lease for a target that has room now. A further send also
// needs a place in the budget.
func (f *Fleet) Acquire(r LeaseRequest, now time.Time) (*Lease, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(r.service)
	if len(g.queue.waiting) > 0 && !r.extra && len(r.tried) == 0 {
		// Those that wait come first.
		f.grantWaiting(g, now)
		if len(g.queue.waiting) > 0 {
			return nil, false
		}
	}
	t := f.choose(g, r.kind, r.tried, now)
	if t == nil || r.extra && !g.budget.tryTake(f.entryVMs, now) {
		return nil, false
	}
	if !r.extra && len(r.tried) == 0 {
		g.budget.countFirst(now)
	}
	return f.grant(g, t, r.kind, r.extra, now), true
}

// Enqueue puts a first send in the queue of its service. A lease comes on the
// channel when there is room.
func (f *Fleet) Enqueue(r LeaseRequest, priority int, deadline time.Time, notify chan<- *Lease, now time.Time) *Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(r.service)
	g.budget.countFirst(now)
	w := &Waiter{group: g, kind: r.kind, priority: priority, deadline: deadline, notify: notify}
	g.queue.insert(w)
	f.grantWaiting(g, now)
	return w
}

// Dequeue takes a waiter out of its queue. It reports false where a lease is on
// its way already.
func (f *Fleet) Dequeue(w *Waiter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.granted {
		return false
	}
	w.group.queue.remove(w)
	return true
}

// ExpectedWait returns how long a request would wait for room at a service.
func (f *Fleet) ExpectedWait(service string, priority int, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := &f.group(service).queue
	ahead := 0
	for _, w := range q.waiting {
		if w.priority <= priority {
			ahead++
		}
	}
	return q.expectedWait(ahead, now)
}

// OverdueAfter returns the time after which a response of a kind counts as late, and
// false where nothing is known.
func (f *Fleet) OverdueAfter(service, kind string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.group(service).latency(kind)
	return l.overdueAfter, l.known()
}

// end removes the lease. The caller holds the lock.
func (l *Lease) release(now time.Time) {
	delete(l.target.inFlight, l)
	l.target.group.queue.recordCompletion(now)
	l.fleet.grantWaiting(l.target.group, now)
}

// Unsent ends a lease whose request did not leave, for a reason that is not
// the target's.
func (l *Lease) Unsent(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if l.extra {
		l.target.group.budget.refund(now)
	}
	l.release(now)
}

// Succeeded ends a lease with a whole response.
func (l *Lease) Succeeded(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.lastObservedAt = now
	responseTime := now.Sub(l.sentAt)
	if !l.streamingSince.IsZero() {
		responseTime = l.streamingSince.Sub(l.sentAt)
	}
	stats := l.target.group.latency(l.kind)
	l.target.recordResponse(responseTime, stats.median)
	l.fleet.reachabilityOf(l.target.instance.Centre()).unansweredSends = 0
	stats.add(responseTime)
	l.release(now)
}

// Failed ends a lease with a response that is of no use.
func (l *Lease) Failed(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.lastObservedAt = now
	l.target.recordError()
	l.release(now)
}

// Refused ends a lease that the target refused; leaving says that it will
// refuse all others too.
func (l *Lease) Refused(leaving bool, now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.lastObservedAt = now
	l.target.recordError()
	l.target.leaving = l.target.leaving || leaving
	l.release(now)
}

// NoResponse ends a lease without any response, or without a connection.
func (l *Lease) NoResponse(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.lastObservedAt = now
	l.target.recordNoResponse(now)
	l.fleet.reachabilityOf(l.target.instance.Centre()).unansweredSends++
	l.release(now)
}

// OverLimit ends a lease whose new connection the target reset.
func (l *Lease) OverLimit(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.recordOverLimit(now)
	l.fleet.reachabilityOf(l.target.instance.Centre()).unansweredSends = 0
	l.release(now)
}

// Abandoned ends a lease whose response nobody waits for any more. What was
// overdue by then counts as slow.
func (l *Lease) Abandoned(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if !l.overdueAt.IsZero() && now.After(l.overdueAt) {
		l.target.lastObservedAt = now
		l.target.recordResponse(now.Sub(l.sentAt), l.target.group.latency(l.kind).median)
	}
	l.release(now)
}

// ReportLoad takes in the load that a response told.
func (l *Lease) ReportLoad(running, waiting int, now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.setReportedLoad(running, waiting, now)
}

// RecheckQueue hands room over to the queue of a waiter, for targets that have become
// usable by time alone.
func (f *Fleet) RecheckQueue(w *Waiter, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.granted {
		f.grantWaiting(w.group, now)
	}
}
