package cluster

import (
	"sort"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// findingTTL is how long a control VM passes a finding on.
const findingTTL = 3 * time.Second

const (
	// maxBadGap is the time between two bad findings after which the earlier
	// ones say nothing any more.
	maxBadGap = 2 * time.Second
	// minBadSpan is the time that bad findings must span before a target is
	// told to be bad. A pause ends for all requests that met it at the same
	// moment; a target that is slow shows it again and again.
	minBadSpan = 150 * time.Millisecond
	// minGoodSpan is how long good findings must go on after the last bad one
	// before a target is told to be well. One that rejects half of its requests
	// answers the other half well.
	minGoodSpan = 600 * time.Millisecond
)

// targetHealth is what VMs found of a target, dated by the clock of this process.
type targetHealth struct {
	firstBad time.Time
	lastBad  time.Time
	lastGood time.Time
}

// add returns the finding with one more.
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

// recovered reports whether good findings have gone on for long enough.
func (h targetHealth) recovered() bool { return h.lastGood.Sub(h.lastBad) >= minGoodSpan }

// verdict returns what other VMs should know, and false where there is nothing.
//
// For example, responses that were late at 10.00 and 10.01 s tell nothing;
// with another one at 10.20 s the target is told to be bad.
func (h targetHealth) verdict() (bad bool, at time.Time, ok bool) {
	switch {
	case h.recovered():
		return false, h.lastGood, true
	case h.lastBad.Sub(h.firstBad) >= minBadSpan:
		return true, h.lastBad, true
	}
	return false, time.Time{}, false
}

// lastReport returns when the target was last found either way.
func (h targetHealth) lastReport() time.Time {
	if h.lastGood.After(h.lastBad) {
		return h.lastGood
	}
	return h.lastBad
}

// FindingSource gives what the requests of an entry VM showed lately, and takes
// what those of others did.
type FindingSource interface {
	Findings(now time.Time) []discovery.Finding
	TakeFindings(findings []discovery.Finding, now time.Time)
}

// SetFindingSource makes an entry VM tell what its requests show. It is called
// before Run.
func (c *Cluster) SetFindingSource(source FindingSource) { c.source = source }

// receiveFindings takes in the findings of a presence: a control VM keeps the
// latest of each target, an entry VM hands them on.
func (c *Cluster) receiveFindings(p peer.Presence, now time.Time) {
	if len(p.Findings()) == 0 {
		return
	}
	if c.control == nil {
		if c.source != nil {
			c.source.TakeFindings(p.Findings(), now)
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range p.Findings() {
		c.healthByTarget[f.ID()] = c.healthByTarget[f.ID()].add(f.Bad(), now.Add(-f.Age()))
	}
}

// currentFindings returns the findings of all entry VMs that are still of use,
// and forgets the others. The caller holds the lock.
func (c *Cluster) currentFindings(now time.Time) []discovery.Finding {
	var out []discovery.Finding
	for id, h := range c.healthByTarget {
		if now.Sub(h.lastReport()) > findingTTL {
			delete(c.healthByTarget, id)
			continue
		}
		if bad, at, ok := h.verdict(); ok {
			out = append(out, discovery.NewFinding(id, bad, now.Sub(at)))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID() < out[j].ID() })
	return out
}

// sharesFindingsWith reports whether this control VM passes findings on to a peer: the
// leader does to all, the others to their own data centre, which may be cut
// off from the leader.
func (c *Cluster) sharesFindingsWith(r *peerState) bool {
	if r.presence.Address() != "" {
		return false
	}
	return c.control.Status().Leads() || r.presence.Centre() == c.self.dataCentre
}
