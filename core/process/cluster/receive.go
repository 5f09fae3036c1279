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
	c.sessions[s] = &peerState{}
	s.Send(peer.Encode(c.presence(now)))
}

// Closed forgets a session.
func (c *Cluster) Closed(s *session.Session, _ time.Time) {
	c.mu.Lock()
	r := c.sessions[s]
	delete(c.sessions, s)
	c.mu.Unlock()
	if r != nil && r.identified && r.presence.Address() != "" {
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
		c.deliverToReplica(m)
	case peer.Published:
		c.adoptRoutes(m.Routes(), now)
	case peer.TargetList:
		c.receiveList(s, m, now)
	case peer.Forward:
		go (&forwardedCommand{cluster: c, session: s, message: m}).run()
	case peer.Read:
		go (&forwardedRead{cluster: c, session: s, number: m.Number()}).run()
	case peer.Reply:
		c.calls.Resolve(m)
	case peer.Hello, peer.Beat, peer.Push, peer.News:
		c.log.Warn("a peer sent a message of another kind of installation")
	}
}

func (c *Cluster) deliverToReplica(m peer.Replicate) {
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
	first := !r.identified
	r.presence = p
	r.identified = true
	r.lastSeen = now
	if c.control == nil {
		c.reportedEntryVMs = max(1, p.EntryVMs())
	}
	c.dataCentreSeen[p.Centre()] = now
	number, _ := p.List()
	c.highestListNumber = max(c.highestListNumber, number)
	if link := c.controlLinks[p.Address()]; link != nil {
		link.lastSeen = now
	}
	c.sendUpdates(s, r, first, now)
	receivedList := c.refreshReceivedList(r, now)
	c.mu.Unlock()
	if first && p.Address() != "" {
		c.log.Info("linked to a control VM", zap.String("control-vm", p.VM()), zap.String("address", p.Address()), zap.Uint64("revision", p.Revision()))
	}
	c.addControlVMs(append(p.Controls(), p.Address()), now)
	c.receiveFindings(p, now)
	if !receivedList.Empty() {
		c.adoptList(receivedList, now)
	}
}

// sendUpdates sends a peer what it lacks. The leader's news goes out by itself; any
// other control VM helps once a peer has lagged for two presences in a row.
// The caller holds the lock.
func (c *Cluster) sendUpdates(s *session.Session, r *peerState, first bool, now time.Time) {
	if c.control == nil {
		return
	}
	if r.presence.Revision() < c.routes.Revision() {
		if first || r.lagRevision == c.routes.Revision() {
			s.Send(peer.Encode(peer.NewPublished(c.routes)))
			r.lagRevision = 0
		} else {
			r.lagRevision = c.routes.Revision()
		}
	}
	c.sendList(s, r, now)
}

// sendList sends what changed since the last list on this session, and reports
// whether the peer will have the present list. The caller holds the lock.
func (c *Cluster) sendList(s *session.Session, r *peerState, now time.Time) bool {
	if c.list.Empty() {
		return true
	}
	difference := discovery.Compare(r.sentList, c.list)
	if r.sentOnce && difference.Empty() {
		return true
	}
	sent := s.Send(peer.Encode(peer.NewTargetList(!r.sentOnce, c.list.Number(), now.Sub(c.list.ReadAt()), difference)))
	if sent {
		r.sentList = c.list
		r.sentOnce = true
	}
	return sent
}

// receiveList keeps the mirror of a session and takes it over if it is the
// freshest list.
func (c *Cluster) receiveList(s *session.Session, t peer.TargetList, now time.Time) {
	c.mu.Lock()
	r := c.sessions[s]
	if r == nil {
		c.mu.Unlock()
		return
	}
	base := r.receivedList
	if t.Whole() {
		base = discovery.List{}
	}
	r.receivedList = base.Apply(t.Difference(), t.Number(), now.Add(-t.Age()))
	receivedList := r.receivedList
	c.mu.Unlock()
	c.adoptList(receivedList, now)
}

// refreshReceivedList returns the list of a peer as its presence dates it. A presence
// says how old the list is that was sent before it. The caller holds the lock.
func (c *Cluster) refreshReceivedList(r *peerState, now time.Time) discovery.List {
	number, age := r.presence.List()
	if number <= r.receivedList.Number() || r.receivedList.Empty() {
		return discovery.List{}
	}
	r.receivedList = r.receivedList.Apply(discovery.Difference{}, number, now.Add(-age))
	return r.receivedList
}

// SendEnvelope sends a message of the log to the VM at an address.
func (c *Cluster) SendEnvelope(address string, payload []byte) {
	c.send(address, peer.NewReplicate(payload))
}

// send sends a message to the control VM at an address, on the session that
// was heard last.
func (c *Cluster) send(address string, m peer.Message) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *session.Session
	var lastSeen time.Time
	for s, r := range c.sessions {
		if r.identified && r.presence.Address() == address && (best == nil || r.lastSeen.After(lastSeen)) {
			best = s
			lastSeen = r.lastSeen
		}
	}
	return best != nil && best.Send(peer.Encode(m))
}

// PeerStatuses returns what the other control VMs say about their logs: those of the
// seeds on the first start, all that are known later.
func (c *Cluster) PeerStatuses(now time.Time) map[string]control.PeerStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]control.PeerStatus)
	for _, seed := range c.seeds {
		if seed != c.self.address {
			out[seed] = control.PeerStatus{}
		}
	}
	for _, r := range c.sessions {
		id, bootstrapped, isControl := r.presence.Replica()
		address := r.presence.Address()
		_, isSeed := out[address]
		if !isControl || !r.alive(now) || !isSeed && (!bootstrapped || address == c.self.address) {
			continue
		}
		out[address] = control.NewPeerStatus(replica.ID(id), bootstrapped)
	}
	return out
}

// MayBootstrap reports whether this VM is one of those that found the log on the
// first start of the installation.
func (c *Cluster) MayBootstrap() bool {
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
