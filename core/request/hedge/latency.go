package hedge

import (
	"slices"
	"sync"
	"time"
)

const (
	// windowSize is the number of most recent response times from which the
	// quantile is computed.
	windowSize = 256
	// recomputeInterval is the number of responses between two computations of
	// the delay.
	recomputeInterval = 16
	// quantile is the fraction of the response times that are at most as long
	// as the one from which the delay is computed. It is well below 0.95, so
	// that one straggler in twenty responses does not determine the delay.
	quantile = 0.90
	// delayFactor is the ratio of the delay to the quantile.
	delayFactor = 1.25
	// minSamples is the minimum number of responses for computing a delay.
	// Since the delay is computed only at multiples of recomputeInterval, it is
	// initialDelay for the first 31 responses.
	minSamples = 20
	// initialDelay is the delay before the first one is computed.
	initialDelay = 50 * time.Millisecond
	// minDelay is the shortest delay. It prevents hedges that are caused only
	// by small variations in the response times of a fast service.
	minDelay = 2 * time.Millisecond
)

// LatencyTracker computes the hedge delay of one service from its recent
// response times. It is safe for concurrent use. No other lock is taken while
// its mutex is held.
type LatencyTracker struct {
	mu   sync.Mutex
	ring [windowSize]time.Duration
	// count is the number of response times recorded since the start. It is not
	// limited to the size of the ring.
	count  int
	sorted []time.Duration
	delay  time.Duration
}

// NewLatencyTracker returns a tracker without samples.
func NewLatencyTracker() *LatencyTracker {
	return &LatencyTracker{sorted: make([]time.Duration, 0, windowSize), delay: initialDelay}
}

// Add records the response time of one sub-request.
func (l *LatencyTracker) Add(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.count%windowSize] = took
	l.count++
	if l.count < minSamples || l.count%recomputeInterval != 0 {
		return
	}
	n := min(l.count, windowSize)
	l.sorted = append(l.sorted[:0], l.ring[:n]...)
	slices.Sort(l.sorted)
	l.delay = max(minDelay, time.Duration(delayFactor*float64(l.sorted[int(quantile*float64(n-1))])))
}

// Delay returns the time after which a sub-request without a response counts as
// late and may be hedged.
func (l *LatencyTracker) Delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}
