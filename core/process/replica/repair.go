package replica

import (
	"slices"
	"time"
)

// silentAfter is the time without a reply after which a voter may be replaced
// by a learner that has caught up.
const silentAfter = 2500 * time.Millisecond

// stepJoin takes a replica with an empty log as a learner. It receives the log
// and counts for nothing until a committed change makes it a voter.
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
	if n.wanted > 0 && len(voters.members) >= n.wanted {
		if silent, ok := n.silentVoter(voters, now); ok {
			n.append(VoterChange, nil, voters.without(silent.id))
			n.replicate(now)
		}
		return
	}
	delete(n.learners, m.id)
	n.append(VoterChange, nil, voters.with(m))
	n.replicate(now)
}

// mayJoin reports whether the replica of a VM may become a learner.
func (n *Node) mayJoin(vm string) bool {
	return n.wanted > 0 || slices.Contains(n.named, vm)
}

// silentVoter returns a voter that has not replied for a while.
func (n *Node) silentVoter(voters Voters, now time.Time) (Member, bool) {
	for _, m := range voters.members {
		if m.id == n.self.id {
			continue
		}
		at := n.peer(m.id).ackedAt
		if at.IsZero() {
			at = n.leadsSince
		}
		if now.Sub(at) > silentAfter {
			return m, true
		}
	}
	return Member{}, false
}

// mayChangeVoters reports whether the last change of voters is committed, and
// with it an entry of the own term: two changes at once could give two
// majorities that do not meet.
func (n *Node) mayChangeVoters() bool {
	_, at := n.log.voters()
	term, ok := n.log.term(n.commit)
	return at <= n.commit && ok && term == n.hard.term
}
