// Package drain decides how a process leaves without cutting a request.
package drain

import "time"

// Phase is a stage of leaving.
type Phase int

// The phases, in their order.
const (
	// Serving: everything is accepted.
	Serving Phase = iota
	// Announcing: readiness fails and each response closes its connection,
	// but requests are still served, because the balancer's list lags.
	Announcing
	// Finishing: no connection is accepted; what runs is finished.
	Finishing
	// Stopped: nothing runs any more, or the time is over.
	Stopped
)

// FinishTimeout bounds the wait for requests that run.
const FinishTimeout = 30 * time.Second

// State is the state of leaving.
type State struct {
	startedAt   time.Time
	balancerLag time.Duration
	draining    bool
}

// New returns the state of a process that serves. The lag is the time that
// the balancer may go on sending after readiness fails.
func New(balancerLag time.Duration) State {
	return State{balancerLag: balancerLag}
}

// Start starts leaving. A second call changes nothing.
func (s State) Start(now time.Time) State {
	if !s.draining {
		s.draining = true
		s.startedAt = now
	}
	return s
}

// Phase returns the phase at a time, given the number of requests that run.
// A request that arrives on an open connection while announcing is served, so
// announcing lasts for the lag even when nothing runs.
func (s State) Phase(running int, now time.Time) Phase {
	if !s.draining {
		return Serving
	}
	elapsed := now.Sub(s.startedAt)
	switch {
	case elapsed < s.balancerLag:
		return Announcing
	case running > 0 && elapsed < s.balancerLag+FinishTimeout:
		return Finishing
	}
	return Stopped
}
