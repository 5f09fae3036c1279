// Package admission orders the sub-requests that wait for a target and rejects
// queries that are not expected to be answered before their deadline. A query
// is rejected before any sub-request of it is sent.
package admission

import (
	"sort"
	"sync"
	"time"
)

const (
	// bucketDuration and bucketCount define the sliding window over which
	// departures are counted: 4 x 250 ms = 1 s.
	bucketDuration = 250 * time.Millisecond
	bucketCount    = 4
	// minQueueLength is the queue length from which a wait is estimated. For a
	// shorter queue the expected wait is 0, whatever the departure rate.
	minQueueLength = 2
)

// Ticket identifies one sub-request in a Queue. Its current position is
// returned by Queue.Rank.
type Ticket struct {
	deadline time.Time
	sequence uint64
}

// Queue holds the sub-requests of one service that wait in this VM until a
// target has free capacity, ordered by deadline, earliest first. It is safe for
// concurrent use. No other lock is taken while its mutex is held.
type Queue struct {
	mu           sync.Mutex
	lastSequence uint64
	waiting      []*Ticket
	// departures counts the departures of bucket n at index n % bucketCount.
	// Buckets are numbered from startedAt.
	departures [bucketCount]int
	// startedAt is when the first bucket began, zero before the first call with a time.
	startedAt time.Time
	// latestBucket is the number of the most recent bucket of the window.
	latestBucket int64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{} }

// Join adds a sub-request that must be answered by the deadline and returns its
// ticket. Sub-requests with equal deadlines keep their arrival order.
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

// before reports whether t is ahead of other in the queue.
func (t *Ticket) before(other *Ticket) bool {
	if t.deadline.Equal(other.deadline) {
		return t.sequence < other.sequence
	}
	return t.deadline.Before(other.deadline)
}

// Leave removes a ticket, whether or not its sub-request was sent. It does
// nothing if the ticket was removed before.
func (q *Queue) Leave(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := q.rank(t); i < len(q.waiting) {
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	}
}

// rank returns the number of sub-requests ahead of the ticket, or the length of
// the queue if the ticket is not in it. The caller must hold q.mu.
func (q *Queue) rank(t *Ticket) int {
	i := sort.Search(len(q.waiting), func(i int) bool { return !q.waiting[i].before(t) })
	if i < len(q.waiting) && q.waiting[i] == t {
		return i
	}
	return len(q.waiting)
}

// Rank returns the number of sub-requests ahead of the ticket, or the length of
// the queue if the ticket is not in it.
func (q *Queue) Rank(t *Ticket) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.rank(t)
}

// Len returns the number of waiting sub-requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// RecordDeparture counts a sub-request that acquired a target at the given
// time, whether or not it had to wait.
func (q *Queue) RecordDeparture(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	q.departures[q.latestBucket%bucketCount]++
}

// advance moves the window to now and sets the counts of the buckets that it
// enters to 0. If now is before the latest bucket, it changes nothing. The
// caller must hold q.mu.
func (q *Queue) advance(now time.Time) {
	if q.startedAt.IsZero() {
		q.startedAt = now
	}
	bucket := int64(max(0, now.Sub(q.startedAt)) / bucketDuration)
	for n := max(q.latestBucket, bucket-bucketCount) + 1; n <= bucket; n++ {
		q.departures[n%bucketCount] = 0
	}
	q.latestBucket = max(q.latestBucket, bucket)
}

// ExpectedWait estimates how long a sub-request would wait if it joined the
// queue now: the queue length divided by the departure rate of the last second.
// If there was no departure, a rate of one per second is assumed. If the queue
// is shorter than minQueueLength, the result is 0.
//
// The current bucket is counted as if it were complete, so the window covers
// only the last 0.75 to 1 s, and the estimate can be up to a third too long.
//
// For example, 30 waiting sub-requests and 120 departures in the last second
// give 250 ms.
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

// usableShare is the share of the remaining time that the expected wait and
// response may take. The rest is a reserve in case the wait is longer than
// expected.
const usableShare = 0.65

// Admits reports whether a query may start. The wait is the longest expected
// wait in the queues of its services, response is the expected response time of
// a target, and remaining is the time until the query's deadline. A query whose
// expected wait is 0 is always admitted.
func Admits(wait, response, remaining time.Duration) bool {
	return wait == 0 || float64(wait+response) <= usableShare*float64(remaining)
}
