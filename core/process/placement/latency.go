package placement

import (
	"slices"
	"time"
)

const (
	// serviceWindow is the number of most recent response times that are kept for
	// one service, and serviceRefreshInterval the number of responses after which
	// their quantiles are recomputed.
	serviceWindow          = 64
	serviceRefreshInterval = 8
	// pooledWindow and pooledRefreshInterval are the same for the response times
	// of all services together. One request to hundreds of shards adds a response
	// time for each of them, so that the window holds more than one request.
	pooledWindow          = 512
	pooledRefreshInterval = 64
	// latencyMinSamples is the number of responses below which no estimate is
	// available.
	latencyMinSamples = 8
	// A response is overdue after the overdueQuantile of the recent response
	// times, multiplied by overdueFactor, plus overdueSlack.
	overdueQuantile = 0.93
	overdueFactor   = 1.15
	overdueSlack    = time.Millisecond
)

// latency estimates the response times of one kind of request, to one service or to
// all of them. It is guarded by Fleet.mu.
type latency struct {
	// samples holds the most recent response times, at most window of them.
	samples []time.Duration
	window  int
	// refreshInterval is the number of responses after which the estimates are
	// recomputed.
	refreshInterval int
	// count is the number of response times recorded so far, including those no
	// longer kept in samples.
	count  int
	median time.Duration
	// overdueAfter is the time after which a response is overdue.
	overdueAfter time.Duration
}

// newServiceLatency returns the estimate for one service, without response times.
func newServiceLatency() *latency {
	return &latency{window: serviceWindow, refreshInterval: serviceRefreshInterval}
}

// newPooledLatency returns the estimate for all services, without response times.
func newPooledLatency() *latency {
	return &latency{window: pooledWindow, refreshInterval: pooledRefreshInterval}
}

// add records a response time and recomputes the estimates when due.
func (l *latency) add(responseTime time.Duration) {
	if len(l.samples) < l.window {
		l.samples = append(l.samples, responseTime)
	} else {
		l.samples[l.count%l.window] = responseTime
	}
	l.count++
	if l.count == latencyMinSamples || l.count%l.refreshInterval == 0 {
		l.refresh()
	}
}

// refresh recomputes the median and the overdue time from the kept samples.
func (l *latency) refresh() {
	n := len(l.samples)
	sorted := slices.Clone(l.samples)
	slices.Sort(sorted)
	l.median = sorted[n/2]
	l.overdueAfter = time.Duration(float64(sorted[int(overdueQuantile*float64(n))])*overdueFactor) + overdueSlack
}

// known reports whether there are enough samples for an estimate.
func (l *latency) known() bool { return l.count >= latencyMinSamples }
