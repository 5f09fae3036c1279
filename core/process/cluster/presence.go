package cluster

import (
	"sort"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
)

// presence returns what this process says of itself. The caller holds the lock.
func (c *Cluster) presence(now time.Time) peer.Presence {
	p := peer.NewPresence(c.self.vm, c.self.address, c.self.centre, c.self.startID, c.routes.Revision())
	if !c.list.Empty() {
		p = p.WithList(c.list.SequenceNumber(), now.Sub(c.list.ReadAt()))
	}
	if c.control == nil {
		return p
	}
	s := c.control.Status()
	p = p.WithReplica(string(s.Member().ID()), s.Founded(), s.Leader())
	var controls []string
	for address, k := range c.controls {
		if now.Sub(k.heardAt) < forgetAfter {
			controls = append(controls, address)
		}
	}
	sort.Strings(controls)
	return p.WithMembers(append(controls, c.self.address), c.entryVMs(now))
}

// beat sends a presence on every session. The presence of a control VM dates
// the list that was sent before it, so the list goes first.
func (c *Cluster) beat(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.control == nil {
		c.beatEntry(now)
		return
	}
	p := c.presence(now)
	plain := peer.Encode(p)
	telling := peer.Encode(p.WithFindings(c.latestFindings(now)))
	for s, r := range c.sessions {
		if r.known && !c.sendList(s, r, now) {
			continue
		}
		if r.known && c.tells(r) {
			s.Send(telling)
		} else {
			s.Send(plain)
		}
	}
}

// beatEntry sends the presence of an entry VM. The caller holds the lock.
func (c *Cluster) beatEntry(now time.Time) {
	p := c.presence(now)
	if c.source != nil {
		p = p.WithFindings(c.source.Findings(now))
	}
	payload := peer.Encode(p)
	for s := range c.sessions {
		s.Send(payload)
	}
}
