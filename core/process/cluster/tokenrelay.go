package cluster

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/connection/session"
)

// receiveTokenRequest answers a request as the leader. Any other control VM passes a
// request of an entry VM on to the leader, which some entry VM may not reach.
func (c *Cluster) receiveTokenRequest(s *session.Session, m peer.TokenRequest) {
	if c.tokenOwner == nil {
		return
	}
	holder := m.Holder()
	if holder == "" {
		holder = c.holderOf(s)
	}
	if holder == "" {
		return
	}
	if grant, ok := c.tokenOwner.answer(holder, m.Ask()); ok {
		s.Send(peer.Encode(peer.NewTokenGrant(grant).For(m.Holder())))
		return
	}
	if leader := c.leader(); m.Holder() == "" && leader != "" && leader != c.self.address {
		c.send(leader, m.OnBehalfOf(holder))
	}
}

// receiveTokenGrant applies a grant, or passes it on to the holder that asked through this
// control VM.
func (c *Cluster) receiveTokenGrant(m peer.TokenGrant) {
	if m.Holder() == "" {
		if c.tokens != nil {
			c.tokens.receive(m)
		}
		return
	}
	payload := peer.Encode(m.For(""))
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, r := range c.sessions {
		if r.identified && holderName(r.presence.VM(), r.presence.StartID()) == m.Holder() {
			s.Send(payload)
			return
		}
	}
}

// holderOf returns the holder at the other end of a session, or "" before its first
// presence.
func (c *Cluster) holderOf(s *session.Session) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.sessions[s]
	if r == nil || !r.identified {
		return ""
	}
	return holderName(r.presence.VM(), r.presence.StartID())
}

// leaderSessions returns the sessions to the control VMs that present themselves as the
// leader. There may be two for a short time after an election. If there is none, or with
// relays set, it adds one to another control VM, which passes requests on to the leader.
func (c *Cluster) leaderSessions(relays bool, now time.Time) []*session.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	var leaders []*session.Session
	var relay *session.Session
	var relaySeen time.Time
	for s, r := range c.sessions {
		switch {
		case !r.alive(now) || r.presence.Address() == "" || r.presence.Leader() == "":
		case r.presence.Leader() == r.presence.Address():
			leaders = append(leaders, s)
		case r.lastSeen.After(relaySeen):
			relay = s
			relaySeen = r.lastSeen
		}
	}
	if relay != nil && (relays || len(leaders) == 0) {
		return append(leaders, relay)
	}
	return leaders
}
