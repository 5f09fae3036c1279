package placement

import (
	"math"
	"time"
)

const (
	// singleSendInterval is the least time between two requests of a VM to a cold target
	// if the VM may send less than one a second. It is longer than a second, so that
	// requests which are delayed differently don't arrive within the same second.
	singleSendInterval = 1200 * time.Millisecond
	// selectionDeviations is the number of standard deviations by which more VMs than
	// expected may select themselves for a cold target without exceeding its limit.
	selectionDeviations = 5
)

// coldAllowance is what one VM may send to a cold target.
type coldAllowance struct {
	unlimited bool
	// perSecond is the number of requests in one second of the VM's count. If it is 0,
	// the VM may send one request in singleSendInterval if single is set, and none
	// otherwise.
	perSecond int
	single    bool
}

// allowCold divides the requests that a cold target bears among the VMs. Each of a few VMs
// gets a number of requests in each second. If there are fewer requests than VMs, a part of
// the VMs sends single requests: each VM decides by itself whether it is one of them, by a
// rank from 0 to 1 that it has for this target, and all ranks are independent. vms is 0 if
// the number of VMs is not known.
//
// For example, a target that bears 20 requests a second gets single requests of about 6
// out of 300 VMs. That more than 20 select themselves is as likely as a deviation of
// selectionDeviations.
func allowCold(l Limits, rate float64, vms int, rank float64) coldAllowance {
	if rate <= 0 {
		return coldAllowance{unlimited: true}
	}
	if vms <= 0 {
		return coldAllowance{}
	}
	total := rate*l.coldOverage + l.coldSlack
	// Halved because any second that the target or a monitor measures may
	// overlap two seconds of this VM's count, each with its full number of
	// requests.
	perSecond := int(total * l.coldLimitFraction / float64(vms) / 2)
	return coldAllowance{perSecond: perSecond, single: perSecond == 0 && rank*float64(vms) < expectedSelection(total)}
}

// expectedSelection returns the expected number of VMs n for which n and
// selectionDeviations of its standard deviation, the square root of n, stay below the
// limit.
func expectedSelection(limit float64) float64 {
	root := (math.Sqrt(selectionDeviations*selectionDeviations+4*limit) - selectionDeviations) / 2
	return root * root
}

// allows reports whether the VM may send another request now.
func (a coldAllowance) allows(s coldSends, now time.Time) bool {
	switch {
	case a.unlimited:
		return true
	case a.perSecond > 0:
		return !s.counts(now) || s.inSecond < a.perSecond
	}
	return a.single && now.Sub(s.last) >= singleSendInterval
}

// coldSends counts the requests of this VM to one target.
type coldSends struct {
	// inSecond is the number of requests in the second that began at began, zero before the
	// first request. It is not a second of the time of day, which may be stepped.
	began    time.Time
	inSecond int
	last     time.Time
}

// counts reports whether now is in the second that began last.
func (s coldSends) counts(now time.Time) bool {
	return !s.began.IsZero() && now.Sub(s.began) < time.Second
}

// add counts a request.
func (s *coldSends) add(now time.Time) {
	if !s.counts(now) {
		s.began = now
		s.inSecond = 0
	}
	s.inSecond++
	s.last = now
}

// hasColdCapacity reports whether the target may get another request now. It is
// always true if the target is not cold. The caller holds Fleet.mu.
func (t *Target) hasColdCapacity(now time.Time) bool {
	if !now.Before(t.coldUntil) {
		return true
	}
	vms, known := t.group.fleet.limitShares()
	if !known {
		vms = 0
	}
	rank := float64(t.rank) / math.MaxUint64
	return allowCold(t.group.fleet.limits, t.group.declared.MaxColdRate(), vms, rank).allows(t.sends, now)
}
