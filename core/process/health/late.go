package health

import (
	"math"
	"math/bits"
	"time"
)

const (
	// lateSlot is the time within which several late responses of a target count
	// as one. The requests that a pause delays are answered together at its end.
	lateSlot = 50 * time.Millisecond
	// lateSlots is the number of slots that are kept.
	lateSlots = 64
	// lateShare is the share of slots with a late response, of those that would
	// have one if every response were late, from which a target counts as slow.
	lateShare = 0.25
	// extraLateSlots is the number of slots with a late response that are needed
	// beyond lateShare: a pause counts as one, and another response may be late by
	// chance.
	extraLateSlots = 2
)

// lateWindows are the numbers of slots, up to the latest late response, that are
// judged: the shortest shows a target with many requests early, the longest one with
// few requests at all.
var lateWindows = []int{6, 12, 20, 32, lateSlots}

// lateResponses holds when a target's responses were late.
type lateResponses struct {
	// base is the time of the first late response. Slots are numbered from it, since
	// numbers by the time of day would change when that is set.
	base time.Time
	// slots has a bit for each of the latest slots, set if a response was late
	// within it. Bit 0 is slot number latest.
	slots  uint64
	latest int64
	lastAt time.Time
	// conclusiveAt is the latest late response after which the late responses
	// showed the target to be slow, zero if none did.
	conclusiveAt time.Time
}

// add adds a late response. The interval is the mean time between two responses of
// the target to all VMs together, while no VM avoids it.
func (l *lateResponses) add(at time.Time, interval time.Duration) {
	if l.base.IsZero() {
		l.base = at
	}
	slot := int64(math.Floor(float64(at.Sub(l.base)) / float64(lateSlot)))
	switch age := l.latest - slot; {
	case age >= lateSlots:
		return
	case age > 0:
		l.slots |= 1 << age
	case -age >= lateSlots:
		l.slots = 1
		l.latest = slot
	default:
		l.slots = l.slots<<-age | 1
		l.latest = slot
	}
	if at.After(l.lastAt) {
		l.lastAt = at
	}
	if l.showSlow(interval) {
		l.conclusiveAt = l.lastAt
	}
}

// showSlow reports whether the share of late responses in one of the windows is that
// of a slow target. The late responses must also span minUnhealthySpan, so that a
// single pause is not enough.
//
// For example, 40 responses a second leave a response in 86 % of the slots. Of the 32
// slots of 1.6 s, 28 would have a late one if the target were slow, and 9 suffice. A
// target whose responses are late once in 100 has one in 0.6 of these slots.
func (l *lateResponses) showSlow(interval time.Duration) bool {
	expected := 1 - math.Exp(-float64(lateSlot)/float64(max(interval, time.Millisecond)))
	for _, n := range lateWindows {
		window := l.slots & (1<<n - 1)
		span := time.Duration(bits.Len64(window)-1) * lateSlot
		if span >= minUnhealthySpan && float64(countLate(window)) >= extraLateSlots+lateShare*expected*float64(n) {
			return true
		}
	}
	return false
}

// countLate returns the number of slots with a late response. Two adjacent ones without
// another beside them count as one, because the responses at the end of a pause may lie
// in both.
func countLate(slots uint64) int {
	pairs := slots & (slots >> 1) &^ (slots << 1) &^ (slots >> 2)
	return bits.OnesCount64(slots) - bits.OnesCount64(pairs)
}
