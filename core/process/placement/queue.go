package placement

import (
	"sort"
	"time"
)

// Waiter is a request that waits for room at a target of one service.
type Waiter struct {
	group    *group
	kind     string
	avoid    []*Target
	extra    bool
	priority int
	deadline time.Time
	notify   chan<- *Lease
	done     bool
}

// queue holds the waiters of a service, the most urgent first and the earliest
// deadline first among equals.
type queue struct {
	waiting []*Waiter
	// gaps is the recent time between two requests that left the queue.
	gap    time.Duration
	leftAt time.Time
}

func (w *Waiter) before(other *Waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.deadline.Before(other.deadline)
}

func (q *queue) join(w *Waiter) {
	i := sort.Search(len(q.waiting), func(i int) bool { return w.before(q.waiting[i]) })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = w
}

func (q *queue) leave(w *Waiter) {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// gapWeight is the weight of a new gap between two departures.
const gapWeight = 0.2

// departed notes that a request left the queue.
func (q *queue) departed(now time.Time) {
	if !q.leftAt.IsZero() {
		gap := min(now.Sub(q.leftAt), time.Second)
		q.gap += time.Duration(gapWeight * float64(gap-q.gap))
	}
	q.leftAt = now
}

// handOver gives room that has come free to those that wait. The caller holds
// the fleet's lock.
func (f *Fleet) handOver(g *group, now time.Time) {
	for i := 0; i < len(g.queue.waiting); {
		w := g.queue.waiting[i]
		t := f.choose(g, w.kind, w.avoid, now)
		if t == nil {
			if len(w.avoid) == 0 {
				return
			}
			i++
			continue
		}
		if w.extra && !g.budget.take(f.entryVMs, now) {
			i++
			continue
		}
		lease := f.lease(g, t, w.kind, w.extra, now)
		select {
		case w.notify <- lease:
			w.done = true
			g.queue.waiting = append(g.queue.waiting[:i], g.queue.waiting[i+1:]...)
			g.queue.departed(now)
		default:
			delete(t.inFlight, lease)
			i++
		}
	}
}

func (f *Fleet) handOverAll(now time.Time) {
	for _, g := range f.groups {
		f.handOver(g, now)
	}
}
