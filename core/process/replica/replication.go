package replica

import (
	"sort"
	"time"
)

// resendAfter is the time after which entries without a reply are sent again.
const resendAfter = 5 * HeartbeatInterval

// tickLeader sends heartbeats, or steps down without a quorum: an isolated
// leader must not go on claiming that its word is current.
func (n *Node) tickLeader(now time.Time) {
	if now.Sub(n.quorumContactTime(now)) > 2*electionTimeout {
		n.becomeFollower(n.hardState.term, Member{}, now)
		return
	}
	if now.Before(n.heartbeatAt) {
		return
	}
	n.heartbeatAt = now.Add(HeartbeatInterval)
	for _, m := range n.otherMembers() {
		n.sendAppend(m, now, true)
	}
}

// others returns all voters and learners but the leader itself.
func (n *Node) otherMembers() []Member {
	var members []Member
	for _, m := range n.Voters().members {
		if m.id != n.self.id {
			members = append(members, m)
		}
	}
	for _, m := range n.learners {
		members = append(members, m)
	}
	return members
}

// replicate sends new entries to every replica that has none on its way.
func (n *Node) replicate(now time.Time) {
	for _, m := range n.otherMembers() {
		n.sendAppend(m, now, false)
	}
}

func (n *Node) progressOf(id ID) *progress {
	p, ok := n.peers[id]
	if !ok {
		p = &progress{nextIndex: n.log.lastIndex() + 1}
		n.peers[id] = p
	}
	return p
}

// sendAppend sends what a replica lacks. As a heartbeat it goes out even when
// there is nothing to send or something is on its way.
func (n *Node) sendAppend(to Member, now time.Time, heartbeat bool) {
	p := n.progressOf(to.id)
	if p.inFlight && now.Sub(p.sentAt) > resendAfter {
		p.inFlight = false
		p.nextIndex = p.matchIndex + 1
	}
	if p.nextIndex <= n.log.snapshot.index && !p.inFlight {
		n.send(to, InstallSnapshot{term: n.hardState.term, snapshot: n.log.snapshot, sentAt: now})
		p.nextIndex = n.log.snapshot.index + 1
		p.inFlight = true
		p.sentAt = now
		return
	}
	var entries []Entry
	prev := p.nextIndex - 1
	if !p.inFlight {
		entries = n.log.entriesFrom(p.nextIndex, maxEntriesPerAppend)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	prevTerm, ok := n.log.term(prev)
	if !ok {
		prev = n.log.snapshot.index
		prevTerm = n.log.snapshot.term
		entries = nil
	}
	if len(entries) > 0 {
		p.inFlight = true
		p.sentAt = now
	}
	n.send(to, AppendEntries{
		term:         n.hardState.term,
		prevLogIndex: prev,
		prevLogTerm:  prevTerm,
		entries:      append([]Entry(nil), entries...),
		commitIndex:  n.commitIndex,
		sentAt:       now,
		quorumAge:    now.Sub(n.quorumContactTime(now)),
	})
}

func (n *Node) stepAppendEntries(from Member, m AppendEntries, now time.Time) {
	if m.term < n.hardState.term {
		n.send(from, AppendReply{term: n.hardState.term})
		return
	}
	n.recordLeaderContact(from, m.term, m.quorumAge, now)
	if m.prevLogIndex < n.log.snapshot.index {
		// What the snapshot covers is committed and needs no comparison.
		skip := n.log.snapshot.index - m.prevLogIndex
		if skip > uint64(len(m.entries)) {
			n.send(from, AppendReply{term: n.hardState.term, matched: true, index: n.log.snapshot.index, sentAt: m.sentAt})
			return
		}
		m.entries = m.entries[skip:]
		m.prevLogIndex = n.log.snapshot.index
		m.prevLogTerm = n.log.snapshot.term
	}
	if term, ok := n.log.term(m.prevLogIndex); !ok || term != m.prevLogTerm {
		lastPossibleMatch := min(m.prevLogIndex-1, n.log.lastIndex())
		n.leaderQuorumAge = unknownQuorumAge
		n.send(from, AppendReply{term: n.hardState.term, index: max(lastPossibleMatch, n.log.snapshot.index), sentAt: m.sentAt})
		return
	}
	lastMatch := n.mergeEntries(m)
	n.commitIndex = max(n.commitIndex, min(m.commitIndex, lastMatch))
	if n.commitIndex < m.commitIndex {
		// The leader has committed what this replica has not seen.
		n.leaderQuorumAge = unknownQuorumAge
	}
	n.send(from, AppendReply{term: n.hardState.term, matched: true, index: lastMatch, sentAt: m.sentAt})
}

// hearLeader notes the leader of a term that is at least the own.
func (n *Node) recordLeaderContact(from Member, term uint64, quorumAge time.Duration, now time.Time) {
	if term > n.hardState.term || n.role != Follower || n.leader != from {
		n.becomeFollower(term, from, now)
	}
	n.leaderContactAt = now
	n.leaderQuorumAge = quorumAge
	n.resetElectionTimer(now)
}

// merge takes over the entries that are new and returns the last index known
// to match. Entries of another term are cut off with all that follow them.
func (n *Node) mergeEntries(m AppendEntries) uint64 {
	for i, e := range m.entries {
		term, ok := n.log.term(e.index)
		if ok && term == e.term {
			continue
		}
		if ok {
			n.log.truncate(e.index)
			n.truncateOutput(e.index)
			n.syncedIndex = min(n.syncedIndex, e.index-1)
		}
		n.log.entries = append(n.log.entries, m.entries[i:]...)
		n.output.entries = append(n.output.entries, m.entries[i:]...)
		break
	}
	return m.prevLogIndex + uint64(len(m.entries))
}

// cutOutput drops entries of the same step that were cut off again.
func (n *Node) truncateOutput(index uint64) {
	kept := n.output.entries[:0]
	for _, e := range n.output.entries {
		if e.index < index {
			kept = append(kept, e)
		}
	}
	n.output.entries = kept
	if n.output.truncateFrom == 0 || index < n.output.truncateFrom {
		n.output.truncateFrom = index
	}
}

func (n *Node) stepInstallSnapshot(from Member, m InstallSnapshot, now time.Time) {
	if m.term < n.hardState.term {
		n.send(from, AppendReply{term: n.hardState.term})
		return
	}
	n.recordLeaderContact(from, m.term, unknownQuorumAge, now)
	if m.snapshot.index > n.commitIndex {
		if term, ok := n.log.term(m.snapshot.index); !ok || term != m.snapshot.term {
			n.log.entries = nil
			n.log.snapshot = Snapshot{}
			n.syncedIndex = 0
			n.output.entries = nil
			n.output.truncateFrom = 1
		}
		n.log.compact(m.snapshot)
		n.commitIndex = m.snapshot.index
		s := m.snapshot
		n.output.snapshot = &s
	}
	n.send(from, AppendReply{term: n.hardState.term, matched: true, index: m.snapshot.index, sentAt: m.sentAt})
}

func (n *Node) stepAppendReply(from Member, m AppendReply, now time.Time) {
	if m.term > n.hardState.term {
		n.becomeFollower(m.term, Member{}, now)
		return
	}
	if n.role != Leader || m.term < n.hardState.term {
		return
	}
	p := n.progressOf(from.id)
	if m.sentAt.After(p.ackedAt) {
		p.ackedAt = m.sentAt
	}
	if !m.matched {
		p.nextIndex = max(p.matchIndex+1, min(p.nextIndex, m.index+1))
		p.inFlight = false
		n.sendAppend(from, now, false)
		return
	}
	if m.index > p.matchIndex {
		p.matchIndex = m.index
	}
	if m.index+1 >= p.nextIndex {
		p.nextIndex = m.index + 1
		p.inFlight = false
	}
	n.advanceCommit(now)
	if n.role != Leader {
		return
	}
	n.promoteLearner(from, now)
	n.sendAppend(from, now, false)
}

// advance commits what a majority has synced, if it is of the own term.
func (n *Node) advanceCommit(now time.Time) {
	voters := n.Voters()
	var matchIndexes []uint64
	for _, m := range voters.members {
		if m.id == n.self.id {
			matchIndexes = append(matchIndexes, n.syncedIndex)
		} else {
			matchIndexes = append(matchIndexes, n.progressOf(m.id).matchIndex)
		}
	}
	sort.Slice(matchIndexes, func(i, j int) bool { return matchIndexes[i] > matchIndexes[j] })
	if len(matchIndexes) == 0 {
		return
	}
	index := matchIndexes[voters.Quorum()-1]
	term, ok := n.log.term(index)
	if index <= n.commitIndex || !ok || term != n.hardState.term {
		return
	}
	n.commitIndex = index
	if !voters.Has(n.self.id) {
		n.becomeFollower(n.hardState.term, Member{}, now)
		return
	}
	// Followers learn of the commit with the next append; it is sent soon.
	n.heartbeatAt = now
}

// quorumAt returns the latest time at which a majority is known to have
// followed this leader.
func (n *Node) quorumContactTime(now time.Time) time.Time {
	voters := n.Voters()
	var ackTimes []time.Time
	for _, m := range voters.members {
		if m.id == n.self.id {
			ackTimes = append(ackTimes, now)
			continue
		}
		ackedAt := n.progressOf(m.id).ackedAt
		if ackedAt.IsZero() {
			ackedAt = n.leaderSince
		}
		ackTimes = append(ackTimes, ackedAt)
	}
	sort.Slice(ackTimes, func(i, j int) bool { return ackTimes[i].After(ackTimes[j]) })
	if len(ackTimes) < voters.Quorum() {
		return n.leaderSince
	}
	return ackTimes[voters.Quorum()-1]
}
