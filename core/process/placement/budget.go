package placement

import "time"

const (
	// budgetBuckets is the number of parts of a budget's window.
	budgetBuckets = 20
	// budgetMargin keeps a VM under its part of what is allowed, because the
	// window of whoever counts may begin at any moment.
	budgetMargin = 0.9
	// slackMargin keeps a part of the slack for VMs that have just started and
	// are not counted yet.
	slackMargin = 0.7
)

// budget bounds the sends beyond the first of each request, within a window
// that slides. Every VM keeps to the ratio of its own first sends, so the sum
// over all VMs keeps to it without any talk between them.
type budget struct {
	ratio  float64
	slack  float64
	window time.Duration
	firsts [budgetBuckets]int
	extras [budgetBuckets]int
	last   int64
}

func newBudget(limits Limits) budget {
	return budget{ratio: limits.extraRatio, slack: limits.extraSlack, window: max(limits.extraWindow, time.Second)}
}

// turn empties the buckets whose time is over and returns the present one.
func (b *budget) turn(now time.Time) int64 {
	bucket := now.UnixNano() / int64(b.window/budgetBuckets)
	for n := max(b.last, bucket-budgetBuckets) + 1; n <= bucket; n++ {
		b.firsts[n%budgetBuckets] = 0
		b.extras[n%budgetBuckets] = 0
	}
	b.last = max(b.last, bucket)
	return b.last % budgetBuckets
}

// first counts the first send of a request.
func (b *budget) first(now time.Time) {
	b.firsts[b.turn(now)]++
}

// take counts a further send if the window allows it. The slack of the window
// is shared by a number of VMs.
func (b *budget) take(vms int, now time.Time) bool {
	at := b.turn(now)
	firsts, extras := 0, 0
	for i := range budgetBuckets {
		firsts += b.firsts[i]
		extras += b.extras[i]
	}
	if float64(extras+1) > budgetMargin*b.ratio*float64(firsts)+slackMargin*b.slack/float64(vms) {
		return false
	}
	b.extras[at]++
	return true
}

// give returns a further send that did not leave.
func (b *budget) give(now time.Time) {
	at := b.turn(now)
	if b.extras[at] > 0 {
		b.extras[at]--
	}
}
