package relay

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// MaxSends is the maximum number of sends of one part. It includes sends that
// the target refused and sends of which no byte left this VM.
const MaxSends = 5

// part is the state of the sends to one service of the plan.
type part struct {
	response *Response
	// failure is the last response that was not a success, kept in case there
	// is no success.
	failure *Response
	// cause is the reason why the most recent declined, unsent or lost send
	// failed.
	cause string
	tried []*placement.Target
	// sends counts all sends, possibleRuns those of them that a target may have
	// run. Only the latter count as attempts, whose number the route limits.
	sends        int
	possibleRuns int
	inFlight     int
	// waiting is set while the part waits for a target with free capacity.
	waiting bool
	// settled is set once the part has succeeded or will not be sent again. Its
	// result is final.
	settled bool
	// hedgeAt is the time at which a hedge is due, or zero if none is. A hedge is
	// an additional send while the response to an earlier one is late.
	hedgeAt time.Time
}

// State is the state of one request in progress. It is not safe for concurrent
// use.
type State struct {
	plan      Plan
	parts     []part
	succeeded int
	unsettled int
	anySent   bool
}

// NewState returns the state of a request before its first send.
func NewState(plan Plan) *State {
	return &State{plan: plan, parts: make([]part, len(plan.services)), unsettled: len(plan.services)}
}

// Plan returns the plan of the request.
func (s *State) Plan() Plan { return s.plan }

// NumParts returns the number of parts, which is the number of services of the
// plan.
func (s *State) NumParts() int { return len(s.parts) }

// Tried returns the targets to which a part was sent, one entry for each send,
// oldest first.
func (s *State) Tried(n int) []*placement.Target { return s.parts[n].tried }

// Waiting reports whether a part waits for a target with free capacity.
func (s *State) Waiting(n int) bool { return s.parts[n].waiting }

// Missing reports whether a part has no successful response.
func (s *State) Missing(n int) bool { return s.parts[n].response == nil }

// AtMostOnce reports whether the request must not be run twice.
func (s *State) AtMostOnce() bool { return s.plan.route.Kind() == routing.NonIdempotent }

// RecordSend records a send of a part, and that a hedge of it is due when
// lateAfter has passed. No hedge is due if the request must not be run twice or
// the part has reached the maximum number of attempts.
func (s *State) RecordSend(n int, t *placement.Target, lateAfter time.Duration, now time.Time) {
	p := &s.parts[n]
	p.waiting = false
	p.tried = append(p.tried, t)
	p.sends++
	p.possibleRuns++
	p.inFlight++
	s.anySent = true
	p.hedgeAt = time.Time{}
	if !s.AtMostOnce() && p.possibleRuns < s.plan.route.MaxAttempts() {
		p.hedgeAt = now.Add(lateAfter)
	}
}

// MarkWaiting records that a part waits for a target with free capacity.
func (s *State) MarkWaiting(n int) { s.parts[n].waiting = true }

// Action is what the caller has to do with a part after an outcome.
type Action int

// The actions that follow an outcome.
const (
	// NoAction: the part is settled, or another send of it is waiting or in
	// flight.
	NoAction Action = iota
	// Retry: send the part again and charge the send to the budget for
	// additional sends.
	Retry
	// FreeRetry: send the part again without a charge, since the last send
	// never left this VM.
	FreeRetry
)

// HandleOutcome processes the outcome of a send of a part and returns the
// action that follows. A part is settled, so that it is not sent again, after a
// success, after the maximum number of sends or attempts, and, if the request
// must not be run twice, after any send that a target may have run. An outcome
// for a part that is already settled does not change the answer.
func (s *State) HandleOutcome(n int, outcome Outcome) Action {
	p := &s.parts[n]
	p.inFlight--
	if p.settled {
		return NoAction
	}
	switch o := outcome.(type) {
	case Answered:
		if s.usable(o.response) {
			p.response = o.response
			s.succeeded++
			s.settle(p)
			return NoAction
		}
		p.failure = o.response
		if s.AtMostOnce() {
			s.settle(p)
			return NoAction
		}
	case Declined:
		p.possibleRuns--
		p.cause = o.reason
		return s.retryOrSettle(p, Retry)
	case Unsent:
		p.possibleRuns--
		p.cause = o.Cause()
		return s.retryOrSettle(p, FreeRetry)
	case Lost:
		p.cause = o.Cause()
		if s.AtMostOnce() {
			s.settle(p)
			return NoAction
		}
	}
	return s.retryOrSettle(p, Retry)
}

// Holds reports whether a response is kept by a part for the answer.
func (s *State) Holds(n int, r *Response) bool {
	return s.parts[n].response == r || s.parts[n].failure == r
}

// usable reports whether a response counts as a success. A shard's response
// must have a 2xx status and a signature. On a route without shards every
// status below 500 counts, and the response is passed on unchanged.
func (s *State) usable(r *Response) bool {
	if len(s.plan.route.Shards()) > 0 {
		return r.status >= 200 && r.status < 300 && r.signature != ""
	}
	return r.status < 500
}

// retryOrSettle returns the given action, or settles the part if it may not be
// sent again. It returns NoAction while another send of the part is waiting or
// in flight.
func (s *State) retryOrSettle(p *part, action Action) Action {
	if p.inFlight > 0 || p.waiting {
		return NoAction
	}
	if p.possibleRuns >= s.plan.route.MaxAttempts() || p.sends >= MaxSends {
		s.settle(p)
		return NoAction
	}
	return action
}

// GiveUp settles a part that cannot be sent again, unless a send of it is in
// flight.
func (s *State) GiveUp(n int) {
	p := &s.parts[n]
	p.waiting = false
	if p.inFlight == 0 && !p.settled {
		s.settle(p)
	}
}

func (s *State) settle(p *part) {
	p.settled = true
	p.waiting = false
	p.hedgeAt = time.Time{}
	s.unsettled--
}

// DueHedges returns the parts whose response is late at the given time. It
// returns each of them only once for each send.
func (s *State) DueHedges(now time.Time) []int {
	var out []int
	for n := range s.parts {
		p := &s.parts[n]
		if !p.settled && !p.hedgeAt.IsZero() && !now.Before(p.hedgeAt) {
			p.hedgeAt = time.Time{}
			out = append(out, n)
		}
	}
	return out
}

// PostponeHedge records that a hedge of a part that DueHedges returned is due at a later
// time instead.
func (s *State) PostponeHedge(n int, at time.Time) {
	if !s.parts[n].settled {
		s.parts[n].hedgeAt = at
	}
}

// Done reports whether the answer can be returned. That is the case when all
// parts are settled, too few parts can still succeed, the end of the plan has
// come, partial answers are due and enough parts have succeeded, or the request
// was not sent to any target before its unsent deadline, so that the caller is
// refused early and not only at the end of the plan.
func (s *State) Done(now time.Time) bool {
	switch {
	case s.unsettled == 0 || s.succeeded+s.unsettled < s.plan.minParts || !now.Before(s.plan.end):
		return true
	case !s.anySent && !now.Before(s.plan.unsentDeadline):
		return true
	}
	return !s.plan.partialAnswerAt.IsZero() && !now.Before(s.plan.partialAnswerAt) && s.succeeded >= s.plan.minParts
}

// capacityPollInterval is the time between two checks for free capacity while a
// part waits. Polling is needed because a target that was not used, for example
// after failures, can become usable again when time passes, without an event.
const capacityPollInterval = 15 * time.Millisecond

// NextTime returns the time at which Done and DueHedges must be called and free
// capacity must be checked again, if no outcome arrives before.
func (s *State) NextTime(now time.Time) time.Time {
	next := s.plan.end
	if !s.plan.partialAnswerAt.IsZero() && now.Before(s.plan.partialAnswerAt) {
		next = earlier(next, s.plan.partialAnswerAt)
	}
	if !s.anySent && now.Before(s.plan.unsentDeadline) {
		next = earlier(next, s.plan.unsentDeadline)
	}
	for n := range s.parts {
		p := &s.parts[n]
		if p.settled {
			continue
		}
		if !p.hedgeAt.IsZero() {
			next = earlier(next, p.hedgeAt)
		}
		if p.waiting {
			next = earlier(next, now.Add(capacityPollInterval))
		}
	}
	return next
}

// NotRun reports whether it is certain that no target has run or will run any
// part of the request.
func (s *State) NotRun() bool {
	for n := range s.parts {
		if s.parts[n].possibleRuns > 0 {
			return false
		}
	}
	return true
}

// Describe returns the service of a part and why its response is missing, for
// the log. "lost at" is also used for sends that the target refused or that did
// not leave this VM; the cause at the end of the text distinguishes these
// cases.
func (s *State) Describe(n int) string {
	p := &s.parts[n]
	name := s.plan.services[n]
	switch {
	case p.waiting || p.sends == 0:
		return name + ": no capacity"
	case p.failure != nil:
		return name + ": failed at " + p.tried[len(p.tried)-1].ID()
	case p.inFlight > 0:
		return name + ": no response from " + p.tried[len(p.tried)-1].ID()
	}
	return name + ": lost at " + p.tried[len(p.tried)-1].ID() + ", " + p.cause
}
