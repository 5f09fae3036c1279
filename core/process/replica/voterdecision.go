package replica

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

// VoterDecision is a decision of a leader to add or to remove a voter, with what the leader
// knew when it made it.
type VoterDecision struct {
	member    Member
	added     bool
	silence   time.Duration
	quorumAge time.Duration
}

// Member returns the voter that is added or removed.
func (d VoterDecision) Member() Member { return d.member }

// Added reports whether the voter is added. Otherwise it is removed.
func (d VoterDecision) Added() bool { return d.added }

// Silence returns the time since the leader sent the latest message that the member has
// answered, or since the start of the leadership if it has answered none.
func (d VoterDecision) Silence() time.Duration { return d.silence }

// QuorumAge returns the time since the leader's last contact with a quorum.
func (d VoterDecision) QuorumAge() time.Duration { return d.quorumAge }

// addVoter makes a learner a voter.
func (n *Node) addVoter(m Member, now bootclock.Time) {
	n.recordVoterDecision(m, true, now)
	delete(n.learners, m.id)
	n.appendEntry(VoterChange, nil, n.Voters().with(m))
	n.replicate(now)
}

// removeVoter removes a voter.
func (n *Node) removeVoter(m Member, now bootclock.Time) {
	n.recordVoterDecision(m, false, now)
	n.appendEntry(VoterChange, nil, n.Voters().without(m.id))
	n.replicate(now)
}

// recordVoterDecision adds a decision to the output.
func (n *Node) recordVoterDecision(m Member, added bool, now bootclock.Time) {
	n.output.voterDecisions = append(n.output.voterDecisions, VoterDecision{
		member:    m,
		added:     added,
		silence:   now.Sub(n.answeredAt(m.id)),
		quorumAge: now.Sub(n.quorumContactTime(now)),
	})
}

// answeredAt returns the send time of the latest message that a replica has answered. One
// that has not answered this leader yet counts from the start of the leadership.
func (n *Node) answeredAt(id ID) bootclock.Time {
	if at := n.progressOf(id).ackedAt; !at.IsZero() {
		return at
	}
	return n.leaderSince
}
