package cluster

import (
	"sort"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// findingTTL is how long a control VM keeps the health of a target after the
// latest finding on it. A finding (discovery.HealthFinding) says whether the requests
// of an entry VM showed a target to be healthy or unhealthy, and how long ago.
const findingTTL = 3 * time.Second

const (
	// maxUnhealthyGap is the longest time between two unhealthy findings of one
	// series. After a longer gap, an unhealthy finding starts a new series.
	maxUnhealthyGap = 2 * time.Second
	// minUnhealthySpan is the time that a series of unhealthy findings must
	// span before a target is reported as unhealthy. A single pause of a target
	// ends at the same moment for all requests that it delays; a target that is
	// slow causes unhealthy findings repeatedly.
	minUnhealthySpan = 150 * time.Millisecond
	// minHealthySpan is the least time between the last unhealthy finding and
	// the last healthy one after which a target is reported as healthy. A
	// target that rejects half of its requests answers the other half well, so
	// a healthy finding soon after an unhealthy one does not show that the
	// target has recovered.
	minHealthySpan = 600 * time.Millisecond
)

// targetHealth combines the findings of all VMs on one target. The times are
// those of this process's clock.
type targetHealth struct {
	// firstUnhealthy and lastUnhealthy are the times of the first and the last
	// finding of the latest series of unhealthy findings, zero if there was
	// none.
	firstUnhealthy time.Time
	lastUnhealthy  time.Time
	// lastHealthy is the time of the last healthy finding, zero if there was
	// none.
	lastHealthy time.Time
}

// add returns the health after one more finding. An unhealthy finding starts a
// new series if the previous unhealthy one is more than maxUnhealthyGap older
// or the target has recovered since. A finding that is older than the last one
// of its kind changes nothing.
func (h targetHealth) add(unhealthy bool, at time.Time) targetHealth {
	switch {
	case !unhealthy:
		if at.After(h.lastHealthy) {
			h.lastHealthy = at
		}
	case h.lastUnhealthy.IsZero() || at.Sub(h.lastUnhealthy) > maxUnhealthyGap || h.recovered() && at.After(h.lastHealthy):
		h.firstUnhealthy = at
		h.lastUnhealthy = at
	case at.After(h.lastUnhealthy):
		h.lastUnhealthy = at
	}
	return h
}

// recovered reports whether the time of the last healthy finding is at least
// minHealthySpan after that of the last unhealthy one, or there are only
// healthy findings.
func (h targetHealth) recovered() bool { return h.lastHealthy.Sub(h.lastUnhealthy) >= minHealthySpan }

// verdict returns whether the target is unhealthy and the time of the latest
// finding that shows it. ok is false while the findings are not conclusive.
//
// For example, late responses at 10.00 s and 10.01 s are not conclusive; after
// another one at 10.20 s the target is reported as unhealthy.
func (h targetHealth) verdict() (unhealthy bool, at time.Time, ok bool) {
	switch {
	case h.recovered():
		return false, h.lastHealthy, true
	case h.lastUnhealthy.Sub(h.firstUnhealthy) >= minUnhealthySpan:
		return true, h.lastUnhealthy, true
	}
	return false, time.Time{}, false
}

// latestFinding returns the time of the latest finding, healthy or unhealthy.
func (h targetHealth) latestFinding() time.Time {
	if h.lastHealthy.After(h.lastUnhealthy) {
		return h.lastHealthy
	}
	return h.lastUnhealthy
}

// FindingSource is the part of an entry VM that holds findings on the health of
// targets. Findings returns those from recent requests of this VM, to be sent to the
// control VMs. TakeFindings applies those that a control VM combined from the
// findings of all entry VMs.
type FindingSource interface {
	Findings(now time.Time) []discovery.HealthFinding
	TakeFindings(findings []discovery.HealthFinding, now time.Time)
}

// SetFindingSource makes an entry VM share its findings with the control VMs. It
// is called before Run.
func (c *Cluster) SetFindingSource(source FindingSource) { c.findingSource = source }

// receiveFindings processes the findings of a presence. A control VM adds them to
// the health of each target; an entry VM passes them to its FindingSource.
func (c *Cluster) receiveFindings(p peer.Presence, now time.Time) {
	if len(p.Findings()) == 0 {
		return
	}
	if c.control == nil {
		if c.findingSource != nil {
			c.findingSource.TakeFindings(p.Findings(), now)
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range p.Findings() {
		c.healthByTarget[f.ID()] = c.healthByTarget[f.ID()].add(f.Unhealthy(), now.Add(-f.Age()))
	}
}

// currentFindings returns one finding, the verdict, for each target for which the
// findings of the entry VMs are conclusive, sorted by target id. It removes targets
// without a finding for findingTTL. The caller holds mu.
func (c *Cluster) currentFindings(now time.Time) []discovery.HealthFinding {
	var out []discovery.HealthFinding
	for id, h := range c.healthByTarget {
		if now.Sub(h.latestFinding()) > findingTTL {
			delete(c.healthByTarget, id)
			continue
		}
		if unhealthy, at, ok := h.verdict(); ok {
			out = append(out, discovery.NewHealthFinding(id, unhealthy, now.Sub(at)))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID() < out[j].ID() })
	return out
}

// sharesFindingsWith reports whether this control VM sends findings to a peer.
// The leader sends them to all entry VMs; other control VMs only to those of
// their own data centre, which may be partitioned from the leader.
func (c *Cluster) sharesFindingsWith(r *peerState) bool {
	if r.presence.Address() != "" {
		return false
	}
	return c.control.Status().Leads() || r.presence.DataCentre() == c.self.dataCentre
}
