// Package admission decides which queries may begin: one that could not be
// answered in time is refused at once, before anything of it is sent.
package admission

import (
	"sort"
	"sync"
	"time"
)

const (
	// bucketDuration and buckets are the window over which departures are counted.
	bucketDuration = 250 * time.Millisecond
	bucketCount    = 4
	// minQueueLength is a queue that is short whatever its rate.
	minQueueLength = 2
)

// Ticket is a place in a queue.
type Ticket struct {
	deadline time.Time
	sequence uint64
}

// Queue holds the sub-requests of one service that wait in this VM for room at
// a target, the earliest deadline first. Its lock is taken alone.
type Queue struct {
	mu           sync.Mutex
	lastSequence uint64
	waiting      []*Ticket
	departures   [bucketCount]int
	latestBucket int64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{} }

// Join takes a place for a sub-request that must be answered by the deadline.
func (q *Queue) Join(deadline time.Time) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastSequence++
	t := &Ticket{deadline: deadline, sequence: q.lastSequence}
	i := sort.Search(len(q.waiting), func(i int) bool { return t.before(q.waiting[i]) })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = t
	return t
}

func (t *Ticket) before(other *Ticket) bool {
	if t.deadline.Equal(other.deadline) {
		return t.sequence < other.sequence
	}
	return t.deadline.Before(other.deadline)
}

// Leave gives a place up, whether the sub-request was sent or not.
func (q *Queue) Leave(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := q.rank(t); i < len(q.waiting) {
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	}
}

// rank returns the number of sub-requests in front, or the length of the queue
// where the ticket has left. The caller holds the lock.
func (q *Queue) rank(t *Ticket) int {
	i := sort.Search(len(q.waiting), func(i int) bool { return !q.waiting[i].before(t) })
	if i < len(q.waiting) && q.waiting[i] == t {
		return i
	}
	return len(q.waiting)
}

// Rank returns the number of sub-requests in front of the ticket.
func (q *Queue) Rank(t *Ticket) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.rank(t)
}

// Len returns the number of sub-requests that wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// RecordDeparture counts a sub-request that found room.
func (q *Queue) RecordDeparture(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	q.departures[(now.UnixNano()/int64(bucketDuration))%bucketCount]++
}

// advance empties the buckets whose time is over. The caller holds the lock.
func (q *Queue) advance(now time.Time) {
	bucket := now.UnixNano() / int64(bucketDuration)
	for n := max(q.latestBucket, bucket-bucketCount) + 1; n <= bucket; n++ {
		q.departures[n%bucketCount] = 0
	}
	q.latestBucket = max(q.latestBucket, bucket)
}

// ExpectedWait returns how long a sub-request that comes now would wait, by the
// number that wait and the number that found room in the last second.
//
// For example, 30 that wait and 120 that left in the last second give 250 ms.
func (q *Queue) ExpectedWait(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) < minQueueLength {
		return 0
	}
	q.advance(now)
	departed := 0
	for _, n := range q.departures {
		departed += n
	}
	window := time.Duration(bucketCount) * bucketDuration
	return window * time.Duration(len(q.waiting)) / time.Duration(max(departed, 1))
}

// usableShare is the part of the time left that a query may plan with; the rest is
// kept for the queue being longer than expected.
const usableShare = 0.65

// Admits reports whether a query with the given time left may begin where its
// longest queue is expected to take the wait, and a target the response time.
// Without a wait every query is admitted.
func Admits(wait, response, remaining time.Duration) bool {
	return wait == 0 || float64(wait+response) <= usableShare*float64(remaining)
}
