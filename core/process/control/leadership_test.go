package control

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

// After a restart of all control VMs, the next leader would have to assume that its
// predecessor led for a moment only.
func TestSettledLeadershipIsKnownAfterARestart(t *testing.T) {
	for _, settle := range []bool{false, true} {
		folder := t.TempDir()
		c, err := Open(folder, "vm-1", nil, 1, noPeers{}, noPeers{}, zap.NewNop(), bootclock.Now())
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go (&endingLoop{control: c, done: done}).run(ctx)
		waitEstablished(t, c)
		_, exists := c.Status().Leadership().Predecessor()
		assert.Assert(t, !exists)
		commit := c.Status().Commit()
		if settle {
			c.MarkSettled(c.Status().Term() + 1)
			c.MarkSettled(c.Status().Term())
			c.MarkSettled(c.Status().Term())
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if c.Status().Commit() == commit {
					return poll.Continue("not committed")
				}
				return poll.Success()
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
			assert.NilError(t, publish(c, 1))
			assert.Equal(t, c.Status().Commit(), commit+2, "recorded once, and not for another term")
		}
		cancel()
		<-done
		next := startSingle(t, folder)
		waitEstablished(t, next)
		age, exists := next.Status().Leadership().Predecessor()
		assert.Assert(t, exists)
		assert.Equal(t, age >= SettledAge, settle, "%v", age)
		age, known := next.Status().Leadership().QuorumAge(bootclock.Now())
		assert.Assert(t, known && age >= 0 && age < 10*time.Second, "%v", age)
	}
}

// endingLoop runs a control role and closes done at the end.
type endingLoop struct {
	control *Control
	done    chan struct{}
}

func (l *endingLoop) run(ctx context.Context) {
	defer close(l.done)
	_ = l.control.Run(ctx)
}

func waitEstablished(t *testing.T, c *Control) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !c.Status().Leadership().Established() {
			return poll.Continue("no established leader yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}
