package placement

import (
	"slices"
	"time"
)

const (
	// latencyWindow is the number of latest responses that count.
	latencyWindow = 64
	// latencyRefresh is the number of responses after which the quantiles are
	// worked out again.
	latencyRefresh = 8
	// latencyFew is the number of responses below which nothing is known.
	latencyFew = 8
	// lateQuantile is the part of responses that are in before one counts as
	// late; lateFactor is how much longer than that one may take.
	lateQuantile = 0.93
	lateFactor   = 1.15
	lateSlack    = time.Millisecond
)

// latency is what is known of the response times of one kind of request at one
// service.
type latency struct {
	ring   [latencyWindow]time.Duration
	count  int
	median time.Duration
	late   time.Duration
}

func (l *latency) add(took time.Duration) {
	l.ring[l.count%latencyWindow] = took
	l.count++
	if l.count == latencyFew || l.count%latencyRefresh == 0 {
		l.refresh()
	}
}

func (l *latency) refresh() {
	n := min(l.count, latencyWindow)
	sorted := slices.Clone(l.ring[:n])
	slices.Sort(sorted)
	l.median = sorted[n/2]
	l.late = time.Duration(float64(sorted[int(lateQuantile*float64(n))])*lateFactor) + lateSlack
}

// known reports whether there were enough responses.
func (l *latency) known() bool { return l.count >= latencyFew }
