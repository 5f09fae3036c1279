package relay

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// Plan holds the decisions that are made when a request arrives. It does not
// change if another configuration version takes effect in the meantime.
type Plan struct {
	route    routing.Route
	services []string
	minParts int
	// partialAnswerAt is the time from which an answer with missing parts is
	// returned if at least minParts have succeeded. It is zero for a route
	// without shards, which has a single part.
	partialAnswerAt time.Time
	// unsentDeadline is the time at which a request that was not sent to any
	// target is refused.
	unsentDeadline time.Time
	// end is the time by which the request must be answered.
	end time.Time
}

// NewPlan returns the plan of a request on a route. The service is the one
// picked for a route without shards; on a route with shards it is ignored.
// returnDelay is the time that an answer takes to reach the caller; it is
// subtracted from the caller's deadline and, for a route with shards, from the
// route's objective.
func NewPlan(route routing.Route, service string, r *Request, returnDelay time.Duration) Plan {
	p := Plan{route: route, services: []string{service}, minParts: 1}
	p.end = r.arrived.Add(route.Timeout())
	if !r.deadline.IsZero() && r.deadline.Add(-returnDelay).Before(p.end) {
		p.end = r.deadline.Add(-returnDelay)
	}
	p.unsentDeadline = earlier(r.arrived.Add(route.LatencyObjective()/4), p.end)
	if len(route.Shards()) > 0 {
		p.services = route.Shards()
		p.minParts = route.MinShards()
		p.partialAnswerAt = earlier(r.arrived.Add(route.LatencyObjective()-returnDelay), p.end)
	}
	return p
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Services returns the services to which the request is sent: one, or all
// shards.
func (p Plan) Services() []string { return p.services }

// Route returns the route of the request.
func (p Plan) Route() routing.Route { return p.route }

// MinParts returns the minimum number of successful parts in an answer.
func (p Plan) MinParts() int { return p.minParts }

// UnsentDeadline returns the time at which a request that was not sent to any
// target is refused.
func (p Plan) UnsentDeadline() time.Time { return p.unsentDeadline }

// End returns the time by which the request must be answered.
func (p Plan) End() time.Time { return p.end }
