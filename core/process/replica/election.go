package replica

import "github.com/mulberrydale/mulberrydale/core/process/bootclock"

// startElection starts a pre-vote, the first phase of an election. A replica
// that is not a voter stays a follower.
func (n *Node) startElection(now bootclock.Time) {
	n.resetElectionTimer(now)
	n.leader = Member{}
	voters := n.Voters()
	if !voters.Has(n.self.id) {
		n.role = Follower
		return
	}
	n.role = PreCandidate
	n.requestVotes(voters, now)
}

// requestVotes counts the vote of this replica for itself and requests the votes
// of the other voters.
func (n *Node) requestVotes(voters Voters, now bootclock.Time) {
	n.votes = map[ID]bool{n.self.id: true}
	preVote := n.role == PreCandidate
	term := n.hardState.term
	if preVote {
		term++
	}
	request := VoteRequest{term: term, preVote: preVote, lastLogIndex: n.log.lastIndex(), lastLogTerm: n.log.lastTerm()}
	for _, m := range voters.members {
		if m.id != n.self.id {
			n.send(m, request)
		}
	}
	n.countVotes(now)
}

// countVotes advances to the next phase of the election once a quorum has voted
// for this replica: from the pre-vote to the vote, and from that to the
// leadership.
func (n *Node) countVotes(now bootclock.Time) {
	voters := n.Voters()
	granted := 0
	for _, m := range voters.members {
		if n.votes[m.id] {
			granted++
		}
	}
	if granted < voters.Quorum() {
		return
	}
	switch n.role {
	case PreCandidate:
		n.role = Candidate
		n.setHardState(n.hardState.term+1, n.self.id)
		n.requestVotes(voters, now)
	case Candidate:
		n.becomeLeader(now)
	case Follower, Leader:
	}
}

// hasLiveLeader reports whether the leader was active within the last
// electionTimeout. A follower counts the last message from its leader as activity,
// the leader its own last contact with a quorum. While there is a live leader,
// votes are refused, so that a replica that reconnects does not depose it.
func (n *Node) hasLiveLeader(now bootclock.Time) bool {
	if n.role == Leader {
		return now.Sub(n.quorumContactTime(now)) < electionTimeout
	}
	return n.leader.id != "" && now.Sub(n.leaderContactAt) < electionTimeout
}

// stepVoteRequest grants a vote to a replica whose log is at least as up to date
// as the log of this replica. Each replica votes once in a term; a pre-vote
// changes no state. While there is a live leader, pre-votes and requests with a
// higher term are refused, and other requests get no reply.
func (n *Node) stepVoteRequest(from Member, m VoteRequest, now bootclock.Time) {
	if n.hasLiveLeader(now) {
		if m.term > n.hardState.term || m.preVote {
			n.send(from, VoteReply{term: n.hardState.term, preVote: m.preVote})
		}
		return
	}
	upToDate := m.lastLogTerm > n.log.lastTerm() ||
		m.lastLogTerm == n.log.lastTerm() && m.lastLogIndex >= n.log.lastIndex()
	if m.preVote {
		if m.term > n.hardState.term && upToDate {
			n.send(from, VoteReply{term: m.term, preVote: true, granted: true})
			return
		}
		n.send(from, VoteReply{term: n.hardState.term, preVote: true})
		return
	}
	if m.term > n.hardState.term {
		n.becomeFollower(m.term, Member{}, now)
	}
	granted := m.term == n.hardState.term && upToDate && (n.hardState.vote == "" || n.hardState.vote == from.id)
	if granted {
		n.setHardState(m.term, from.id)
		n.resetElectionTimer(now)
	}
	n.send(from, VoteReply{term: n.hardState.term, granted: granted})
}

// stepVoteReply counts a granted vote and adopts a higher term.
func (n *Node) stepVoteReply(from Member, m VoteReply, now bootclock.Time) {
	if m.preVote {
		if n.role == PreCandidate && m.granted && m.term == n.hardState.term+1 {
			n.votes[from.id] = true
			n.countVotes(now)
		}
		if !m.granted && m.term > n.hardState.term {
			// Adopt the higher term: otherwise every later pre-vote of this replica
			// would be refused too, and this replica may be the only one whose log
			// is up to date.
			n.becomeFollower(m.term, Member{}, now)
		}
		return
	}
	if m.term > n.hardState.term {
		n.becomeFollower(m.term, Member{}, now)
		return
	}
	if n.role == Candidate && m.granted && m.term == n.hardState.term {
		n.votes[from.id] = true
		n.countVotes(now)
	}
}

// becomeFollower adopts the term if it is higher than the current one and
// follows the leader. The leader is the zero Member if it is unknown. The
// learners and the progress of all replicas are discarded.
func (n *Node) becomeFollower(term uint64, leader Member, now bootclock.Time) {
	if term > n.hardState.term {
		n.setHardState(term, "")
	}
	n.role = Follower
	n.leader = leader
	n.peers = nil
	n.learners = nil
	n.resetElectionTimer(now)
}

// becomeLeader starts the leadership of this replica in the current term. It
// appends an entry of its own term at once, because entries of earlier terms
// are committed only together with an entry of the current term.
func (n *Node) becomeLeader(now bootclock.Time) {
	n.role = Leader
	n.leader = n.self
	n.leaderSince = now
	n.history.lead(n.hardState.term, n.log.settledIn, now)
	n.heartbeatAt = now
	n.peers = make(map[ID]*progress)
	n.learners = make(map[ID]Member)
	for _, m := range n.otherMembers() {
		n.progressOf(m.id)
	}
	if n.log.lastIndex() == 0 {
		// Only the VM that called Bootstrap has the first set of voters. This
		// entry replicates it to the others.
		n.appendEntry(VoterChange, nil, n.Voters())
	} else {
		n.appendEntry(NoOp, nil, Voters{})
	}
	n.lastOrder = n.log.lastIndex()
	n.tickLeader(now)
}
