package target

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

const (
	// loadHalfLife is the age at which a load report has lost half of its
	// weight in the load score. The decay is hyperbolic: the weight is
	// loadHalfLife / (loadHalfLife + age). A report of this age or older no
	// longer marks a leaf as full.
	loadHalfLife = 500 * time.Millisecond
	// maxLoadPerSlot is the reported load per slot from which a leaf counts as
	// full.
	maxLoadPerSlot = 1.5
	// timeoutsUntilSuspect is the number of sub-requests in a row without a
	// response after which a target is suspected to be down.
	timeoutsUntilSuspect = 2
	// remoteDataCentrePenalty is added to the load score of a leaf in another
	// data centre, in sub-requests per slot.
	remoteDataCentrePenalty = 0.34
	// A response counts towards turning a target cold if it took more than
	// latencyJumpFactor times the target's usual latency and more than
	// siblingLatencyFactor times the median recent latency of its siblings, the
	// other targets of the service. After latencyJumpsUntilCold such responses
	// in a row the target counts as cold. A response from a full leaf counts as
	// fullLeafJumpCount of them.
	latencyJumpFactor     = 8
	siblingLatencyFactor  = 5
	latencyJumpsUntilCold = 6
	fullLeafJumpCount     = 2
	// inferredColdDivisor limits how many targets of a service may be inferred
	// to be cold at the same time: the number of targets divided by it, but at
	// least one.
	inferredColdDivisor = 3
	// maxComparedSiblings limits the number of siblings whose latencies a
	// response is compared with.
	maxComparedSiblings = 16
	// usualLatencyWeight and recentLatencyWeight are the weights, between 0 and
	// 1, of a new response in the moving averages Target.usualLatency and
	// Target.recentLatency.
	usualLatencyWeight  = 0.1
	recentLatencyWeight = 0.5
	// shedsUntilCold is the number of sheds in a row from which a target is
	// inferred to be cold. A shed is a sub-request that the leaf refused
	// because it is overloaded.
	shedsUntilCold = 3
)

// Target holds the state of one leaf as seen by this VM.
type Target struct {
	leaf           configuration.Leaf
	service        string
	pool           *leaf.Pool
	sameDataCentre bool
	table          *Table
	// recentLatency is the moving average of the latest response times in
	// nanoseconds. Other targets of the service read it without this target's
	// lock.
	recentLatency atomic.Int64
	// inferredColdUntil is the time until which the inference that the leaf is cold
	// overrides reports that it is warm, nil if there is none. Other targets of the service
	// read it without this target's lock.
	inferredColdUntil atomic.Pointer[time.Time]

	mu    sync.Mutex
	state string
	// serviceTargets holds all targets of the service, including this one.
	serviceTargets      []*Target
	dataCentreInService bool
	dataCentreReachable bool
	startID             string
	// leavingStartID is the start id of the last run that was reported to be
	// shutting down.
	leavingStartID string
	// inFlight is the number of sub-requests for which this VM has acquired the
	// target and not yet recorded an outcome.
	inFlight int
	// slots is the number of requests that the leaf runs concurrently.
	slots int
	// coldShare is this VM's share of the cold capacity, in sub-requests a
	// second.
	coldShare float64
	// warmUp is the declared time that the leaf takes to become warm, counted
	// from warmUpStartedAt.
	warmUp          time.Duration
	reportedWarm    bool
	warmUpStartedAt time.Time
	// reportedLoad is the number of requests from all VMs, running or queued,
	// that the leaf reported last.
	reportedLoad        float64
	loadReportedAt      time.Time
	snapshots           []string
	ramp                ramp
	consecutiveTimeouts int
	suspect             bool
	consecutiveSheds    int
	// latencyJumps counts the responses in a row that count towards turning the
	// target cold.
	latencyJumps int
	// usualLatency is the moving average of the response times without those
	// that count as latency jumps.
	usualLatency   time.Duration
	stateChangedAt time.Time
}

// Name returns the name of the leaf.
func (t *Target) Name() string { return t.leaf.Name() }

// DataCentre returns the name of the data centre that the leaf runs in.
func (t *Target) DataCentre() string { return t.leaf.DataCentre() }

// Pool returns the connection pool of the leaf.
func (t *Target) Pool() *leaf.Pool { return t.pool }

// Slots returns how many requests the leaf runs concurrently.
func (t *Target) Slots() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slots
}

// State returns the state of the target, one of Unknown to Gone.
func (t *Target) State() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// StartID returns the last known start id of the leaf, empty if none is known.
func (t *Target) StartID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startID
}

// Suspect reports whether the target is suspected to be down.
func (t *Target) Suspect() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspect
}

// Status returns the state, the start id, the time since the last state change,
// and the allowance of this VM in sub-requests a second. The allowance limits
// only a target that is not warm; while the target is warm, rate keeps its last
// value. It is 0 if the target has never had an allowance.
func (t *Target) Status(now time.Time) (state, startID string, age time.Duration, rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state, t.startID, now.Sub(t.stateChangedAt), t.ramp.rate
}

// UsableSnapshots returns the snapshots that the leaf last reported to hold, or
// none while the target may not receive queries.
func (t *Target) UsableSnapshots() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.usable() {
		return nil
	}
	return t.snapshots
}

// Service returns the name of the service that the leaf belongs to.
func (t *Target) Service() string { return t.service }

// usable reports whether the target may receive queries. The caller holds the
// lock.
func (t *Target) usable() bool {
	return t.dataCentreInService && t.dataCentreReachable && !t.suspect && (t.state == Cold || t.state == Warming || t.state == Warm)
}

// mayHold reports whether the leaf may hold the snapshot. That is assumed of a
// leaf that has not reported its snapshots. The caller holds the lock.
func (t *Target) mayHold(snapshot string) bool {
	return snapshot == "" || len(t.snapshots) == 0 || slices.Contains(t.snapshots, snapshot)
}

// loadScore returns the estimated sub-requests per slot, plus penalties for
// another data centre and for recent sheds. Lower is better. The caller holds
// the lock.
func (t *Target) loadScore(now time.Time) float64 {
	age := now.Sub(t.loadReportedAt)
	weight := float64(loadHalfLife) / float64(loadHalfLife+max(age, 0))
	// The reported load includes the sub-requests that this VM has in flight.
	otherLoad := max(0, t.reportedLoad-float64(t.inFlight)) * weight
	score := (float64(t.inFlight) + otherLoad) / float64(t.slots)
	if !t.sameDataCentre {
		score += remoteDataCentrePenalty
	}
	if t.consecutiveSheds > 0 {
		score += float64(t.consecutiveSheds)
	}
	return score
}

// RecordReport records what a leaf reports about itself in a response or to a
// probe.
func (t *Target) RecordReport(report leaf.Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordReport(report, now)
}

func (t *Target) recordReport(report leaf.Report, now time.Time) {
	if report.StartID() != "" && report.StartID() != t.startID {
		t.handleRestart(report.StartID(), now)
	}
	if report.Snapshots() != nil {
		t.snapshots = report.Snapshots()
	}
	if load, ok := report.Load(); ok {
		t.reportedLoad = load
		t.loadReportedAt = now
	}
	switch report.State() {
	case leaf.ReportedLeaving:
		t.markLeaving(t.startID, now)
	case leaf.ReportedCold:
		if t.state == Warm {
			t.becomeCold(now)
		}
		t.reportedWarm = false
	case leaf.ReportedWarm:
		t.reportedWarm = !t.inferredCold(now)
	case leaf.ReportedNone:
	}
}

// handleRestart records that the leaf was restarted with a new start id. It
// ignores a late report of the run that was shutting down, which must not make
// the target usable again.
func (t *Target) handleRestart(startID string, now time.Time) {
	if startID == t.leavingStartID {
		return
	}
	t.startID = startID
	t.inferredColdUntil.Store(nil)
	t.transition(eventRestart, now)
	t.resetHistory(now)
}

// resetHistory discards the measurements of the leaf, after a restart or when
// it turned cold.
func (t *Target) resetHistory(now time.Time) {
	t.warmUpStartedAt = now
	t.reportedWarm = false
	t.ramp = newRamp(t.coldShare, now)
	t.consecutiveSheds = 0
	t.latencyJumps = 0
	t.usualLatency = 0
}

// MarkLeaving records that the leaf is shutting down. It has no effect if the
// leaf has been restarted under another start id. An empty start id refers to
// the present run of the leaf.
func (t *Target) MarkLeaving(startID string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markLeaving(startID, now)
}

func (t *Target) markLeaving(startID string, now time.Time) {
	if startID != "" && t.startID != "" && startID != t.startID {
		return
	}
	if t.state != Leaving {
		t.leavingStartID = t.startID
	}
	t.transition(eventLeave, now)
}

// SetDataCentreReachable sets whether the target's data centre may be used. It
// is false only while this VM is isolated from a quorum and receives no
// heartbeat from that data centre.
func (t *Target) SetDataCentreReachable(reachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dataCentreReachable = reachable
}

// inferredCold reports whether the leaf was inferred to be cold and its
// declared warm-up time has not passed since. A restart ends the inference.
func (t *Target) inferredCold(now time.Time) bool {
	until := t.inferredColdUntil.Load()
	return until != nil && now.Before(*until)
}

// inferCold treats the target as cold because of sheds, response times or a
// peer's report. The inference can be wrong: load that moves to the other
// targets of the service makes them look cold too. Therefore at most a third of
// the targets of a service, but at least one, are treated as cold in this way
// at the same time.
func (t *Target) inferCold(now time.Time) {
	inferredSiblings := 0
	for _, s := range t.serviceTargets {
		if s != t && s.inferredCold(now) {
			inferredSiblings++
		}
	}
	if inferredSiblings >= max(1, len(t.serviceTargets)/inferredColdDivisor) {
		return
	}
	t.becomeCold(now)
	until := now.Add(t.warmUp)
	t.inferredColdUntil.Store(&until)
}

// becomeCold restarts the ramp at this VM's share of the cold capacity. The
// first allowance counts as used up, because of the sub-requests that were sent
// before the target became cold.
func (t *Target) becomeCold(now time.Time) {
	t.transition(eventTurnCold, now)
	t.resetHistory(now)
	t.ramp.exhaust(now)
}

// canRampUp reports whether the allowance may grow: either the leaf reports
// that it is warm, or the declared warm-up time has passed.
func (t *Target) canRampUp(now time.Time) bool {
	return t.reportedWarm || now.Sub(t.warmUpStartedAt) >= t.warmUp
}

// transition applies an event to the state of the target. Changes that must be
// sent to peers are recorded in the table. The caller holds the lock.
func (t *Target) transition(event string, now time.Time) {
	next := t.table.nextState(t.state, event)
	if next == t.state {
		return
	}
	t.state = next
	t.stateChangedAt = now
	switch event {
	case eventTurnCold, eventLeave, eventProvenWarm:
		t.table.recordChange(t, next)
	}
}
