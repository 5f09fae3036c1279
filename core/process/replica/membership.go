package replica

import (
	"slices"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

// unresponsiveAfter is the time without a reply after which a voter may be
// replaced by a learner that has caught up.
const unresponsiveAfter = 2500 * time.Millisecond

// stepJoin adds a replica as a learner. A learner receives the log but counts
// towards no quorum until a voter change makes it a voter. Learners that are
// other incarnations of the same VM are removed. A replica that is not the leader
// ignores the request.
func (n *Node) stepJoin(m Join, now bootclock.Time) {
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

// promoteLearner turns a learner into a voter if it has all committed entries. An earlier
// incarnation of its VM, whose disk is lost, is removed first. If there are voterCount voters,
// a learner becomes one only in place of an unresponsive voter, and removeSurplusVoter removes
// that one afterwards. The other way round, the loss of another disk in between would leave
// no majority, although the disk of the unresponsive voter is sound. Each step is a separate
// change, which is committed before the next one. A voterCount of 0 sets no limit.
func (n *Node) promoteLearner(m Member, now bootclock.Time) {
	if _, isLearner := n.learners[m.id]; !isLearner || !n.mayChangeVoters(now) {
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
	if n.voterCount == 0 || len(voters.members) < n.voterCount {
		n.addVoter(m, now)
		return
	}
	silent, ok := n.longestSilent(voters)
	if ok && len(voters.members) == n.voterCount && now.Sub(n.answeredAt(silent.id)) > unresponsiveAfter {
		n.addVoter(m, now)
	}
}

// removeSurplusVoter removes the voter that has been silent for the longest time if there are
// more than voterCount, after one has been added in place of another.
func (n *Node) removeSurplusVoter(now bootclock.Time) {
	voters := n.Voters()
	if n.voterCount == 0 || len(voters.members) <= n.voterCount || !n.mayChangeVoters(now) {
		return
	}
	if silent, ok := n.longestSilent(voters); ok {
		n.removeVoter(silent, now)
	}
}

// mayJoin reports whether the replica of a VM may become a learner.
func (n *Node) mayJoin(vm string) bool {
	return n.voterCount > 0 || slices.Contains(n.voterVMs, vm)
}

// longestSilent returns the voter, other than this leader, that has answered no message for
// the longest time, or false if there is no other voter.
func (n *Node) longestSilent(voters Voters) (silent Member, ok bool) {
	for _, m := range voters.members {
		if m.id == n.self.id {
			continue
		}
		if !ok || n.answeredAt(m.id).Before(n.answeredAt(silent.id)) {
			silent, ok = m, true
		}
	}
	return silent, ok
}

// mayChangeVoters reports whether this leader is in contact with a quorum, and the last
// voter change and an entry of the current term are committed. To a leader that stood
// still, all voters have been silent, and a voter change counts before it is committed.
// With two voter changes pending at once, there could be two majorities without a common
// member. Until an entry of the current term is committed, a change by an earlier leader
// may still be pending on other replicas.
func (n *Node) mayChangeVoters(now bootclock.Time) bool {
	_, changeIndex := n.log.voters()
	return n.hasLiveLeader(now) && changeIndex <= n.commitIndex && n.commitInCurrentTerm()
}

// rejoinAfter is how long a voter waits for a leader before it asks to be added again.
// Elections are shorter.
const rejoinAfter = 1500 * time.Millisecond

// ShouldJoin reports whether the replica should ask the others to add it: it is not a
// voter, or takes itself for one but hears no leader. The others may have replaced it
// while it could not hear them, and neither a vote nor an entry reaches it then. A
// leader that still counts it as a voter ignores the request.
func (n *Node) ShouldJoin(now bootclock.Time) bool {
	if !n.Voters().Has(n.self.id) {
		return true
	}
	return n.role != Leader && now.Sub(n.leaderContactAt) > rejoinAfter
}
