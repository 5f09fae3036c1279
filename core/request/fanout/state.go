package fanout

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
	"github.com/mulberrydale/mulberrydale/core/request/coverage"
)

const (
	// MaxAttempts is the maximum number of sub-requests to one service of a
	// query. It includes those that were withheld, which means that the VM did
	// not send them because its configuration was no longer confirmed.
	MaxAttempts = 4
	// unavailableDelay is the delay before a target is chosen again, if none
	// was available or the sub-request was withheld. A health probe may have
	// found a target in the meantime.
	unavailableDelay = 10 * time.Millisecond
	// maxLateForHedges is the number of late services above which a query
	// sends no hedges. The hedges for such a query would use up the budget with
	// which several other queries could still be answered in time.
	maxLateForHedges = 3
)

// State is the state of one query in progress. It is not safe for concurrent
// use.
type State struct {
	plan       Plan
	parts      []part
	attempts   []attempt
	unanswered int
}

// part is the state of one service of the query.
type part struct {
	answered bool
	body     []byte
	inFlight int
	// sendCount is the number of sub-requests returned for sending. It includes
	// those that were then withheld.
	sendCount int
	excluded  []string
	// reason is the reason why the service is missing if the answer is returned
	// now.
	reason coverage.Reason
	// hedgeAt is the time of the next hedge while one sub-request is in flight.
	hedgeAt time.Time
	// chooseAt is the time of the next choice of a target while no sub-request
	// is in flight.
	chooseAt time.Time
}

// attempt is the state of one sub-request.
type attempt struct {
	part int
	done bool
}

// New returns the state of a query that has not sent any sub-request.
func New(plan Plan) *State {
	return &State{
		plan:       plan,
		parts:      make([]part, len(plan.services)),
		attempts:   make([]attempt, 0, len(plan.services)+4),
		unanswered: len(plan.services),
	}
}

// Plan returns the plan of the query.
func (s *State) Plan() Plan { return s.plan }

// Begin starts the query and returns the first sub-requests to send.
func (s *State) Begin(now time.Time, dir Directory) []Send {
	sends := make([]Send, 0, len(s.parts))
	for i := range s.parts {
		sends = s.trySend(i, now, dir, sends)
	}
	return sends
}

// HandleResult processes the outcome of an attempt and returns the sub-requests
// to send next. A result is ignored if its attempt is unknown or already has a
// result. A result of a service that has answered before never changes the
// answer. A result from another snapshot is not used; it only sets the reason
// why the service is missing.
func (s *State) HandleResult(result Result, now time.Time, dir Directory) []Send {
	if result.attempt < 0 || result.attempt >= len(s.attempts) || s.attempts[result.attempt].done {
		return nil
	}
	s.attempts[result.attempt].done = true
	i := s.attempts[result.attempt].part
	p := &s.parts[i]
	p.inFlight--
	if p.answered {
		return nil
	}
	if answer, ok := result.outcome.(leaf.Answered); ok && answer.Snapshot() == s.plan.snapshot {
		p.answered = true
		p.body = answer.Body()
		s.unanswered--
		return nil
	}
	if _, withheld := result.outcome.(leaf.Withheld); withheld {
		// This VM did not send the sub-request, because its configuration was
		// no longer confirmed. It may be confirmed again after the delay.
		p.chooseAt = now.Add(unavailableDelay)
		return nil
	}
	p.reason = missingReason(result.outcome)
	if p.inFlight > 0 {
		return nil
	}
	return s.trySend(i, now, dir, nil)
}

// Tick returns the sub-requests that are due at the given time: hedges of late
// sub-requests, and sub-requests to services for which no target was available
// before. If more than maxLateForHedges services are late, their hedges are
// postponed by another hedge delay.
func (s *State) Tick(now time.Time, dir Directory) []Send {
	var sends []Send
	tooManyLate := s.countLate(now) > maxLateForHedges
	for i := range s.parts {
		p := &s.parts[i]
		switch {
		case p.answered:
		case p.inFlight == 0 && !p.chooseAt.After(now):
			sends = s.trySend(i, now, dir, sends)
		case p.inFlight == 1 && !p.hedgeAt.After(now) && tooManyLate:
			p.hedgeAt = now.Add(dir.HedgeDelay(i))
		case p.inFlight == 1 && !p.hedgeAt.After(now):
			sends = s.hedge(i, now, dir, sends)
		}
	}
	return sends
}

// countLate returns the number of services whose sub-request is late or already
// hedged.
func (s *State) countLate(now time.Time) int {
	n := 0
	for i := range s.parts {
		p := &s.parts[i]
		if !p.answered && (p.inFlight > 1 || p.inFlight == 1 && !p.hedgeAt.After(now)) {
			n++
		}
	}
	return n
}

// Done reports whether the answer can be returned: every service has answered,
// or the time to return the answer has come.
func (s *State) Done(now time.Time) bool {
	return s.unanswered == 0 || !now.Before(s.plan.returnAt)
}

// NextTime returns the time at which Tick and Done must be called next if no
// result arrives before.
func (s *State) NextTime() time.Time {
	next := s.plan.returnAt
	for i := range s.parts {
		p := &s.parts[i]
		switch {
		case p.answered:
		case p.inFlight == 0 && p.chooseAt.Before(next):
			next = p.chooseAt
		case p.inFlight == 1 && p.hedgeAt.Before(next):
			next = p.hedgeAt
		}
	}
	return next
}

// Coverage returns the coverage of an answer that is returned now.
func (s *State) Coverage() coverage.Coverage {
	var missing []coverage.Missing
	for i := range s.parts {
		if !s.parts[i].answered {
			missing = append(missing, coverage.NewMissing(s.plan.services[i], s.parts[i].reason))
		}
	}
	return coverage.New(len(s.parts), missing)
}

// Body returns the result of the service with index part in the plan, or nil if
// the service has not answered.
func (s *State) Body(part int) []byte { return s.parts[part].body }

// trySend appends the next sub-request to a service to sends. If no target can
// be used now, it sets the time at which one is chosen again. After MaxAttempts
// sub-requests that is the time at which the answer is returned, so that no
// further sub-request is sent.
func (s *State) trySend(i int, now time.Time, dir Directory, sends []Send) []Send {
	p := &s.parts[i]
	if p.sendCount >= MaxAttempts || !now.Before(s.plan.returnAt) {
		p.chooseAt = s.plan.returnAt
		return sends
	}
	purpose := First
	if p.sendCount > 0 {
		purpose = Retry
	}
	switch c := dir.Choose(i, purpose, p.excluded, now).(type) {
	case Acquired:
		return s.send(i, c, now, dir, sends)
	case Later:
		p.chooseAt = c.at
	case Unavailable:
		s.setUnavailable(p, c, now)
	}
	return sends
}

// setUnavailable handles a choice without a target: the next choice is made
// after unavailableDelay. If no sub-request was sent to the service so far, it
// records why no target was available; otherwise the reason of the last attempt
// is kept. It also clears the excluded targets, so that a service whose only
// leaf was tried can be sent another attempt.
func (s *State) setUnavailable(p *part, unavailable Unavailable, now time.Time) {
	if p.sendCount == 0 {
		p.reason = coverage.NoTarget
		if unavailable.noSnapshot {
			p.reason = coverage.NoSnapshot
		}
	}
	p.excluded = p.excluded[:0]
	p.chooseAt = now.Add(unavailableDelay)
}

// hedge appends a hedge for a service to sends, if the number of attempts and
// the Directory allow one. In either case the next hedge is due after another
// hedge delay.
func (s *State) hedge(i int, now time.Time, dir Directory, sends []Send) []Send {
	p := &s.parts[i]
	p.hedgeAt = now.Add(dir.HedgeDelay(i))
	if p.sendCount >= MaxAttempts {
		return sends
	}
	acquired, ok := dir.Choose(i, Hedge, p.excluded, now).(Acquired)
	if !ok {
		return sends
	}
	return s.send(i, acquired, now, dir, sends)
}

// send records an attempt on an acquired target and appends its Send to sends.
func (s *State) send(i int, c Acquired, now time.Time, dir Directory, sends []Send) []Send {
	p := &s.parts[i]
	p.inFlight++
	p.sendCount++
	p.excluded = append(p.excluded, c.target)
	p.hedgeAt = now.Add(dir.HedgeDelay(i))
	s.attempts = append(s.attempts, attempt{part: i})
	return append(sends, Send{part: i, attempt: len(s.attempts) - 1, target: c.target, handle: c.handle})
}

// missingReason returns the reason that is recorded for an outcome without a
// usable result. Answered is such an outcome if its result is from another
// snapshot.
func missingReason(outcome leaf.Outcome) coverage.Reason {
	switch o := outcome.(type) {
	case leaf.Answered:
		return coverage.NoSnapshot
	case leaf.Refused:
		if o.Reason() == leaf.RefusedSnapshot {
			return coverage.NoSnapshot
		}
		return coverage.Shed
	case leaf.Unusable:
		return coverage.Unusable
	case leaf.Failed:
		if o.TimedOut() {
			return coverage.Late
		}
		return coverage.Lost
	}
	return coverage.Late
}

// BlockedOnSnapshot reports whether no sub-request is in flight and every
// missing service lacks the planned snapshot. A plan with another snapshot may
// then cover more services.
func (s *State) BlockedOnSnapshot() bool {
	for i := range s.parts {
		p := &s.parts[i]
		if !p.answered && (p.inFlight > 0 || p.reason != coverage.NoSnapshot) {
			return false
		}
	}
	return s.unanswered > 0
}

// Answered returns the number of services that have answered so far.
func (s *State) Answered() int { return len(s.parts) - s.unanswered }
