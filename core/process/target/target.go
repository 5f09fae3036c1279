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
	suspectAfter = 2
	// otherCentreCost is what a leaf of another data centre is worse, in slots.
	otherCentreCost = 0.34
	// latencyJump is how many times slower than the target's usual time
	// a response must be to count towards a cold turn, siblingJump how many
	// times slower than its siblings, and jumpsInRow how many in a row. One
	// from a leaf in which requests queue up counts for fullJump.
	latencyJump = 8
	siblingJump = 5
	jumpsInRow  = 6
	fullJump    = 2
	// maxInferredPart is the part of a service's targets, as one in so many,
	// that may be taken for cold by inference at the same time.
	maxInferredPart = 3
	// maxCompared bounds the siblings that a response is compared with.
	maxCompared = 16
	// usualWeight and recentWeight are the weights of a new response in the
	// two moving averages.
	usualWeight  = 0.1
	recentWeight = 0.5
	// shedsInRow is the number of sheds in a row that make a warm target cold.
	shedsInRow = 3
)

// Target is what this VM knows of one leaf. The lock of a target is taken
// after that of its table, never before.
type Target struct {
	leaf    configuration.Leaf
	service string
	pool    *leaf.Pool
	local   bool
	table   *Table
	// recent is the moving average of the latest responses in nanoseconds. It
	// is read by siblings without this target's lock.
	recent atomic.Int64
	// doubtedUntil is the time in Unix nanoseconds until which what requests
	// showed goes before what the leaf says. Siblings read it too.
	doubtedUntil atomic.Int64

	mu    sync.Mutex
	state string
	// group is all targets of the service, this one among them.
	group     []*Target
	inService bool
	heard     bool
	startID   string
	leftID    string
	inFlight  int
	slots     int
	coldShare float64
	warmUp    time.Duration
	saysWarm  bool
	bornAt    time.Time
	load      float64
	loadAt    time.Time
	snapshots []string
	ramp      ramp
	silent    int
	suspect   bool
	sheds     int
	jumps     int
	usual     time.Duration
	changedAt time.Time
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

// News returns the state, the start id, the time since the last change, and
// what this VM may send while the target is warming, in sub-requests a second.
func (t *Target) News(now time.Time) (state, startID string, age time.Duration, rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state, t.startID, now.Sub(t.changedAt), t.ramp.rate
}

// Holdings returns the snapshots that the leaf last said it holds, none while
// the target may not receive queries.
func (t *Target) Holdings() []string {
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
	return t.inService && t.heard && !t.suspect && (t.state == Cold || t.state == Warming || t.state == Warm)
}

// holds reports whether the leaf said that it holds the snapshot. A leaf that
// has said nothing may hold it.
func (t *Target) holds(snapshot string) bool {
	return snapshot == "" || len(t.snapshots) == 0 || slices.Contains(t.snapshots, snapshot)
}

// score is how busy the target is, in slots: lower is better.
func (t *Target) score(now time.Time) float64 {
	age := now.Sub(t.loadAt)
	weight := float64(loadHalfLife) / float64(loadHalfLife+max(age, 0))
	// What this VM has in flight is in the leaf's report already.
	others := max(0, t.load-float64(t.inFlight)) * weight
	score := (float64(t.inFlight) + others) / float64(t.slots)
	if !t.local {
		score += otherCentreCost
	}
	if t.sheds > 0 {
		score += float64(t.sheds)
	}
	return score
}

// Observe takes in what a leaf says of itself, in a response or by a probe.
func (t *Target) Observe(report leaf.Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(report, now)
}

func (t *Target) observe(report leaf.Report, now time.Time) {
	if report.StartID() != "" && report.StartID() != t.startID {
		t.began(report.StartID(), now)
	}
	if report.Snapshots() != nil {
		t.snapshots = report.Snapshots()
	}
	if load, ok := report.Load(); ok {
		t.load = load
		t.loadAt = now
	}
	switch report.State() {
	case leaf.ReportedLeaving:
		t.leave(t.startID, now)
	case leaf.ReportedCold:
		if t.state == Warm {
			t.turnedCold(now)
		}
		t.saysWarm = false
	case leaf.ReportedWarm:
		t.saysWarm = !t.doubted(now)
	case leaf.ReportedNone:
	}
}

// began starts a new life of the leaf under a new start id. A late report of
// the life that has left does not bring it back.
func (t *Target) began(startID string, now time.Time) {
	if startID == t.leftID {
		return
	}
	t.startID = startID
	t.doubtedUntil.Store(0)
	t.move(eventRestart, now)
	t.reset(now)
}

// reset forgets what was learned of a life that is over or was not as warm as
// it seemed.
func (t *Target) reset(now time.Time) {
	t.bornAt = now
	t.saysWarm = false
	t.ramp = newRamp(t.coldShare, now)
	t.sheds = 0
	t.jumps = 0
	t.usual = 0
}

// Leave marks the life of the leaf under the start id as leaving.
func (t *Target) Leave(startID string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leave(startID, now)
}

func (t *Target) leave(startID string, now time.Time) {
	if startID != "" && t.startID != "" && startID != t.startID {
		return
	}
	if t.state != Leaving {
		t.leftID = t.startID
	}
	t.move(eventLeave, now)
}

// Warmed takes in a peer's word that the life under the start id is warm.
func (t *Target) Warmed(startID string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if startID == "" || (t.startID != "" && t.startID != startID) || t.state == Leaving {
		return
	}
	if t.doubted(now) {
		return
	}
	t.startID = startID
	t.move(eventProven, now)
}

// WarmedTo takes in a peer's word that the life under the start id has borne
// a rate from each VM.
func (t *Target) WarmedTo(startID string, rate float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == Unknown && t.startID == "" && startID != "" {
		// The word came before the first probe, which will tell if it is stale.
		t.startID = startID
		t.move(eventFound, now)
		t.bornAt = now
		t.ramp = newRamp(t.coldShare, now)
	}
	if startID != t.startID || t.doubted(now) || (t.state != Cold && t.state != Warming) {
		return
	}
	t.move(eventSuccess, now)
	t.ramp.raise(rate)
}

// Cooled takes in a peer's word that the life under the start id has turned
// cold without a restart.
func (t *Target) Cooled(startID string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if startID == t.startID && (t.state == Warm || t.state == Warming) {
		t.suspectCold(now)
	}
}

// SetHeard says whether a VM of the target's data centre is heard. It matters
// only while this VM is isolated from a quorum.
func (t *Target) SetHeard(heard bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = heard
}

// doubted reports whether requests have shown lately that the leaf is cold.
func (t *Target) doubted(now time.Time) bool {
	return now.UnixNano() < t.doubtedUntil.Load()
}

// suspectCold takes the target for cold because of what requests show. That is
// an inference, and load that moves to the siblings makes them look the same;
// so no more than a third of a service's targets are taken for cold that way.
func (t *Target) suspectCold(now time.Time) {
	others := 0
	for _, s := range t.group {
		if s != t && s.doubted(now) {
			others++
		}
	}
	if others >= max(1, len(t.group)/maxInferredPart) {
		return
	}
	t.turnedCold(now)
	t.doubtedUntil.Store(now.Add(t.warmUp).UnixNano())
}

// turnedCold starts anew at the share of the cold capacity. What was sent to
// the target while it passed for warm has used up the first allowance.
func (t *Target) turnedCold(now time.Time) {
	t.move(eventFall, now)
	t.reset(now)
	t.ramp.exhaust(now)
}

// mayRamp reports whether the allowance may grow: the leaf says that it is
// warm, or it says nothing and has had the declared time to warm up.
func (t *Target) mayRamp(now time.Time) bool {
	return t.saysWarm || now.Sub(t.bornAt) >= t.warmUp
}

func (t *Target) move(event string, now time.Time) {
	next := t.table.after(t.state, event)
	if next == t.state {
		return
	}
	t.state = next
	t.changedAt = now
	switch event {
	case eventFall, eventLeave, eventProven:
		t.table.changed(t, next)
	}
}
