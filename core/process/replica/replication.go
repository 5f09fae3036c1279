package replica

import (
	"sort"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

// resendAfter is the time after which entries or a snapshot without a reply are
// sent again.
const resendAfter = 5 * HeartbeatInterval

// tickLeader sends the heartbeats that are due. The leader steps down after
// twice electionTimeout without contact with a quorum, because an isolated leader
// must not keep reporting its state as current.
func (n *Node) tickLeader(now bootclock.Time) {
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

// otherMembers returns all voters and learners except this replica.
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

// replicate sends new entries to every replica that has none in flight.
func (n *Node) replicate(now bootclock.Time) {
	for _, m := range n.otherMembers() {
		n.sendAppend(m, now, false)
	}
}

// progressOf returns the progress of a replica. It creates one that starts after
// the last entry of the log if there is none.
func (n *Node) progressOf(id ID) *progress {
	p, ok := n.peers[id]
	if !ok {
		p = &progress{nextIndex: n.log.lastIndex() + 1}
		n.peers[id] = p
	}
	return p
}

// sendAppend sends the entries that a replica lacks, or the snapshot if the log
// no longer holds them. If earlier ones got no reply within resendAfter, it starts
// again after the last index known to match. A heartbeat is sent even if there are
// no entries to send or some are in flight.
func (n *Node) sendAppend(to Member, now bootclock.Time, heartbeat bool) {
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
		// The log was compacted past prev while data was in flight. The heartbeat
		// then names the snapshot's index and carries no entries.
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

// stepAppendEntries appends the leader's entries if the log matches at
// prevLogIndex, and raises the commit index as far as the log is known to match.
// It refuses a message of an earlier term.
func (n *Node) stepAppendEntries(from Member, m AppendEntries, now bootclock.Time) {
	if m.term < n.hardState.term {
		n.send(from, AppendReply{term: n.hardState.term})
		return
	}
	n.recordLeaderContact(from, m.term, m.quorumAge, now)
	if m.prevLogIndex < n.log.snapshot.index {
		// The entries that the snapshot covers are committed and need no
		// comparison.
		coveredEntries := n.log.snapshot.index - m.prevLogIndex
		if coveredEntries > uint64(len(m.entries)) {
			n.send(from, AppendReply{term: n.hardState.term, matched: true, index: n.log.snapshot.index, sentAt: m.sentAt})
			return
		}
		m.entries = m.entries[coveredEntries:]
		m.prevLogIndex = n.log.snapshot.index
		m.prevLogTerm = n.log.snapshot.term
	}
	if term, ok := n.log.term(m.prevLogIndex); !ok || term != m.prevLogTerm {
		lastPossibleMatch := min(m.prevLogIndex-1, n.log.lastIndex())
		// This replica may lack committed entries, so its state may not be
		// current.
		n.leaderQuorumAge = unknownQuorumAge
		n.send(from, AppendReply{term: n.hardState.term, index: max(lastPossibleMatch, n.log.snapshot.index), sentAt: m.sentAt})
		return
	}
	lastMatch := n.mergeEntries(m)
	n.commitIndex = max(n.commitIndex, min(m.commitIndex, lastMatch))
	n.commitKnown = n.commitKnown || n.commitIndex == m.commitIndex && n.commitInCurrentTerm()
	if n.commitIndex < m.commitIndex {
		// The leader has committed entries that this replica lacks, so its state
		// is not current.
		n.leaderQuorumAge = unknownQuorumAge
	}
	n.send(from, AppendReply{term: n.hardState.term, matched: true, index: lastMatch, sentAt: m.sentAt})
}

// recordLeaderContact records a message of the leader of a term that is not
// lower than the current one. The quorum age is the one that the message
// carries, or unknownQuorumAge if it carries none.
func (n *Node) recordLeaderContact(from Member, term uint64, quorumAge time.Duration, now bootclock.Time) {
	if term > n.hardState.term || n.role != Follower || n.leader != from {
		n.becomeFollower(term, from, now)
	}
	n.history.follow(term, now)
	n.leaderContactAt = now
	n.leaderQuorumAge = quorumAge
	n.resetElectionTimer(now)
}

// mergeEntries appends the entries that the log lacks and returns the last index
// that is known to match the leader's log. An entry whose term differs is
// removed with all entries after it.
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

// truncateOutput drops the output's entries at and after an index, which are not
// written yet, and records that the journal must be truncated there.
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

// stepInstallSnapshot installs a snapshot that covers more than the committed
// entries. Log entries after it are kept only if the log matches the snapshot.
func (n *Node) stepInstallSnapshot(from Member, m InstallSnapshot, now bootclock.Time) {
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

// stepAppendReply updates the progress of a replica and sends what it lacks. A
// reply without a match moves nextIndex back. A reply with a match may also
// commit entries and change the voters.
func (n *Node) stepAppendReply(from Member, m AppendReply, now bootclock.Time) {
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
	n.removeSurplusVoter(now)
	n.sendAppend(from, now, false)
}

// advanceCommit sets the commit index to the highest index that a majority has
// synced, if its entry is of the current term. A leader that is no longer a
// voter then steps down.
func (n *Node) advanceCommit(now bootclock.Time) {
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
	n.commitKnown = true
	if !voters.Has(n.self.id) {
		n.becomeFollower(n.hardState.term, Member{}, now)
		return
	}
	// The new commit index is sent to the followers in the next AppendEntries
	// message, so that message is sent at the next Tick.
	n.heartbeatAt = now
}

// quorumContactTime returns the latest time at which a majority is known to have
// followed this leader. A voter followed it at least until the leader sent the
// latest message that the voter answered. A voter that has not replied yet counts
// from the start of the leadership.
func (n *Node) quorumContactTime(now bootclock.Time) bootclock.Time {
	voters := n.Voters()
	var ackTimes []bootclock.Time
	for _, m := range voters.members {
		if m.id == n.self.id {
			ackTimes = append(ackTimes, now)
			continue
		}
		ackTimes = append(ackTimes, n.answeredAt(m.id))
	}
	sort.Slice(ackTimes, func(i, j int) bool { return ackTimes[i].After(ackTimes[j]) })
	if len(ackTimes) < voters.Quorum() {
		return n.leaderSince
	}
	return ackTimes[voters.Quorum()-1]
}
