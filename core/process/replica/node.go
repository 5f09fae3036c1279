package replica

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a leader. The next
	// heartbeat is sent earlier after a commit or a call of ScheduleHeartbeat.
	HeartbeatInterval = 100 * time.Millisecond
	// electionTimeout is the minimum time without contact to a leader after
	// which a follower starts an election. A random time of up to the same
	// length is added.
	electionTimeout = 600 * time.Millisecond
	// startupElectionTimeout replaces electionTimeout for the first election
	// after a start, also with a random time of up to the same length added. It
	// is shorter, because a working leader sends a heartbeat within this time,
	// and the callers of commands and reads wait until there is a leader.
	startupElectionTimeout = 120 * time.Millisecond
	// maxEntriesPerAppend limits the entries of one AppendEntries message.
	maxEntriesPerAppend = 256
)

// Role is the role of a replica in its current term.
type Role int

// The roles of a replica. A PreCandidate requests pre-votes, a Candidate requests
// votes; see VoteRequest.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// HardState is the term and the vote of a replica, which must survive restarts.
type HardState struct {
	term uint64
	// vote is the replica that got the vote in term, or "" if none did.
	vote ID
}

// Output holds the actions that the caller must carry out, in this order: write
// and sync the records, send the messages, then apply the committed entries.
type Output struct {
	hardState *HardState
	// truncateFrom is the index from which stored entries must be removed, or 0
	// if none must be.
	truncateFrom uint64
	entries      []Entry
	snapshot     *Snapshot
	envelopes    []Envelope
	// voterDecisions are already carried out and are there to be logged.
	voterDecisions []VoterDecision
}

// HasRecords reports whether the output holds records to write.
func (o Output) HasRecords() bool {
	return o.hardState != nil || o.truncateFrom > 0 || len(o.entries) > 0 || o.snapshot != nil
}

// Envelopes returns the messages to send after the records are synced.
func (o Output) Envelopes() []Envelope { return o.envelopes }

// VoterDecisions returns the decisions on voters, which this replica made as the leader and
// which need no action.
func (o Output) VoterDecisions() []VoterDecision { return o.voterDecisions }

// InstalledSnapshot returns the snapshot that replaces the applied state, or nil.
func (o Output) InstalledSnapshot() *Snapshot { return o.snapshot }

// progress is the replication progress of another replica as recorded by the
// leader.
type progress struct {
	// nextIndex is the index of the next entry to send.
	nextIndex uint64
	// matchIndex is the last index known to match the leader's log, or 0 if none
	// is known.
	matchIndex uint64
	// ackedAt is the send time, by the leader's clock, of the latest message that
	// the replica has answered. It is zero before the first answer.
	ackedAt bootclock.Time
	// inFlight is set while sent entries or a snapshot await a reply, so that a
	// slow replica does not receive the same data again with every heartbeat. It
	// is cleared after resendAfter without a reply.
	inFlight bool
	// sentAt is the time at which inFlight was last set.
	sentAt bootclock.Time
}

// Node runs the consensus protocol of one replica. Its methods change only its state
// and its Output, which the caller must carry out. It is not safe for concurrent use.
type Node struct {
	self     Member
	voterVMs []string
	randIntN func(n int) int
	// voterCount is the number of voters to reach if any VM may join, or 0 if
	// only voterVMs may be voters.
	voterCount  int
	hardState   HardState
	log         compactedLog
	commitIndex uint64
	// commitKnown is described at CommitKnown.
	commitKnown bool
	// syncedIndex is the index of the last log entry that is synced to disk.
	syncedIndex     uint64
	role            Role
	leader          Member
	leaderContactAt bootclock.Time
	// leaderQuorumAge is the time since the leader's last contact with a
	// quorum, as the leader reported it at leaderContactAt. It is
	// unknownQuorumAge while this replica lacks committed entries.
	leaderQuorumAge time.Duration
	// electionAt is the time of the next election unless a message postpones
	// it. A leader ignores it.
	electionAt bootclock.Time
	// heartbeatAt is the time of the next heartbeat. Only a leader uses it.
	heartbeatAt bootclock.Time
	// leaderSince is the time at which this replica last became the leader.
	leaderSince bootclock.Time
	// lastOrder is described at LastOrder. Only a leader uses it.
	lastOrder uint64
	history   leaderHistory
	// votes holds the votes granted to this replica in the current phase of its
	// election.
	votes map[ID]bool
	// peers holds the replication progress of voters and learners. It and
	// learners are nil unless this replica is the leader.
	peers    map[ID]*progress
	learners map[ID]Member
	output   Output
}

// NewNode returns a replica that starts from its stored state. Only the VMs in
// voterVMs may be voters, unless SetVoterCount lifts that limit. randIntN
// returns a random number in [0, n).
func NewNode(self Member, voterVMs []string, persisted PersistentState, randIntN func(n int) int, now bootclock.Time) *Node {
	n := &Node{
		self:        self,
		voterVMs:    voterVMs,
		randIntN:    randIntN,
		hardState:   persisted.hardState,
		log:         compactedLog{snapshot: persisted.snapshot, entries: persisted.entries},
		commitIndex: persisted.snapshot.index,
	}
	n.syncedIndex = n.log.lastIndex()
	n.history = leaderHistory{term: n.log.lastTerm(), since: now}
	n.electionAt = now.Add(startupElectionTimeout + time.Duration(randIntN(int(startupElectionTimeout/time.Millisecond)))*time.Millisecond)
	return n
}

// Bootstrapped reports whether the replica has a set of voters.
func (n *Node) Bootstrapped() bool {
	voters, _ := n.log.voters()
	return len(voters.members) > 0
}

// Bootstrap stores the first set of voters. It does nothing if the replica has
// a set of voters already. Only one VM may call it, after it has verified that
// no other VM has a log.
func (n *Node) Bootstrap(voters Voters, now bootclock.Time) {
	if n.Bootstrapped() {
		return
	}
	s := Snapshot{voters: voters}
	n.log.compact(s)
	n.output.snapshot = &s
	n.resetElectionTimer(now)
}

// SetVoterCount sets the number of voters to reach. If it is not 0, any VM may
// join. Once there are that many voters, a learner that has caught up replaces an
// unresponsive voter.
func (n *Node) SetVoterCount(count int) { n.voterCount = count }

// StepDown makes a leader a follower. It is called when this replica cannot
// write its journal.
func (n *Node) StepDown(now bootclock.Time) {
	if n.role == Leader {
		n.becomeFollower(n.hardState.term, Member{}, now)
	}
}

// ScheduleHeartbeat makes the leader send heartbeats at the first Tick at or
// after now.
func (n *Node) ScheduleHeartbeat(now bootclock.Time) { n.heartbeatAt = now }

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.term }

// Leader returns the leader of the current term, or false if it is unknown.
func (n *Node) Leader() (Member, bool) { return n.leader, n.leader.id != "" }

// CommitIndex returns the index of the last entry known to be committed.
func (n *Node) CommitIndex() uint64 { return n.commitIndex }

// Voters returns the latest set of voters, committed or not.
func (n *Node) Voters() Voters {
	voters, _ := n.log.voters()
	return voters
}

// Committed returns the committed entries after an index, or nil if there are
// none or the snapshot covers the next one.
func (n *Node) Committed(after uint64) []Entry {
	if after >= n.commitIndex || after < n.log.snapshot.index {
		return nil
	}
	return n.log.entriesFrom(after+1, int(n.commitIndex-after))
}

// TakeOutput returns the output that has accumulated since the last call.
func (n *Node) TakeOutput() Output {
	output := n.output
	n.output = Output{}
	return output
}

// MarkSynced records that the node's whole log is synced to disk. The caller
// must first have synced the records of all output up to now, or a rewritten
// journal with the whole PersistentState. Only after MarkSynced does a leader
// count its own entries towards a majority.
func (n *Node) MarkSynced(now bootclock.Time) {
	n.syncedIndex = n.log.lastIndex()
	if n.role == Leader {
		n.advanceCommit(now)
	}
}

// Compact replaces the log entries up to an applied index by a snapshot of the
// state at that index. It returns false if the index is not committed or a
// snapshot covers it already.
func (n *Node) Compact(index uint64, state []byte) (Snapshot, bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.commitIndex || index <= n.log.snapshot.index {
		return Snapshot{}, false
	}
	s := Snapshot{index: index, term: term, voters: n.votersAt(index), state: state}
	n.log.compact(s)
	return s, true
}

// votersAt returns the set of voters that applies at an index, which must not
// lie before the snapshot. A voter change applies from its own index on.
func (n *Node) votersAt(index uint64) Voters {
	for i := len(n.log.entries) - 1; i >= 0; i-- {
		e := n.log.entries[i]
		if e.kind == VoterChange && e.index <= index {
			return e.voters
		}
	}
	return n.log.snapshot.voters
}

// Tick carries out the actions that are due. A leader sends heartbeats; any other
// replica starts an election once its election timer has expired.
func (n *Node) Tick(now bootclock.Time) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if !now.Before(n.electionAt) {
		n.startElection(now)
	}
}

// NextTick returns the time at which Tick must be called next.
func (n *Node) NextTick() bootclock.Time {
	if n.role == Leader {
		return n.heartbeatAt
	}
	return n.electionAt
}

// Step processes a received message. It drops messages that are addressed to
// another id, such as that of an earlier incarnation of the VM.
func (n *Node) Step(e Envelope, now bootclock.Time) {
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

// Propose appends a command and returns the index and term of its entry, or
// false if this replica is not the leader. Flush sends the entry.
func (n *Node) Propose(payload []byte) (index, term uint64, ok bool) {
	if n.role != Leader {
		return 0, 0, false
	}
	e := n.appendEntry(CommandEntry, payload, Voters{})
	return e.index, e.term, true
}

// Flush sends the entries that were proposed since the last call.
func (n *Node) Flush(now bootclock.Time) {
	if n.role == Leader {
		n.replicate(now)
	}
}

// appendEntry appends an entry of the current term to the log and the output.
func (n *Node) appendEntry(kind EntryKind, payload []byte, voters Voters) Entry {
	e := Entry{index: n.log.lastIndex() + 1, term: n.hardState.term, kind: kind, payload: payload, voters: voters}
	n.log.entries = append(n.log.entries, e)
	n.output.entries = append(n.output.entries, e)
	return e
}

// send adds a message to the output.
func (n *Node) send(to Member, m Message) {
	n.output.envelopes = append(n.output.envelopes, Envelope{from: n.self, to: to, message: m})
}

// setHardState sets the term and the vote. If either changes, it adds both to the
// output.
func (n *Node) setHardState(term uint64, vote ID) {
	if n.hardState.term == term && n.hardState.vote == vote {
		return
	}
	n.hardState = HardState{term: term, vote: vote}
	saved := n.hardState
	n.output.hardState = &saved
}

// resetElectionTimer schedules the next election after electionTimeout and a
// random delay.
func (n *Node) resetElectionTimer(now bootclock.Time) {
	jitter := time.Duration(n.randIntN(int(electionTimeout/time.Millisecond))) * time.Millisecond
	n.electionAt = now.Add(electionTimeout + jitter)
}
