package control

import (
	"context"
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

// noPeers implements Sender and Peers for a control VM that is the only one.
type noPeers struct{}

func (noPeers) SendEnvelope(string, []byte)         {}
func (noPeers) PeerStatuses() map[string]PeerStatus { return nil }
func (noPeers) MayBootstrap() bool                  { return true }

// controlLoop runs a control role.
type controlLoop struct{ control *Control }

func (l *controlLoop) run(ctx context.Context) { _ = l.control.Run(ctx) }

// startSingle starts the only control VM and waits until it is the leader.
func startSingle(t *testing.T, folder string) *Control {
	t.Helper()
	c, err := Open(folder, "vm-1", nil, 1, noPeers{}, noPeers{}, zap.NewNop(), bootclock.Now())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go (&controlLoop{control: c}).run(ctx)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !c.Status().Leads() {
			return poll.Continue("no leader yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	return c
}

// publish proposes a version of the routes once, without retries.
func publish(c *Control, version uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := c.Propose(ctx, replica.NewPublishRoutes(version, []byte("text")))
	return err
}

// Failed writes to the journal must not end the process. The VM steps down and
// rejects changes and reads until the journal is writable; then it resumes with all
// acknowledged changes.
func TestControlRecoversFromJournalWriteErrors(t *testing.T) {
	folder := t.TempDir()
	c := startSingle(t, folder)
	assert.NilError(t, publish(c, 1))
	// Writes to the closed file fail as on a full disk. A folder at the path of
	// the new journal prevents the journal from being rewritten.
	assert.NilError(t, c.journal.Close())
	blocked := folder + "/journal.next"
	assert.NilError(t, os.Mkdir(blocked, 0o700))
	err := publish(c, 2)
	assert.Equal(t, result.CodeOf(err), result.JournalUnusable, "%v", err)
	assert.Assert(t, !c.Status().Leads())
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err = c.Read(ctx)
	assert.Equal(t, result.CodeOf(err), result.NoQuorum, "%v", err)
	assert.NilError(t, os.Remove(blocked))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := publish(c, 3); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	routes, err := c.Read(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, routes.Version(), uint64(3))
}

func TestReadSeesAcknowledgedWrites(t *testing.T) {
	c := startSingle(t, t.TempDir())
	for version := range uint64(20) {
		assert.NilError(t, publish(c, version+1))
		routes, err := c.Read(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, routes.Version(), version+1)
	}
}

func TestCompactionBoundsJournalSize(t *testing.T) {
	folder := t.TempDir()
	c := startSingle(t, folder)
	document := make([]byte, 100<<10)
	for version := range uint64(60) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err := c.Propose(ctx, replica.NewPublishRoutes(version+1, document))
		cancel()
		assert.NilError(t, err)
	}
	info, err := os.Stat(folder + "/journal")
	assert.NilError(t, err)
	assert.Assert(t, info.Size() < 3*compactBytes, "%d bytes", info.Size())
}
