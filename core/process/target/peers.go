package target

import "time"

// PeerReportedWarm records a peer's report that the leaf is warm under the
// given start id. It has no effect if the start id is empty or differs from the
// known one, if the target is leaving, or while the leaf is inferred to be
// cold.
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

// PeerReportedRate records a peer's report that its own allowance for the leaf,
// under the given start id, has grown to rate sub-requests a second. This VM's
// allowance then grows up to the same rate. An unknown target without a start
// id first becomes cold under the given one. The report has no effect if the
// start id is not the known one, while the leaf is inferred to be cold, or if
// the target is neither cold nor warming.
func (t *Target) PeerReportedRate(startID string, rate float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == Unknown && t.startID == "" && startID != "" {
		// The report arrived before the first probe, which will show whether
		// the start id is outdated.
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

// PeerReportedCold records a peer's report that the leaf turned cold without a
// restart. It has no effect if the start id is not the known one, if the target
// is neither warm nor warming, or beyond the limit of inferCold.
func (t *Target) PeerReportedCold(startID string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if startID == t.startID && (t.state == Warm || t.state == Warming) {
		t.inferCold(now)
	}
}
