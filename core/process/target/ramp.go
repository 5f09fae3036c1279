package target

import "time"

const (
	// rampInterval is the time over which successes are counted before the
	// allowance may double.
	rampInterval = time.Second
	// rampDoublings is how often the allowance doubles before a target is warm.
	rampDoublings = 5
	// burstTime bounds what an idle bucket saves up.
	burstTime = 200 * time.Millisecond
)

// ramp is the allowance of a target that is not warm yet: a token bucket whose
// rate doubles after each interval that proved it.
//
// For example, with a share of 3 a second: 3 in the first second, 6 after the
// first interval with at least 2 successes and no shed, then 12, 24, 48, 96,
// and after the fifth doubling the target is warm.
type ramp struct {
	rate      float64
	tokens    float64
	filled    time.Time
	since     time.Time
	successes int
	sheds     int
	doublings int
}

// newRamp starts at the share of the cold capacity, in sub-requests a second.
func newRamp(share float64, now time.Time) ramp {
	return ramp{rate: share, tokens: 1, filled: now, since: now}
}

// take spends a token. Where there is none it returns the time at which the
// next one will be there.
func (r *ramp) take(now time.Time) (ok bool, at time.Time) {
	elapsed := now.Sub(r.filled).Seconds()
	if elapsed > 0 {
		most := max(1, r.rate*burstTime.Seconds())
		r.tokens = min(most, r.tokens+elapsed*r.rate)
		r.filled = now
	}
	if r.tokens >= 1 {
		r.tokens--
		return true, now
	}
	wait := (1 - r.tokens) / r.rate
	return false, now.Add(time.Duration(wait * float64(time.Second)))
}

// succeed counts a success and reports whether the target is now warm.
func (r *ramp) succeed(now time.Time) (warm bool) {
	r.successes++
	if now.Sub(r.since) < rampInterval {
		return false
	}
	proven := r.sheds == 0 && float64(r.successes) >= r.rate*now.Sub(r.since).Seconds()/2
	if proven || r.sheds == 0 && r.successes >= maxProof {
		r.rate *= 2
		r.doublings++
	}
	r.since = now
	r.successes = 0
	r.sheds = 0
	return r.doublings >= rampDoublings
}

// maxProof is a number of successes within one interval that proves the
// allowance whatever the rate.
const maxProof = 50

// shed counts a refusal for load.
func (r *ramp) shed() { r.sheds++ }
