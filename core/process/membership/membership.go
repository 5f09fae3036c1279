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
	// BeatInterval is the time between two beats to each peer.
	BeatInterval = 250 * time.Millisecond
	// lostAfter is the time without a beat after which a VM counts as lost.
	lostAfter = 2 * time.Second
	// leaseTime is how long a confirmation by a quorum lets a VM send.
	leaseTime = 3 * time.Second
	// isolationTime is how long a VM is awake without a confirmation before
	// it goes on with what it has.
	isolationTime = 2 * time.Second
	// frozenGap is the gap between two ticks that shows a frozen process.
	frozenGap = time.Second
)

// VM is what is known of another VM.
type VM struct {
	name    string
	centre  string
	heardAt time.Time
	beat    peer.Heartbeat
}

// Name returns the name of the VM.
func (v VM) Name() string { return v.name }

// DataCentre returns the data centre of the VM.
func (v VM) DataCentre() string { return v.centre }

// Beat returns what the VM last said.
func (v VM) Beat() peer.Heartbeat { return v.beat }

// Alive reports whether the VM was heard lately.
func (v VM) Alive(now time.Time) bool {
	return !v.heardAt.IsZero() && now.Sub(v.heardAt) < lostAfter
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
	tickedAt         time.Time
	awakeSince       time.Time
}

// NewView returns a view in which the named VMs have not been heard yet.
func NewView(names []string, now time.Time) *View {
	v := &View{vms: make(map[string]VM), tickedAt: now, awakeSince: now}
	for _, name := range names {
		v.vms[name] = VM{name: name}
	}
	return v
}

// Hear takes in a beat.
func (v *View) Hear(name, centre string, beat peer.Heartbeat, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vms[name] = VM{name: name, centre: centre, heardAt: now, beat: beat}
	age, version := beat.Quorum()
	v.confirm(age, version, now)
}

// Confirm takes in this VM's own knowledge of a quorum.
func (v *View) Confirm(age time.Duration, version uint64, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirm(age, version, now)
}

func (v *View) confirm(age time.Duration, version uint64, now time.Time) {
	at := now.Add(-age)
	if at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
	v.confirmedVersion = max(v.confirmedVersion, version)
}

// Tick notes that the process is awake. A long gap since the last tick means
// that it was frozen; what it knew then must be confirmed anew.
func (v *View) Tick(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.tickedAt) > frozenGap {
		v.awakeSince = now
	}
	v.tickedAt = now
}

// Quorum returns how long ago a quorum was confirmed, and at which version.
func (v *View) Quorum(now time.Time) (age time.Duration, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.confirmedAt), v.confirmedVersion
}

// Freshness decides whether new work may be sent under a version, at the very
// moment of sending.
func (v *View) Freshness(version uint64, now time.Time) Freshness {
	v.mu.Lock()
	defer v.mu.Unlock()
	lapsed := now.Sub(v.confirmedAt) >= leaseTime
	if !lapsed && version >= v.confirmedVersion {
		return Fresh
	}
	// The loop that ticks may not have run yet since the process woke up.
	if now.Sub(v.tickedAt) > frozenGap {
		return Stale
	}
	lapsedAt := v.confirmedAt.Add(leaseTime)
	if v.awakeSince.After(lapsedAt) {
		lapsedAt = v.awakeSince
	}
	if lapsed && now.Sub(lapsedAt) >= isolationTime {
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

// HeardAge returns how long ago a VM was last heard.
func (v *View) HeardAge(name string, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	heardAt := v.vms[name].heardAt
	if heardAt.IsZero() {
		heardAt = v.awakeSince
	}
	return now.Sub(heardAt)
}

// Centres returns the data centres of which a VM was heard lately.
func (v *View) Centres(now time.Time) map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]bool)
	for _, vm := range v.vms {
		if vm.Alive(now) {
			out[vm.centre] = true
		}
	}
	return out
}
