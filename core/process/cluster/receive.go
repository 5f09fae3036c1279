package cluster

import (
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/connection/session"
	"github.com/mulberrydale/mulberrydale/core/process/control"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

// Opened greets the other end of a session.
func (c *Cluster) Opened(s *session.Session, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions[s] = &remote{}
	s.Send(peer.Encode(c.presence(now)))
}

// Closed forgets a session.
func (c *Cluster) Closed(s *session.Session, _ time.Time) {
	c.mu.Lock()
	r := c.sessions[s]
	delete(c.sessions, s)
	c.mu.Unlock()
	if r != nil && r.known && r.presence.Address() != "" {
		c.log.Info("lost a link to a control VM", zap.String("control-vm", r.presence.VM()), zap.String("address", r.presence.Address()))
	}
}

// Received takes in a message.
func (c *Cluster) Received(s *session.Session, payload []byte, now time.Time) {
	message, err := peer.Decode(payload)
	if err != nil {
		c.log.Warn("a message of a peer can't be read", logsink.Cause(err))
		s.Close()
		return
	}
	switch m := message.(type) {
	case peer.Presence:
		c.receivePresence(s, m, now)
	case peer.Replicate:
		c.deliver(m)
	case peer.Published:
		c.adoptRoutes(m.Routes(), now)
	case peer.TargetList:
		c.receiveTargets(s, m, now)
	case peer.Forward:
		go (&forwarded{cluster: c, session: s, message: m}).run()
	case peer.Read:
		go (&forwardedRead{cluster: c, session: s, number: m.Number()}).run()
	case peer.Reply:
		c.calls.Resolve(m)
	case peer.Hello, peer.Beat, peer.Push, peer.News:
		c.log.Warn("a peer sent a message of another kind of installation")
	}
}

func (c *Cluster) deliver(m peer.Replicate) {
	if c.control == nil {
		return
	}
	if err := c.control.Deliver(m.Payload()); err != nil {
		c.log.Warn("a message of the log can't be read", logsink.Cause(err))
	}
}

func (c *Cluster) receivePresence(s *session.Session, p peer.Presence, now time.Time) {
	c.mu.Lock()
	r := c.sessions[s]
	if r == nil {
		c.mu.Unlock()
		return
	}
	first := !r.known
	r.presence = p
	r.known = true
	r.heardAt = now
	if c.control == nil {
		c.mostEntryVMs = max(1, p.EntryVMs())
	}
	c.heard[p.Centre()] = now
	number, _ := p.List()
	c.heardNumber = max(c.heardNumber, number)
	if k := c.controls[p.Address()]; k != nil {
		k.heardAt = now
	}
	c.serve(s, r, first, now)
	mirror := c.freshMirror(r, now)
	c.mu.Unlock()
	if first && p.Address() != "" {
		c.log.Info("linked to a control VM", zap.String("control-vm", p.VM()), zap.String("address", p.Address()), zap.Uint64("revision", p.Revision()))
	}
	c.learn(append(p.Controls(), p.Address()), now)
	c.receiveFindings(p, now)
	if !mirror.Empty() {
		c.adoptList(mirror, now)
	}
}

// serve sends a peer what it lacks. The leader's news goes out by itself; any
// other control VM helps once a peer has lagged for two presences in a row.
// The caller holds the lock.
func (c *Cluster) serve(s *session.Session, r *remote, first bool, now time.Time) {
	if c.control == nil {
		return
	}
	if r.presence.Revision() < c.routes.Revision() {
		if first || r.behind == c.routes.Revision() {
			s.Send(peer.Encode(peer.NewPublished(c.routes)))
			r.behind = 0
		} else {
			r.behind = c.routes.Revision()
		}
	}
	c.sendList(s, r, now)
}

// sendList sends what changed since the last list on this session, and reports
// whether the peer will have the present list. The caller holds the lock.
func (c *Cluster) sendList(s *session.Session, r *remote, now time.Time) bool {
	if c.list.Empty() {
		return true
	}
	difference := discovery.Compare(r.sent, c.list)
	if r.sentOnce && difference.Empty() {
		return true
	}
	sent := s.Send(peer.Encode(peer.NewTargetList(!r.sentOnce, c.list.SequenceNumber(), now.Sub(c.list.ReadAt()), difference)))
	if sent {
		r.sent = c.list
		r.sentOnce = true
	}
	return sent
}

// receiveTargets keeps the mirror of a session and takes it over if it is the
// freshest list.
func (c *Cluster) receiveTargets(s *session.Session, t peer.TargetList, now time.Time) {
	c.mu.Lock()
	r := c.sessions[s]
	if r == nil {
		c.mu.Unlock()
		return
	}
	base := r.mirror
	if t.Whole() {
		base = discovery.List{}
	}
	r.mirror = base.Apply(t.Difference(), t.Number(), now.Add(-t.Age()))
	mirror := r.mirror
	c.mu.Unlock()
	c.adoptList(mirror, now)
}

// freshMirror returns the list of a peer as its presence dates it. A presence
// says how old the list is that was sent before it. The caller holds the lock.
func (c *Cluster) freshMirror(r *remote, now time.Time) discovery.List {
	number, age := r.presence.List()
	if number <= r.mirror.SequenceNumber() || r.mirror.Empty() {
		return discovery.List{}
	}
	r.mirror = r.mirror.Apply(discovery.Difference{}, number, now.Add(-age))
	return r.mirror
}

// SendReplica sends a message of the log to the VM at an address.
func (c *Cluster) SendReplica(address string, payload []byte) {
	c.send(address, peer.NewReplicate(payload))
}

// send sends a message to the control VM at an address, on the session that
// was heard last.
func (c *Cluster) send(address string, m peer.Message) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *session.Session
	var heardAt time.Time
	for s, r := range c.sessions {
		if r.known && r.presence.Address() == address && (best == nil || r.heardAt.After(heardAt)) {
			best = s
			heardAt = r.heardAt
		}
	}
	return best != nil && best.Send(peer.Encode(m))
}

// Others returns what the other control VMs say about their logs: those of the
// seeds on the first start, all that are known later.
func (c *Cluster) Others(now time.Time) map[string]control.Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]control.Candidate)
	for _, seed := range c.seeds {
		if seed != c.self.address {
			out[seed] = control.Candidate{}
		}
	}
	for _, r := range c.sessions {
		id, founded, isControl := r.presence.Replica()
		address := r.presence.Address()
		_, seed := out[address]
		if !isControl || !r.alive(now) || !seed && (!founded || address == c.self.address) {
			continue
		}
		out[address] = control.NewCandidate(replica.ID(id), founded)
	}
	return out
}

// MayFound reports whether this VM is one of those that found the log on the
// first start of the installation.
func (c *Cluster) MayFound() bool {
	if !c.self.firstStart {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, seed := range c.seeds {
		if seed == c.self.address {
			return true
		}
	}
	return false
}
