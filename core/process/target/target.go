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
	// loadHalfLife is the age at which a report has lost half of its weight.
	loadHalfLife = 500 * time.Millisecond
	// maxLoadPerSlot is the load per slot from which a leaf counts as full.
	maxLoadPerSlot = 1.5
	// suspectAfter is the number of sub-requests in a row without a response.
	timeoutsUntilSuspect = 2
	// otherCentreCost is what a leaf of another data centre is worse, in slots.
	remoteDataCentrePenalty = 0.34
	// latencyJump is how many times slower than the target's usual time
	// a response must be to count towards a cold turn, siblingJump how many
	// times slower than its siblings, and jumpsInRow how many in a row. One
	// from a leaf in which requests queue up counts for fullJump.
	latencyJumpFactor     = 8
	siblingLatencyFactor  = 5
	latencyJumpsUntilCold = 6
	fullLeafJumpCount     = 2
	// maxInferredPart is the part of a service's targets, as one in so many,
	// that may be taken for cold by inference at the same time.
	inferredColdDivisor = 3
	// maxCompared bounds the siblings that a response is compared with.
	maxComparedSiblings = 16
	// usualWeight and recentWeight are the weights of a new response in the
	// two moving averages.
	usualLatencyWeight  = 0.1
	recentLatencyWeight = 0.5
	// shedsInRow is the number of sheds in a row that make a warm target cold.
	shedsUntilCold = 3
)

// Target is what this VM knows of one leaf. The lock of a target is taken
// after that of its table, never before.
type Target struct {
	leaf           configuration.Leaf
	service        string
	pool           *leaf.Pool
	sameDataCentre bool
	table          *Table
	// recent is the moving average of the latest responses in nanoseconds. It
	// is read by siblings without this target's lock.
	recentLatency atomic.Int64
	// doubtedUntil is the time in Unix nanoseconds until which what requests
	// showed goes before what the leaf says. Siblings read it too.
	inferredColdUntil atomic.Int64

	mu    sync.Mutex
	state string
	// group is all targets of the service, this one among them.
	serviceTargets      []*Target
	inService           bool
	dataCentreReachable bool
	startID             string
	leavingStartID      string
	inFlight            int
	slots               int
	coldShare           float64
	warmUp              time.Duration
	reportedWarm        bool
	warmUpStartedAt     time.Time
	reportedLoad        float64
	loadReportedAt      time.Time
	snapshots           []string
	ramp                ramp
	consecutiveTimeouts int
	suspect             bool
	consecutiveSheds    int
	latencyJumps        int
	usualLatency        time.Duration
	stateChangedAt      time.Time
}

// Name returns the name of the leaf.
func (t *Target) Name() string { return t.leaf.Name() }

// DataCentre returns the data centre of the leaf.
func (t *Target) DataCentre() string { return t.leaf.DataCentre() }

// Pool returns the connections to the leaf.
func (t *Target) Pool() *leaf.Pool { return t.pool }

// Slots returns how many requests the leaf runs at the same time.
func (t *Target) Slots() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slots
}

// State returns the state of the target.
func (t *Target) State() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// StartID returns the start id last seen.
func (t *Target) StartID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startID
}

// Suspect reports whether the target has stopped answering.
func (t *Target) Suspect() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspect
}

// Status returns the state, the start id, the time since the last change, and
// what this VM may send while the target is warming, in sub-requests a second.
func (t *Target) Status(now time.Time) (state, startID string, age time.Duration, rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state, t.startID, now.Sub(t.stateChangedAt), t.ramp.rate
}

// UsableSnapshots returns the snapshots that the leaf last said it holds, none while
// the target may not receive queries.
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

// usable reports whether the target may receive queries at all. The caller
// holds the lock.
func (t *Target) usable() bool {
	return t.inService && t.dataCentreReachable && !t.suspect && (t.state == Cold || t.state == Warming || t.state == Warm)
}

// holds reports whether the leaf said that it holds the snapshot. A leaf that
// has said nothing may hold it.
func (t *Target) mayHold(snapshot string) bool {
	return snapshot == "" || len(t.snapshots) == 0 || slices.Contains(t.snapshots, snapshot)
}

// score is how busy the target is, in slots: lower is better.
func (t *Target) loadScore(now time.Time) float64 {
	age := now.Sub(t.loadReportedAt)
	weight := float64(loadHalfLife) / float64(loadHalfLife+max(age, 0))
	// What this VM has in flight is in the leaf's report already.
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

// RecordReport takes in what a leaf says of itself, in a response or by a probe.
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
	case leaf.SaysLeaving:
		t.markLeaving(t.startID, now)
	case leaf.SaysCold:
		if t.state == Warm {
			t.becomeCold(now)
		}
		t.reportedWarm = false
	case leaf.SaysWarm:
		t.reportedWarm = !t.inferredCold(now)
	case leaf.SaysNothing:
	}
}

// began starts a new life of the leaf under a new start id. A late report of
// the life that has left does not bring it back.
func (t *Target) handleRestart(startID string, now time.Time) {
	if startID == t.leavingStartID {
		return
	}
	t.startID = startID
	t.inferredColdUntil.Store(0)
	t.transition(eventRestart, now)
	t.resetHistory(now)
}

// reset forgets what was learned of a life that is over or was not as warm as
// it seemed.
func (t *Target) resetHistory(now time.Time) {
	t.warmUpStartedAt = now
	t.reportedWarm = false
	t.ramp = newRamp(t.coldShare, now)
	t.consecutiveSheds = 0
	t.latencyJumps = 0
	t.usualLatency = 0
}

// MarkLeaving marks the life of the leaf under the start id as leaving.
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

// PeerReportedWarm takes in a peer's word that the life under the start id is warm.
func (t *Target) PeerReportedWarm(startID string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if startID == "" || (t.startID != "" && t.startID != startID) || t.state == Leaving {
		return
	}
	if t.inferredCold(now) {
		return
	}
	t.startID = startID
	t.transition(eventProvenWarm, now)
}

// PeerReportedRate takes in a peer's word that the life under the start id has borne
// a rate from each VM.
func (t *Target) PeerReportedRate(startID string, rate float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == Unknown && t.startID == "" && startID != "" {
		// The word came before the first probe, which will tell if it is stale.
		t.startID = startID
		t.transition(eventFound, now)
		t.warmUpStartedAt = now
		t.ramp = newRamp(t.coldShare, now)
	}
	if startID != t.startID || t.inferredCold(now) || (t.state != Cold && t.state != Warming) {
		return
	}
	t.transition(eventFirstSuccess, now)
	t.ramp.raiseTo(rate)
}

// PeerReportedCold takes in a peer's word that the life under the start id has turned
// cold without a restart.
func (t *Target) PeerReportedCold(startID string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if startID == t.startID && (t.state == Warm || t.state == Warming) {
		t.inferCold(now)
	}
}

// SetDataCentreReachable says whether a VM of the target's data centre is heard. It matters
// only while this VM is isolated from a quorum.
func (t *Target) SetDataCentreReachable(reachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dataCentreReachable = reachable
}

// doubted reports whether requests have shown lately that the leaf is cold.
func (t *Target) inferredCold(now time.Time) bool {
	return now.UnixNano() < t.inferredColdUntil.Load()
}

// suspectCold takes the target for cold because of what requests show. That is
// an inference, and load that moves to the siblings makes them look the same;
// so no more than a third of a service's targets are taken for cold that way.
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
	t.inferredColdUntil.Store(now.Add(t.warmUp).UnixNano())
}

// turnedCold starts anew at the share of the cold capacity. What was sent to
// the target while it passed for warm has used up the first allowance.
func (t *Target) becomeCold(now time.Time) {
	t.transition(eventTurnCold, now)
	t.resetHistory(now)
	t.ramp.exhaust(now)
}

// mayRamp reports whether the allowance may grow: the leaf says that it is
// warm, or it says nothing and has had the declared time to warm up.
func (t *Target) canRampUp(now time.Time) bool {
	return t.reportedWarm || now.Sub(t.warmUpStartedAt) >= t.warmUp
}

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
