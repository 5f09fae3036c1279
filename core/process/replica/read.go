package replica

import (
	"sort"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

// ReadIndex returns the index that must be applied before a read that starts now
// is served. It returns false unless this replica is the leader and has
// committed an entry of its own term: before that it does not know which entries
// of earlier terms are committed.
func (n *Node) ReadIndex() (index uint64, ok bool) {
	if n.role != Leader {
		return 0, false
	}
	return n.commitIndex, n.commitInCurrentTerm()
}

// commitInCurrentTerm reports whether the last committed entry is one of the current
// term. It then covers every entry that was committed in earlier terms.
func (n *Node) commitInCurrentTerm() bool {
	term, known := n.log.term(n.commitIndex)
	return known && term == n.hardState.term
}

// CommitKnown reports whether the commit index has covered, at some time since the
// process started, everything that was committed before. A replica that has just
// started knows only its last snapshot to be committed, and a new leader does not know
// which entries of earlier terms are.
func (n *Node) CommitKnown() bool { return n.commitKnown }

// LastQuorumContact returns the latest time at which a quorum is known to have
// followed this leader, or false if this replica is not the leader. A read that
// started no later than that time is linearizable once its read index is applied.
func (n *Node) LastQuorumContact(now bootclock.Time) (bootclock.Time, bool) {
	if n.role != Leader {
		return 0, false
	}
	return n.quorumContactTime(now), true
}

// AcknowledgedContact returns the latest time at which a quorum is known to have followed
// this leader, counting only voters that have answered a message of its current term. No
// other leader can have committed an entry before that time, and this leader's commit index
// covers everything that was acknowledged before. It returns false unless this replica is
// the leader and has committed an entry of its own term.
//
// LastQuorumContact counts a voter that has not answered from the start of the leadership.
// That is too late if this replica was suspended between the votes and its becoming leader.
func (n *Node) AcknowledgedContact(now bootclock.Time) (bootclock.Time, bool) {
	if n.role != Leader || !n.commitInCurrentTerm() {
		return 0, false
	}
	voters := n.Voters()
	var times []bootclock.Time
	for _, m := range voters.members {
		if m.id == n.self.id {
			times = append(times, now)
		} else if ackedAt := n.progressOf(m.id).ackedAt; !ackedAt.IsZero() {
			times = append(times, ackedAt)
		}
	}
	if len(times) < voters.Quorum() {
		return 0, false
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[voters.Quorum()-1], true
}

// QuorumAge returns the time since the last contact of the leader with a quorum,
// as far as this replica knows. On a follower it grows until the leader reports a
// later contact, and it does not include the transit time of the leader's message.
// It is at least unknownQuorumAge if no leader is known or this replica lacks
// committed entries.
func (n *Node) QuorumAge(now bootclock.Time) time.Duration {
	switch {
	case n.role == Leader:
		return now.Sub(n.quorumContactTime(now))
	case n.leader.id != "":
		return n.leaderQuorumAge + now.Sub(n.leaderContactAt)
	}
	return unknownQuorumAge
}

// unknownQuorumAge represents an unknown quorum age. It is longer than any
// limit that a quorum age is compared with.
const unknownQuorumAge = 24 * time.Hour
