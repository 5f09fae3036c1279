package fanout

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
)

// Send asks the caller to send a sub-request to a target that the directory
// has acquired.
type Send struct {
	part    int
	attempt int
	target  string
	handle  Handle
}

// Part returns the index of the service in the plan.
func (s Send) Part() int { return s.part }

// Attempt returns the number of the attempt within the query.
func (s Send) Attempt() int { return s.attempt }

// Target returns the name of the target.
func (s Send) Target() string { return s.target }

// Handle returns what the directory gave for the acquired target.
func (s Send) Handle() Handle { return s.handle }

// Handle is the directory's own view of an acquired target; this package
// passes it through.
type Handle any

// Directory answers what the shared tables know at this moment.
type Directory interface {
	// Choose acquires a target of the part's service that is not excluded.
	// The purpose decides which budget of the service pays for it.
	Choose(part int, purpose Purpose, excluded []string, now time.Time) Choice
	// HedgeDelay returns the time after which a sub-request is late.
	HedgeDelay(part int) time.Duration
}

// Purpose says what a sub-request is sent for.
type Purpose int

// The purposes of a sub-request.
const (
	// First is the first sub-request to a service.
	First Purpose = iota
	// Retry follows a sub-request that ended without a result.
	Retry
	// Hedge runs beside a sub-request that is late.
	Hedge
)

// Choice is the directory's answer: Acquired, Later or Never.
type Choice interface{ choice() }

// Acquired is a target that now counts one more in flight.
type Acquired struct {
	target string
	handle Handle
}

// Later says that no target has room before a time.
type Later struct{ at time.Time }

// Unavailable says that no target of the service may be used.
type Unavailable struct{ noSnapshot bool }

func (Acquired) choice()    {}
func (Later) choice()       {}
func (Unavailable) choice() {}

// NewAcquired returns the choice of an acquired target.
func NewAcquired(target string, handle Handle) Acquired {
	return Acquired{target: target, handle: handle}
}

// NewLater returns the choice to ask again at a time.
func NewLater(at time.Time) Later { return Later{at: at} }

// NewUnavailable returns the choice of no target; noSnapshot says that targets exist
// but none holds the planned snapshot.
func NewUnavailable(noSnapshot bool) Unavailable { return Unavailable{noSnapshot: noSnapshot} }

// Result is the outcome of one attempt.
type Result struct {
	attempt int
	outcome leaf.Outcome
}

// NewResult returns the outcome of the attempt that a Send numbered.
func NewResult(attempt int, outcome leaf.Outcome) Result {
	return Result{attempt: attempt, outcome: outcome}
}
