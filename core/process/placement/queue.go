package placement

import (
	"slices"
	"sort"
	"time"
)

// Priority orders the requests in the queue of a service: by the priority of their team,
// and by that of their route among equal ones. Lower values are served first.
type Priority struct {
	team  int
	route int
}

// NewPriority returns the priority of a request of a team on a route.
func NewPriority(team, route int) Priority { return Priority{team: team, route: route} }

// before reports whether requests of priority p are served before those of other.
func (p Priority) before(other Priority) bool {
	if p.team != other.team {
		return p.team < other.team
	}
	return p.route < other.route
}

// Waiter is a first attempt that is queued until a target of its service has
// capacity left.
type Waiter struct {
	group    *group
	kind     string
	team     string
	priority Priority
	deadline time.Time
	notify   chan<- *Lease
	granted  bool
}

// queue holds the waiters of a service, ordered by priority (lower values
// first) and then by deadline. Between teams of the same priority, fairness decides who
// is served next. It is guarded by Fleet.mu.
type queue struct {
	waiting []*Waiter
	// completionInterval is the moving average of the time between two requests
	// that end at the service.
	completionInterval time.Duration
	lastCompletion     time.Time
	// waitingSince is when the queue last stopped being empty.
	waitingSince time.Time
}

// before reports whether w is served before other of the same team.
func (w *Waiter) before(other *Waiter) bool {
	if w.priority != other.priority {
		return w.priority.before(other.priority)
	}
	return w.deadline.Before(other.deadline)
}

// insert adds a waiter at its place in the order.
func (q *queue) insert(w *Waiter, now time.Time) {
	if len(q.waiting) == 0 {
		q.waitingSince = now
	}
	i := sort.Search(len(q.waiting), func(i int) bool { return w.before(q.waiting[i]) })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = w
}

// remove deletes a waiter from the queue, if it is there.
func (q *queue) remove(w *Waiter) {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

const (
	// intervalWeight is the weight of a new sample in completionInterval.
	intervalWeight = 0.1
	// maxInterval bounds one sample; a longer interval only means that there
	// were no requests.
	maxInterval = 100 * time.Millisecond
)

// recordCompletion records that a request to the service has ended, which frees
// capacity for a waiter.
func (q *queue) recordCompletion(now time.Time) {
	if !q.lastCompletion.IsZero() {
		interval := min(now.Sub(q.lastCompletion), maxInterval)
		q.completionInterval += time.Duration(intervalWeight * float64(interval-q.completionInterval))
	}
	q.lastCompletion = now
}

// expectedWait returns how long a request waits behind a number of others,
// assuming that each request that ends lets one waiter proceed. If nothing has
// ended for some time although others wait, half of that time is used as the
// interval if it is longer than the average. Time before the queue filled does not
// count, because a service without requests has none that end.
//
// For example, if a request ends every 8 ms, a request with five others ahead
// of it waits 40 ms.
func (q *queue) expectedWait(ahead int, now time.Time) time.Duration {
	if ahead == 0 {
		return 0
	}
	stalledSince := q.waitingSince
	if q.lastCompletion.After(stalledSince) {
		stalledSince = q.lastCompletion
	}
	interval := max(q.completionInterval, now.Sub(stalledSince)/2)
	return time.Duration(ahead) * interval
}

// grantWaiting sends leases to the waiters of a group, in the order of fairness.next, until
// no target has capacity left. A waiter whose channel is full is skipped. The
// caller holds f.mu.
func (f *Fleet) grantWaiting(g *group, now time.Time) {
	for skipped := 0; skipped < len(g.queue.waiting); {
		i := f.fairness.next(g.queue.waiting, skipped, now)
		w := g.queue.waiting[i]
		t := f.choose(g, w.kind, nil, now)
		if t == nil {
			return
		}
		lease := f.grant(g, t, LeaseRequest{kind: w.kind, team: w.team}, now)
		g.queue.waiting = append(g.queue.waiting[:i], g.queue.waiting[i+1:]...)
		select {
		case w.notify <- lease:
			w.granted = true
			g.countSend(lease, true)
		default:
			delete(t.inFlight, lease)
			g.queue.waiting = slices.Insert(g.queue.waiting, skipped, w)
			skipped++
		}
	}
}

// grantAllWaiting calls grantWaiting for every group. The caller holds f.mu.
func (f *Fleet) grantAllWaiting(now time.Time) {
	for _, g := range f.groups {
		f.grantWaiting(g, now)
	}
}
