// Package fanout decides which sub-requests a query sends to which targets, and
// when its answer is returned. It is a state machine driven by events and the
// time that its caller passes in; connections, timers and locks are left to the
// caller.
package fanout

import "time"

// Plan holds the services, the snapshot and the deadline of a query. It is fixed
// when the query starts, and the coverage of the answer refers to it even if the
// configuration changes in the meantime.
type Plan struct {
	services []string
	snapshot string
	deadline time.Time
	returnAt time.Time
}

// Bounds of the margin between returning the answer and the deadline.
const (
	marginDivisor = 10
	minMargin     = 2 * time.Millisecond
	maxMargin     = 20 * time.Millisecond
)

// NewPlan returns a plan. The answer is returned before the deadline by a
// margin of a tenth of the time allowed, at least 2 ms and at most 20 ms.
func NewPlan(services []string, snapshot string, now, deadline time.Time) Plan {
	margin := min(maxMargin, max(minMargin, deadline.Sub(now)/marginDivisor))
	return Plan{
		services: services,
		snapshot: snapshot,
		deadline: deadline,
		returnAt: deadline.Add(-margin),
	}
}

// Services returns the names of the services to which the query is sent.
func (p Plan) Services() []string { return p.services }

// Snapshot returns the name of the snapshot that every result must be read
// from.
func (p Plan) Snapshot() string { return p.snapshot }

// Deadline returns the time until which the caller waits for the answer.
func (p Plan) Deadline() time.Time { return p.deadline }

// ReturnAt returns the latest time at which the answer is returned, complete or
// not.
func (p Plan) ReturnAt() time.Time { return p.returnAt }
