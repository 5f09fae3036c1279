package replica

import "time"

const (
	// HeartbeatInterval is the time between two appends of an idle leader.
	HeartbeatInterval = 100 * time.Millisecond
	// electionTimeout is the least time without a leader before an election;
	// up to as much again is drawn on top.
	electionTimeout = 600 * time.Millisecond
	// startTimeout takes the place of electionTimeout after a start: a leader
	// that works is heard sooner, and without one every caller waits.
	startupElectionTimeout = 120 * time.Millisecond
	// maxEntriesPerAppend bounds one append.
	maxEntriesPerAppend = 256
)

// Role is what a replica does at present.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// HardState is what a replica must remember across restarts.
type HardState struct {
	term uint64
	vote ID
}

// Output is what a step asks of the shell, in this order: write and sync, then
// send, then apply.
type Output struct {
	hardState    *HardState
	truncateFrom uint64
	entries      []Entry
	snapshot     *Snapshot
	envelopes    []Envelope
}

// HasRecords reports whether the output holds anything to write.
func (o Output) HasRecords() bool {
	return o.hardState != nil || o.truncateFrom > 0 || len(o.entries) > 0 || o.snapshot != nil
}

// Envelopes returns the messages to send once everything is synced.
func (o Output) Envelopes() []Envelope { return o.envelopes }

// InstalledSnapshot returns the snapshot that replaces the state, or nil.
func (o Output) InstalledSnapshot() *Snapshot { return o.snapshot }

// progress is what a leader knows of another replica.
type progress struct {
	nextIndex  uint64
	matchIndex uint64
	ackedAt    time.Time
	// inFlight is set while entries are on their way, so that a slow replica
	// is not sent the same entries with each heartbeat.
	inFlight bool
	sentAt   time.Time
}

// Node is one replica. It is not safe for concurrent use.
type Node struct {
	self     Member
	voterVMs []string
	randIntN func(n int) int
	// wanted is the number of voters that a growing installation aims at,
	// 0 where the named VMs are the only ones.
	voterCount      int
	hardState       HardState
	log             compactedLog
	commitIndex     uint64
	syncedIndex     uint64
	role            Role
	leader          Member
	leaderContactAt time.Time
	// leaseAge is the leader's word, at heardAt, on its touch with a quorum.
	leaderQuorumAge time.Duration
	electionAt      time.Time
	heartbeatAt     time.Time
	leaderSince     time.Time
	votes           map[ID]bool
	peers           map[ID]*progress
	learners        map[ID]Member
	output          Output
}

// NewNode returns a replica with the memory of its data folder. The names are
// the VMs that may be voters; pick returns a random number below its argument.
func NewNode(self Member, voterVMs []string, persisted PersistentState, randIntN func(n int) int, now time.Time) *Node {
	n := &Node{
		self:        self,
		voterVMs:    voterVMs,
		randIntN:    randIntN,
		hardState:   persisted.hardState,
		log:         compactedLog{snapshot: persisted.snapshot, entries: persisted.entries},
		commitIndex: persisted.snapshot.index,
	}
	n.syncedIndex = n.log.lastIndex()
	n.electionAt = now.Add(startupElectionTimeout + time.Duration(randIntN(int(startupElectionTimeout/time.Millisecond)))*time.Millisecond)
	return n
}

// Bootstrapped reports whether the replica has a log or knows its voters.
func (n *Node) Bootstrapped() bool {
	voters, _ := n.log.voters()
	return len(voters.members) > 0
}

// Bootstrap writes the first set of voters. Only one VM may do so, once it knows
// that no other has a log.
func (n *Node) Bootstrap(voters Voters, now time.Time) {
	if n.Bootstrapped() {
		return
	}
	s := Snapshot{voters: voters}
	n.log.compact(s)
	n.output.snapshot = &s
	n.resetElectionTimer(now)
}

// SetVoterCount sets the number of voters to aim at. Any VM may then join, and
// a voter that has fallen silent is replaced by a learner that has caught up.
func (n *Node) SetVoterCount(count int) { n.voterCount = count }

// StepDown gives the leadership up, because this replica can't write.
func (n *Node) StepDown(now time.Time) {
	if n.role == Leader {
		n.becomeFollower(n.hardState.term, Member{}, now)
	}
}

// ScheduleHeartbeat makes the next Tick of a leader send heartbeats at once.
func (n *Node) ScheduleHeartbeat(now time.Time) { n.heartbeatAt = now }

// ReadIndex returns the index up to which a read that begins now must see the
// log, false where this replica can't tell. A leader knows it once it has
// committed an entry of its own term.
func (n *Node) ReadIndex() (index uint64, ok bool) {
	if n.role != Leader {
		return 0, false
	}
	term, known := n.log.term(n.commitIndex)
	return n.commitIndex, known && term == n.hardState.term
}

// LastQuorumContact returns the latest time at which a quorum is known to have followed
// this leader. A read that began earlier is current once its index is applied.
func (n *Node) LastQuorumContact(now time.Time) (time.Time, bool) {
	if n.role != Leader {
		return time.Time{}, false
	}
	return n.quorumContactTime(now), true
}

// Role returns what the replica does at present.
func (n *Node) Role() Role { return n.role }

// Term returns the present term.
func (n *Node) Term() uint64 { return n.hardState.term }

// Leader returns the leader of the present term, if it is known.
func (n *Node) Leader() (Member, bool) { return n.leader, n.leader.id != "" }

// CommitIndex returns the last index that is committed.
func (n *Node) CommitIndex() uint64 { return n.commitIndex }

// Voters returns the latest set of voters.
func (n *Node) Voters() Voters {
	voters, _ := n.log.voters()
	return voters
}

// Committed returns the committed entries after an index.
func (n *Node) Committed(after uint64) []Entry {
	if after >= n.commitIndex || after < n.log.snapshot.index {
		return nil
	}
	return n.log.entriesFrom(after+1, int(n.commitIndex-after))
}

// TakeOutput returns what the steps since the last call ask for.
func (n *Node) TakeOutput() Output {
	output := n.output
	n.output = Output{}
	return output
}

// MarkSynced tells the node that everything taken so far is on disk.
func (n *Node) MarkSynced(now time.Time) {
	n.syncedIndex = n.log.lastIndex()
	if n.role == Leader {
		n.advanceCommit(now)
	}
}

// Compact replaces the entries up to an index that has been applied by the
// state after it.
func (n *Node) Compact(index uint64, state []byte) (Snapshot, bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.commitIndex || index <= n.log.snapshot.index {
		return Snapshot{}, false
	}
	s := Snapshot{index: index, term: term, voters: n.votersAt(index), state: state}
	n.log.compact(s)
	return s, true
}

// votersAt returns the set of voters that was the latest at an index.
func (n *Node) votersAt(index uint64) Voters {
	for i := len(n.log.entries) - 1; i >= 0; i-- {
		e := n.log.entries[i]
		if e.kind == VoterChange && e.index <= index {
			return e.voters
		}
	}
	return n.log.snapshot.voters
}

// QuorumAge returns how long ago, at most, the leader of this replica was in
// touch with a quorum. It is very long where no leader is known.
func (n *Node) QuorumAge(now time.Time) time.Duration {
	switch {
	case n.role == Leader:
		return now.Sub(n.quorumContactTime(now))
	case n.leader.id != "":
		return n.leaderQuorumAge + now.Sub(n.leaderContactAt)
	}
	return unknownQuorumAge
}

// farAway is longer than any lease.
const unknownQuorumAge = 24 * time.Hour

// Tick does what is due at the present time.
func (n *Node) Tick(now time.Time) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if !now.Before(n.electionAt) {
		n.startElection(now)
	}
}

// NextTick returns the time at which Tick has something to do.
func (n *Node) NextTick() time.Time {
	if n.role == Leader {
		return n.heartbeatAt
	}
	return n.electionAt
}

// Step takes in a message. Messages addressed to another life of the VM are
// dropped.
func (n *Node) Step(e Envelope, now time.Time) {
	if e.to.id != n.self.id {
		return
	}
	switch m := e.message.(type) {
	case VoteRequest:
		n.stepVoteRequest(e.from, m, now)
	case VoteReply:
		n.stepVoteReply(e.from, m, now)
	case AppendEntries:
		n.stepAppendEntries(e.from, m, now)
	case AppendReply:
		n.stepAppendReply(e.from, m, now)
	case InstallSnapshot:
		n.stepInstallSnapshot(e.from, m, now)
	case Join:
		n.stepJoin(m, now)
	}
}

// Propose appends a command and returns its index, false where this replica
// does not lead.
func (n *Node) Propose(payload []byte) (index, term uint64, ok bool) {
	if n.role != Leader {
		return 0, 0, false
	}
	e := n.appendEntry(CommandEntry, payload, Voters{})
	return e.index, e.term, true
}

// Flush sends what was proposed since the last call.
func (n *Node) Flush(now time.Time) {
	if n.role == Leader {
		n.replicate(now)
	}
}

func (n *Node) appendEntry(kind EntryKind, payload []byte, voters Voters) Entry {
	e := Entry{index: n.log.lastIndex() + 1, term: n.hardState.term, kind: kind, payload: payload, voters: voters}
	n.log.entries = append(n.log.entries, e)
	n.output.entries = append(n.output.entries, e)
	return e
}

func (n *Node) send(to Member, m Message) {
	n.output.envelopes = append(n.output.envelopes, Envelope{from: n.self, to: to, message: m})
}

func (n *Node) setHardState(term uint64, vote ID) {
	if n.hardState.term == term && n.hardState.vote == vote {
		return
	}
	n.hardState = HardState{term: term, vote: vote}
	saved := n.hardState
	n.output.hardState = &saved
}

func (n *Node) resetElectionTimer(now time.Time) {
	jitter := time.Duration(n.randIntN(int(electionTimeout/time.Millisecond))) * time.Millisecond
	n.electionAt = now.Add(electionTimeout + jitter)
}
