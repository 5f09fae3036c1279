package replica

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// settle lets VMs join and elect a leader, without faults.
func (c *cluster) settle() {
	for range 30 {
		c.join()
		c.advance(250 * time.Millisecond)
	}
}

// learnerReplyInFlight reports whether a reply of a replica that is not a voter is on its way
// to the leader.
func (c *cluster) learnerReplyInFlight(leader *simulatedVM) bool {
	for _, p := range c.packets {
		reply, isReply := p.envelope.message.(AppendReply)
		if isReply && reply.matched && p.envelope.to.id == leader.id && !leader.node.Voters().Has(p.envelope.from.id) {
			return true
		}
	}
	return false
}

// Guards against a leader that stood still for longer than a voter may be silent, and then
// handles a reply of a learner before its timers: to it all voters have been silent, and it
// replaced the first of them. If that was a sound one and another had lost its disk, no
// majority was left, and what had been acknowledged could never be read again.
func TestLeaderThatStoodStillReplacesNoVoter(t *testing.T) {
	for seed := range uint64(20) {
		for _, lostFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d, first voter lost %t", seed, lostFirst), func(t *testing.T) {
				c := newClusterWithVMs([]string{"vm-1", "vm-2", "vm-3", "vm-4"}, 3, seed, injectedBugs{})
				c.settle()
				leader := c.leader()
				assert.Assert(t, leader != nil)
				c.propose(leader.name, NewPublishRoutes(1, []byte("text")))
				c.settle()

				followers := c.followersOf(leader)
				sound, lost := followers[0], followers[1]
				if lostFirst {
					sound, lost = lost, sound
				}
				c.crash(lost.name, true)
				for !c.learnerReplyInFlight(leader) {
					c.advance(5 * time.Millisecond)
				}
				leader.frozenUntil = c.now.Add(3400 * time.Millisecond)
				c.advance(3 * time.Second)
				c.start(lost.name)
				c.advance(450 * time.Millisecond)
				assert.Assert(t, leader.node.Voters().Has(sound.id), "a sound voter was removed")
				c.settle()
				assert.Assert(t, c.leader() != nil, "there is no leader")
				assert.Equal(t, c.leader().state.Routes().Version(), uint64(1))
			})
		}
	}
}

// followersOf returns the voters of a leader other than itself, by name.
func (c *cluster) followersOf(leader *simulatedVM) []*simulatedVM {
	var out []*simulatedVM
	for _, m := range leader.node.Voters().Members() {
		if m.id != leader.id {
			out = append(out, c.vms[m.vm])
		}
	}
	return out
}
