package cluster

import (
	"sort"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
)

// presence returns the presence of this process, without findings. The caller
// holds mu.
func (c *Cluster) presence(now time.Time) peer.Presence {
	p := peer.NewPresence(c.self.vm, c.self.address, c.self.dataCentre, c.self.startID, c.routes.Revision())
	if !c.list.Empty() {
		p = p.WithList(c.list.SequenceNumber(), now.Sub(c.list.ReadAt()))
	}
	if c.control == nil {
		return p
	}
	s := c.control.Status()
	p = p.WithReplica(string(s.Member().ID()), s.Bootstrapped(), s.Leader())
	var addresses []string
	for address, link := range c.controlLinks {
		if now.Sub(link.lastSeen) < controlVMExpiry {
			addresses = append(addresses, address)
		}
	}
	sort.Strings(addresses)
	return p.WithMembers(append(addresses, c.self.address), c.countEntryVMs(now))
}

// sendPresences sends a presence on every session. The presence of a control VM
// carries the number and age of its current target list, which the peer applies to
// the list received on the session. Changes to the list are therefore sent first,
// and no presence is sent if that fails.
func (c *Cluster) sendPresences(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.control == nil {
		c.sendEntryPresence(now)
		return
	}
	p := c.presence(now)
	verdicts := c.health.Verdicts(now)
	c.sentUnhealthy = unhealthyIDs(verdicts)
	withoutFindings := peer.Encode(p)
	withFindings := peer.Encode(p.WithFindings(verdicts))
	for s, r := range c.sessions {
		if r.identified && !c.sendList(s, r, now) {
			continue
		}
		if r.identified && c.sharesFindingsWith(r) {
			s.Send(withFindings)
		} else {
			s.Send(withoutFindings)
		}
	}
}

// sendEntryPresence sends the presence of an entry VM, with the findings of its
// requests, on every session. The caller holds mu.
func (c *Cluster) sendEntryPresence(now time.Time) {
	p := c.presence(now)
	if c.findingSource != nil {
		p = p.WithFindings(c.findingSource.Findings(now))
	}
	payload := peer.Encode(p)
	for s := range c.sessions {
		s.Send(payload)
	}
}
