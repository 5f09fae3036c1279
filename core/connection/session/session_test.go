package session_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/connection/session"
)

// recorder records the events of the sessions on one side.
type recorder struct {
	mu     sync.Mutex
	opened []*session.Session
	closed int
	frames []string
}

func (r *recorder) Opened(s *session.Session, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened = append(r.opened, s)
}

func (r *recorder) Received(_ *session.Session, payload []byte, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frames = append(r.frames, string(payload))
}

func (r *recorder) Closed(*session.Session, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed++
}

func (r *recorder) counts() (opened, closed, frames int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.opened), r.closed, len(r.frames)
}

func (r *recorder) last() *session.Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened[len(r.opened)-1]
}

// waitForCounts waits until a recorder has recorded at least the given numbers
// of opened sessions, closed sessions and received frames.
func waitForCounts(t *testing.T, r *recorder, opened, closed, frames int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		o, c, f := r.counts()
		if o < opened || c < closed || f < frames {
			return poll.Continue("%d opened, %d closed, %d frames", o, c, f)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// listenerRun runs a listener in the background.
type listenerRun struct{ listener *session.Listener }

func (l *listenerRun) run(ctx context.Context) { l.listener.Run(ctx) }

// dialerRun runs a dialer in the background.
type dialerRun struct{ dialer *session.Dialer }

func (d *dialerRun) run(ctx context.Context) { d.dialer.Run(ctx) }

func TestFramesGoBothWaysAndClosedSessionIsRedialed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var dialing, accepting recorder
	go (&listenerRun{listener: session.NewListener(socket, &accepting)}).run(ctx)
	go (&dialerRun{dialer: session.NewDialer(socket.Addr().String(), &dialing)}).run(ctx)
	waitForCounts(t, &dialing, 1, 0, 0)
	waitForCounts(t, &accepting, 1, 0, 0)
	assert.Assert(t, dialing.last().Send([]byte("there")))
	assert.Assert(t, accepting.last().Send([]byte("back")))
	waitForCounts(t, &dialing, 1, 0, 1)
	waitForCounts(t, &accepting, 1, 0, 1)
	accepting.last().Close()
	waitForCounts(t, &dialing, 2, 1, 1)
	assert.Assert(t, dialing.last().Send([]byte("again")))
	waitForCounts(t, &accepting, 2, 1, 2)
}

// TestSilentSessionIsRedialed guards against a session that stays open although
// the peer has disappeared: no frame arrives and the connection reports no
// error.
func TestSilentSessionIsRedialed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer socket.Close()
	var dialing recorder
	start := time.Now()
	go (&dialerRun{dialer: session.NewDialer(socket.Addr().String(), &dialing)}).run(ctx)
	waitForCounts(t, &dialing, 2, 1, 0)
	assert.Assert(t, time.Since(start) < 4*time.Second)
	assert.Assert(t, !dialing.opened[0].Send([]byte("lost")), "a closed session accepted a frame")
}

func TestSendQueueIsBounded(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer socket.Close()
	var dialing recorder
	go (&dialerRun{dialer: session.NewDialer(socket.Addr().String(), &dialing)}).run(ctx)
	waitForCounts(t, &dialing, 1, 0, 0)
	s := dialing.last()
	// The server reads nothing, so Send must refuse a frame before 5000 frames of
	// 1 MiB are queued.
	payload := make([]byte, 1<<20)
	queued := 0
	for queued < 5000 && s.Send(payload) {
		queued++
	}
	assert.Assert(t, queued < 5000, "the queue is not bounded")
}
