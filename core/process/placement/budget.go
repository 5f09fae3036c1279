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
	budgetBuckets = windowBuckets + 1
	// budgetMargin keeps a VM under its part of what is allowed, because the
	// window of whoever counts may begin at any moment.
	budgetMargin = 0.9
	// slackMargin keeps a part of the slack for VMs that are not counted yet,
	// and for sends that were held up on their way and arrive together.
	slackMargin = 0.85
	// startSlack is the part of the slack that a process has when it starts.
	startSlack = 0.4
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
	began  time.Time
	// fraction is added before rounding down. It differs between VMs, so that
	// the parts of a send that each of them loses don't add up.
	fraction float64
}

func newBudget(limits Limits, now time.Time) budget {
	return budget{ratio: limits.extraRatio, slack: limits.extraSlack, window: max(limits.extraWindow, time.Second), began: now, fraction: rand.Float64()}
}

// turn empties the buckets whose time is over and returns the present one.
func (b *budget) turn(now time.Time) int64 {
	bucket := now.UnixNano() / int64(b.window/windowBuckets)
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

// slackNow returns the slack of this process. It grows over its first window:
// the VM may have spent its part just before it restarted.
func (b *budget) slackNow(vms int, now time.Time) float64 {
	age := min(1, float64(now.Sub(b.began))/float64(b.window))
	return slackMargin * b.slack / float64(vms) * (startSlack + (1-startSlack)*age)
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
	allowed := int(budgetMargin*b.ratio*float64(firsts) + b.slackNow(vms, now) + b.fraction)
	if extras >= allowed {
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
