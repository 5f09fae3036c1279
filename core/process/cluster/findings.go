package cluster

import (
	"sort"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// findingTTL is how long a control VM keeps the health of a target after the
// latest finding on it.
const findingTTL = 3 * time.Second

const (
	// maxBadGap is the longest time between two bad findings of one series.
	// After a longer gap, a bad finding starts a new series.
	maxBadGap = 2 * time.Second
	// minBadSpan is the time that a series of bad findings must span before a
	// target is reported as bad. A single pause of a target ends at the same
	// moment for all requests that it delays; a target that is slow causes bad
	// findings repeatedly.
	minBadSpan = 150 * time.Millisecond
	// minGoodSpan is the least time between the last bad finding and the last good
	// one after which a target is reported as good. A target that rejects half of
	// its requests answers the other half well, so a good finding soon after a bad
	// one does not show that the target has recovered.
	minGoodSpan = 600 * time.Millisecond
)

// targetHealth combines the findings of all VMs on one target. The times are
// those of this process's clock.
type targetHealth struct {
	// firstBad and lastBad are the times of the first and the last finding of the
	// latest series of bad findings, zero if there was none.
	firstBad time.Time
	lastBad  time.Time
	// lastGood is the time of the last good finding, zero if there was none.
	lastGood time.Time
}

// add returns the health after one more finding. A bad finding starts a new series if
// the previous bad one is more than maxBadGap older or the target has recovered since.
// A finding that is older than the last one of its kind changes nothing.
func (h targetHealth) add(bad bool, at time.Time) targetHealth {
	switch {
	case !bad:
		if at.After(h.lastGood) {
			h.lastGood = at
		}
	case h.lastBad.IsZero() || at.Sub(h.lastBad) > maxBadGap || h.recovered() && at.After(h.lastGood):
		h.firstBad = at
		h.lastBad = at
	case at.After(h.lastBad):
		h.lastBad = at
	}
	return h
}

// recovered reports whether the last good finding came at least minGoodSpan after
// the last bad one, or there are only good findings.
func (h targetHealth) recovered() bool { return h.lastGood.Sub(h.lastBad) >= minGoodSpan }

// verdict returns whether the target is bad and the time of the latest finding
// that shows it. ok is false while the findings are not conclusive.
//
// For example, late responses at 10.00 s and 10.01 s are not conclusive; after
// another one at 10.20 s the target is reported as bad.
func (h targetHealth) verdict() (bad bool, at time.Time, ok bool) {
	switch {
	case h.recovered():
		return false, h.lastGood, true
	case h.lastBad.Sub(h.firstBad) >= minBadSpan:
		return true, h.lastBad, true
	}
	return false, time.Time{}, false
}

// latestFinding returns the time of the latest finding, good or bad.
func (h targetHealth) latestFinding() time.Time {
	if h.lastGood.After(h.lastBad) {
		return h.lastGood
	}
	return h.lastBad
}

// FindingSource provides and receives findings on the health of targets on an entry
// VM. Findings returns the latest ones from the requests of this VM, which are sent to
// the control VMs; TakeFindings receives those that a control VM combined from the
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
		if bad, at, ok := h.verdict(); ok {
			out = append(out, discovery.NewHealthFinding(id, bad, now.Sub(at)))
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
