package cluster

import (
	"sort"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// findingKept is how long a control VM passes a finding on.
const findingKept = 3 * time.Second

const (
	// findingGap is the time between two bad findings after which the earlier
	// ones say nothing any more.
	findingGap = 2 * time.Second
	// findingSpan is the time that bad findings must span before a target is
	// told to be bad. A pause ends for all requests that met it at the same
	// moment; a target that is slow shows it again and again.
	findingSpan = 150 * time.Millisecond
	// wellSpan is how long good findings must go on after the last bad one
	// before a target is told to be well. One that rejects half of its requests
	// answers the other half well.
	wellSpan = 600 * time.Millisecond
)

// finding is what VMs found of a target, dated by the clock of this process.
type finding struct {
	firstBad time.Time
	lastBad  time.Time
	lastGood time.Time
}

// add returns the finding with one more.
func (f finding) add(bad bool, at time.Time) finding {
	switch {
	case !bad:
		if at.After(f.lastGood) {
			f.lastGood = at
		}
	case f.lastBad.IsZero() || at.Sub(f.lastBad) > findingGap || f.wellAgain() && at.After(f.lastGood):
		f.firstBad = at
		f.lastBad = at
	case at.After(f.lastBad):
		f.lastBad = at
	}
	return f
}

// wellAgain reports whether good findings have gone on for long enough.
func (f finding) wellAgain() bool { return f.lastGood.Sub(f.lastBad) >= wellSpan }

// told returns what other VMs should know, and false where there is nothing.
//
// For example, responses that were late at 10.00 and 10.01 s tell nothing;
// with another one at 10.20 s the target is told to be bad.
func (f finding) told() (bad bool, at time.Time, ok bool) {
	switch {
	case f.wellAgain():
		return false, f.lastGood, true
	case f.lastBad.Sub(f.firstBad) >= findingSpan:
		return true, f.lastBad, true
	}
	return false, time.Time{}, false
}

// latest returns when the target was last found either way.
func (f finding) latest() time.Time {
	if f.lastGood.After(f.lastBad) {
		return f.lastGood
	}
	return f.lastBad
}

// FindingSource gives what the requests of an entry VM showed lately, and takes
// what those of others did.
type FindingSource interface {
	Findings(now time.Time) []discovery.HealthFinding
	TakeFindings(findings []discovery.HealthFinding, now time.Time)
}

// ShareFindings makes an entry VM tell what its requests show. It is called
// before Run.
func (c *Cluster) ShareFindings(source FindingSource) { c.source = source }

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
		c.findings[f.ID()] = c.findings[f.ID()].add(f.Unhealthy(), now.Add(-f.Age()))
	}
}

// latestFindings returns the findings of all entry VMs that are still of use,
// and forgets the others. The caller holds the lock.
func (c *Cluster) latestFindings(now time.Time) []discovery.HealthFinding {
	var out []discovery.HealthFinding
	for id, f := range c.findings {
		if now.Sub(f.latest()) > findingKept {
			delete(c.findings, id)
			continue
		}
		if bad, at, ok := f.told(); ok {
			out = append(out, discovery.NewHealthFinding(id, bad, now.Sub(at)))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID() < out[j].ID() })
	return out
}

// tells reports whether this control VM passes findings on to a peer: the
// leader does to all, the others to their own data centre, which may be cut
// off from the leader.
func (c *Cluster) tells(r *remote) bool {
	if r.presence.Address() != "" {
		return false
	}
	return c.control.Status().Leads() || r.presence.Centre() == c.self.centre
}
