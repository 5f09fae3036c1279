package relay

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// MostSends bounds the sends of one part, refusals by targets included.
const MostSends = 5

// Plan is what is decided when a request arrives. It holds for the request
// whatever version comes into force meanwhile.
type Plan struct {
	route    routing.Route
	services []string
	least    int
	// answerAt is when an answer goes out although parts are missing, zero
	// where every part is needed.
	answerAt time.Time
	// patience is when a request that was sent nowhere is refused.
	patience time.Time
	end      time.Time
}

// NewPlan returns the plan of a request on a route. The way back is the time
// that an answer takes to the caller; the service is that of a plain route.
func NewPlan(route routing.Route, service string, r *Request, wayBack time.Duration) Plan {
	p := Plan{route: route, services: []string{service}, least: 1}
	p.end = r.arrived.Add(route.Timeout())
	if !r.deadline.IsZero() && r.deadline.Add(-wayBack).Before(p.end) {
		p.end = r.deadline.Add(-wayBack)
	}
	p.patience = earlier(r.arrived.Add(route.LatencyObjective()/4), p.end)
	if len(route.Shards()) > 0 {
		p.services = route.Shards()
		p.least = route.MinShards()
		p.answerAt = earlier(r.arrived.Add(route.LatencyObjective()-wayBack), p.end)
	}
	return p
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// part is the state of one service of the plan.
type part struct {
	response *Response
	// failure is a failure that a target answered, for want of a success.
	failure *Response
	// cause is why the last send that failed gave no response.
	cause string
	tried []*placement.Target
	// sends counts all sends, runs those that may have run.
	sends   int
	runs    int
	flying  int
	waiting bool
	settled bool
	hedgeAt time.Time
}

// State is the decisions of one request. It is not safe for concurrent use.
type State struct {
	plan  Plan
	parts []part
	in    int
	open  int
	left  bool
}

// NewState returns the state before the first send.
func NewState(plan Plan) *State {
	return &State{plan: plan, parts: make([]part, len(plan.services)), open: len(plan.services)}
}

// Services returns the services that are asked: one, or all shards.
func (p Plan) Services() []string { return p.services }

// Route returns the route of the request.
func (p Plan) Route() routing.Route { return p.route }

// Least returns the least number of parts in an answer.
func (p Plan) Least() int { return p.least }

// Patience returns when a request that was sent nowhere is refused.
func (p Plan) Patience() time.Time { return p.patience }

// End returns when the time for the answer is up.
func (p Plan) End() time.Time { return p.end }

// Plan returns the plan of the request.
func (s *State) Plan() Plan { return s.plan }

// Parts returns the number of parts.
func (s *State) Parts() int { return len(s.parts) }

// Tried returns the targets that a part was sent to.
func (s *State) Tried(n int) []*placement.Target { return s.parts[n].tried }

// Waiting reports whether a part waits for room.
func (s *State) Waiting(n int) bool { return s.parts[n].waiting }

// Missing reports whether a part has no response.
func (s *State) Missing(n int) bool { return s.parts[n].response == nil }

// Once reports whether the request must not run twice.
func (s *State) Once() bool { return s.plan.route.Kind() == routing.NonIdempotent }

// Sent notes a send of a part and when it counts as late.
func (s *State) Sent(n int, t *placement.Target, lateAfter time.Duration, now time.Time) {
	p := &s.parts[n]
	p.waiting = false
	p.tried = append(p.tried, t)
	p.sends++
	p.runs++
	p.flying++
	s.left = true
	p.hedgeAt = time.Time{}
	if !s.Once() && p.runs < s.plan.route.MaxAttempts() {
		p.hedgeAt = now.Add(lateAfter)
	}
}

// Waits notes that a part waits for room.
func (s *State) Waits(n int) { s.parts[n].waiting = true }

// Next is what to do with a part after an outcome.
type Next int

// What follows an outcome.
const (
	// Nothing: the part is settled, or another send of it is on its way.
	Nothing Next = iota
	// SendAgain: the send counts against the budget of further sends.
	SendAgain
	// SendFree: the last send never left, so the next one is no further one.
	SendFree
)

// Take takes in an outcome of a send of a part, and says what follows. An
// outcome of a part that is settled changes nothing.
func (s *State) Take(n int, outcome Outcome) Next {
	p := &s.parts[n]
	p.flying--
	if p.settled {
		return Nothing
	}
	switch o := outcome.(type) {
	case Answered:
		if s.usable(o.response) {
			p.response = o.response
			s.in++
			s.settle(p)
			return Nothing
		}
		p.failure = o.response
		if s.Once() {
			s.settle(p)
			return Nothing
		}
	case Declined:
		p.runs--
		p.cause = o.reason
		return s.again(p, SendAgain)
	case Unsent:
		p.runs--
		p.cause = o.Cause()
		return s.again(p, SendFree)
	case Lost:
		p.cause = o.Cause()
		if s.Once() {
			s.settle(p)
			return Nothing
		}
	}
	return s.again(p, SendAgain)
}

// Holds reports whether a response is the one that a part keeps for the answer.
func (s *State) Holds(n int, r *Response) bool {
	return s.parts[n].response == r || s.parts[n].failure == r
}

// usable reports whether a response settles its part with success. A response
// from a shard must be a success; a plain route passes on whatever a target
// says but that it failed.
func (s *State) usable(r *Response) bool {
	if len(s.plan.route.Shards()) > 0 {
		return r.status >= 200 && r.status < 300 && r.signature != ""
	}
	return r.status < 500
}

func (s *State) again(p *part, next Next) Next {
	if p.flying > 0 || p.waiting {
		return Nothing
	}
	if p.runs >= s.plan.route.MaxAttempts() || p.sends >= MostSends {
		s.settle(p)
		return Nothing
	}
	return next
}

// GiveUp settles a part that can't be sent again, unless a send is on its way.
func (s *State) GiveUp(n int) {
	p := &s.parts[n]
	p.waiting = false
	if p.flying == 0 && !p.settled {
		s.settle(p)
	}
}

func (s *State) settle(p *part) {
	p.settled = true
	p.waiting = false
	p.hedgeAt = time.Time{}
	s.open--
}

// Late returns the parts whose response is late, and counts them as hedged.
func (s *State) Late(now time.Time) []int {
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

// Done reports whether the answer may go out: all parts are settled, too many
// are lost for an answer, the time of the answer has come and enough parts are
// in, the time is up, or nothing could be sent for so long that the caller is
// better told so.
func (s *State) Done(now time.Time) bool {
	switch {
	case s.open == 0 || s.in+s.open < s.plan.least || !now.Before(s.plan.end):
		return true
	case !s.left && !now.Before(s.plan.patience):
		return true
	}
	return !s.plan.answerAt.IsZero() && !now.Before(s.plan.answerAt) && s.in >= s.plan.least
}

// roomPoll is the time between two looks for room while a part waits: a target
// that was avoided may have become usable without any event.
const roomPoll = 15 * time.Millisecond

// NextTime returns when something is due without an event.
func (s *State) NextTime(now time.Time) time.Time {
	next := s.plan.end
	if !s.plan.answerAt.IsZero() && now.Before(s.plan.answerAt) {
		next = earlier(next, s.plan.answerAt)
	}
	if !s.left && now.Before(s.plan.patience) {
		next = earlier(next, s.plan.patience)
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
			next = earlier(next, now.Add(roomPoll))
		}
	}
	return next
}

// NotRun reports whether it is certain that no target runs any of the request.
func (s *State) NotRun() bool {
	for n := range s.parts {
		if s.parts[n].runs > 0 {
			return false
		}
	}
	return true
}

// Describe names a part and what is known of it, for the log.
func (s *State) Describe(n int) string {
	p := &s.parts[n]
	name := s.plan.services[n]
	switch {
	case p.waiting || p.sends == 0:
		return name + ": no room"
	case p.failure != nil:
		return name + ": failed at " + p.tried[len(p.tried)-1].Instance().ID()
	case p.flying > 0:
		return name + ": no response from " + p.tried[len(p.tried)-1].Instance().ID()
	}
	return name + ": lost at " + p.tried[len(p.tried)-1].Instance().ID() + ", " + p.cause
}
