package rollout

import (
	"math"
	"time"
)

const (
	// timeBuckets is the number of buckets of response times. Bucket n begins at
	// firstBucket times bucketRatio to the power of n; the last one has no end.
	timeBuckets = 56
	firstBucket = 500 * time.Microsecond
	bucketRatio = 1.25
)

// Counts counts how the requests to one version ended.
type Counts struct {
	failures uint64
	times    [timeBuckets]uint64
}

// AddFailure counts a request that failed.
func (c *Counts) AddFailure() { c.failures++ }

// AddResponse counts a response that is no failure, with its response time.
func (c *Counts) AddResponse(took time.Duration) { c.times[bucketOf(took)]++ }

// Responses returns the number of all responses, failures included.
func (c *Counts) Responses() uint64 {
	n := c.failures
	for _, m := range c.times {
		n += m
	}
	return n
}

func (c *Counts) add(other Counts) {
	c.failures += other.failures
	for i, n := range other.times {
		c.times[i] += n
	}
}

// median returns the median response time of the requests that did not fail, or false if
// there are fewer than least of them.
func (c *Counts) median(least uint64) (time.Duration, bool) {
	n := c.Responses() - c.failures
	if n < max(least, 1) {
		return 0, false
	}
	seen := uint64(0)
	for i, m := range c.times {
		seen += m
		if 2*seen >= n {
			return bucketMiddle(i), true
		}
	}
	return 0, false
}

// slowerThan returns the number of responses in the buckets that begin at a time or later.
func (c *Counts) slowerThan(limit time.Duration) uint64 {
	n := uint64(0)
	for i := bucketOf(limit) + 1; i < timeBuckets; i++ {
		n += c.times[i]
	}
	return n
}

func bucketOf(took time.Duration) int {
	if took <= firstBucket {
		return 0
	}
	n := math.Log(float64(took)/float64(firstBucket)) / math.Log(bucketRatio)
	return min(int(n), timeBuckets-1)
}

func bucketMiddle(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, float64(i)+0.5))
}

// RouteCounts holds the counts of one route for the versions in use and for the target
// version of the rollout.
type RouteCounts struct {
	route   string
	old     Counts
	updated Counts
	// before is the median response time at the VM when it learned of the order, 0 if it
	// was not known. If the counts are those of several VMs, it is the sum over vms of
	// them.
	before time.Duration
	vms    int
}

// add adds the counts of another VM or run.
func (r *RouteCounts) add(other RouteCounts) {
	r.old.add(other.old)
	r.updated.add(other.updated)
	if other.before > 0 {
		r.before += other.before
		r.vms++
	}
}

// oldMedian returns the median response time of the old versions since the order or, if
// there were too few responses, the mean of what the VMs knew before.
func (r *RouteCounts) oldMedian() (time.Duration, bool) {
	if median, ok := r.old.median(baselineResponses); ok || r.vms == 0 {
		return median, ok
	}
	return r.before / time.Duration(r.vms), true
}

// Report is what one run of an entry VM has counted of a rollout since it learned of the
// order. All counts are cumulative, so that a lost report changes nothing.
type Report struct {
	service string
	order   uint64
	// stage and allowance are those of the grant that is in force at the VM.
	stage     Stage
	allowance uint64
	// requests counts the requests for the service, and sent those of them that went to
	// the new version.
	requests uint64
	sent     uint64
	running  InFlight
	routes   []RouteCounts
}

// Service returns the name of the service.
func (r Report) Service() string { return r.service }

// Order returns the number of the order.
func (r Report) Order() uint64 { return r.order }

// Requests returns the number of requests for the service, and that of those which went to
// the new version.
func (r Report) Requests() (all, sent uint64) { return r.requests, r.sent }

// MedianTime returns the median response time on a route of the new version or of the old
// ones, or false if there was no response.
func (r Report) MedianTime(route string, updated bool) (time.Duration, bool) {
	for _, counts := range r.routes {
		switch {
		case counts.route != route:
		case updated:
			return counts.updated.median(1)
		default:
			return counts.old.median(1)
		}
	}
	return 0, false
}

// OldInFlight returns the number of attempts at the old versions that have not ended.
func (r Report) OldInFlight() uint64 { return r.running.old }

// Stage returns the stage that is in force at the VM.
func (r Report) Stage() Stage { return r.stage }
