package cluster

import (
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/connection/session"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/control"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

// Opened registers a new session and sends the presence of this process on it.
func (c *Cluster) Opened(s *session.Session, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &peerState{}
	c.sessions[s] = r
	newOutgoingPresence(c.presence(now)).send(s, r, false)
}

// Closed removes a session.
func (c *Cluster) Closed(s *session.Session, _ time.Time) {
	c.mu.Lock()
	r := c.sessions[s]
	delete(c.sessions, s)
	c.confirming.relay.Forget(s)
	c.mu.Unlock()
	if r != nil && r.identified && r.presence.Address() != "" {
		c.log.Info("session to a control VM closed", zap.String("control-vm", r.presence.VM()), zap.String("address", r.presence.Address()))
	}
}

// Received handles a message. The session is closed if it can't be decoded.
func (c *Cluster) Received(s *session.Session, payload []byte, now time.Time) {
	message, err := peer.Decode(payload)
	if err != nil {
		c.log.Warn("failed to decode a message from a peer; closing its session", logsink.Cause(err))
		s.Close()
		return
	}
	switch m := message.(type) {
	case peer.Presence:
		c.receivePresence(s, m, now)
	case peer.ReplicaMessage:
		c.deliverToReplica(m)
	case peer.PublishedRoutes:
		c.adoptRoutes(m.Routes(), now)
	case peer.Unchanged:
		c.receiveUnchanged(s, m, now)
	case peer.LateResponses:
		c.receiveLate(m, now)
	case peer.TargetSlowness:
		c.receiveSlowness(s, m, now)
	case peer.TargetList:
		c.receiveList(s, m, now)
	case peer.RolloutReports:
		c.receiveRolloutReports(s, m, bootclock.Now())
	case peer.RolloutGrants:
		c.receiveRolloutGrants(s, m, now, bootclock.Now())
	case peer.ForwardedCommand:
		go (&forwardedCommand{cluster: c, session: s, message: m}).run()
	case peer.ReadRoutes:
		go (&forwardedRead{cluster: c, session: s, number: m.Number(), understandsRollouts: c.understandsRollouts(s)}).run()
	case peer.ConfirmRevision:
		c.receiveConfirmRevision(s, m)
	case peer.RevisionConfirmed:
		c.receiveRevisionConfirmed(m)
	case peer.TokenRequest:
		c.receiveTokenRequest(s, m)
	case peer.TokenGrant:
		c.receiveTokenGrant(m)
	case peer.Reply:
		c.calls.Resolve(m)
	case peer.Hello, peer.Heartbeat, peer.ConfigurationPush, peer.TargetUpdates:
		c.log.Warn("ignored a message of type Hello, Heartbeat, ConfigurationPush or TargetUpdates, which this installation does not use")
	}
}

// deliverToReplica passes a message of the replicated log to the control role.
// Entry VMs ignore it.
func (c *Cluster) deliverToReplica(m peer.ReplicaMessage) {
	if c.control == nil {
		return
	}
	if err := c.control.Deliver(m.Payload()); err != nil {
		c.log.Warn("failed to decode a message of the replicated log", logsink.Cause(err))
	}
}

// receivePresence updates the state of a peer, sends it the routes and targets
// that it lacks, and processes the addresses of control VMs and the findings that
// the presence carries.
func (c *Cluster) receivePresence(s *session.Session, p peer.Presence, now time.Time) {
	c.mu.Lock()
	r := c.sessions[s]
	if r == nil {
		c.mu.Unlock()
		return
	}
	firstPresence := !r.identified
	r.presence = p
	r.identified = true
	r.lastSeen = now
	if c.control == nil {
		c.reportedEntryVMs = max(1, p.EntryVMCount())
		c.confirming.holder.Learn(p.Revision())
	}
	c.dataCentreSeen[p.DataCentre()] = now
	if p.Address() == "" {
		c.entryVMSeen[p.VM()] = now
	}
	number, _ := p.List()
	c.highestListNumber = max(c.highestListNumber, number)
	if link := c.controlLinks[p.Address()]; link != nil {
		link.lastSeen = now
	}
	c.sendUpdates(s, r, firstPresence, now)
	receivedList := c.refreshReceivedList(r, now)
	c.mu.Unlock()
	if firstPresence && p.Address() != "" {
		c.confirming.holder.RetrySoon()
		c.log.Info("session to a control VM established", zap.String("control-vm", p.VM()), zap.String("address", p.Address()), zap.Uint64("revision", p.Revision()))
	}
	c.addControlVMs(append(p.ControlVMs(), p.Address()), now)
	c.receiveFindings(p, now)
	if !receivedList.Empty() {
		c.adoptList(receivedList, now)
	}
}

// receiveUnchanged processes the last presence of a peer once more, with another target
// list number and age.
func (c *Cluster) receiveUnchanged(s *session.Session, u peer.Unchanged, now time.Time) {
	c.mu.Lock()
	r := c.sessions[s]
	if r == nil || !r.identified {
		c.mu.Unlock()
		return
	}
	r.understandsUnchanged = true
	p := r.presence.WithList(u.List()).WithFindings(nil)
	c.mu.Unlock()
	c.receivePresence(s, p, now)
}

// sendUpdates sends a peer the routes, if the peer has older ones, and the changes of
// the target list. It does nothing on an entry VM. The leader publishes new routes as
// soon as they are accepted, so they are sent here only after the first presence on
// a session, or after two presences without the current revision. The caller holds
// mu.
func (c *Cluster) sendUpdates(s *session.Session, r *peerState, firstPresence bool, now time.Time) {
	if c.control == nil {
		return
	}
	if r.presence.Revision() < c.routes.Revision() {
		if firstPresence || r.missingRevision == c.routes.Revision() {
			s.Send(encodeRoutes(c.routes).forPeer(r))
			r.missingRevision = 0
		} else {
			r.missingRevision = c.routes.Revision()
		}
	}
	c.sendList(s, r, now)
}

// sendList sends the changes of the target list since the last one sent on this
// session, the whole list the first time. It reports false if the message could not
// be queued. The caller holds mu.
func (c *Cluster) sendList(s *session.Session, r *peerState, now time.Time) bool {
	if c.list.Empty() {
		return true
	}
	difference := discovery.Compare(r.sentList, c.list)
	if r.sentOnce && difference.Empty() {
		return true
	}
	m := peer.NewTargetList(!r.sentOnce, c.list.SequenceNumber(), now.Sub(c.list.ReadAt()), difference)
	if !r.presence.UnderstandsRollouts() {
		m = m.WithoutVersions()
	}
	sent := s.Send(peer.Encode(m))
	if sent {
		r.sentList = c.list
		r.sentOnce = true
	}
	return sent
}

// receiveList applies a whole target list or its changes to the list received on
// the session, and adopts the result if it is the newest.
func (c *Cluster) receiveList(s *session.Session, t peer.TargetList, now time.Time) {
	c.mu.Lock()
	r := c.sessions[s]
	if r == nil {
		c.mu.Unlock()
		return
	}
	base := r.receivedList
	if t.Full() {
		base = discovery.List{}
	}
	r.receivedList = base.Apply(t.Difference(), t.Number(), now.Add(-t.Age()))
	receivedList := r.receivedList
	c.mu.Unlock()
	c.adoptList(receivedList, now)
}

// refreshReceivedList updates the number and read time of the list received on a
// session from the peer's presence, and returns the list. A peer that reads its
// list again without changes sends only the new number and age, in its presence.
// The result is empty if the presence is not newer than the list. The caller
// holds mu.
func (c *Cluster) refreshReceivedList(r *peerState, now time.Time) discovery.List {
	number, age := r.presence.List()
	if number <= r.receivedList.SequenceNumber() || r.receivedList.Empty() {
		return discovery.List{}
	}
	r.receivedList = r.receivedList.Apply(discovery.Difference{}, number, now.Add(-age))
	return r.receivedList
}

// SendEnvelope sends an encoded message of the replicated log to the control VM at
// an address. The message is dropped if there is no session to it.
func (c *Cluster) SendEnvelope(address string, payload []byte) {
	c.send(address, peer.NewReplicaMessage(payload))
}

// send sends a message to the control VM at an address, on the session with the
// latest presence. It reports whether the message was queued.
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

// PeerStatuses returns the statuses of other control VMs by address. The seeds
// are always included, with a zero status while they are not alive; other control
// VMs only if they are alive and have a log.
func (c *Cluster) PeerStatuses() map[string]control.PeerStatus {
	now := time.Now()
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
		out[address] = control.NewPeerStatus(replica.ID(id), bootstrapped).WithOnlyJoins(r.presence.OnlyJoins())
	}
	return out
}

// MayBootstrap reports whether this VM may bootstrap the replicated log: only the
// seeds may, on the first start of the installation.
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
