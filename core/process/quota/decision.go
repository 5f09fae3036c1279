package quota

import "time"

// Decision is the result of Holder.Take: Taken, Refused, Unavailable or Waiting.
type Decision interface{ decision() }

// Taken means that the request may be sent.
type Taken struct{ token Token }

// Refused means that the team has no quota left.
type Refused struct{ retryAfter time.Duration }

// Unavailable means that the holder has no token and the owner did not answer, so that it
// is not known whether the team has quota left.
type Unavailable struct{}

// Waiting means that the owner must be asked. The decision follows from Holder.Apply.
type Waiting struct{ waiter Waiter }

// Waiter identifies a request that waits for a token.
type Waiter uint64

func (Taken) decision()       {}
func (Refused) decision()     {}
func (Unavailable) decision() {}
func (Waiting) decision()     {}

// Token returns the token.
func (t Taken) Token() Token { return t.token }

// RetryAfter returns the time after which the team may have quota again.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

// Waiter returns the waiter whose decision Holder.Apply returns.
func (w Waiting) Waiter() Waiter { return w.waiter }

// NewRefused returns the decision for a team without quota.
func NewRefused(retryAfter time.Duration) Refused { return Refused{retryAfter: retryAfter} }

// Outcome is the decision for a request that waited.
type Outcome struct {
	waiter   Waiter
	decision Decision
}

// Waiter returns the waiter.
func (o Outcome) Waiter() Waiter { return o.waiter }

// Decision returns the decision.
func (o Outcome) Decision() Decision { return o.decision }
