package placement

import (
	"sort"
	"time"
)

// Waiter is a first send that waits for room at a target of one service.
type Waiter struct {
	group    *group
	kind     string
	priority int
	deadline time.Time
	notify   chan<- *Lease
	granted  bool
}

// queue holds the waiters of a service, the most urgent first and the earliest
// deadline first among equals.
type queue struct {
	waiting []*Waiter
	// gap is the recent time between two requests that ended at the service.
	completionInterval time.Duration
	lastCompletion     time.Time
}

func (w *Waiter) before(other *Waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.deadline.Before(other.deadline)
}

func (q *queue) insert(w *Waiter) {
	i := sort.Search(len(q.waiting), func(i int) bool { return w.before(q.waiting[i]) })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = w
}

func (q *queue) remove(w *Waiter) {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

const (
	// gapWeight is the weight of a new gap between two ends.
	intervalWeight = 0.1
	// mostGap bounds one gap; a longer one says that nothing was asked.
	maxInterval = 100 * time.Millisecond
)

// ended notes that a request at the service ended, which makes room.
func (q *queue) recordCompletion(now time.Time) {
	if !q.lastCompletion.IsZero() {
		interval := min(now.Sub(q.lastCompletion), maxInterval)
		q.completionInterval += time.Duration(intervalWeight * float64(interval-q.completionInterval))
	}
	q.lastCompletion = now
}

// expected returns how long a request waits that comes after a number of
// others: each end of a request lets one of them go.
//
// For example, with an end each 8 ms the fifth in the queue waits 40 ms.
func (q *queue) expectedWait(ahead int, now time.Time) time.Duration {
	if ahead == 0 {
		return 0
	}
	interval := max(q.completionInterval, now.Sub(q.lastCompletion)/2)
	return time.Duration(ahead) * interval
}

// handOver gives room that has come free to those that wait. The caller holds
// the fleet's lock.
func (f *Fleet) grantWaiting(g *group, now time.Time) {
	for i := 0; i < len(g.queue.waiting); {
		w := g.queue.waiting[i]
		t := f.choose(g, w.kind, nil, now)
		if t == nil {
			return
		}
		lease := f.grant(g, t, w.kind, false, now)
		select {
		case w.notify <- lease:
			w.granted = true
			g.queue.waiting = append(g.queue.waiting[:i], g.queue.waiting[i+1:]...)
		default:
			delete(t.inFlight, lease)
			i++
		}
	}
}

func (f *Fleet) grantAllWaiting(now time.Time) {
	for _, g := range f.groups {
		f.grantWaiting(g, now)
	}
}
