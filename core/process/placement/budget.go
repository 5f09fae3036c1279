package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// windowBuckets is the number of buckets that one budget window is divided
	// into.
	windowBuckets = 20
	// storedBuckets is one more than windowBuckets, so that the stored buckets
	// cover every span of the window's length, even one that begins in the
	// middle of a bucket.
	storedBuckets = windowBuckets + 1
	// ratioMargin is the fraction of the allowed ratio that a VM uses. The rest
	// is kept in reserve because a monitor that measures the ratio may begin
	// its window at any moment.
	ratioMargin = 0.9
	// slackMargin is the fraction of the slack that the VMs use. The rest is
	// kept in reserve for VMs that are not yet counted and for attempts that
	// were delayed on the way and arrive together.
	slackMargin = 0.85
	// initialSlackFraction is the fraction of its slack that a process may use
	// when it starts.
	initialSlackFraction = 0.4
	// summationError is more than the rounding error of the sum over all buckets.
	summationError = 1e-6
	// initialRatioFraction is the fraction of the allowed ratio that a process may use
	// when it starts. It is enough for a part of the hedges at usual load.
	initialRatioFraction = 0.15
)

// retryBudget limits the extra attempts (retries and hedges) to a ratio of the
// first attempts plus a fixed slack, within a sliding window. Each VM applies
// the ratio to its own first attempts, so the total over all VMs stays within
// the ratio without coordination between them.
type retryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration
	// firsts and extras hold the numbers of first and extra attempts, and earned the
	// extra attempts that the first ones allow, for each of the latest storedBuckets
	// buckets. Bucket n is stored at index n modulo storedBuckets.
	firsts [storedBuckets]int
	extras [storedBuckets]int
	earned [storedBuckets]float64
	// lastBucket is the number of the latest bucket, counted from startedAt: buckets that
	// are numbered by the time of day leave the window when that is stepped ahead.
	lastBucket int64
	startedAt  time.Time
	// roundingOffset is a random number from 0 to 1, chosen for each budget. It
	// is added to the allowed number of extra attempts before that number is
	// rounded down, so that the rounding losses of the VMs don't add up.
	roundingOffset float64
}

// newBudget returns a budget for a process that started at startedAt, with no
// attempts counted yet. The window is at least one second.
func newBudget(limits Limits, startedAt time.Time) retryBudget {
	return retryBudget{ratio: limits.extraRatio, slack: limits.extraSlack, window: max(limits.extraWindow, time.Second), startedAt: startedAt, roundingOffset: rand.Float64()}
}

// advance clears the buckets that have left the window and returns the index of
// the current bucket. If now is in an earlier bucket than the latest one,
// nothing is cleared and the index of the latest one is returned.
func (b *retryBudget) advance(now time.Time) int64 {
	bucket := int64(max(0, now.Sub(b.startedAt)) / (b.window / windowBuckets))
	for n := max(b.lastBucket, bucket-storedBuckets) + 1; n <= bucket; n++ {
		b.firsts[n%storedBuckets] = 0
		b.extras[n%storedBuckets] = 0
		b.earned[n%storedBuckets] = 0
	}
	b.lastBucket = max(b.lastBucket, bucket)
	return b.lastBucket % storedBuckets
}

// countFirst counts the first attempt of a request. Each one raises the number
// of extra attempts allowed within the window by ratioShare.
func (b *retryBudget) countFirst(now time.Time) {
	bucket := b.advance(now)
	b.firsts[bucket]++
	b.earned[bucket] += b.ratioShare(now)
}

// firstInterval returns the mean time between two first attempts within the window,
// or the whole window if there was none.
func (b *retryBudget) firstInterval(now time.Time) time.Duration {
	b.advance(now)
	firsts := 0
	for _, n := range b.firsts {
		firsts += n
	}
	return min(b.window, now.Sub(b.startedAt)) / time.Duration(max(1, firsts))
}

// slackShare returns this VM's share of the slack, in attempts. It grows from
// initialSlackFraction to the whole share over the first window of the process,
// because the VM may have used its share just before a restart.
func (b *retryBudget) slackShare(vms int, now time.Time) float64 {
	return slackMargin * b.slack / float64(vms) * (initialSlackFraction + (1-initialSlackFraction)*b.windowFraction(now))
}

// ratioShare returns the extra attempts that a first attempt allows. A process
// that ran on this VM before may have used the extra attempts for a whole window of its
// own first attempts just before it was killed. They count for the monitor until they have
// left the window, so that the first attempts of a new process allow little at first.
func (b *retryBudget) ratioShare(now time.Time) float64 {
	return ratioMargin * b.ratio * (initialRatioFraction + (1-initialRatioFraction)*b.windowFraction(now))
}

// windowFraction returns the part of the first window of the process that has passed, 1
// after it.
func (b *retryBudget) windowFraction(now time.Time) float64 {
	return min(1, float64(now.Sub(b.startedAt))/float64(b.window))
}

// tryTake counts an extra attempt and returns true if the budget allows one.
// The slack is divided equally among the number of VMs given by vms. While that number
// is not known, none of the slack is used: of VMs that start together each would take
// all of it.
func (b *retryBudget) tryTake(vms int, known bool, now time.Time) bool {
	bucket := b.advance(now)
	extras, allowed := b.use(vms, known, now)
	if extras >= int(allowed+summationError) {
		return false
	}
	b.extras[bucket]++
	return true
}

// use returns the extra attempts within the window and how many are allowed.
func (b *retryBudget) use(vms int, known bool, now time.Time) (extras int, allowed float64) {
	b.advance(now)
	for i := range storedBuckets {
		extras += b.extras[i]
		allowed += b.earned[i]
	}
	if known {
		allowed += b.slackShare(vms, now) + b.roundingOffset
	}
	return extras, allowed
}

// refund gives an extra attempt back to the budget because it was not sent. It
// is subtracted from the current bucket; if that has counted no extra attempt,
// nothing is given back.
func (b *retryBudget) refund(now time.Time) {
	bucket := b.advance(now)
	if b.extras[bucket] > 0 {
		b.extras[bucket]--
	}
}
