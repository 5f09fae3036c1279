package replica

import (
	"slices"
	"time"
)

// unresponsiveAfter is the time without a reply after which a voter may be
// replaced by a learner that has caught up.
const unresponsiveAfter = 2500 * time.Millisecond

// stepJoin adds a replica as a learner. A learner receives the log but counts
// towards no quorum until a voter change makes it a voter. Learners that are
// other incarnations of the same VM are removed. A replica that is not the leader
// ignores the request.
func (n *Node) stepJoin(m Join, now time.Time) {
	if n.role != Leader || m.member.vm == n.self.vm || !n.mayJoin(m.member.vm) || n.Voters().Has(m.member.id) {
		return
	}
	for id, other := range n.learners {
		if other.vm == m.member.vm && id != m.member.id {
			delete(n.learners, id)
			delete(n.peers, id)
		}
	}
	if _, known := n.learners[m.member.id]; known {
		return
	}
	n.learners[m.member.id] = m.member
	n.peers[m.member.id] = &progress{nextIndex: 1}
	n.sendAppend(m.member, now, true)
}

// promoteLearner turns a learner into a voter if it has all committed entries and this
// leader is in contact with a quorum. To a leader that stood still, all voters have been
// silent, and a change of voters that it appends counts before it is committed. If
// an earlier incarnation of its VM is a voter, or there are already voterCount
// voters and one of them is unresponsive, that voter is removed first. Each step
// is a separate change, which is committed before the next one. If there are
// voterCount voters and all of them respond, the learner stays a learner. A
// voterCount of 0 sets no limit.
func (n *Node) promoteLearner(m Member, now time.Time) {
	if _, isLearner := n.learners[m.id]; !isLearner || !n.mayChangeVoters() || !n.hasLiveLeader(now) {
		return
	}
	if n.progressOf(m.id).matchIndex < n.commitIndex {
		return
	}
	voters := n.Voters()
	if previous, ok := voters.ByVM(m.vm); ok {
		n.removeVoter(previous, now)
		return
	}
	if n.voterCount > 0 && len(voters.members) >= n.voterCount {
		if unresponsive, ok := n.unresponsiveVoter(voters, now); ok {
			n.removeVoter(unresponsive, now)
		}
		return
	}
	n.addVoter(m, now)
}

// mayJoin reports whether the replica of a VM may become a learner.
func (n *Node) mayJoin(vm string) bool {
	return n.voterCount > 0 || slices.Contains(n.voterVMs, vm)
}

// unresponsiveVoter returns a voter that has answered no message sent within the
// last unresponsiveAfter, or false if there is none. A voter that has not replied
// to this leader yet counts from the start of the leadership.
func (n *Node) unresponsiveVoter(voters Voters, now time.Time) (Member, bool) {
	for _, m := range voters.members {
		if m.id == n.self.id {
			continue
		}
		if now.Sub(n.answeredAt(m.id)) > unresponsiveAfter {
			return m, true
		}
	}
	return Member{}, false
}

// mayChangeVoters reports whether the last voter change and an entry of the
// current term are committed. With two voter changes pending at once, there
// could be two majorities without a common member. Until an entry of the current
// term is committed, a change by an earlier leader may still be pending on other
// replicas.
func (n *Node) mayChangeVoters() bool {
	_, changeIndex := n.log.voters()
	term, ok := n.log.term(n.commitIndex)
	return changeIndex <= n.commitIndex && ok && term == n.hardState.term
}

// rejoinAfter is how long a voter waits for a leader before it asks to be added again.
// Elections are shorter.
const rejoinAfter = 1500 * time.Millisecond

// ShouldJoin reports whether the replica should ask the others to add it: it is not a
// voter, or takes itself for one but hears no leader. The others may have replaced it
// while it could not hear them, and neither a vote nor an entry reaches it then. A
// leader that still counts it as a voter ignores the request.
func (n *Node) ShouldJoin(now time.Time) bool {
	if !n.Voters().Has(n.self.id) {
		return true
	}
	return n.role != Leader && now.Sub(n.leaderContactAt) > rejoinAfter
}
