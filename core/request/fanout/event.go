package fanout

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
)

// Send instructs the caller to send a sub-request to a target that the
// Directory has acquired.
type Send struct {
	part    int
	attempt int
	target  string
	handle  Handle
}

// Part returns the index of the service in the plan.
func (s Send) Part() int { return s.part }

// Attempt returns the number of the attempt, counted from 0 over the whole
// query.
func (s Send) Attempt() int { return s.attempt }

// Target returns the name of the target.
func (s Send) Target() string { return s.target }

// Handle returns the Directory's handle for the acquired target.
func (s Send) Handle() Handle { return s.handle }

// Handle is the Directory's reference to an acquired target. This package does
// not interpret it.
type Handle any

// Directory acquires targets and provides hedge delays, from state that is
// shared by all queries.
type Directory interface {
	// Choose acquires a target of the service whose index in the plan is part.
	// It does not choose a target whose name is in excluded. A retry or hedge is charged to the budget for its purpose;
	// a first sub-request is not charged to any.
	Choose(part int, purpose Purpose, excluded []string, now time.Time) Choice
	// HedgeDelay returns the time after which a sub-request to the service
	// counts as late.
	HedgeDelay(part int) time.Duration
}

// Purpose is the reason for which a sub-request is sent.
type Purpose int

// The purposes of a sub-request.
const (
	// First is the first sub-request to a service.
	First Purpose = iota
	// Retry is sent after an earlier sub-request ended without a usable result.
	Retry
	// Hedge is sent in parallel with a sub-request that is late.
	Hedge
)

// Choice is the result of Directory.Choose: Acquired, Later or Unavailable.
type Choice interface{ choice() }

// Acquired is a target that was found. The Directory counts the sub-request as
// in flight from the time of the choice.
type Acquired struct {
	target string
	handle Handle
}

// Later means that no sub-request may be sent at present, because of a lack of
// capacity or budget, and that Choose should be called again at the given time.
type Later struct{ at time.Time }

// Unavailable means that the service has no target that may be used at present.
type Unavailable struct{ noSnapshot bool }

func (Acquired) choice()    {}
func (Later) choice()       {}
func (Unavailable) choice() {}

// NewAcquired returns the choice of a target that was acquired.
func NewAcquired(target string, handle Handle) Acquired {
	return Acquired{target: target, handle: handle}
}

// NewLater returns a Later with the time at which Choose should be called
// again.
func NewLater(at time.Time) Later { return Later{at: at} }

// NewUnavailable returns an Unavailable. noSnapshot means that the service has
// targets, but that none holds the planned snapshot.
func NewUnavailable(noSnapshot bool) Unavailable { return Unavailable{noSnapshot: noSnapshot} }

// Result is the outcome of one attempt.
type Result struct {
	attempt int
	outcome leaf.Outcome
}

// NewResult returns the outcome of the attempt with the number from its Send.
func NewResult(attempt int, outcome leaf.Outcome) Result {
	return Result{attempt: attempt, outcome: outcome}
}
