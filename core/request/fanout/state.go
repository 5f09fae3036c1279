package fanout

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
	"github.com/mulberrydale/mulberrydale/core/request/coverage"
)

const (
	// MaxAttempts bounds the attempts for one service of a query.
	MaxAttempts = 4
	// neverRetry is how long to wait before a service without a usable target
	// is looked at again; a probe may have found one meanwhile.
	neverRetry = 10 * time.Millisecond
	// maxLate is the most late sub-requests of a query that is still hedged. A
	// query with more would cost the hedges that save several others.
	maxLate = 3
)

// State is one query on its way.
type State struct {
	plan     Plan
	parts    []part
	attempts []attempt
	open     int
}

// part is one service of the query.
type part struct {
	answered bool
	body     []byte
	running  int
	sent     int
	tried    []string
	reason   coverage.Reason
	hedgeAt  time.Time
	askAt    time.Time
}

// attempt is one sub-request.
type attempt struct {
	part int
	done bool
}

// New returns the state of a query that has sent nothing yet.
func New(plan Plan) *State {
	return &State{
		plan:     plan,
		parts:    make([]part, len(plan.services)),
		attempts: make([]attempt, 0, len(plan.services)+4),
		open:     len(plan.services),
	}
}

// Plan returns the plan of the query.
func (s *State) Plan() Plan { return s.plan }

// Begin returns the first sub-requests.
func (s *State) Begin(now time.Time, dir Directory) []Send {
	sends := make([]Send, 0, len(s.parts))
	for i := range s.parts {
		sends = s.ask(i, now, dir, sends)
	}
	return sends
}

// Handle takes in the outcome of an attempt and returns what to send next. An
// outcome that comes twice, late or for another snapshot changes no answer.
func (s *State) Handle(result Result, now time.Time, dir Directory) []Send {
	if result.attempt < 0 || result.attempt >= len(s.attempts) || s.attempts[result.attempt].done {
		return nil
	}
	s.attempts[result.attempt].done = true
	i := s.attempts[result.attempt].part
	p := &s.parts[i]
	p.running--
	if p.answered {
		return nil
	}
	if answer, ok := result.outcome.(leaf.Answered); ok && answer.Snapshot() == s.plan.snapshot {
		p.answered = true
		p.body = answer.Body()
		s.open--
		return nil
	}
	if _, withheld := result.outcome.(leaf.Withheld); withheld {
		// Nothing was sent; ask again once this VM may send.
		p.askAt = now.Add(neverRetry)
		return nil
	}
	p.reason = reasonOf(result.outcome)
	if p.running > 0 {
		return nil
	}
	return s.ask(i, now, dir, nil)
}

// Tick returns what is due at the present time: hedges, and services that had
// no target before.
func (s *State) Tick(now time.Time, dir Directory) []Send {
	var sends []Send
	tooLate := s.late(now) > maxLate
	for i := range s.parts {
		p := &s.parts[i]
		switch {
		case p.answered:
		case p.running == 0 && !p.askAt.After(now):
			sends = s.ask(i, now, dir, sends)
		case p.running == 1 && !p.hedgeAt.After(now) && tooLate:
			p.hedgeAt = now.Add(dir.HedgeDelay(i))
		case p.running == 1 && !p.hedgeAt.After(now):
			sends = s.hedge(i, now, dir, sends)
		}
	}
	return sends
}

// late counts the sub-requests that are late or hedged already.
func (s *State) late(now time.Time) int {
	n := 0
	for i := range s.parts {
		p := &s.parts[i]
		if !p.answered && (p.running > 1 || p.running == 1 && !p.hedgeAt.After(now)) {
			n++
		}
	}
	return n
}

// Done reports whether the answer may go out: all services are there, or the
// time to return has come.
func (s *State) Done(now time.Time) bool {
	return s.open == 0 || !now.Before(s.plan.returnAt)
}

// Next returns the time at which Tick or Done has something new to say.
func (s *State) Next() time.Time {
	next := s.plan.returnAt
	for i := range s.parts {
		p := &s.parts[i]
		switch {
		case p.answered:
		case p.running == 0 && p.askAt.Before(next):
			next = p.askAt
		case p.running == 1 && p.hedgeAt.Before(next):
			next = p.hedgeAt
		}
	}
	return next
}

// Coverage returns what an answer sent now would cover.
func (s *State) Coverage() coverage.Coverage {
	var missing []coverage.Missing
	for i := range s.parts {
		if !s.parts[i].answered {
			missing = append(missing, coverage.NewMissing(s.plan.services[i], s.parts[i].reason))
		}
	}
	return coverage.New(len(s.parts), missing)
}

// Body returns the result of a service, or nil where it is missing.
func (s *State) Body(part int) []byte { return s.parts[part].body }

// ask sends the next attempt of a part, or sets the time to ask again.
func (s *State) ask(i int, now time.Time, dir Directory, sends []Send) []Send {
	p := &s.parts[i]
	if p.sent >= MaxAttempts || !now.Before(s.plan.returnAt) {
		p.askAt = s.plan.returnAt
		return sends
	}
	purpose := First
	if p.sent > 0 {
		purpose = Retry
	}
	switch c := dir.Choose(i, purpose, p.tried, now).(type) {
	case Acquired:
		return s.send(i, c, now, dir, sends)
	case Later:
		p.askAt = c.at
	case Never:
		s.noTarget(p, c, now)
	}
	return sends
}

// noTarget notes why a part has no target. When all have been tried, the
// exclusion ends, so that a service with one leaf can be asked again.
func (s *State) noTarget(p *part, never Never, now time.Time) {
	if p.sent == 0 {
		p.reason = coverage.NoTarget
		if never.noSnapshot {
			p.reason = coverage.NoSnapshot
		}
	}
	p.tried = p.tried[:0]
	p.askAt = now.Add(neverRetry)
}

func (s *State) hedge(i int, now time.Time, dir Directory, sends []Send) []Send {
	p := &s.parts[i]
	p.hedgeAt = now.Add(dir.HedgeDelay(i))
	if p.sent >= MaxAttempts {
		return sends
	}
	acquired, ok := dir.Choose(i, Hedge, p.tried, now).(Acquired)
	if !ok {
		return sends
	}
	return s.send(i, acquired, now, dir, sends)
}

func (s *State) send(i int, c Acquired, now time.Time, dir Directory, sends []Send) []Send {
	p := &s.parts[i]
	p.running++
	p.sent++
	p.tried = append(p.tried, c.target)
	p.hedgeAt = now.Add(dir.HedgeDelay(i))
	s.attempts = append(s.attempts, attempt{part: i})
	return append(sends, Send{part: i, attempt: len(s.attempts) - 1, target: c.target, handle: c.handle})
}

func reasonOf(outcome leaf.Outcome) coverage.Reason {
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

// Stuck reports whether every service that is missing lacks the planned
// snapshot and nothing is on its way: another snapshot may then cover more.
func (s *State) Stuck() bool {
	for i := range s.parts {
		p := &s.parts[i]
		if !p.answered && (p.running > 0 || p.reason != coverage.NoSnapshot) {
			return false
		}
	}
	return s.open > 0
}

// Answered returns the number of services that are in the answer so far.
func (s *State) Answered() int { return len(s.parts) - s.open }
