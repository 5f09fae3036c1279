// Package coverage states truly which of the services asked are in an answer.
package coverage

// Reason says why a service is missing from an answer.
type Reason int

// The reasons why a service is missing.
const (
	// Late: no whole result came before the answer had to go out.
	Late Reason = iota
	// NoTarget: no target of the service may be used now.
	NoTarget
	// NoSnapshot: no target of the service holds the planned snapshot.
	NoSnapshot
	// Shed: the targets refused the sub-request for load.
	Shed
	// Unusable: what came back was crossed, truncated or malformed.
	Unusable
	// Lost: the connection to the target failed.
	Lost
)

// String returns the kebab-case name of the reason, as answers print it.
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

// NewMissing returns a missing service.
func NewMissing(service string, reason Reason) Missing {
	return Missing{service: service, reason: reason}
}

// Service returns the name of the service.
func (m Missing) Service() string { return m.service }

// Reason returns why the service is missing.
func (m Missing) Reason() Reason { return m.reason }

// Coverage counts the services of one answer against its plan.
type Coverage struct {
	asked   int
	missing []Missing
}

// New returns the coverage of an answer that asked a number of services.
func New(asked int, missing []Missing) Coverage {
	return Coverage{asked: asked, missing: missing}
}

// Asked returns the number of services in the plan.
func (c Coverage) Asked() int { return c.asked }

// Answered returns the number of services in the answer.
func (c Coverage) Answered() int { return c.asked - len(c.missing) }

// Missing returns the services that are not in the answer.
func (c Coverage) Missing() []Missing { return c.missing }

// Complete reports whether every service asked is in the answer.
func (c Coverage) Complete() bool { return len(c.missing) == 0 }
