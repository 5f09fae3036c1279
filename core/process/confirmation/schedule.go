package confirmation

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

const (
	// baseInterval is the time between two questions of a VM. With a proof that is valid
	// for 4.25 s, four may remain without an answer.
	baseInterval = 800 * time.Millisecond
	// largeInterval replaces baseInterval where one control VM serves more than largeRatio
	// VMs, and hugeInterval where it serves more than hugeRatio. They keep the questions and
	// replies under 20 KB/s at each control VM up to 1,200 VMs for each of them.
	largeInterval = 1200 * time.Millisecond
	largeRatio    = 100
	hugeInterval  = 1600 * time.Millisecond
	hugeRatio     = 500
	// answerTimeout is the time after which a question without a useful answer is put
	// again, to more control VMs.
	answerTimeout = 350 * time.Millisecond
	// maxWidth is the highest number of control VMs that are asked at once.
	maxWidth = 4
	// backoffAfter is the number of questions in a row without a useful answer after
	// which the interval is the regular one again. Many VMs without a quorum must not
	// load the control VMs that are about to elect a leader.
	backoffAfter = 6
	// rememberedRounds is the number of questions whose time is kept. A reply to an older
	// one could only prove what has expired.
	rememberedRounds = 16
	// timerSlack lets a question be due slightly early, so that a timer that fires
	// a little too soon does not postpone it to its next tick.
	timerSlack = 40 * time.Millisecond
)

// schedule decides when this VM asks, and remembers when it did.
type schedule struct {
	// number is that of the latest question, asked holds the latest questions, and count
	// is the number of all of them.
	number uint64
	asked  [rememberedRounds]round
	count  int
	lastAt bootclock.Time
	// missed is the number of questions in a row without a useful answer, the current one
	// included.
	missed int
}

// round is a question that was put to one or more control VMs under one number.
type round struct {
	number uint64
	at     bootclock.Time
}

// Question is a question for the newest revision that is to be sent to Width control VMs,
// beginning with the one at the position Turn of their order.
type Question struct {
	number uint64
	width  int
	turn   int
}

// Number returns the number that the replies repeat.
func (q Question) Number() uint64 { return q.number }

// Width returns the number of control VMs to ask.
func (q Question) Width() int { return q.width }

// Turn returns the number of questions before this one. It selects the control VMs, so that
// one that does not answer is not asked every time.
func (q Question) Turn() int { return q.turn }

// Next returns the question that is due, or false if none is. vmsPerControlVM is the number
// of entry VMs for each control VM.
func (h *Holder) Next(vmsPerControlVM int, now bootclock.Time) (Question, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.needed || !h.due(vmsPerControlVM, now) {
		return Question{}, false
	}
	turn, width := h.schedule.count, h.width()
	h.schedule.missed++
	return Question{number: h.begin(now), width: width, turn: turn}, true
}

// due reports whether a question is due. The caller holds mu.
func (h *Holder) due(vmsPerControlVM int, now bootclock.Time) bool {
	s := &h.schedule
	if s.count == 0 {
		return true
	}
	passed := now.Sub(s.lastAt) + timerSlack
	interval := h.interval(vmsPerControlVM)
	if s.missed > 0 && s.missed <= backoffAfter {
		interval = min(interval, answerTimeout)
	}
	return passed >= interval
}

// interval returns the time between two questions that are answered. It is shorter where
// proofs are valid for less than with the default bound. The caller holds mu.
func (h *Holder) interval(vmsPerControlVM int) time.Duration {
	interval := baseInterval
	switch {
	case vmsPerControlVM > hugeRatio:
		interval = hugeInterval
	case vmsPerControlVM > largeRatio:
		interval = largeInterval
	}
	return time.Duration(float64(interval) * min(1, float64(h.lifetime)/(lifetimeFraction*float64(DefaultWithin))))
}

// width returns the number of control VMs to ask. The caller holds mu.
func (h *Holder) width() int {
	switch {
	case !h.held.exists() || h.schedule.missed > 1:
		return maxWidth
	case h.schedule.missed == 1:
		return 2
	}
	return 1
}

// RetrySoon lets a question that got no useful answer be put again soon, because a control VM
// has become reachable.
func (h *Holder) RetrySoon() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.schedule.missed = min(h.schedule.missed, 1)
}

// Ask returns the number of a question that the caller sends now, whether or not one is
// due.
func (h *Holder) Ask(now bootclock.Time) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.begin(now)
}

// begin records a question. The caller holds mu.
func (h *Holder) begin(now bootclock.Time) uint64 {
	s := &h.schedule
	s.number++
	s.asked[s.count%rememberedRounds] = round{number: s.number, at: now}
	s.count++
	s.lastAt = now
	return s.number
}

// Answer takes in the reply to a question: no revision above the given one was acknowledged
// longer than age before the reply was made. This VM counts from the time at which it asked,
// since it does not know when the reply was made. It reports whether the reply is later than
// the proofs before. A reply to an unknown question or with a negative age is ignored.
func (h *Holder) Answer(number, revision uint64, age time.Duration, now bootclock.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, known := h.schedule.askedAt(number)
	if !known || age < 0 {
		return false
	}
	since := at.Add(-age)
	if !h.add(NewProof(revision, since)) {
		return false
	}
	if now.Sub(since) < h.lifetime/2 {
		h.schedule.missed = 0
	}
	return true
}

// askedAt returns when a question was put.
func (s *schedule) askedAt(number uint64) (bootclock.Time, bool) {
	for _, r := range s.asked[:min(s.count, rememberedRounds)] {
		if r.number == number {
			return r.at, true
		}
	}
	return 0, false
}
