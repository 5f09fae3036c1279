// Package membership records what the heartbeats of the other VMs report, and
// decides whether this VM's own configuration was confirmed recently enough to
// send new requests.
package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
)

const (
	// HeartbeatInterval is the time between two heartbeats to each peer.
	HeartbeatInterval = 250 * time.Millisecond
	// lostTimeout is the time without a heartbeat after which a VM counts as
	// lost.
	lostTimeout = 2 * time.Second
	// leaseDuration is the length of a VM's lease, the time for which it may
	// send requests after a quorum confirmed its configuration.
	leaseDuration = 3 * time.Second
	// isolationDelay is how long a running VM waits for a confirmation after
	// its lease expired before it counts as isolated.
	isolationDelay = 2 * time.Second
	// maxTickGap is the longest time between two ticks of a process that was
	// not suspended. After a longer gap the process counts as resumed from a
	// suspension.
	maxTickGap = time.Second
)

// VM is what is known of another VM.
type VM struct {
	name            string
	dataCentre      string
	lastHeartbeatAt time.Time
	lastHeartbeat   peer.Heartbeat
}

// Name returns the name of the VM.
func (v VM) Name() string { return v.name }

// DataCentre returns the name of the data centre of the VM, empty before its
// first heartbeat.
func (v VM) DataCentre() string { return v.dataCentre }

// LastHeartbeat returns the last heartbeat that arrived from the VM, the zero
// value if none has.
func (v VM) LastHeartbeat() peer.Heartbeat { return v.lastHeartbeat }

// Alive reports whether a heartbeat arrived from the VM within lostTimeout.
func (v VM) Alive(now time.Time) bool {
	return !v.lastHeartbeatAt.IsZero() && now.Sub(v.lastHeartbeatAt) < lostTimeout
}

// Freshness specifies whether this VM's configuration is confirmed recently
// enough to send new requests.
type Freshness int

// The values of Freshness.
const (
	// Fresh: contact with a quorum was confirmed within leaseDuration, and no
	// newer configuration version is known to be confirmed.
	Fresh Freshness = iota
	// Stale: new requests wait, because a confirmation or a newer configuration
	// version may still arrive.
	Stale
	// Isolated: no confirmation has arrived within isolationDelay after the
	// lease expired or, if that is later, after the process started or resumed.
	// The VM continues with its active configuration, but only in the data
	// centres that it still receives heartbeats from.
	Isolated
)

// String returns the value as status pages print it, "stale" for a number that
// is not a value of Freshness.
func (f Freshness) String() string {
	switch f {
	case Fresh:
		return "fresh"
	case Stale:
		return "stale"
	case Isolated:
		return "isolated"
	}
	return "stale"
}

// View holds one VM's knowledge of the others. No other lock is taken while its
// lock is held.
type View struct {
	mu  sync.Mutex
	vms map[string]VM
	// confirmedAt is the latest time at which a VM is known to have been in
	// contact with a quorum. confirmedVersion is the newest configuration
	// version that any such contact reported.
	confirmedAt      time.Time
	confirmedVersion uint64
	lastTickAt       time.Time
	// resumedAt is when the process started or was last resumed after a
	// suspension.
	resumedAt time.Time
}

// NewView returns a view of the named VMs, none of which has sent a heartbeat
// yet.
func NewView(names []string, now time.Time) *View {
	v := &View{vms: make(map[string]VM), lastTickAt: now, resumedAt: now}
	for _, name := range names {
		v.vms[name] = VM{name: name}
	}
	return v
}

// RecordHeartbeat stores a heartbeat of another VM, and the contact with a
// quorum that it reports.
func (v *View) RecordHeartbeat(name, dataCentre string, beat peer.Heartbeat, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vms[name] = VM{name: name, dataCentre: dataCentre, lastHeartbeatAt: now, lastHeartbeat: beat}
	age, version := beat.Quorum()
	v.recordQuorum(age, version, now)
}

// RecordQuorum records that this VM was itself in contact with a quorum, age
// before now, and that this contact reported the given configuration version.
func (v *View) RecordQuorum(age time.Duration, version uint64, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordQuorum(age, version, now)
}

// recordQuorum is RecordQuorum for callers that hold the lock.
func (v *View) recordQuorum(age time.Duration, version uint64, now time.Time) {
	confirmedAt := now.Add(-age)
	if confirmedAt.After(v.confirmedAt) {
		v.confirmedAt = confirmedAt
	}
	v.confirmedVersion = max(v.confirmedVersion, version)
}

// Tick records that the process is running. If the last tick is longer ago than
// maxTickGap, the process was suspended, and the delay until it counts as
// isolated starts again.
func (v *View) Tick(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.lastTickAt) > maxTickGap {
		v.resumedAt = now
	}
	v.lastTickAt = now
}

// LastQuorum returns how long ago any VM, according to the messages received,
// was last in contact with a quorum, and the newest configuration version that
// was confirmed. If no contact is known, the age is the largest time.Duration
// and the version is 0.
func (v *View) LastQuorum(now time.Time) (age time.Duration, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.confirmedAt), v.confirmedVersion
}

// Freshness reports whether new requests may be sent under a configuration
// version. It must be called immediately before sending.
func (v *View) Freshness(version uint64, now time.Time) Freshness {
	v.mu.Lock()
	defer v.mu.Unlock()
	leaseExpired := now.Sub(v.confirmedAt) >= leaseDuration
	if !leaseExpired && version >= v.confirmedVersion {
		return Fresh
	}
	// After a suspension, requests may be handled before the next call to Tick.
	if now.Sub(v.lastTickAt) > maxTickGap {
		return Stale
	}
	unconfirmedSince := v.confirmedAt.Add(leaseDuration)
	if v.resumedAt.After(unconfirmedSince) {
		unconfirmedSince = v.resumedAt
	}
	if leaseExpired && now.Sub(unconfirmedSince) >= isolationDelay {
		return Isolated
	}
	return Stale
}

// VMs returns all known VMs, sorted by name.
func (v *View) VMs() []VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]VM, 0, len(v.vms))
	for _, vm := range v.vms {
		out = append(out, vm)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// HeartbeatAge returns the time since the last heartbeat of a VM. For a VM that
// has sent none or is not known it is the time since this process started or
// resumed.
func (v *View) HeartbeatAge(name string, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	lastHeartbeatAt := v.vms[name].lastHeartbeatAt
	if lastHeartbeatAt.IsZero() {
		lastHeartbeatAt = v.resumedAt
	}
	return now.Sub(lastHeartbeatAt)
}

// ReachableDataCentres returns the data centres in which at least one VM is
// alive.
func (v *View) ReachableDataCentres(now time.Time) map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]bool)
	for _, vm := range v.vms {
		if vm.Alive(now) {
			out[vm.dataCentre] = true
		}
	}
	return out
}
