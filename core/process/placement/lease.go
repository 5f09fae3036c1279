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
	lateAt time.Time
	idle   time.Duration
	// begunAt is when a long response began, zero for one that came whole.
	begunAt time.Time
}

// Begun notes that a response has begun whose rest is on its way. How long the
// rest takes depends on the caller that reads it, and says nothing of the
// target.
func (l *Lease) Begun(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.begunAt = now
	l.lateAt = time.Time{}
}

// Idle returns how long the connection to the target is worth keeping idle, 0
// for as long as the target does.
func (l *Lease) Idle() time.Duration { return l.idle }

// Target returns the target that the request goes to.
func (l *Lease) Target() *Target { return l.target }

// lease counts a request at a target. The caller holds the lock.
func (f *Fleet) lease(g *group, t *Target, kind string, extra bool, now time.Time) *Lease {
	l := &Lease{fleet: f, target: t, kind: kind, extra: extra, sentAt: now, idle: f.idle(g, t)}
	if stats := g.latency(kind); stats.known() {
		l.lateAt = now.Add(max(stats.late, time.Duration(float64(stats.late)*t.speed)))
	}
	t.inFlight[l] = struct{}{}
	t.triedAt = now
	t.countCold(now)
	return l
}

// Ask is a wish to send a request of a kind to a service.
type Ask struct {
	service string
	kind    string
	avoid   []*Target
	extra   bool
}

// NewAsk returns the wish for the first send of a request to a service. The
// kind names requests that take about the same time.
func NewAsk(service, kind string) Ask { return Ask{service: service, kind: kind} }

// Again returns the wish for a further send, to other targets than those that
// were tried. It is counted against the budget unless it is free: a send that
// follows one that never left.
func (a Ask) Again(tried []*Target, free bool) Ask {
	a.avoid = tried
	a.extra = !free
	return a
}

// Acquire returns a lease for a target that has room now. A further send also
// needs a place in the budget.
func (f *Fleet) Acquire(a Ask, now time.Time) (*Lease, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(a.service)
	if len(g.queue.waiting) > 0 && !a.extra && len(a.avoid) == 0 {
		// Those that wait come first.
		f.handOver(g, now)
		if len(g.queue.waiting) > 0 {
			return nil, false
		}
	}
	t := f.choose(g, a.kind, a.avoid, now)
	if t == nil || a.extra && !g.budget.take(f.entryVMs, now) {
		return nil, false
	}
	if !a.extra && len(a.avoid) == 0 {
		g.budget.first(now)
	}
	return f.lease(g, t, a.kind, a.extra, now), true
}

// Wait puts a first send in the queue of its service. A lease comes on the
// channel when there is room.
func (f *Fleet) Wait(a Ask, priority int, deadline time.Time, notify chan<- *Lease, now time.Time) *Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(a.service)
	g.budget.first(now)
	w := &Waiter{group: g, kind: a.kind, priority: priority, deadline: deadline, notify: notify}
	g.queue.join(w)
	f.handOver(g, now)
	return w
}

// Leave takes a waiter out of its queue. It reports false where a lease is on
// its way already.
func (f *Fleet) Leave(w *Waiter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.done {
		return false
	}
	w.group.queue.leave(w)
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
	return q.expected(ahead, now)
}

// Late returns the time after which a response of a kind counts as late, and
// false where nothing is known.
func (f *Fleet) Late(service, kind string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.group(service).latency(kind)
	return l.late, l.known()
}

// end removes the lease. The caller holds the lock.
func (l *Lease) end(now time.Time) {
	delete(l.target.inFlight, l)
	l.target.group.queue.ended(now)
	l.fleet.handOver(l.target.group, now)
}

// Unsent ends a lease whose request did not leave, for a reason that is not
// the target's.
func (l *Lease) Unsent(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if l.extra {
		l.target.group.budget.give(now)
	}
	l.end(now)
}

// Succeeded ends a lease with a whole response.
func (l *Lease) Succeeded(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.seenAt = now
	took := now.Sub(l.sentAt)
	if !l.begunAt.IsZero() {
		took = l.begunAt.Sub(l.sentAt)
	}
	stats := l.target.group.latency(l.kind)
	l.target.succeeded(took, stats.median)
	l.fleet.wayTo(l.target.instance.DataCentre()).silences = 0
	stats.add(took)
	l.end(now)
}

// Failed ends a lease with a response that is of no use.
func (l *Lease) Failed(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.seenAt = now
	l.target.failed()
	l.end(now)
}

// Refused ends a lease that the target refused; leaving says that it will
// refuse all others too.
func (l *Lease) Refused(leaving bool, now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.seenAt = now
	l.target.failed()
	l.target.leaving = l.target.leaving || leaving
	l.end(now)
}

// Silent ends a lease without any response, or without a connection.
func (l *Lease) Silent(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.seenAt = now
	l.target.silent(now)
	l.fleet.wayTo(l.target.instance.DataCentre()).silences++
	l.end(now)
}

// OverLimit ends a lease whose new connection the target reset.
func (l *Lease) OverLimit(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.overLimit(now)
	l.fleet.wayTo(l.target.instance.DataCentre()).silences = 0
	l.end(now)
}

// Abandoned ends a lease whose response nobody waits for any more. What was
// overdue by then counts as slow.
func (l *Lease) Abandoned(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if !l.lateAt.IsZero() && now.After(l.lateAt) {
		l.target.seenAt = now
		l.target.succeeded(now.Sub(l.sentAt), l.target.group.latency(l.kind).median)
	}
	l.end(now)
}

// TellLoad takes in the load that a response told.
func (l *Lease) TellLoad(running, waiting int, now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.target.tellLoad(running, waiting, now)
}

// Look hands room over to the queue of a waiter, for targets that have become
// usable by time alone.
func (f *Fleet) Look(w *Waiter, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.done {
		f.handOver(w.group, now)
	}
}
