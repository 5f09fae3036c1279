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
	if now.Sub(n.quorumAt(now)) > 2*electionTimeout {
		n.follow(n.hard.term, Member{}, now)
		return
	}
	if now.Before(n.beatAt) {
		return
	}
	n.beatAt = now.Add(HeartbeatInterval)
	for _, m := range n.others() {
		n.sendAppend(m, now, true)
	}
}

// others returns all voters and learners but the leader itself.
func (n *Node) others() []Member {
	var out []Member
	for _, m := range n.Voters().members {
		if m.id != n.self.id {
			out = append(out, m)
		}
	}
	for _, m := range n.learners {
		out = append(out, m)
	}
	return out
}

// replicate sends new entries to every replica that has none on its way.
func (n *Node) replicate(now time.Time) {
	for _, m := range n.others() {
		n.sendAppend(m, now, false)
	}
}

func (n *Node) peer(id ID) *progress {
	p, ok := n.peers[id]
	if !ok {
		p = &progress{next: n.log.lastIndex() + 1}
		n.peers[id] = p
	}
	return p
}

// sendAppend sends what a replica lacks. As a heartbeat it goes out even when
// there is nothing to send or something is on its way.
func (n *Node) sendAppend(to Member, now time.Time, heartbeat bool) {
	p := n.peer(to.id)
	if p.inFlight && now.Sub(p.sentAt) > resendAfter {
		p.inFlight = false
		p.next = p.match + 1
	}
	if p.next <= n.log.snapshot.index && !p.inFlight {
		n.send(to, Install{term: n.hard.term, snapshot: n.log.snapshot, sentAt: now})
		p.next = n.log.snapshot.index + 1
		p.inFlight = true
		p.sentAt = now
		return
	}
	var entries []Entry
	prev := p.next - 1
	if !p.inFlight {
		entries = n.log.from(p.next, maxEntriesPerAppend)
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
	n.send(to, Append{
		term:      n.hard.term,
		prevIndex: prev,
		prevTerm:  prevTerm,
		entries:   append([]Entry(nil), entries...),
		commit:    n.commit,
		sentAt:    now,
		quorumAge: now.Sub(n.quorumAt(now)),
	})
}

func (n *Node) stepAppend(from Member, m Append, now time.Time) {
	if m.term < n.hard.term {
		n.send(from, AppendReply{term: n.hard.term})
		return
	}
	n.hearLeader(from, m.term, m.quorumAge, now)
	if m.prevIndex < n.log.snapshot.index {
		// What the snapshot covers is committed and needs no comparison.
		skip := n.log.snapshot.index - m.prevIndex
		if skip > uint64(len(m.entries)) {
			n.send(from, AppendReply{term: n.hard.term, matched: true, index: n.log.snapshot.index, sentAt: m.sentAt})
			return
		}
		m.entries = m.entries[skip:]
		m.prevIndex = n.log.snapshot.index
		m.prevTerm = n.log.snapshot.term
	}
	if term, ok := n.log.term(m.prevIndex); !ok || term != m.prevTerm {
		hint := min(m.prevIndex-1, n.log.lastIndex())
		n.leaseAge = farAway
		n.send(from, AppendReply{term: n.hard.term, index: max(hint, n.log.snapshot.index), sentAt: m.sentAt})
		return
	}
	last := n.merge(m)
	n.commit = max(n.commit, min(m.commit, last))
	if n.commit < m.commit {
		// The leader has committed what this replica has not seen.
		n.leaseAge = farAway
	}
	n.send(from, AppendReply{term: n.hard.term, matched: true, index: last, sentAt: m.sentAt})
}

// hearLeader notes the leader of a term that is at least the own.
func (n *Node) hearLeader(from Member, term uint64, age time.Duration, now time.Time) {
	if term > n.hard.term || n.role != Follower || n.leader != from {
		n.follow(term, from, now)
	}
	n.heardAt = now
	n.leaseAge = age
	n.resetElection(now)
}

// merge takes over the entries that are new and returns the last index known
// to match. Entries of another term are cut off with all that follow them.
func (n *Node) merge(m Append) uint64 {
	for i, e := range m.entries {
		term, ok := n.log.term(e.index)
		if ok && term == e.term {
			continue
		}
		if ok {
			n.log.cut(e.index)
			n.cutOutput(e.index)
			n.synced = min(n.synced, e.index-1)
		}
		n.log.entries = append(n.log.entries, m.entries[i:]...)
		n.out.entries = append(n.out.entries, m.entries[i:]...)
		break
	}
	return m.prevIndex + uint64(len(m.entries))
}

// cutOutput drops entries of the same step that were cut off again.
func (n *Node) cutOutput(index uint64) {
	kept := n.out.entries[:0]
	for _, e := range n.out.entries {
		if e.index < index {
			kept = append(kept, e)
		}
	}
	n.out.entries = kept
	if n.out.cutFrom == 0 || index < n.out.cutFrom {
		n.out.cutFrom = index
	}
}

func (n *Node) stepInstall(from Member, m Install, now time.Time) {
	if m.term < n.hard.term {
		n.send(from, AppendReply{term: n.hard.term})
		return
	}
	n.hearLeader(from, m.term, farAway, now)
	if m.snapshot.index > n.commit {
		if term, ok := n.log.term(m.snapshot.index); !ok || term != m.snapshot.term {
			n.log.entries = nil
			n.log.snapshot = Snapshot{}
			n.synced = 0
			n.out.entries = nil
			n.out.cutFrom = 1
		}
		n.log.compact(m.snapshot)
		n.commit = m.snapshot.index
		s := m.snapshot
		n.out.snapshot = &s
	}
	n.send(from, AppendReply{term: n.hard.term, matched: true, index: m.snapshot.index, sentAt: m.sentAt})
}

func (n *Node) stepAppendReply(from Member, m AppendReply, now time.Time) {
	if m.term > n.hard.term {
		n.follow(m.term, Member{}, now)
		return
	}
	if n.role != Leader || m.term < n.hard.term {
		return
	}
	p := n.peer(from.id)
	if m.sentAt.After(p.ackedAt) {
		p.ackedAt = m.sentAt
	}
	if !m.matched {
		p.next = max(p.match+1, min(p.next, m.index+1))
		p.inFlight = false
		n.sendAppend(from, now, false)
		return
	}
	if m.index > p.match {
		p.match = m.index
	}
	if m.index+1 >= p.next {
		p.next = m.index + 1
		p.inFlight = false
	}
	n.advance(now)
	if n.role != Leader {
		return
	}
	n.promote(from, now)
	n.sendAppend(from, now, false)
}

// advance commits what a majority has synced, if it is of the own term.
func (n *Node) advance(now time.Time) {
	voters := n.Voters()
	var matches []uint64
	for _, m := range voters.members {
		if m.id == n.self.id {
			matches = append(matches, n.synced)
		} else {
			matches = append(matches, n.peer(m.id).match)
		}
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	if len(matches) == 0 {
		return
	}
	index := matches[voters.Quorum()-1]
	term, ok := n.log.term(index)
	if index <= n.commit || !ok || term != n.hard.term {
		return
	}
	n.commit = index
	if !voters.Has(n.self.id) {
		n.follow(n.hard.term, Member{}, now)
		return
	}
	// Followers learn of the commit with the next append; it is sent soon.
	n.beatAt = now
}

// quorumAt returns the latest time at which a majority is known to have
// followed this leader.
func (n *Node) quorumAt(now time.Time) time.Time {
	voters := n.Voters()
	var acks []time.Time
	for _, m := range voters.members {
		if m.id == n.self.id {
			acks = append(acks, now)
			continue
		}
		at := n.peer(m.id).ackedAt
		if at.IsZero() {
			at = n.leadsSince
		}
		acks = append(acks, at)
	}
	sort.Slice(acks, func(i, j int) bool { return acks[i].After(acks[j]) })
	if len(acks) < voters.Quorum() {
		return n.leadsSince
	}
	return acks[voters.Quorum()-1]
}
