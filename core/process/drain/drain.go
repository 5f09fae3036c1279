// Package drain decides which phase of a graceful shutdown a process is in, so
// that no running request is cut off unless it takes longer than FinishTimeout.
package drain

import "time"

// Phase is a phase of the shutdown.
type Phase int

// The phases, in the order in which they follow each other.
const (
	// Serving: all connections and requests are accepted.
	Serving Phase = iota
	// Announcing: the readiness check fails and each response closes its
	// connection, but requests are still served, because the balancer's list of
	// ready VMs lags behind.
	Announcing
	// Finishing: new connections are no longer accepted; running requests are
	// completed.
	Finishing
	// Stopped: the balancer lag has passed, and either no request is running or
	// FinishTimeout has passed since the end of the lag.
	Stopped
)

// FinishTimeout is the longest time that the Finishing phase lasts.
const FinishTimeout = 30 * time.Second

// State is the shutdown state of a process.
type State struct {
	drainStartedAt time.Time
	balancerLag    time.Duration
	draining       bool
}

// New returns the state of a process that is serving. After the readiness check
// starts to fail, the balancer may still send requests for the duration
// balancerLag.
func New(balancerLag time.Duration) State {
	return State{balancerLag: balancerLag}
}

// Start begins the shutdown. Later calls have no effect.
func (s State) Start(now time.Time) State {
	if !s.draining {
		s.draining = true
		s.drainStartedAt = now
	}
	return s
}

// Phase returns the phase at the time now, given the number of running
// requests. Announcing lasts for the whole balancer lag even when no request is
// running, because further requests may still arrive on open connections.
func (s State) Phase(running int, now time.Time) Phase {
	if !s.draining {
		return Serving
	}
	elapsed := now.Sub(s.drainStartedAt)
	switch {
	case elapsed < s.balancerLag:
		return Announcing
	case running > 0 && elapsed < s.balancerLag+FinishTimeout:
		return Finishing
	}
	return Stopped
}
