// Package coverage describes which of the services that a query asked are in
// its answer, and why the others are missing.
package coverage

// Reason is the reason why a service is missing from an answer.
type Reason int

// The reasons why a service is missing.
const (
	// Late: no complete result arrived before the answer had to be returned.
	Late Reason = iota
	// NoTarget: no target of the service was usable.
	NoTarget
	// NoSnapshot: no target of the service holds the planned snapshot.
	NoSnapshot
	// Shed: the target refused to run the sub-request, for example because of
	// overload, but not because it lacks the planned snapshot.
	Shed
	// Unusable: the response belonged to another request, was truncated or was
	// malformed.
	Unusable
	// Lost: the connection to the target failed.
	Lost
)

// String returns the kebab-case name that is written to answers. An undefined
// reason is written as late.
func (r Reason) String() string {
	switch r {
	case Late:
		return "late"
	case NoTarget:
		return "no-target"
	case NoSnapshot:
		return "no-snapshot"
	case Shed:
		return "shed"
	case Unusable:
		return "unusable"
	case Lost:
		return "lost"
	}
	return "late"
}

// Missing is a service that is not in an answer.
type Missing struct {
	service string
	reason  Reason
}

// NewMissing returns a service that is missing for the given reason.
func NewMissing(service string, reason Reason) Missing {
	return Missing{service: service, reason: reason}
}

// Service returns the name of the service.
func (m Missing) Service() string { return m.service }

// Reason returns why the service is missing.
func (m Missing) Reason() Reason { return m.reason }

// Coverage compares the services in an answer with those in the query's plan.
type Coverage struct {
	asked   int
	missing []Missing
}

// New returns the coverage of an answer to a query that asked the given number
// of services.
func New(asked int, missing []Missing) Coverage {
	return Coverage{asked: asked, missing: missing}
}

// Asked returns the number of services in the plan.
func (c Coverage) Asked() int { return c.asked }

// Answered returns the number of services in the answer.
func (c Coverage) Answered() int { return c.asked - len(c.missing) }

// Missing returns the services that are not in the answer.
func (c Coverage) Missing() []Missing { return c.missing }

// Complete reports whether every service of the plan is in the answer.
func (c Coverage) Complete() bool { return len(c.missing) == 0 }
