package replica

import "time"

// startElection begins with a pre-vote. A replica that is no voter waits.
func (n *Node) startElection(now time.Time) {
	n.resetElection(now)
	n.leader = Member{}
	voters := n.Voters()
	if !voters.Has(n.self.id) {
		n.role = Follower
		return
	}
	n.role = PreCandidate
	n.askVotes(voters, now)
}

// askVotes counts the own vote and asks the other voters for theirs.
func (n *Node) askVotes(voters Voters, now time.Time) {
	n.votes = map[ID]bool{n.self.id: true}
	pre := n.role == PreCandidate
	term := n.hard.term
	if pre {
		term++
	}
	request := VoteRequest{term: term, pre: pre, lastIndex: n.log.lastIndex(), lastTerm: n.log.lastTerm()}
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
		n.setHard(n.hard.term+1, n.self.id)
		n.askVotes(voters, now)
	case Candidate:
		n.lead(now)
	case Follower, Leader:
	}
}

// hearsLeader reports whether a leader was heard of within the least time
// before an election. Votes are refused meanwhile, so that a replica that
// returns does not depose a leader that works.
func (n *Node) hearsLeader(now time.Time) bool {
	if n.role == Leader {
		return now.Sub(n.quorumAt(now)) < electionTimeout
	}
	return n.leader.id != "" && now.Sub(n.heardAt) < electionTimeout
}

func (n *Node) stepVoteRequest(from Member, m VoteRequest, now time.Time) {
	if n.hearsLeader(now) {
		if m.term > n.hard.term || m.pre {
			n.send(from, VoteReply{term: n.hard.term, pre: m.pre})
		}
		return
	}
	upToDate := m.lastTerm > n.log.lastTerm() ||
		m.lastTerm == n.log.lastTerm() && m.lastIndex >= n.log.lastIndex()
	if m.pre {
		if m.term > n.hard.term && upToDate {
			n.send(from, VoteReply{term: m.term, pre: true, granted: true})
			return
		}
		n.send(from, VoteReply{term: n.hard.term, pre: true})
		return
	}
	if m.term > n.hard.term {
		n.follow(m.term, Member{}, now)
	}
	granted := m.term == n.hard.term && upToDate && (n.hard.vote == "" || n.hard.vote == from.id)
	if granted {
		n.setHard(m.term, from.id)
		n.resetElection(now)
	}
	n.send(from, VoteReply{term: n.hard.term, granted: granted})
}

func (n *Node) stepVoteReply(from Member, m VoteReply, now time.Time) {
	if m.pre {
		if n.role == PreCandidate && m.granted && m.term == n.hard.term+1 {
			n.votes[from.id] = true
			n.countVotes(now)
		}
		if !m.granted && m.term > n.hard.term {
			// Without the higher term no later pre-vote could be granted, and
			// this replica may be the only one whose log is up to date.
			n.follow(m.term, Member{}, now)
		}
		return
	}
	if m.term > n.hard.term {
		n.follow(m.term, Member{}, now)
		return
	}
	if n.role == Candidate && m.granted && m.term == n.hard.term {
		n.votes[from.id] = true
		n.countVotes(now)
	}
}

// follow takes a term, and its leader where it is known.
func (n *Node) follow(term uint64, leader Member, now time.Time) {
	if term > n.hard.term {
		n.setHard(term, "")
	}
	n.role = Follower
	n.leader = leader
	n.peers = nil
	n.learners = nil
	n.resetElection(now)
}

// lead starts to lead the term. An entry of the own term is appended at once,
// because only its commit commits what earlier leaders left behind.
func (n *Node) lead(now time.Time) {
	n.role = Leader
	n.leader = n.self
	n.leadsSince = now
	n.beatAt = now
	n.peers = make(map[ID]*progress)
	n.learners = make(map[ID]Member)
	for _, m := range n.others() {
		n.peer(m.id)
	}
	if n.log.lastIndex() == 0 {
		n.append(VoterChange, nil, n.Voters())
	} else {
		n.append(Empty, nil, Voters{})
	}
	n.tickLeader(now)
}
