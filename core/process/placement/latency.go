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
	latencyRefreshInterval = 8
	// latencyFew is the number of responses below which nothing is known.
	latencyMinSamples = 8
	// lateQuantile is the part of responses that are in before one counts as
	// late; lateFactor is how much longer than that one may take.
	overdueQuantile = 0.93
	overdueFactor   = 1.15
	overdueSlack    = time.Millisecond
)

// latency is what is known of the response times of one kind of request at one
// service.
type latency struct {
	samples      [latencyWindow]time.Duration
	count        int
	median       time.Duration
	overdueAfter time.Duration
}

func (l *latency) add(responseTime time.Duration) {
	l.samples[l.count%latencyWindow] = responseTime
	l.count++
	if l.count == latencyMinSamples || l.count%latencyRefreshInterval == 0 {
		l.refresh()
	}
}

func (l *latency) refresh() {
	n := min(l.count, latencyWindow)
	sorted := slices.Clone(l.samples[:n])
	slices.Sort(sorted)
	l.median = sorted[n/2]
	l.overdueAfter = time.Duration(float64(sorted[int(overdueQuantile*float64(n))])*overdueFactor) + overdueSlack
}

// known reports whether there were enough responses.
func (l *latency) known() bool { return l.count >= latencyMinSamples }
