package replica

import "time"

// startElection begins with a pre-vote. A replica that is no voter waits.
func (n *Node) startElection(now time.Time) {
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

// askVotes counts the own vote and asks the other voters for theirs.
func (n *Node) requestVotes(voters Voters, now time.Time) {
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

func (n *Node) countVotes(now time.Time) {
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

// hearsLeader reports whether a leader was heard of within the least time
// before an election. Votes are refused meanwhile, so that a replica that
// returns does not depose a leader that works.
func (n *Node) hasLiveLeader(now time.Time) bool {
	if n.role == Leader {
		return now.Sub(n.quorumContactTime(now)) < electionTimeout
	}
	return n.leader.id != "" && now.Sub(n.leaderContactAt) < electionTimeout
}

func (n *Node) stepVoteRequest(from Member, m VoteRequest, now time.Time) {
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

func (n *Node) stepVoteReply(from Member, m VoteReply, now time.Time) {
	if m.preVote {
		if n.role == PreCandidate && m.granted && m.term == n.hardState.term+1 {
			n.votes[from.id] = true
			n.countVotes(now)
		}
		if !m.granted && m.term > n.hardState.term {
			// Without the higher term no later pre-vote could be granted, and
			// this replica may be the only one whose log is up to date.
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

// follow takes a term, and its leader where it is known.
func (n *Node) becomeFollower(term uint64, leader Member, now time.Time) {
	if term > n.hardState.term {
		n.setHardState(term, "")
	}
	n.role = Follower
	n.leader = leader
	n.peers = nil
	n.learners = nil
	n.resetElectionTimer(now)
}

// lead starts to lead the term. An entry of the own term is appended at once,
// because only its commit commits what earlier leaders left behind.
func (n *Node) becomeLeader(now time.Time) {
	n.role = Leader
	n.leader = n.self
	n.leaderSince = now
	n.heartbeatAt = now
	n.peers = make(map[ID]*progress)
	n.learners = make(map[ID]Member)
	for _, m := range n.otherMembers() {
		n.progressOf(m.id)
	}
	if n.log.lastIndex() == 0 {
		n.appendEntry(VoterChange, nil, n.Voters())
	} else {
		n.appendEntry(NoOp, nil, Voters{})
	}
	n.tickLeader(now)
}
