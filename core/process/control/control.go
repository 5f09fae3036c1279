// Package control runs the replicated log on a control VM, which stores it on disk.
// The consensus protocol itself is in core/process/replica; this package does its
// I/O: it syncs records to the journal, sends messages, applies committed
// commands to the state and compacts the journal.
package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/journal"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	// inboxCapacity is the number of events that can wait for the loop.
	inboxCapacity = 4096
	// maxBatch bounds the additional events that are processed before one sync of
	// the journal.
	maxBatch = 512
	// compactEntries is the number of entries applied since the last snapshot
	// after which the journal is compacted.
	compactEntries = 2000
	// catchUpTimeout is how long after its start a replica without a leader waits
	// before it counts as caught up: a data centre that is cut off then goes on
	// with the newest routes that it has. An election takes less than a second.
	catchUpTimeout = 5 * time.Second
	// compactBytes is the total size of the entries applied since the last
	// compaction after which the journal is compacted again, even if they are fewer
	// than compactEntries.
	compactBytes = 1 << 20
	// joinInterval is the time between two attempts to bootstrap or join the log.
	joinInterval = 250 * time.Millisecond
)

// Sender sends messages of the replicated log to other control VMs.
type Sender interface {
	// SendEnvelope sends an encoded replica.Envelope to the control VM that is
	// a member under the given name. The message may be dropped, since replicas
	// resend lost messages.
	SendEnvelope(vm string, payload []byte)
}

// Peers provides the statuses of the other control VMs.
type Peers interface {
	// PeerStatuses returns the statuses of the other control VMs by member name,
	// with a zero PeerStatus for each one that is expected but not alive. Whether one
	// is alive is decided by the clock of the implementation, since the times of two
	// clocks can't be compared.
	PeerStatuses() map[string]PeerStatus
	// MayBootstrap reports whether this VM may bootstrap the log. If it is false,
	// a VM without a log can only join an existing one.
	MayBootstrap() bool
}

// PeerStatus is the status of another control VM's replica.
type PeerStatus struct {
	id           replica.ID
	alive        bool
	bootstrapped bool
	onlyJoins    bool
}

// NewPeerStatus returns the status of a live control VM. bootstrapped is true
// if its replica has a set of voters, so that a log exists.
func NewPeerStatus(id replica.ID, bootstrapped bool) PeerStatus {
	return PeerStatus{id: id, alive: true, bootstrapped: bootstrapped}
}

// WithOnlyJoins returns the status of a control VM that can't bootstrap the log, or can.
func (s PeerStatus) WithOnlyJoins(onlyJoins bool) PeerStatus {
	s.onlyJoins = onlyJoins
	return s
}

// Control is the control role of a VM: it runs the replica of that VM and answers
// changes and reads while the replica is the leader.
type Control struct {
	self          replica.Member
	configuredVMs []string
	sender        Sender
	peers         Peers
	log           *zap.Logger
	accepted      chan struct{}
	inbox         chan event
	status        atomic.Pointer[Status]

	// The fields below, up to stateMu, are accessed only by the loop of Run.
	node    *replica.Node
	journal *journal.Journal
	// folder is the data folder, and firstStartVMs the VMs of a first start that had no log
	// when the process started.
	folder        string
	firstStartVMs []string
	// applied is the index of the last entry that was applied to the state.
	applied uint64
	// pending holds the proposals that are not committed yet, by log index.
	pending map[uint64]proposal
	reads   []readRequest
	// answers holds the results of this step for sendAnswers.
	answers []answer
	// bytesSinceCompact is the size of the entries applied since the last
	// compaction.
	bytesSinceCompact int
	// journalFailedAt is when the first write to the journal failed, zero while
	// the journal is writable.
	journalFailedAt bootclock.Time
	// journalRetryAt is when the next write is attempted after a failure.
	journalRetryAt bootclock.Time
	lastJoinAt     bootclock.Time
	// founderSince is since when this VM is the one to bootstrap the log, zero while it is not.
	founderSince bootclock.Time
	loggedLeader string
	caughtUp     bool
	openedAt     bootclock.Time
	// clock is the clock of the latest step.
	clock loopClock

	// stateMu guards state, which is shared between the loop and callers of
	// Audit.
	stateMu sync.Mutex
	state   *replica.State
}

// event is an input of the loop: a delivery, a proposal, a readRequest or a settleRequest.
type event interface{ event() }

// delivery is a message from another replica.
type delivery struct{ envelope replica.Envelope }

// proposal is a command to commit. The term is that of its log entry, set once
// the leader has appended it.
type proposal struct {
	command replica.Command
	term    uint64
	reply   chan<- proposalResult
}

// readRequest is a read of the routes. It is answered once the entry at index is
// applied and a quorum has confirmed, at startedAt or later, that this replica is
// the leader.
type readRequest struct {
	index     uint64
	startedAt bootclock.Time
	reply     chan<- readResult
}

// readResult is the result of a readRequest.
type readResult struct {
	routes replica.Routes
	err    error
}

func (readRequest) event() {}
func (delivery) event()    {}
func (proposal) event()    {}

// proposalResult is the result of a proposal.
type proposalResult struct {
	outcome replica.Outcome
	err     error
}

// Open opens the data folder of a control VM, created where it is missing, and
// returns its control role, which does nothing until Run. vm is the name of this VM
// as a member of the log; package cluster uses the address at which the VM listens.
// If wantedVoters is 0, only configuredVMs may be voters. Otherwise any VM may join,
// up to that number of voters. The errors are those of journal.Open and
// journal.Append, and JournalDamaged if a record or snapshot can't be decoded.
func Open(folder, vm string, configuredVMs []string, wantedVoters int, sender Sender, peers Peers, log *zap.Logger, now bootclock.Time) (*Control, error) {
	j, records, err := journal.Open(folder)
	if err != nil {
		return nil, err
	}
	c, err := open(j, records, vm, configuredVMs, wantedVoters, sender, peers, log, now)
	if err != nil {
		return nil, err
	}
	c.loadFirstStart(folder)
	return c, nil
}

// open is Open for a journal that is open already, with its records.
func open(j *journal.Journal, records [][]byte, vm string, configuredVMs []string, wantedVoters int, sender Sender, peers Peers, log *zap.Logger, now bootclock.Time) (*Control, error) {
	id, persisted, err := replayJournal(records)
	if err != nil {
		return nil, err
	}
	if id == "" {
		id = replica.ID(uuid.NewString())
		if err := j.Append([][]byte{encodeIdentity(id)}); err != nil {
			return nil, err
		}
	}
	state, err := replica.DecodeState(persisted.Snapshot().State())
	if err != nil {
		return nil, result.Wrap(err, result.JournalDamaged, "failed to decode the snapshot in the journal")
	}
	c := &Control{
		self:          replica.NewMember(id, vm),
		configuredVMs: configuredVMs,
		sender:        sender,
		peers:         peers,
		log:           log,
		accepted:      make(chan struct{}, 1),
		inbox:         make(chan event, inboxCapacity),
		journal:       j,
		state:         state,
		applied:       persisted.Snapshot().Index(),
		pending:       make(map[uint64]proposal),
		openedAt:      now,
	}
	c.node = replica.NewNode(c.self, configuredVMs, persisted, rand.IntN, now)
	c.node.SetVoterCount(wantedVoters)
	c.publishStatus(now)
	return c, nil
}

// Status returns the latest status.
func (c *Control) Status() Status { return *c.status.Load() }

// Accepted returns a channel that receives a value after Open, when the replica has
// caught up, and after a new version of the configuration or a new revision of the
// routes was accepted. Several changes in quick succession may send only one value.
func (c *Control) Accepted() <-chan struct{} { return c.accepted }

// Audit returns the audit trail of this replica, oldest record first.
func (c *Control) Audit() []audit.Record {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return append([]audit.Record(nil), c.state.Trail().Records()...)
}

// Deliver queues a message from another replica. It is dropped if the inbox is
// full, since replicas resend lost messages. It returns an error if the message
// can't be decoded.
func (c *Control) Deliver(payload []byte) error {
	e, err := replica.DecodeEnvelope(payload)
	if err != nil {
		return err
	}
	select {
	case c.inbox <- delivery{envelope: e}:
	default:
	}
	return nil
}

// Propose commits a command to the log and returns its outcome. The error is
// NoQuorum if this replica is not the leader, loses the leadership or can't queue
// the command before ctx ends, JournalUnusable if it can't write its journal, and
// ChangeUnknown if the outcome is not known when ctx ends. If the leadership is lost
// or the journal fails after the command was appended, it may still be committed.
func (c *Control) Propose(ctx context.Context, command replica.Command) (replica.Outcome, error) {
	reply := make(chan proposalResult, 1)
	select {
	case c.inbox <- proposal{command: command, reply: reply}:
	case <-ctx.Done():
		return nil, result.New(result.NoQuorum, "the control role did not accept the request in time")
	}
	select {
	case res := <-reply:
		return res.outcome, res.err
	case <-ctx.Done():
		return nil, result.New(result.ChangeUnknown, "no quorum acknowledged the change in time; send it again with the same change id")
	}
}

// Read returns the routes as of a time after the call began, confirmed by
// a quorum. The error is NoQuorum if this replica is not the leader or no quorum
// confirms that it is before ctx ends, and JournalUnusable if its journal fails
// meanwhile.
func (c *Control) Read(ctx context.Context) (replica.Routes, error) {
	reply := make(chan readResult, 1)
	select {
	case c.inbox <- readRequest{reply: reply}:
	case <-ctx.Done():
		return replica.Routes{}, result.New(result.NoQuorum, "the control role did not accept the request in time")
	}
	select {
	case res := <-reply:
		return res.routes, res.err
	case <-ctx.Done():
		return replica.Routes{}, result.New(result.NoQuorum, "no quorum confirmed the read in time")
	}
}
