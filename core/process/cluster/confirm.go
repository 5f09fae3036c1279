package cluster

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/connection/session"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/confirmation"
)

// confirming is the state of the exchange that confirms that the routes of a VM are the
// newest. relay is guarded by Cluster.mu and used on control VMs only.
type confirming struct {
	holder *confirmation.Holder
	relay  *confirmation.Relay[*session.Session]
}

func newConfirming() confirming {
	return confirming{holder: confirmation.NewHolder(uint64(rand.Uint32())), relay: confirmation.NewRelay[*session.Session]()}
}

// Confirmation returns what tells whether the routes of this VM are known to be the newest.
func (c *Cluster) Confirmation() *confirmation.Holder { return c.confirming.holder }

// renewConfirmation asks for a new proof if one is due. A control VM also answers the
// questions that wait for one.
func (c *Cluster) renewConfirmation(now time.Time) {
	bootNow := bootclock.Now()
	if c.control == nil {
		c.askControlVMs(bootNow, now)
		return
	}
	proof, fresh := c.ownProof(bootNow)
	switch {
	case fresh:
		c.confirming.holder.AddProof(proof)
		c.answerWaiting(proof)
	case c.confirming.holder.Needed() || c.hasWaiting():
		c.askLeader(bootNow)
	}
}

// askControlVMs sends the question that is due to some of the live control VMs. Each VM
// starts at another one, so that the questions are spread over them.
func (c *Cluster) askControlVMs(bootNow bootclock.Time, now time.Time) {
	if !c.confirming.holder.Needed() {
		return
	}
	addresses, perControlVM := c.liveControlVMs(now)
	if len(addresses) == 0 {
		return
	}
	q, due := c.confirming.holder.Next(perControlVM, bootNow)
	if !due {
		return
	}
	first := int(xxhash.Sum64String(c.self.vm)%uint64(len(addresses))) + q.Turn()
	for n := range min(q.Width(), len(addresses)) {
		c.send(addresses[(first+n)%len(addresses)], peer.NewConfirmRevision(q.Number()))
	}
}

// liveControlVMs returns the addresses of the live control VMs, sorted, and the number of
// entry VMs for each of them.
func (c *Cluster) liveControlVMs(now time.Time) (addresses []string, entryVMsForEach int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	live := make(map[string]bool)
	for _, r := range c.sessions {
		if address := r.presence.Address(); r.alive(now) && address != "" && !live[address] {
			live[address] = true
			addresses = append(addresses, address)
		}
	}
	sort.Strings(addresses)
	return addresses, c.reportedEntryVMs / max(1, len(addresses))
}

// ownProof returns the proof of this control VM and whether it is fresh: as the leader, that
// of the replicated log, and otherwise what the leader answered last.
func (c *Cluster) ownProof(bootNow bootclock.Time) (confirmation.Proof, bool) {
	s := c.control.Status()
	if at, ok := s.RoutesProvenAt(); ok {
		if p := confirmation.NewProof(s.Routes().Revision(), at); c.confirming.holder.Fresh(p, bootNow) {
			return p, true
		}
	}
	p, _ := c.confirming.holder.Latest()
	return p, c.confirming.holder.Fresh(p, bootNow)
}

// receiveConfirmRevision answers the question of another VM, at once if this VM has a fresh
// proof and otherwise when it has one. The time of this VM is read after the question has
// arrived, so that the age is not less than the one at the time of asking.
func (c *Cluster) receiveConfirmRevision(s *session.Session, m peer.ConfirmRevision) {
	if c.control == nil {
		return
	}
	bootNow := bootclock.Now()
	if proof, fresh := c.ownProof(bootNow); fresh {
		sendProof(s, m.Number(), proof, bootNow)
		return
	}
	c.mu.Lock()
	if c.sessions[s] != nil {
		c.confirming.relay.Wait(s, m.Number())
	}
	c.mu.Unlock()
	c.askLeader(bootNow)
}

// sendProof answers a question that arrived no later than bootNow.
func sendProof(s *session.Session, number uint64, proof confirmation.Proof, bootNow bootclock.Time) {
	s.Send(peer.Encode(peer.NewRevisionConfirmed(number, proof.Revision(), bootNow.Sub(proof.Since()))))
}

// receiveRevisionConfirmed takes in the answer to a question of this VM. A control VM passes
// it on to those that wait for it.
func (c *Cluster) receiveRevisionConfirmed(m peer.RevisionConfirmed) {
	bootNow := bootclock.Now()
	if !c.confirming.holder.Answer(m.Number(), m.Revision(), m.Age(), bootNow) || c.control == nil {
		return
	}
	if proof, fresh := c.ownProof(bootNow); fresh {
		c.answerWaiting(proof)
	}
}

// hasWaiting reports whether questions wait for a fresh proof.
func (c *Cluster) hasWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirming.relay.Waiting() > 0
}

// answerWaiting answers all questions that wait for a fresh proof. The time is read while mu
// is held, after all of them have arrived.
func (c *Cluster) answerWaiting(proof confirmation.Proof) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirming.relay.Waiting() == 0 {
		return
	}
	bootNow := bootclock.Now()
	c.confirming.relay.Release(func(s *session.Session, number uint64) { sendProof(s, number, proof, bootNow) })
}

// askLeader asks the leader for a proof, unless this VM has just done so. It does nothing
// while the leader is not known or this VM leads.
func (c *Cluster) askLeader(bootNow bootclock.Time) {
	leader := c.leader()
	if leader == "" || leader == c.self.address {
		return
	}
	c.mu.Lock()
	due := c.confirming.relay.MayAskLeader(bootNow)
	c.mu.Unlock()
	if due {
		c.send(leader, peer.NewConfirmRevision(c.confirming.holder.Ask(bootNow)))
	}
}
