package hedge

import (
	"slices"
	"sync"
	"time"
)

const (
	// windowSize is the number of latest responses that a quantile looks at.
	windowSize = 256
	// recomputeInterval is the number of responses after which it is worked out again.
	recomputeInterval = 16
	// quantile is the part of responses that the delay is worked out from. It
	// is well under 0.95, so that one straggler in twenty does not set it.
	quantile = 0.90
	// delayFactor is how much longer than the quantile a response may take.
	delayFactor = 1.25
	// minSamples is the number of responses below which nothing is known.
	minSamples = 20
	// initialDelay is the delay while nothing is known.
	initialDelay = 50 * time.Millisecond
	// minDelay keeps the noise of a fast service from causing hedges.
	minDelay = 2 * time.Millisecond
)

// Latency is the recent latency of one service. It is safe for concurrent
// use; its lock is taken alone.
type Latency struct {
	mu     sync.Mutex
	ring   [windowSize]time.Duration
	count  int
	sorted []time.Duration
	delay  time.Duration
}

// NewLatency returns a latency of which nothing is known yet.
func NewLatency() *Latency {
	return &Latency{sorted: make([]time.Duration, 0, windowSize), delay: initialDelay}
}

// Add counts the time that a response took.
func (l *Latency) Add(took time.Duration) {
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

// Delay returns the time after which a sub-request without a response is late.
func (l *Latency) Delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}
