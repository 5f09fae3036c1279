// Package control is the role that keeps the replicated log on a VM with
// a disk. It drives core/process/replica: it syncs, sends, applies and
// compacts, and decides nothing itself.
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
	"github.com/mulberrydale/mulberrydale/core/process/journal"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	// inboxLength bounds the events that wait for the loop.
	inboxLength = 4096
	// maxBatch bounds the events that share one sync.
	maxBatch = 512
	// compactEntries is the number of applied entries after which the journal
	// is written anew.
	compactEntries = 2000
	// compactBytes is the size of applied entries after which it is, too.
	compactBytes = 1 << 20
	// joinInterval is the time between two requests to be taken in.
	joinInterval = 250 * time.Millisecond
)

// Sender sends a message of the log to the VM of its receiver.
type Sender interface {
	SendReplica(vm string, payload []byte)
}

// Founding tells what the other control VMs say about their logs.
type Founding interface {
	// Others returns the other control VMs by name, with a zero Candidate for
	// each that has not been heard lately.
	Others(now time.Time) map[string]Candidate
	// MayFound reports whether this installation starts for the first time.
	// Otherwise a VM without a log only joins.
	MayFound() bool
}

// Candidate is a control VM before the log is founded.
type Candidate struct {
	id      replica.ID
	heard   bool
	founded bool
}

// NewCandidate returns what a control VM that was heard says of its log.
func NewCandidate(id replica.ID, founded bool) Candidate {
	return Candidate{id: id, heard: true, founded: founded}
}

// Status is a picture of the control role.
type Status struct {
	member    replica.Member
	founded   bool
	leader    string
	leads     bool
	term      uint64
	commit    uint64
	voters    replica.Voters
	version   uint64
	document  []byte
	routes    replica.Routes
	quorumAge time.Duration
	at        time.Time
}

// Member returns the replica id and VM.
func (s Status) Member() replica.Member { return s.member }

// Founded reports whether the replica has a log.
func (s Status) Founded() bool { return s.founded }

// Leader returns the VM that leads, empty where none is known.
func (s Status) Leader() string { return s.leader }

// Leads reports whether this VM leads.
func (s Status) Leads() bool { return s.leads }

// Term returns the present term.
func (s Status) Term() uint64 { return s.term }

// Commit returns the last committed index.
func (s Status) Commit() uint64 { return s.commit }

// Voters returns the members that elect and acknowledge.
func (s Status) Voters() replica.Voters { return s.voters }

// Version returns the accepted configuration version, 0 for none.
func (s Status) Version() uint64 { return s.version }

// Document returns the text of the accepted configuration.
func (s Status) Document() []byte { return s.document }

// Routes returns the accepted routes.
func (s Status) Routes() replica.Routes { return s.routes }

// QuorumAge returns how long ago a quorum was confirmed.
func (s Status) QuorumAge(now time.Time) time.Duration {
	return s.quorumAge + now.Sub(s.at)
}

// Control is the control role of one process.
type Control struct {
	self     replica.Member
	named    []string
	sender   Sender
	founding Founding
	log      *zap.Logger
	accepted chan struct{}
	inbox    chan event
	status   atomic.Pointer[Status]

	// The rest belongs to the loop.
	node    *replica.Node
	journal *journal.Journal
	applied uint64
	pending map[uint64]proposal
	reads   []read
	// unwritten counts the bytes applied since the journal was written anew.
	unwritten int
	// failedAt is when the journal first refused a write, zero while it works.
	failedAt time.Time
	// retryAt is when the journal is tried again.
	retryAt  time.Time
	joinedAt time.Time
	leader   string

	// stateMu guards state, which readers of the audit trail share with the
	// loop.
	stateMu sync.Mutex
	state   *replica.State
}

// event is what the loop takes in: an envelope, a proposal or a read.
type event interface{ event() }

type delivery struct{ envelope replica.Envelope }

type proposal struct {
	command replica.Command
	term    uint64
	reply   chan<- answer
}

// read is a wait for the routes as of a moment at which a quorum confirmed
// that this replica leads.
type read struct {
	index uint64
	since time.Time
	reply chan<- readAnswer
}

// readAnswer is the outcome of a read.
type readAnswer struct {
	routes replica.Routes
	err    error
}

func (read) event()     {}
func (delivery) event() {}
func (proposal) event() {}

// answer is the outcome of a proposal.
type answer struct {
	outcome replica.Outcome
	err     error
}

// Open opens the data folder of a control VM and returns its role, which does
// nothing until Run. The names are all control VMs of the settings; where the
// number of wanted voters is over 0, other VMs may join too.
func Open(folder, vm string, named []string, wanted int, sender Sender, founding Founding, log *zap.Logger, now time.Time) (*Control, error) {
	j, records, err := journal.Open(folder)
	if err != nil {
		return nil, err
	}
	id, memory, err := recall(records)
	if err != nil {
		return nil, err
	}
	if id == "" {
		id = replica.ID(uuid.NewString())
		if err := j.Append([][]byte{encodeIdentity(id)}); err != nil {
			return nil, err
		}
	}
	state, err := replica.DecodeState(memory.Snapshot().State())
	if err != nil {
		return nil, result.Wrap(err, result.JournalDamaged, "the snapshot can't be read")
	}
	c := &Control{
		self:     replica.NewMember(id, vm),
		named:    named,
		sender:   sender,
		founding: founding,
		log:      log,
		accepted: make(chan struct{}, 1),
		inbox:    make(chan event, inboxLength),
		journal:  j,
		state:    state,
		applied:  memory.Snapshot().Index(),
		pending:  make(map[uint64]proposal),
	}
	c.node = replica.NewNode(c.self, named, memory, rand.IntN, now)
	c.node.SetVoterCount(wanted)
	c.publish(now)
	return c, nil
}

// Status returns the latest picture.
func (c *Control) Status() Status { return *c.status.Load() }

// Accepted returns a channel that receives when a version was accepted.
func (c *Control) Accepted() <-chan struct{} { return c.accepted }

// Audit returns the attempts at changes that this replica knows of.
func (c *Control) Audit() []audit.Record {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return append([]audit.Record(nil), c.state.Trail().Records()...)
}

// Deliver takes in a message of the log. A full inbox drops it; the log sends
// again what matters.
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

// Propose runs a command through the log if this replica leads. The error is
// NoQuorum where it does not, and ChangeUnknown where the outcome is not known
// when ctx ends.
func (c *Control) Propose(ctx context.Context, command replica.Command) (replica.Outcome, error) {
	reply := make(chan answer, 1)
	select {
	case c.inbox <- proposal{command: command, reply: reply}:
	case <-ctx.Done():
		return nil, result.New(result.NoQuorum, "the control role is busy")
	}
	select {
	case a := <-reply:
		return a.outcome, a.err
	case <-ctx.Done():
		return nil, result.New(result.ChangeUnknown, "no quorum answered in time; send the change again with its id")
	}
}

// Read returns the routes as they are after the call began, confirmed by
// a quorum. The error is NoQuorum where this replica can't be sure.
func (c *Control) Read(ctx context.Context) (replica.Routes, error) {
	reply := make(chan readAnswer, 1)
	select {
	case c.inbox <- read{reply: reply}:
	case <-ctx.Done():
		return replica.Routes{}, result.New(result.NoQuorum, "the control role is busy")
	}
	select {
	case a := <-reply:
		return a.routes, a.err
	case <-ctx.Done():
		return replica.Routes{}, result.New(result.NoQuorum, "no quorum confirmed the read in time")
	}
}
