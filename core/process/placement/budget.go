package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// windowBuckets is the number of parts of a budget's window.
	windowBuckets = 20
	// budgetBuckets is one more, so that they cover any span of the window's
	// length whenever it begins.
	storedBuckets = windowBuckets + 1
	// budgetMargin keeps a VM under its part of what is allowed, because the
	// window of whoever counts may begin at any moment.
	ratioMargin = 0.9
	// slackMargin keeps a part of the slack for VMs that are not counted yet,
	// and for sends that were held up on their way and arrive together.
	slackMargin = 0.85
	// startSlack is the part of the slack that a process has when it starts.
	initialSlackFraction = 0.4
)

// budget bounds the sends beyond the first of each request, within a window
// that slides. Every VM keeps to the ratio of its own first sends, so the sum
// over all VMs keeps to it without any talk between them.
type retryBudget struct {
	ratio      float64
	slack      float64
	window     time.Duration
	firsts     [storedBuckets]int
	extras     [storedBuckets]int
	lastBucket int64
	startedAt  time.Time
	// fraction is added before rounding down. It differs between VMs, so that
	// the parts of a send that each of them loses don't add up.
	roundingOffset float64
}

func newBudget(limits Limits, now time.Time) retryBudget {
	return retryBudget{ratio: limits.extraRatio, slack: limits.extraSlack, window: max(limits.extraWindow, time.Second), startedAt: now, roundingOffset: rand.Float64()}
}

// turn empties the buckets whose time is over and returns the present one.
func (b *retryBudget) advance(now time.Time) int64 {
	bucket := now.UnixNano() / int64(b.window/windowBuckets)
	for n := max(b.lastBucket, bucket-storedBuckets) + 1; n <= bucket; n++ {
		b.firsts[n%storedBuckets] = 0
		b.extras[n%storedBuckets] = 0
	}
	b.lastBucket = max(b.lastBucket, bucket)
	return b.lastBucket % storedBuckets
}

// first counts the first send of a request.
func (b *retryBudget) countFirst(now time.Time) {
	b.firsts[b.advance(now)]++
}

// slackNow returns the slack of this process. It grows over its first window:
// the VM may have spent its part just before it restarted.
func (b *retryBudget) slackShare(vms int, now time.Time) float64 {
	windowFraction := min(1, float64(now.Sub(b.startedAt))/float64(b.window))
	return slackMargin * b.slack / float64(vms) * (initialSlackFraction + (1-initialSlackFraction)*windowFraction)
}

// take counts a further send if the window allows it. The slack of the window
// is shared by a number of VMs.
func (b *retryBudget) tryTake(vms int, now time.Time) bool {
	bucket := b.advance(now)
	firsts, extras := 0, 0
	for i := range storedBuckets {
		firsts += b.firsts[i]
		extras += b.extras[i]
	}
	allowed := int(ratioMargin*b.ratio*float64(firsts) + b.slackShare(vms, now) + b.roundingOffset)
	if extras >= allowed {
		return false
	}
	b.extras[bucket]++
	return true
}

// give returns a further send that did not leave.
func (b *retryBudget) refund(now time.Time) {
	bucket := b.advance(now)
	if b.extras[bucket] > 0 {
		b.extras[bucket]--
	}
}
