package replica

import "time"

// Message is what replicas send each other: VoteRequest, VoteReply, Append,
// AppendReply, Install or Join.
type Message interface{ message() }

// VoteRequest asks for a vote. In a pre-vote no term is taken yet: a replica
// that was cut off learns that it would lose without disturbing a leader.
type VoteRequest struct {
	term         uint64
	preVote      bool
	lastLogIndex uint64
	lastLogTerm  uint64
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	term    uint64
	preVote bool
	granted bool
}

// Append carries entries that follow a known place, or none as a heartbeat.
type AppendEntries struct {
	term         uint64
	prevLogIndex uint64
	prevLogTerm  uint64
	entries      []Entry
	commitIndex  uint64
	// sentAt is the leader's clock; the reply echoes it.
	sentAt time.Time
	// quorumAge is how long ago the leader was in touch with a quorum.
	quorumAge time.Duration
}

// AppendReply answers an Append or an Install.
type AppendReply struct {
	term    uint64
	matched bool
	// index is the last index known to match, or the one to go on from.
	index  uint64
	sentAt time.Time
}

// Install carries a whole snapshot to a replica that is too far behind.
type InstallSnapshot struct {
	term     uint64
	snapshot Snapshot
	sentAt   time.Time
}

// Join asks the leader to bring a replica with an empty log up to date.
type Join struct {
	member Member
}

func (VoteRequest) message()     {}
func (VoteReply) message()       {}
func (AppendEntries) message()   {}
func (AppendReply) message()     {}
func (InstallSnapshot) message() {}
func (Join) message()            {}

// NewJoin returns the request of a member to be brought up to date.
func NewJoin(member Member) Join { return Join{member: member} }

// Envelope is a message with its sender and receiver. A replica takes only
// what is addressed to its own id, so that a vote meant for a lost disk is
// never given by its successor.
type Envelope struct {
	from    Member
	to      Member
	message Message
}

// NewEnvelope returns a message from one member to another.
func NewEnvelope(from, to Member, message Message) Envelope {
	return Envelope{from: from, to: to, message: message}
}

// From returns the sender.
func (e Envelope) From() Member { return e.from }

// To returns the receiver.
func (e Envelope) To() Member { return e.to }

// Message returns what is sent.
func (e Envelope) Message() Message { return e.message }
