package placement

import "time"

// maxKeptChanges bounds the changes that are kept for TakeChanges.
const maxKeptChanges = 256

// ChangeKind is what this VM has learned of a target from an answer or the list.
type ChangeKind string

// The kinds of change.
const (
	// TargetLeaves: this run of the target is about to end.
	TargetLeaves ChangeKind = "leaving"
	// TargetReturns: the target runs again under its id.
	TargetReturns ChangeKind = "new-run"
	// TargetWaits: the target wants no request from this VM for a time.
	TargetWaits ChangeKind = "waiting"
	// TargetStartsSlowly: the target has started or failed and gets a small share of its
	// requests at first.
	TargetStartsSlowly ChangeKind = "slow-start"
	// TargetTakesItsShare: its slow start has ended.
	TargetTakesItsShare ChangeKind = "slow-start-ended"
)

// TargetChange is a change of what this VM knows of a target, for the log.
type TargetChange struct {
	id   string
	kind ChangeKind
	wait time.Duration
	// cause is set if the kind is TargetStartsSlowly.
	cause string
}

// NewTargetChange returns a change of a target. The wait is that of TargetWaits, the
// length of the slow start for TargetTakesItsShare, and otherwise 0.
func NewTargetChange(id string, kind ChangeKind, wait time.Duration) TargetChange {
	return TargetChange{id: id, kind: kind, wait: wait}
}

// ID returns the id of the target's instance.
func (c TargetChange) ID() string { return c.id }

// Kind returns what has changed.
func (c TargetChange) Kind() ChangeKind { return c.kind }

// WithCause returns the change with the cause of a slow start.
func (c TargetChange) WithCause(cause string) TargetChange {
	c.cause = cause
	return c
}

// Wait returns for how long the target wants no request, or how long its slow start took.
func (c TargetChange) Wait() time.Duration { return c.wait }

// Cause returns why a slow start began, "" for other changes.
func (c TargetChange) Cause() string { return c.cause }

// addChange keeps a change for the log, or drops it if there are too many. The caller
// holds f.mu.
func (f *Fleet) addChange(c TargetChange) {
	if len(f.changes) < maxKeptChanges {
		f.changes = append(f.changes, c)
	}
}

// TakeChanges returns the changes of targets since the last call, at most
// maxKeptChanges.
func (f *Fleet) TakeChanges() []TargetChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.changes
	f.changes = nil
	return out
}
