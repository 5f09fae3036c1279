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
	// Finishing: running requests are completed, and new ones accepted only if they
	// finish in time.
	Finishing
	// Stopped: the balancer lag has passed, and either no request is running or
	// FinishTimeout has passed since the end of the lag.
	Stopped
)

// FinishTimeout is the longest time that the Finishing phase lasts if the process
// need not end earlier.
const FinishTimeout = 30 * time.Second

// State is the shutdown state of a process.
type State struct {
	drainStartedAt time.Time
	balancerLag    time.Duration
	// finishAfter is the time from the start of the shutdown until all requests must
	// be answered.
	finishAfter time.Duration
	draining    bool
}

// New returns the state of a process that is serving. After the readiness check
// starts to fail, the balancer may still send requests for the duration
// balancerLag. The requests then have FinishTimeout to finish.
func New(balancerLag time.Duration) State {
	return State{balancerLag: balancerLag, finishAfter: balancerLag + FinishTimeout}
}

// WithFinishAfter returns a copy of the state in which all requests must be answered
// the duration d after the start of the shutdown.
func (s State) WithFinishAfter(d time.Duration) State {
	s.finishAfter = d
	return s
}

// Start begins the shutdown. Later calls have no effect.
func (s State) Start(now time.Time) State {
	if !s.draining {
		s.draining = true
		s.drainStartedAt = now
	}
	return s
}

// Draining reports whether the shutdown has begun.
func (s State) Draining() bool { return s.draining }

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
	case running > 0 && elapsed < s.finishAfter:
		return Finishing
	}
	return Stopped
}

// Admits reports whether a request that arrives now and may take until end is taken.
// During the balancer's lag every request is, because its caller may get this VM again
// when it tries anew. Later, a request that may not be finished in time is better sent
// to another VM at once than broken off here.
func (s State) Admits(end, now time.Time) bool {
	if !s.draining || now.Sub(s.drainStartedAt) < min(s.balancerLag, s.finishAfter) {
		return true
	}
	return !end.After(s.drainStartedAt.Add(s.finishAfter))
}
