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

// newClusterWithSpare returns a cluster of three voters and a spare VM that has published routes,
// its leader and the other voters by name.
func newClusterWithSpare(t *testing.T, seed uint64) (c *cluster, leader *simulatedVM, followers []*simulatedVM) {
	t.Helper()
	c = newClusterWithVMs([]string{"vm-1", "vm-2", "vm-3", "vm-4"}, 3, seed, injectedBugs{})
	c.settle()
	leader = c.leader()
	assert.Assert(t, leader != nil)
	c.propose(leader.name, NewPublishRoutes(1, []byte("text")))
	c.settle()
	for _, m := range leader.node.Voters().Members() {
		if m.id != leader.id {
			followers = append(followers, c.vms[m.vm])
		}
	}
	return c, leader, followers
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
				c, leader, followers := newClusterWithSpare(t, seed)
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

// Guards against a set of voters that has one less while a voter is replaced: if the voter
// that is replaced has a sound disk and another one loses its disk at that time, the
// remaining set can never have a majority again, though two of three disks are sound.
func TestLostDiskWhileAFrozenVoterIsReplaced(t *testing.T) {
	const frozenFor = 6 * time.Second
	for _, lostLeader := range []bool{false, true} {
		for after := 2300 * time.Millisecond; after < 3200*time.Millisecond; after += 20 * time.Millisecond {
			t.Run(fmt.Sprintf("lost after %v, leader %t", after, lostLeader), func(t *testing.T) {
				c, leader, followers := newClusterWithSpare(t, uint64(after))
				frozen, lost := followers[0], followers[1]
				if lostLeader {
					lost = leader
				}
				frozen.frozenUntil = c.now.Add(frozenFor)
				c.advance(after)
				c.crash(lost.name, true)
				c.advance(time.Second)
				c.start(lost.name)
				c.advance(frozenFor)
				c.settle()
				assert.Assert(t, c.leader() != nil, "there is no leader")
				assert.Equal(t, c.leader().state.Routes().Version(), uint64(1))
				assert.Equal(t, len(c.leader().node.Voters().Members()), 3)
			})
		}
	}
}
