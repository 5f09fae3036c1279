// Package membership keeps what a VM knows of the others, and decides from it
// whether its own knowledge is fresh enough to send new work.
package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
)

const (
	// HeartbeatInterval is the time between two beats to each peer.
	HeartbeatInterval = 250 * time.Millisecond
	// lostAfter is the time without a beat after which a VM counts as lost.
	lostTimeout = 2 * time.Second
	// leaseTime is how long a confirmation by a quorum lets a VM send.
	leaseDuration = 3 * time.Second
	// isolationTime is how long a VM is awake without a confirmation before
	// it goes on with what it has.
	isolationDelay = 2 * time.Second
	// frozenGap is the gap between two ticks that shows a frozen process.
	maxTickGap = time.Second
)

// VM is what is known of another VM.
type VM struct {
	name            string
	dataCentre      string
	lastHeartbeatAt time.Time
	lastHeartbeat   peer.Beat
}

// Name returns the name of the VM.
func (v VM) Name() string { return v.name }

// DataCentre returns the data centre of the VM.
func (v VM) DataCentre() string { return v.dataCentre }

// LastHeartbeat returns what the VM last said.
func (v VM) LastHeartbeat() peer.Beat { return v.lastHeartbeat }

// Alive reports whether the VM was heard lately.
func (v VM) Alive(now time.Time) bool {
	return !v.lastHeartbeatAt.IsZero() && now.Sub(v.lastHeartbeatAt) < lostTimeout
}

// Freshness is the answer to the question whether new work may be sent.
type Freshness int

// The three cases of freshness.
const (
	// Fresh: a quorum confirmed the version in force a short time ago.
	Fresh Freshness = iota
	// Stale: wait for a confirmation; one may come at any moment.
	Stale
	// Isolated: none comes; go on inside the part that is still heard.
	Isolated
)

// String returns the name of the case as status pages print it.
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

// View is one VM's knowledge of the others. Its lock is taken alone.
type View struct {
	mu  sync.Mutex
	vms map[string]VM
	// confirmedAt is the latest time at which a quorum is known to have been
	// in touch, at confirmedVersion.
	confirmedAt      time.Time
	confirmedVersion uint64
	lastTickAt       time.Time
	resumedAt        time.Time
}

// NewView returns a view in which the named VMs have not been heard yet.
func NewView(names []string, now time.Time) *View {
	v := &View{vms: make(map[string]VM), lastTickAt: now, resumedAt: now}
	for _, name := range names {
		v.vms[name] = VM{name: name}
	}
	return v
}

// RecordHeartbeat takes in a beat.
func (v *View) RecordHeartbeat(name, dataCentre string, beat peer.Beat, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vms[name] = VM{name: name, dataCentre: dataCentre, lastHeartbeatAt: now, lastHeartbeat: beat}
	age, version := beat.Quorum()
	v.recordQuorum(age, version, now)
}

// RecordQuorum takes in this VM's own knowledge of a quorum.
func (v *View) RecordQuorum(age time.Duration, version uint64, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordQuorum(age, version, now)
}

func (v *View) recordQuorum(age time.Duration, version uint64, now time.Time) {
	confirmedAt := now.Add(-age)
	if confirmedAt.After(v.confirmedAt) {
		v.confirmedAt = confirmedAt
	}
	v.confirmedVersion = max(v.confirmedVersion, version)
}

// Tick notes that the process is awake. A long gap since the last tick means
// that it was frozen; what it knew then must be confirmed anew.
func (v *View) Tick(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.lastTickAt) > maxTickGap {
		v.resumedAt = now
	}
	v.lastTickAt = now
}

// LastQuorum returns how long ago a quorum was confirmed, and at which version.
func (v *View) LastQuorum(now time.Time) (age time.Duration, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.confirmedAt), v.confirmedVersion
}

// Freshness decides whether new work may be sent under a version, at the very
// moment of sending.
func (v *View) Freshness(version uint64, now time.Time) Freshness {
	v.mu.Lock()
	defer v.mu.Unlock()
	leaseExpired := now.Sub(v.confirmedAt) >= leaseDuration
	if !leaseExpired && version >= v.confirmedVersion {
		return Fresh
	}
	// The loop that ticks may not have run yet since the process woke up.
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

// VMs returns all VMs known, sorted by name.
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

// HeartbeatAge returns how long ago a VM was last heard.
func (v *View) HeartbeatAge(name string, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	lastHeartbeatAt := v.vms[name].lastHeartbeatAt
	if lastHeartbeatAt.IsZero() {
		lastHeartbeatAt = v.resumedAt
	}
	return now.Sub(lastHeartbeatAt)
}

// ReachableDataCentres returns the data centres of which a VM was heard lately.
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
