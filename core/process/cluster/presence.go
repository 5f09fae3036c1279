package cluster

import (
	"sort"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/connection/session"
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
	c.recordUnhealthy(verdicts)
	served := c.servedCentres(now)
	withoutFindings := newOutgoingPresence(p)
	withFindings := newOutgoingPresence(p.WithFindings(verdicts))
	for s, r := range c.sessions {
		if r.identified && !c.sendList(s, r, now) {
			continue
		}
		if r.identified && c.sharesFindingsWith(r, served) {
			withFindings.send(s, r, r.understandsUnchanged)
		} else {
			withoutFindings.send(s, r, r.understandsUnchanged)
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
	o := newOutgoingPresence(p)
	for s, r := range c.sessions {
		o.send(s, r, true)
	}
}

// outgoingPresence is an encoded presence.
type outgoingPresence struct {
	// identity is equal for two presences between which Unchanged is enough.
	identity    string
	hasFindings bool
	full        []byte
	unchanged   []byte
}

// newOutgoingPresence encodes a presence.
func newOutgoingPresence(p peer.Presence) outgoingPresence {
	return outgoingPresence{
		identity:    string(peer.Encode(p.WithList(0, 0).WithFindings(nil))),
		hasFindings: len(p.Findings()) > 0,
		full:        peer.Encode(p),
		unchanged:   peer.Encode(peer.NewUnchanged(p.List())),
	}
}

// send sends the presence on a session, or Unchanged if mayOmit is set and it says all
// that the peer does not know.
func (o outgoingPresence) send(s *session.Session, r *peerState, mayOmit bool) {
	if mayOmit && !o.hasFindings && r.sentPresence == o.identity {
		s.Send(o.unchanged)
		return
	}
	if s.Send(o.full) {
		r.sentPresence = o.identity
	}
}
