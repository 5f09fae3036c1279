package target

import "time"

const (
	// rampInterval is the time over which successes are counted before the
	// allowance may double.
	rampInterval = time.Second
	// rampDoublings is how often the allowance doubles before a target is warm.
	doublingsUntilWarm = 5
	// sendWindow is the time in which the allowance may be used once. It is
	// a little over a second, so that sub-requests that travel at different
	// speeds are still a second apart where they arrive.
	sendWindow = 1050 * time.Millisecond
	// maxProof is a number of successes within one interval that proves the
	// allowance whatever the rate.
	sufficientSuccesses = 50
)

// ramp is the allowance of a target that is not warm yet: at most rate
// sub-requests in any second, and the rate doubles after each interval that
// proved it.
//
// For example, with a share of 3.3 a second: 3 in any second, 6 after the
// first interval with at least 2 successes and no shed, then 13, 26, 52, 105,
// and after the fifth doubling the target is warm.
type ramp struct {
	rate          float64
	sentAt        []time.Time
	intervalStart time.Time
	successes     int
	sheds         int
	doublings     int
}

// newRamp starts at the share of the cold capacity, in sub-requests a second.
func newRamp(share float64, now time.Time) ramp {
	return ramp{rate: share, intervalStart: now}
}

// take uses the allowance once. Where it is used up it returns the time at
// which it is there again.
func (r *ramp) take(now time.Time) (ok bool, retryAt time.Time) {
	allowance := max(1, int(r.rate))
	window := sendWindow
	if r.rate < 1 {
		// Less than one a second is one in a longer time.
		window = time.Duration(float64(sendWindow) / r.rate)
	}
	if len(r.sentAt) < allowance {
		r.sentAt = append(r.sentAt, now)
		return true, now
	}
	r.sentAt = r.sentAt[len(r.sentAt)-allowance:]
	if freeAt := r.sentAt[0].Add(window); freeAt.After(now) {
		return false, freeAt
	}
	r.sentAt = append(r.sentAt[1:], now)
	return true, now
}

// exhaust uses the allowance up.
func (r *ramp) exhaust(now time.Time) {
	for ok := true; ok; {
		ok, _ = r.take(now)
	}
}

// succeed counts a success and reports whether the target is now warm.
func (r *ramp) recordSuccess(now time.Time) (warm bool) {
	r.successes++
	if now.Sub(r.intervalStart) < rampInterval {
		return false
	}
	enough := float64(r.successes) >= r.rate*now.Sub(r.intervalStart).Seconds()/2 || r.successes >= sufficientSuccesses
	if enough && r.sheds == 0 {
		r.rate *= 2
		r.doublings++
	}
	r.intervalStart = now
	r.successes = 0
	r.sheds = 0
	return r.doublings >= doublingsUntilWarm
}

// raise doubles the allowance up to a rate that others have proven.
func (r *ramp) raiseTo(provenRate float64) {
	for r.rate*2 <= provenRate && r.doublings < doublingsUntilWarm {
		r.rate *= 2
		r.doublings++
	}
}

// shed counts a refusal for load and takes one doubling back. One refusal says
// that this much was too much, not that the target is cold again.
func (r *ramp) recordShed() {
	r.sheds++
	if r.doublings > 0 {
		r.rate /= 2
		r.doublings--
	}
}
