package placement

import (
	"hash/fnv"
	"math/bits"
	"time"

	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

const (
	// growth is how many more VMs than are heard may share a target's
	// connections: some may just be starting.
	growth = 1.25
	// formerConnections is how long after a start targets may still hold
	// connections of the process before.
	formerConnections = 10 * time.Second
	// unlimited is the share of a target that declares no limit.
	unlimited = 64
	// spareIdle is how long a connection is kept idle to a target that this VM
	// does not prefer, where connections are scarce.
	spareIdle = 2 * time.Second
	// rankMix is an odd number that spreads a hash over all its bits.
	rankMix = 0x9E3779B97F4A7C15
)

// perTarget returns how many requests this VM may have at a target at once:
// its share of the connections, and no more than the target runs at a time.
//
// For example, 25 connections for up to 9 VMs are 2 for each.
func (g *group) perTarget(t *Target, now time.Time) int {
	slots := t.instance.Slots()
	if slots <= 0 {
		slots = defaultSlots
	}
	return min(g.fleet.share(g.declared, now), slots)
}

// share returns the connections to one target that this VM may open. After all
// VMs have lost power, targets hold the connections of before for a while, as
// if there were twice as many VMs; those beyond their limit they reset.
func (f *Fleet) share(declared routing.Service, now time.Time) int {
	if declared.MaxConnections() <= 0 {
		return unlimited
	}
	vms := float64(f.entryVMs) * growth
	if now.Sub(f.began) < formerConnections {
		vms *= 2
	}
	return max(1, declared.MaxConnections()/(int(vms)+1))
}

// preferred returns the target that this VM prefers where the service has none in
// its data centre, nil where it has. Each VM then keeps a connection to one of
// them and learns how it does, instead of to all: with 76 VMs and three targets
// of 70 connections each, not every VM can have one to each.
func (f *Fleet) preferred(g *group) *Target {
	var best *Target
	for _, t := range g.targets {
		switch {
		case t.leaving || f.out[t.instance.DataCentre()] || f.cut(t.instance.DataCentre()):
		case t.instance.DataCentre() == f.centre:
			return nil
		case best == nil || t.rank > best.rank:
			best = t
		}
	}
	return best
}

// idle returns how long a connection to a target is worth keeping idle. Where
// the targets take less than two connections from each VM, only those to the
// preferred ones are kept: they leave room for VMs that start while targets
// still hold the connections of the processes before.
//
// For example, 76 VMs and three targets of a shard that take 70 connections
// each: 26 VMs prefer each of them, and a hedge now and then adds some for
// seconds.
func (f *Fleet) idle(g *group, t *Target) time.Duration {
	switch {
	case g.declared.MaxConnections() <= 0 || g.declared.MaxConnections() >= 2*f.entryVMs:
		return 0
	case t.instance.DataCentre() == f.centre || t == f.preferred(g):
		return 0
	}
	return spareIdle
}

// rankOf orders the targets of a service for a VM, for each VM in another way.
func rankOf(vm, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(vm))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	// The last bytes alone change the low bits only.
	sum := h.Sum64()
	return bits.RotateLeft64(sum*rankMix, 32) * rankMix
}
