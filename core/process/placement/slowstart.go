package placement

import "time"

const (
	// maxInitialShare and minInitialShare bound the share of its requests with which a
	// target begins a slow start. Trial requests come in addition.
	maxInitialShare = 0.2
	minInitialShare = 0.02
	// startSlowness is how many times as long as its siblings a target that has just
	// started is taken to need for a request. The initial share leaves it about one
	// request in flight from all VMs together.
	startSlowness = 8
	// growthFactor and fallFactor multiply the share after good and bad evidence.
	growthFactor = 2
	fallFactor   = 0.5
	// minStepInterval is the least time between two changes of the share, except for a
	// fall to the initial one. A burst of responses counts as one piece of evidence.
	minStepInterval = 300 * time.Millisecond
	// quietInterval is the time after which the share grows if this VM has learned
	// nothing of the target. A VM that rarely sends to it and gets no findings of other VMs
	// would otherwise not use it for minutes.
	quietInterval = 2 * time.Second
)

// slowStart limits the requests of this VM to a target that has started or failed. The
// limit is a share of the requests that the target would get by its expected time, so
// that the requests of all VMs together are this share of its usual ones, however many
// VMs there are. The zero value limits nothing.
type slowStart struct {
	began   time.Time
	initial float64
	share   float64
	// steppedAt is when the share last changed. Only what was observed later says
	// something about the present share.
	steppedAt time.Time
	// evidenceAt is when the latest evidence of any kind was observed.
	evidenceAt time.Time
	// normalAt is when this VM last got a normal response, zero if the target failed
	// since.
	normalAt time.Time
	// failed is set while the latest request of this VM got no response or no connection.
	failed bool
}

// startEvidence is what an observation shows of a target in slow start.
type startEvidence int

const (
	// startNormal: a response in a normal time, and a load like that of the siblings.
	startNormal startEvidence = iota
	// startBusy: a response that shows neither spare capacity nor an overload.
	startBusy
	// startOverloaded: a rejection, a late response, or other VMs found it unhealthy.
	startOverloaded
	// startFailed: no response or no connection.
	startFailed
)

// initialShare returns the share with which a target begins, given the mean time between
// two requests of all VMs to it while it has its full share, and the median response time.
func initialShare(interval, median time.Duration) float64 {
	if median <= 0 {
		median = defaultResponseTime
	}
	return min(max(float64(interval)/(startSlowness*float64(median)), minInitialShare), maxInitialShare)
}

// beginSlowStart returns a slow start that begins with a share.
func beginSlowStart(initial float64, now time.Time) slowStart {
	return slowStart{began: now, initial: initial, share: initial, steppedAt: now, evidenceAt: now}
}

// active reports whether the slow start has begun and not ended.
func (s *slowStart) active() bool { return !s.began.IsZero() }

// done reports whether the target takes its whole share.
func (s *slowStart) done() bool { return s.share >= 1 }

// add changes the share by what was observed at a time.
func (s *slowStart) add(e startEvidence, at, now time.Time) {
	s.evidenceAt = later(s.evidenceAt, at)
	stepDue := at.After(s.steppedAt) && now.Sub(s.steppedAt) >= minStepInterval
	switch {
	case e == startFailed:
		s.setShare(s.initial, now)
	case e == startOverloaded && stepDue:
		s.setShare(max(s.initial, s.share*fallFactor), now)
	case e == startNormal && stepDue:
		s.setShare(min(1, s.share*growthFactor), now)
	}
	switch e {
	case startFailed:
		s.failed = true
	case startNormal:
		s.failed = false
	case startBusy, startOverloaded:
	}
	if e == startFailed || e == startOverloaded {
		s.normalAt = time.Time{}
	}
}

// advance lets the share grow if nothing was learned for quietInterval.
func (s *slowStart) advance(now time.Time) {
	if now.Sub(later(s.evidenceAt, s.steppedAt)) >= quietInterval {
		s.setShare(min(1, s.share*growthFactor), now)
	}
}

func (s *slowStart) setShare(share float64, now time.Time) {
	s.share = share
	s.steppedAt = now
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
