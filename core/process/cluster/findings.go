package cluster

import (
	"sort"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// findingKept is how long a control VM passes a finding on.
const findingKept = 3 * time.Second

// finding is what a VM found of a target, dated by the clock of this process.
type finding struct {
	bad bool
	at  time.Time
}

// FindingSource gives what the requests of an entry VM showed lately, and takes
// what those of others did.
type FindingSource interface {
	Findings(now time.Time) []discovery.Finding
	TakeFindings(findings []discovery.Finding, now time.Time)
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
		at := now.Add(-f.Age())
		if at.After(c.findings[f.ID()].at) {
			c.findings[f.ID()] = finding{bad: f.Bad(), at: at}
		}
	}
}

// latestFindings returns the findings of all entry VMs that are still of use,
// and forgets the others. The caller holds the lock.
func (c *Cluster) latestFindings(now time.Time) []discovery.Finding {
	var out []discovery.Finding
	for id, f := range c.findings {
		age := now.Sub(f.at)
		if age > findingKept {
			delete(c.findings, id)
			continue
		}
		out = append(out, discovery.NewFinding(id, f.bad, age))
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
