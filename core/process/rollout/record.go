// Package rollout decides how the traffic of a service moves to another version of its
// software. A Record is what the replicated log holds of a service. A Gate on each entry
// VM decides which requests may go to the new version and counts how they end. A
// Controller on the leader of the log judges the counts of all VMs, grants each VM how
// many requests it may send, and decides how the rollout ends.
//
// Nothing in this package does I/O. Times are those of package bootclock, so that a
// grant also expires while the machine is suspended.
package rollout

import (
	"slices"
	"time"
)

// State is the state of the latest rollout of a service.
type State int

// The states of a rollout. The values are stored.
const (
	// None means that no rollout of the service was ordered.
	None State = iota
	Running
	Succeeded
	RolledBack
)

// String returns the name of the state for the log.
func (s State) String() string {
	switch s {
	case None:
		return "none"
	case Running:
		return "running"
	case Succeeded:
		return "succeeded"
	case RolledBack:
		return "rolled-back"
	}
	return "unknown"
}

// Record is what the log holds of a service: the versions in use and the latest rollout.
type Record struct {
	service string
	// inUse are the versions whose targets get requests, sorted.
	inUse []string
	// order identifies the latest rollout, 0 if there was none.
	order    uint64
	version  string
	duration time.Duration
	// elapsed is how much of the duration had passed when a leader last stated it.
	elapsed time.Duration
	state   State
}

// NewRecord returns the record of a service without a rollout.
func NewRecord(service string, inUse []string) Record {
	sorted := slices.Clone(inUse)
	slices.Sort(sorted)
	return Record{service: service, inUse: slices.Compact(sorted)}
}

// Service returns the name of the service.
func (r Record) Service() string { return r.service }

// InUse returns the versions in use, sorted. It does not include the target version of
// a running rollout.
func (r Record) InUse() []string { return r.inUse }

// Uses reports whether a version is in use.
func (r Record) Uses(version string) bool {
	_, found := slices.BinarySearch(r.inUse, version)
	return found
}

// Order returns the number of the latest order, 0 if there was none.
func (r Record) Order() uint64 { return r.order }

// Version returns the target version of the latest rollout.
func (r Record) Version() string { return r.version }

// Duration returns the time from the order to the deadline of the latest rollout.
func (r Record) Duration() time.Duration { return r.duration }

// Elapsed returns how much of the duration had passed when a leader last stated it.
func (r Record) Elapsed() time.Duration { return r.elapsed }

// State returns the state of the latest rollout.
func (r Record) State() State { return r.state }

// SameOrder reports whether the latest rollout has this version and duration.
func (r Record) SameOrder(version string, duration time.Duration) bool {
	return r.order != 0 && r.version == version && r.duration == duration
}

// Started returns the record after an order. The target version of the rollout is not in
// use while it runs. If no other version is in use, there is nothing to move, and the
// rollout has succeeded.
func (r Record) Started(order uint64, version string, duration time.Duration) Record {
	r.order = order
	r.version = version
	r.duration = duration
	r.elapsed = 0
	r.state = Running
	if len(r.inUse) == 1 && r.inUse[0] == version {
		r.state = Succeeded
		return r
	}
	r.inUse = slices.DeleteFunc(slices.Clone(r.inUse), func(v string) bool { return v == version })
	return r
}

// Ended returns the record after the end of the running rollout.
func (r Record) Ended(succeeded bool) Record {
	r.state = RolledBack
	if succeeded {
		r.state = Succeeded
		r.inUse = []string{r.version}
	}
	return r
}

// WithElapsed returns the record with the elapsed time that a leader states. It never
// decreases.
func (r Record) WithElapsed(elapsed time.Duration) Record {
	r.elapsed = max(r.elapsed, elapsed)
	return r
}

// WithVersions returns the record with versions that were found in the target list, if
// none is in use yet. The target version of a running rollout is left out.
func (r Record) WithVersions(versions []string) Record {
	if len(r.inUse) > 0 {
		return r
	}
	found := NewRecord(r.service, versions).inUse
	r.inUse = slices.DeleteFunc(found, func(v string) bool { return r.state == Running && v == r.version })
	return r
}

// Find returns the record of a service in a list sorted by service.
func Find(records []Record, service string) (Record, bool) {
	i, found := position(records, service)
	if !found {
		return Record{service: service}, false
	}
	return records[i], true
}

// With returns a copy of a list sorted by service in which the record of a service is
// added or replaced.
func With(records []Record, r Record) []Record {
	out := slices.Clone(records)
	i, found := position(out, r.service)
	if found {
		out[i] = r
		return out
	}
	return slices.Insert(out, i, r)
}

func position(records []Record, service string) (int, bool) {
	return slices.BinarySearchFunc(records, service, func(r Record, name string) int {
		switch {
		case r.service < name:
			return -1
		case r.service > name:
			return 1
		}
		return 0
	})
}
