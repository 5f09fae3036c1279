package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// checkProof checks that a leader has applied everything that was committed before the time
// that it gives as its last contact with a quorum, also if it has been deposed and does not
// know. Entries are first applied in the order of their indexes.
func (c *cluster) checkProof(m *simulatedVM) {
	at, ok := m.node.AcknowledgedContact(c.now)
	if c.bugs.proveFromElection {
		at, ok = m.node.LastQuorumContact(c.now)
	}
	if !ok {
		return
	}
	if committedAt, known := c.committedAt[m.appliedIndex+1]; known && committedAt.Before(at) {
		c.recordViolation("%s states a contact at %v but lacks the entry %d, committed at %v", m.name, at, m.appliedIndex+1, committedAt)
	}
}

// A VM relies on a leader's last contact with a quorum to know that no key was taken away
// before. The contact must come from answers in the leader's own term: one that counted from
// the election would be wrong after votes that waited while the replica was frozen.
func TestContactWithQuorumProvesTheAppliedState(t *testing.T) {
	violation := runSeeds(injectedBugs{proveFromElection: true}, 300, 80)
	t.Log(violation)
	assert.Assert(t, violation != "", "the injected bug was not detected")
	assert.Equal(t, runSeeds(injectedBugs{}, 150, 80), "")
}

// A new leader proves nothing before it has committed an entry of its own term.
func TestNewLeaderProvesNothingAtFirst(t *testing.T) {
	c := newCluster(3, injectedBugs{})
	c.advance(3 * time.Second)
	m := c.leader()
	_, ok := m.node.AcknowledgedContact(c.now)
	assert.Assert(t, ok)
	m.node.hardState.term++
	_, ok = m.node.AcknowledgedContact(c.now)
	assert.Assert(t, !ok)
	for _, name := range c.vmNames {
		if other := c.vms[name]; other != m {
			_, ok = other.node.AcknowledgedContact(c.now)
			assert.Assert(t, !ok, "a follower proves something")
		}
	}
}
