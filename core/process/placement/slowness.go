package placement

import (
	"math"
	"time"
)

const (
	// slownessDecayTime is the time constant with which a slowness figure loses its
	// weight. It is the time in which the state of a target is forgotten that is slow in
	// spells of 600 ms and normal for 3.4 s between them: 1 / (1/0.6 + 1/3.4) s.
	slownessDecayTime = 510 * time.Millisecond
	// slownessMeanWeight is the weight of a figure in the mean of a target, and
	// pooledMeanWeight in that of all targets.
	slownessMeanWeight = 0.1
	pooledMeanWeight   = 0.01
	// maxTransientSlowness bounds the part of a response time that is put down to the
	// slowness figure. What is beyond counts as slow responses of the target, which the
	// VMs judge together.
	maxTransientSlowness = 3.0
)

// slowness holds what a target reported of its machine: by what factor work takes longer
// than usual there. The zero value means that it has reported nothing.
type slowness struct {
	// latest is the latest figure as a factor, and at the time at which it held.
	latest float64
	at     time.Time
	// mean is the moving average of the figures in the responses to this VM.
	mean float64
}

// known reports whether the target has reported a figure.
func (s *slowness) known() bool { return s.latest > 0 }

// observe records a figure of a response to this VM. The mean begins with that of all
// targets.
func (s *slowness) observe(factor, pooledMean float64, now time.Time) {
	if s.mean == 0 {
		s.mean = pooledMean
	}
	s.mean += slownessMeanWeight * (factor - s.mean)
	s.learn(factor, pooledMean, now)
}

// learn records a figure that held at a time, unless a later one is known. The figures of
// other VMs don't change the mean, because slow ones are reported more often.
func (s *slowness) learn(factor, pooledMean float64, at time.Time) {
	if s.mean == 0 {
		s.mean = pooledMean
	}
	if s.known() && !at.After(s.at) {
		return
	}
	s.latest = factor
	s.at = at
}

// expected returns the factor that is expected now: the latest figure while it is fresh,
// and the more of the mean the older it is.
func (s *slowness) expected(now time.Time) float64 {
	return s.mean + (s.latest-s.mean)*s.weight(now)
}

// weight returns the weight of the latest figure by its age, from 0 to 1.
func (s *slowness) weight(now time.Time) float64 {
	return math.Exp(-float64(max(0, now.Sub(s.at))) / float64(slownessDecayTime))
}

// expectedSlowness returns the factor by which work is expected to take longer than usual
// at a target now: 1 while no target of this fleet has reported a figure. The caller holds
// f.mu.
func (f *Fleet) expectedSlowness(t *Target, now time.Time) float64 {
	switch {
	case f.meanSlowness == 0:
		return 1
	case !t.slowness.known():
		return f.meanSlowness
	}
	return t.slowness.expected(now)
}

// transientSlowness returns the part of the response times of a target that is put down to
// its machine for now, at least 1. The caller holds f.mu.
func (f *Fleet) transientSlowness(t *Target, now time.Time) float64 {
	if !t.slowness.known() {
		return 1
	}
	return min(max(1, t.slowness.expected(now)), maxTransientSlowness)
}

// ReportSlowness records the slowness factor that the target reported with a response.
func (l *Lease) ReportSlowness(factor float64, now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	f := l.fleet
	if f.meanSlowness == 0 {
		f.meanSlowness = 1
	}
	f.meanSlowness += pooledMeanWeight * (factor - f.meanSlowness)
	if l.run == l.target.run {
		l.target.slowness.observe(factor, f.meanSlowness, now)
		f.queueSlownessReport(l.target, factor, now)
	}
}
