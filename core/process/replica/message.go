package replica

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

// Message is a message between replicas: VoteRequest, VoteReply, AppendEntries,
// AppendReply, InstallSnapshot or Join.
type Message interface{ message() }

// VoteRequest requests a vote. A pre-vote asks whether the vote would be
// granted and does not raise any term. A replica that was disconnected can thus
// detect that it would lose the election without disrupting a working leader.
type VoteRequest struct {
	// term is the term of the election. A pre-vote names the next term, which
	// the sender has not entered yet.
	term         uint64
	preVote      bool
	lastLogIndex uint64
	lastLogTerm  uint64
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	// term is the term of the request if a pre-vote is granted, otherwise the
	// term of the replica that replies.
	term    uint64
	preVote bool
	granted bool
}

// AppendEntries carries the entries that follow the one at prevLogIndex. Without
// entries it is a heartbeat.
type AppendEntries struct {
	term         uint64
	prevLogIndex uint64
	prevLogTerm  uint64
	entries      []Entry
	commitIndex  uint64
	// sentAt is the send time by the leader's clock. The reply returns it, and
	// the leader takes it as the time of its last contact with the replica.
	sentAt bootclock.Time
	// quorumAge is the time from the leader's last contact with a quorum to
	// sentAt.
	quorumAge time.Duration
}

// AppendReply answers an AppendEntries or an InstallSnapshot.
type AppendReply struct {
	term    uint64
	matched bool
	// index is the last index known to match the leader's log. If matched is
	// false, it is an upper bound of that index, and the leader retries with
	// the entry at index+1. It is 0 if the leader's term was too low.
	index uint64
	// sentAt is the sentAt of the message that is answered, or the zero time if
	// the leader's term was too low.
	sentAt bootclock.Time
}

// InstallSnapshot carries a snapshot to a replica that needs entries that the
// leader's log no longer holds.
type InstallSnapshot struct {
	term     uint64
	snapshot Snapshot
	sentAt   bootclock.Time
}

// Join requests that the leader add a replica that is not a voter as a learner.
// It is sent by a new replica, such as that of a VM that lost its disk, and by
// a replica that was removed from the voters.
type Join struct {
	member Member
}

func (VoteRequest) message()     {}
func (VoteReply) message()       {}
func (AppendEntries) message()   {}
func (AppendReply) message()     {}
func (InstallSnapshot) message() {}
func (Join) message()            {}

// NewJoin returns the request to add a member as a learner.
func NewJoin(member Member) Join { return Join{member: member} }

// Envelope is a message with its sender and receiver. A replica accepts only
// messages that are addressed to its own id. A VM that lost its disk has a new
// id, so it never answers a vote request that was meant for its earlier
// incarnation.
type Envelope struct {
	from    Member
	to      Member
	message Message
}

// NewEnvelope returns an envelope for a message from one member to another.
func NewEnvelope(from, to Member, message Message) Envelope {
	return Envelope{from: from, to: to, message: message}
}

// From returns the sender.
func (e Envelope) From() Member { return e.from }

// To returns the receiver.
func (e Envelope) To() Member { return e.to }

// Message returns the message.
func (e Envelope) Message() Message { return e.message }
