package target

import "time"

const (
	// rampInterval is the shortest time over which successes are counted before
	// the allowance may double.
	rampInterval = time.Second
	// doublingsUntilWarm is how often the allowance doubles before a target
	// counts as warm.
	doublingsUntilWarm = 5
	// sendWindow is the length of the sliding window in which no more
	// sub-requests are sent than the allowance for one second. It is 50 ms
	// longer than a second, so that no more than the allowance arrives within
	// one second although the network delay varies by up to 50 ms.
	sendWindow = 1050 * time.Millisecond
	// sufficientSuccesses is the number of successes within one interval that
	// is enough for a doubling, however high the rate is.
	sufficientSuccesses = 50
)

// ramp limits the sub-requests to a target that is not warm yet: at most rate
// sub-requests a second. The rate doubles after each interval with enough
// successes and no shed. Enough is half the number of sub-requests that the
// rate allows in the interval, or sufficientSuccesses if that is less.
//
// For example, if this VM's share of the cold capacity is 3.3 sub-requests a
// second, the ramp allows 3 a second at first, 6 after the first interval with
// at least 2 successes and no shed, then 13, 26, 52 and 105. After the fifth
// doubling the target is warm.
type ramp struct {
	// rate is the allowance in sub-requests a second.
	rate float64
	// sentAt holds the times of the latest sends, oldest first.
	sentAt        []time.Time
	intervalStart time.Time
	// successes and sheds count the outcomes since intervalStart.
	successes int
	sheds     int
	// doublings is the number of doublings that no shed has undone.
	doublings int
}

// newRamp returns a ramp that starts at this VM's share of the cold capacity,
// in sub-requests a second.
func newRamp(share float64, now time.Time) ramp {
	return ramp{rate: share, intervalStart: now}
}

// take uses one send of the allowance, which is the rate rounded down, but at
// least 1. If the allowance is used up, retryAt is the time at which the next
// send is possible; otherwise it is now.
func (r *ramp) take(now time.Time) (ok bool, retryAt time.Time) {
	allowance := max(1, int(r.rate))
	window := sendWindow
	if r.rate < 1 {
		// A rate below one a second is one sub-request in a longer window.
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

// exhaust uses up the whole allowance.
func (r *ramp) exhaust(now time.Time) {
	for ok := true; ok; {
		ok, _ = r.take(now)
	}
}

// recordSuccess counts a success. If the interval is over, it starts the next
// one, and doubles the rate if there were enough successes and no shed. It
// reports whether the target is now warm.
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

// raiseTo doubles the rate for as long as the doubled rate does not exceed
// provenRate, the number of sub-requests a second to which the allowance of
// another VM for the same leaf has grown. It stops after doublingsUntilWarm
// doublings in all.
func (r *ramp) raiseTo(provenRate float64) {
	for r.rate*2 <= provenRate && r.doublings < doublingsUntilWarm {
		r.rate *= 2
		r.doublings++
	}
}

// recordShed counts a refusal because of overload and undoes one doubling. A
// single refusal shows that the rate was too high, not that the target is cold
// again.
func (r *ramp) recordShed() {
	r.sheds++
	if r.doublings > 0 {
		r.rate /= 2
		r.doublings--
	}
}
