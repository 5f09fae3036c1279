package placement

import (
	"hash/fnv"
	"math/bits"
	"time"

	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

const (
	// vmCountMargin is the factor by which the known number of VMs that share a
	// target's connections is increased: some VMs may just be starting.
	vmCountMargin = 1.25
	// staleConnectionPeriod is how long after this process starts targets may
	// still hold connections of processes that ran before.
	staleConnectionPeriod = 10 * time.Second
	// unlimitedShare is the connection share for a service that declares no
	// connection limit.
	unlimitedShare = 64
	// spareIdleTimeout is how long an idle connection is kept to a target that
	// this VM does not prefer, when connections are scarce.
	spareIdleTimeout = 2 * time.Second
	// rankMultiplier is the factor that rendezvousRank multiplies a hash by to
	// mix its bits. It is odd, so that different hashes stay different.
	rankMultiplier = 0x9E3779B97F4A7C15
)

// maxInFlight returns how many requests this VM may have in flight at a target:
// its share of the target's connections, but at most the number of requests
// that the target runs at once.
//
// For example, a limit of 25 connections shared by 9 VMs gives each VM 2: with
// vmCountMargin, 9 VMs count as 12.
func (g *group) maxInFlight(t *Target, now time.Time) int {
	slots := t.instance.Slots()
	if slots <= 0 {
		slots = defaultSlots
	}
	return min(g.fleet.connectionShare(g.declared, now), slots)
}

// connectionShare returns how many connections to one target this VM may open:
// at least 1, and unlimitedShare if the service declares no limit. During
// staleConnectionPeriod it assumes twice as many VMs: after all VMs have lost
// power, targets still hold the old connections for a while and reset new ones
// beyond their limit. The caller holds f.mu.
func (f *Fleet) connectionShare(declared routing.Service, now time.Time) int {
	if declared.MaxConnections() <= 0 {
		return unlimitedShare
	}
	return max(1, declared.MaxConnections()/(int(f.sharingVMs(now))+1))
}

// sharingVMs returns the number of VMs with which this VM assumes to share the
// connections of each target. The caller holds f.mu.
func (f *Fleet) sharingVMs(now time.Time) float64 {
	vms := float64(f.entryVMs) * vmCountMargin
	if now.Sub(f.startedAt) < staleConnectionPeriod {
		vms *= 2
	}
	return vms
}

// preferredRemote returns the remote target that this VM prefers if the service
// has no usable target in the VM's own data centre. It returns nil if the
// service has one there, or no usable target at all. Targets that are leaving,
// whose version gets nothing, or whose data centre is out of service or unreachable, are
// not usable.
//
// Each VM without a local target keeps a connection to one remote target, and
// measures its response times, instead of connecting to all of them: with 76
// VMs and three targets of 70 connections each, not every VM can have a
// connection to each target. The caller holds f.mu.
func (f *Fleet) preferredRemote(g *group) *Target {
	var best *Target
	for _, t := range g.targets {
		switch {
		case g.sideOf(t) == noSide || t.departure.known() || !f.centreUsable(t.instance.DataCentre()):
		case t.instance.DataCentre() == f.ownCentre:
			return nil
		case best == nil || t.rank > best.rank:
			best = t
		}
	}
	return best
}

// idleTimeout returns how long an idle connection to a target should be kept, 0
// for as long as the target keeps it. If each target accepts fewer than two
// connections from each VM, the result is 0 only for targets in the VM's own
// data centre and for the preferred remote target, and spareIdleTimeout for the
// others. This leaves connections for VMs that start while targets still hold
// connections of earlier processes. The caller holds f.mu.
//
// For example, with 76 VMs and three targets of a shard that accept 70
// connections each, about 26 VMs prefer each target, and occasional hedges add
// a few connections for some seconds.
func (f *Fleet) idleTimeout(g *group, t *Target) time.Duration {
	switch {
	case g.declared.MaxConnections() <= 0 || g.declared.MaxConnections() >= 2*f.entryVMs:
		return 0
	case t.instance.DataCentre() == f.ownCentre || t == f.preferredRemote(g):
		return 0
	case t == f.secondChoice(g) && f.mayKeepSecond(g):
		return secondIdleTimeout
	}
	return spareIdleTimeout
}

// rendezvousRank returns the rank of a target for a VM, as in rendezvous
// hashing: each VM ranks the targets of a service in a different order.
func rendezvousRank(vm, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(vm))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	// In an FNV-1a hash, a difference in the last bytes alone changes only a
	// few bits, so the bits of the hash are mixed below.
	sum := h.Sum64()
	return bits.RotateLeft64(sum*rankMultiplier, 32) * rankMultiplier
}
