// Package eventqueue orders the events of tests in simulated time.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds events until their times. The zero value is empty. It is not safe for
// concurrent use.
type Queue[E any] struct {
	items items[E]
	added int
}

// Add adds an event at a simulated time.
func (q *Queue[E]) Add(at time.Duration, event E) {
	q.added++
	heap.Push(&q.items, item[E]{at: at, number: q.added, event: event})
}

// Added returns the number of events that were added.
func (q *Queue[E]) Added() int { return q.added }

// Take removes the earliest event that is not later than end and returns it with its time,
// or false if there is none. Events at the same time are returned in the order in which they
// were added.
func (q *Queue[E]) Take(end time.Duration) (event E, at time.Duration, ok bool) {
	if len(q.items) == 0 || q.items[0].at > end {
		return event, 0, false
	}
	first := heap.Pop(&q.items).(item[E])
	return first.event, first.at, true
}

// item is an event with its time and the number in which it was added.
type item[E any] struct {
	at     time.Duration
	number int
	event  E
}

// items implements heap.Interface.
type items[E any] []item[E]

func (s items[E]) Len() int { return len(s) }
func (s items[E]) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].number < s[j].number
}
func (s items[E]) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *items[E]) Push(x any)   { *s = append(*s, x.(item[E])) }
func (s *items[E]) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}
