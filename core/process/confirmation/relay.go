package confirmation

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

const (
	// maxFreshAge and minFreshAge bound the age of a proof up to which a control VM answers
	// with it at once. It asks the leader first if the proof is older. The leader's own
	// proof is renewed with each heartbeat, every 100 ms.
	maxFreshAge = 600 * time.Millisecond
	minFreshAge = 250 * time.Millisecond
	// freshFraction is the part of the lifetime of a proof that a control VM may use up.
	freshFraction = 1.0 / 7
	// leaderAskInterval is the least time between two questions of a control VM to the
	// leader, however many entry VMs wait for the answer.
	leaderAskInterval = 100 * time.Millisecond
)

// Fresh reports whether a control VM answers with the proof at once.
func (h *Holder) Fresh(p Proof, now bootclock.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := min(max(time.Duration(freshFraction*float64(h.lifetime)), minFreshAge), maxFreshAge)
	return p.exists() && now.Sub(p.since) <= limit
}

// Relay holds the questions at a control VM that wait for a fresh proof, at most one for each
// session. It is not safe for concurrent use.
type Relay[S comparable] struct {
	waiting map[S]uint64
	askedAt bootclock.Time
	asked   bool
}

// NewRelay returns a relay without questions.
func NewRelay[S comparable]() *Relay[S] { return &Relay[S]{waiting: make(map[S]uint64)} }

// Wait records a question. It replaces an earlier one of the same session.
func (r *Relay[S]) Wait(session S, number uint64) { r.waiting[session] = number }

// Forget removes the question of a session that has ended.
func (r *Relay[S]) Forget(session S) { delete(r.waiting, session) }

// Waiting returns the number of questions that wait.
func (r *Relay[S]) Waiting() int { return len(r.waiting) }

// MayAskLeader reports whether the leader may be asked now, and then records that it is.
func (r *Relay[S]) MayAskLeader(now bootclock.Time) bool {
	if r.asked && now.Sub(r.askedAt) < leaderAskInterval {
		return false
	}
	r.asked = true
	r.askedAt = now
	return true
}

// Release calls answer for each question that waits and removes it. The age of the answers
// must be taken from a time that is read after Release is called: a question that arrived
// after that time would get too low an age.
func (r *Relay[S]) Release(answer func(session S, number uint64)) {
	for session, number := range r.waiting {
		answer(session, number)
		delete(r.waiting, session)
	}
}
