package control

import (
	"os"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// openLeader opens the only control VM without running its loop and steps it until
// it leads.
func openLeader(t *testing.T, folder string, clock loopClock) *Control {
	t.Helper()
	c, err := Open(folder, "vm-1", nil, 1, noPeers{}, noPeers{}, zap.NewNop(), clock.now())
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := c.step(clock); err != nil {
			return poll.Error(err)
		}
		if !c.Status().Leads() {
			return poll.Continue("no leader yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	return c
}

// failingStep is a call of failJournal in a goroutine of its own.
type failingStep struct {
	control *Control
	clock   loopClock
	done    chan struct{}
}

func (s *failingStep) run() {
	defer close(s.done)
	s.control.failJournal(result.New(result.JournalUnusable, "disk full"), s.clock.now())
}

// A caller that has the answer to its change must not read a status of before it:
// nobody receives the answer here until the status shows that the VM stepped down.
func TestCallersAreAnsweredAfterTheStatusIsPublished(t *testing.T) {
	clock := newClock(bootclock.Now)
	c := openLeader(t, t.TempDir(), clock)
	reply := make(chan proposalResult)
	c.pending[c.node.CommitIndex()+1] = proposal{reply: reply}
	s := &failingStep{control: c, clock: clock, done: make(chan struct{})}
	go s.run()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.Status().Leads() {
			return poll.Continue("the status still says that this VM leads")
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second), poll.WithDelay(time.Millisecond))
	res := <-reply
	assert.Equal(t, result.CodeOf(res.err), result.JournalUnusable, "%v", res.err)
	<-s.done
}

// A change or read that is refused because the VM has just stepped down must not be
// answered while the status still says that the VM leads.
func TestRefusalsFollowTheStatus(t *testing.T) {
	clock := newClock(bootclock.Now)
	tests := []struct {
		name string
		lose func(c *Control)
		code result.Code
	}{
		{"stepped down", func(c *Control) { c.node.StepDown(clock.now()) }, result.NoQuorum},
		{"journal not writable", func(c *Control) {
			c.node.StepDown(clock.now())
			c.journalFailedAt = clock.now()
			c.journalRetryAt = clock.now().Add(time.Hour)
		}, result.JournalUnusable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := openLeader(t, t.TempDir(), clock)
			change := make(chan proposalResult, 1)
			read := make(chan readResult, 1)
			tt.lose(c)
			c.handle(proposal{command: replica.NewPublishRoutes(1, []byte("text")), reply: change}, clock.now())
			c.handle(readRequest{reply: read}, clock.now())
			assert.Assert(t, c.Status().Leads())
			assert.Equal(t, len(change)+len(read), 0, "answered before the status")
			assert.NilError(t, c.step(clock))
			assert.Assert(t, !c.Status().Leads())
			assert.Equal(t, result.CodeOf((<-change).err), tt.code)
			assert.Equal(t, result.CodeOf((<-read).err), result.NoQuorum)
		})
	}
}

// A replica that has no entry and no leader must not claim to have caught up; one
// with entries goes on with them after catchUpTimeout.
func TestEmptyReplicaWithoutLeaderHasNotCaughtUp(t *testing.T) {
	for _, applied := range []uint64{0, 4} {
		clock := newClock(bootclock.Now)
		c, err := Open(t.TempDir(), "vm-2", nil, 3, noPeers{}, noPeers{}, zap.NewNop(), clock.now())
		assert.NilError(t, err)
		c.applied = applied
		c.updateCaughtUp(clock.now().Add(catchUpTimeout + time.Second))
		assert.Equal(t, c.caughtUp, applied > 0, "%d entries applied", applied)
	}
}

// peerSender is the Sender and Peers of a control VM with one other VM. It queues
// messages for the other VM in outbox.
type peerSender struct {
	peer   string
	status func() PeerStatus
	outbox [][]byte
}

func (s *peerSender) SendEnvelope(_ string, payload []byte) { s.outbox = append(s.outbox, payload) }
func (s *peerSender) PeerStatuses() map[string]PeerStatus {
	return map[string]PeerStatus{s.peer: s.status()}
}
func (s *peerSender) MayBootstrap() bool { return false }

// deliverUntilSnapshot passes the queued messages on, up to the first snapshot, and
// reports whether there was one. onSnapshot is called before that is passed on.
func (s *peerSender) deliverUntilSnapshot(t *testing.T, to *Control, clock loopClock, onSnapshot func()) bool {
	t.Helper()
	for _, payload := range s.outbox {
		e, err := replica.DecodeEnvelope(payload)
		assert.NilError(t, err)
		_, isSnapshot := e.Message().(replica.InstallSnapshot)
		if isSnapshot {
			onSnapshot()
		}
		to.handle(delivery{envelope: e}, clock.now())
		if isSnapshot {
			s.outbox = nil
			return true
		}
	}
	s.outbox = nil
	return false
}

// startWithSnapshot gives a leader routes of version 7 that only its snapshot holds.
func startWithSnapshot(t *testing.T, leader *Control, clock loopClock) {
	t.Helper()
	reply := make(chan proposalResult, 1)
	leader.handle(proposal{command: replica.NewPublishRoutes(7, []byte("text")), reply: reply}, clock.now())
	assert.NilError(t, leader.step(clock))
	assert.NilError(t, (<-reply).err)
	leader.bytesSinceCompact = compactBytes
	assert.NilError(t, leader.compact())
}

// A snapshot that arrives while the journal refuses writes replaces entries that the
// leader no longer has. Unless it is installed afterwards, the routes of this VM stay
// at version 0.
func TestSnapshotReceivedDuringJournalWriteErrorsIsInstalled(t *testing.T) {
	clock := newClock(bootclock.Now)
	leader := openLeader(t, t.TempDir(), clock)
	startWithSnapshot(t, leader, clock)
	folder := t.TempDir()
	toLeader := &peerSender{peer: "vm-1", status: func() PeerStatus { return NewPeerStatus(leader.self.ID(), true) }}
	c, err := Open(folder, "vm-2", nil, 3, toLeader, toLeader, zap.NewNop(), clock.now())
	assert.NilError(t, err)
	toFollower := &peerSender{peer: "vm-2", status: func() PeerStatus { return NewPeerStatus(c.self.ID(), false) }}
	leader.sender = toFollower
	leader.peers = toFollower

	blocked := folder + "/journal.next"
	breakJournal := func() {
		assert.NilError(t, c.journal.Close())
		assert.NilError(t, os.Mkdir(blocked, 0o700))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		toLeader.deliverUntilSnapshot(t, leader, clock, func() {})
		assert.NilError(t, leader.step(clock))
		received := toFollower.deliverUntilSnapshot(t, c, clock, breakJournal)
		assert.NilError(t, c.step(clock))
		if !received {
			return poll.Continue("no snapshot yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Assert(t, !c.journalFailedAt.IsZero())
	assert.NilError(t, os.Remove(blocked))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		assert.NilError(t, c.step(clock))
		if !c.journalFailedAt.IsZero() {
			return poll.Continue("the journal is not writable yet")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(20*time.Millisecond))
	assert.Equal(t, c.Status().Routes().Version(), uint64(7))
}
