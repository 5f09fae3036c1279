package placement

import (
	"slices"
	"time"
)

const (
	// latencyWindow is the number of most recent response times that are kept.
	latencyWindow = 64
	// latencyRefreshInterval is the number of responses after which the
	// quantiles are recomputed.
	latencyRefreshInterval = 8
	// latencyMinSamples is the number of responses below which no estimate is
	// available.
	latencyMinSamples = 8
	// A response is overdue after the overdueQuantile of the recent response
	// times, multiplied by overdueFactor, plus overdueSlack.
	overdueQuantile = 0.93
	overdueFactor   = 1.15
	overdueSlack    = time.Millisecond
)

// latency estimates the response times of one kind of request to one service.
// It is guarded by Fleet.mu.
type latency struct {
	samples [latencyWindow]time.Duration
	// count is the number of response times recorded so far, including those no
	// longer kept in samples.
	count  int
	median time.Duration
	// overdueAfter is the time after which a response is overdue.
	overdueAfter time.Duration
}

// add records a response time and recomputes the estimates when due.
func (l *latency) add(responseTime time.Duration) {
	l.samples[l.count%latencyWindow] = responseTime
	l.count++
	if l.count == latencyMinSamples || l.count%latencyRefreshInterval == 0 {
		l.refresh()
	}
}

// refresh recomputes the median and the overdue time from the kept samples.
func (l *latency) refresh() {
	n := min(l.count, latencyWindow)
	sorted := slices.Clone(l.samples[:n])
	slices.Sort(sorted)
	l.median = sorted[n/2]
	l.overdueAfter = time.Duration(float64(sorted[int(overdueQuantile*float64(n))])*overdueFactor) + overdueSlack
}

// known reports whether there are enough samples for an estimate.
func (l *latency) known() bool { return l.count >= latencyMinSamples }
