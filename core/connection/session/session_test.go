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
	got    []string
}

func (e *recorder) Opened(s *session.Session, _ time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opened = append(e.opened, s)
}

func (e *recorder) Received(_ *session.Session, payload []byte, _ time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.got = append(e.got, string(payload))
}

func (e *recorder) Closed(*session.Session, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed++
}

func (e *recorder) counts() (opened, closed, got int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.opened), e.closed, len(e.got)
}

func (e *recorder) last() *session.Session {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.opened[len(e.opened)-1]
}

func waitForCounts(t *testing.T, e *recorder, opened, closed, got int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		o, c, g := e.counts()
		if o < opened || c < closed || g < got {
			return poll.Continue("%d opened, %d closed, %d frames", o, c, g)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

type listenerRun struct{ listener *session.Listener }

func (l *listenerRun) run(ctx context.Context) { l.listener.Run(ctx) }

type dialerRun struct{ dialer *session.Dialer }

func (d *dialerRun) run(ctx context.Context) { d.dialer.Run(ctx) }

func TestFramesGoBothWaysAndClosedLinkIsRedialed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var near, far recorder
	go (&listenerRun{listener: session.NewListener(socket, &far)}).run(ctx)
	go (&dialerRun{dialer: session.NewDialer(socket.Addr().String(), &near)}).run(ctx)
	waitForCounts(t, &near, 1, 0, 0)
	waitForCounts(t, &far, 1, 0, 0)
	assert.Assert(t, near.last().Send([]byte("there")))
	assert.Assert(t, far.last().Send([]byte("back")))
	waitForCounts(t, &near, 1, 0, 1)
	waitForCounts(t, &far, 1, 0, 1)
	far.last().Close()
	waitForCounts(t, &near, 2, 1, 1)
	assert.Assert(t, near.last().Send([]byte("again")))
	waitForCounts(t, &far, 2, 1, 2)
}

// Guards against a link that stays open although the peer has disappeared: no
// frame arrives and the connection reports no error.
func TestSilentLinkIsRedialed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer socket.Close()
	var near recorder
	start := time.Now()
	go (&dialerRun{dialer: session.NewDialer(socket.Addr().String(), &near)}).run(ctx)
	waitForCounts(t, &near, 2, 1, 0)
	assert.Assert(t, time.Since(start) < 4*time.Second)
	assert.Assert(t, !near.opened[0].Send([]byte("lost")), "a closed session accepted a frame")
}

func TestSendQueueIsBounded(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer socket.Close()
	var near recorder
	go (&dialerRun{dialer: session.NewDialer(socket.Addr().String(), &near)}).run(ctx)
	waitForCounts(t, &near, 1, 0, 0)
	s := near.last()
	payload := make([]byte, 1<<20)
	queued := 0
	for queued < 5000 && s.Send(payload) {
		queued++
	}
	assert.Assert(t, queued < 5000, "the queue is not bounded")
}
