package placement

import "time"

// warmShare is the largest part of a target's connection limit that the VMs which prefer
// the target may hold without a request. The rest is for VMs that send to it for another
// reason, such as a hedge.
const warmShare = 0.75

// WarmAddresses returns the addresses to which this VM should hold a connection before
// it has a request: that of the preferred target of each service that a route uses, and
// that of one target of the new version while a rollout runs, so that the first requests
// to it don't take longer than others.
//
// A query to hundreds of shards would otherwise open hundreds of connections at once.
// For example, with 295 VMs that share 120 queries a second, a VM sees its first query
// seconds after its start, and a connection takes 6 ms of a target's time and more of
// the processor than the sub-request that uses it.
func (f *Fleet) WarmAddresses(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, g := range f.groups {
		if !g.routed {
			continue
		}
		if t := f.warmTarget(g, oldSide, now); t != nil {
			out = append(out, t.instance.Address())
		}
		if g.versions.gate == nil {
			continue
		}
		if t := f.warmTarget(g, newSide, now); t != nil {
			out = append(out, t.instance.Address())
		}
	}
	return out
}

// warmTarget returns the healthy target of one side of a service in the VM's own data
// centre, or else anywhere, that the VM prefers. It returns nil if there is none, or if the
// targets may not accept so many connections. The caller holds f.mu.
func (f *Fleet) warmTarget(g *group, wanted side, now time.Time) *Target {
	var best *Target
	usable := 0
	for _, t := range g.targets {
		if g.sideOf(t) != wanted || f.classify(t, now) != healthy || t.reportedUnhealthy(now) || t.departure.known() {
			continue
		}
		usable++
		local := t.instance.DataCentre() == f.ownCentre
		bestLocal := best != nil && best.instance.DataCentre() == f.ownCentre
		if best == nil || local && !bestLocal || local == bestLocal && t.rank > best.rank {
			best = t
		}
	}
	limit := g.declared.MaxConnections()
	if best == nil || limit > 0 && f.sharingVMs(now) > warmShare*float64(limit*usable) {
		return nil
	}
	return best
}
