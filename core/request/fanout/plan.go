// Package fanout decides what one query sends to which target and when it is
// done. It is a function of state, event and the present time: sockets, timers
// and locks are in the caller.
package fanout

import "time"

// Plan is what a query asks, pinned when it starts: coverage counts against
// it also when the configuration changes meanwhile.
type Plan struct {
	services []string
	snapshot string
	deadline time.Time
	returnAt time.Time
}

// Bounds of the margin between the answer's return and the deadline.
const (
	marginDivisor = 10
	minMargin     = 2 * time.Millisecond
	maxMargin     = 20 * time.Millisecond
)

// NewPlan returns a plan. The answer goes out a margin before the deadline:
// a tenth of the time allowed, at least 2 ms and at most 20 ms.
func NewPlan(services []string, snapshot string, now, deadline time.Time) Plan {
	margin := min(maxMargin, max(minMargin, deadline.Sub(now)/marginDivisor))
	return Plan{
		services: services,
		snapshot: snapshot,
		deadline: deadline,
		returnAt: deadline.Add(-margin),
	}
}

// Services returns the names of the services asked.
func (p Plan) Services() []string { return p.services }

// Snapshot returns the name of the snapshot that every result must be from.
func (p Plan) Snapshot() string { return p.snapshot }

// Deadline returns the time at which the caller stops waiting.
func (p Plan) Deadline() time.Time { return p.deadline }

// ReturnAt returns the time at which the answer goes out at the latest.
func (p Plan) ReturnAt() time.Time { return p.returnAt }
