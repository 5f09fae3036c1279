package replica

import (
	"slices"
	"time"
)

// stepJoin takes a replica with an empty log as a learner. It receives the log
// and counts for nothing until a committed change makes it a voter.
func (n *Node) stepJoin(m Join, now time.Time) {
	if n.role != Leader || m.member.vm == n.self.vm || !slices.Contains(n.named, m.member.vm) || n.Voters().Has(m.member.id) {
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
	n.peers[m.member.id] = &progress{next: 1}
	n.sendAppend(m.member, now, true)
}

// promote makes a learner that has caught up a voter: first the lost life of
// its VM is removed, then the learner is added, one committed change each.
func (n *Node) promote(m Member, now time.Time) {
	if _, learns := n.learners[m.id]; !learns || !n.mayChangeVoters() {
		return
	}
	if n.peer(m.id).match < n.commit {
		return
	}
	voters := n.Voters()
	if lost, ok := voters.OfVM(m.vm); ok {
		n.append(VoterChange, nil, voters.without(lost.id))
		n.replicate(now)
		return
	}
	delete(n.learners, m.id)
	n.append(VoterChange, nil, voters.with(m))
	n.replicate(now)
}

// mayChangeVoters reports whether the last change of voters is committed, and
// with it an entry of the own term: two changes at once could give two
// majorities that do not meet.
func (n *Node) mayChangeVoters() bool {
	_, at := n.log.voters()
	term, ok := n.log.term(n.commit)
	return at <= n.commit && ok && term == n.hard.term
}
