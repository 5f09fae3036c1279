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

// end keeps what one end of a link was told.
type end struct {
	mu     sync.Mutex
	opened []*session.Session
	closed int
	got    []string
}

func (e *end) Opened(s *session.Session, _ time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opened = append(e.opened, s)
}

func (e *end) Received(_ *session.Session, payload []byte, _ time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.got = append(e.got, string(payload))
}

func (e *end) Closed(*session.Session, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed++
}

func (e *end) counts() (opened, closed, got int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.opened), e.closed, len(e.got)
}

func (e *end) last() *session.Session {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.opened[len(e.opened)-1]
}

func expect(t *testing.T, e *end, opened, closed, got int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		o, c, g := e.counts()
		if o < opened || c < closed || g < got {
			return poll.Continue("%d opened, %d closed, %d frames", o, c, g)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

type listening struct{ listener *session.Listener }

func (l *listening) run(ctx context.Context) { l.listener.Run(ctx) }

type dialling struct{ dialer *session.Dialer }

func (d *dialling) run(ctx context.Context) { d.dialer.Run(ctx) }

func TestFramesGoBothWaysAndALinkComesBack(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var near, far end
	go (&listening{listener: session.NewListener(socket, &far)}).run(ctx)
	go (&dialling{dialer: session.NewDialer(socket.Addr().String(), &near)}).run(ctx)
	expect(t, &near, 1, 0, 0)
	expect(t, &far, 1, 0, 0)
	assert.Assert(t, near.last().Send([]byte("there")))
	assert.Assert(t, far.last().Send([]byte("back")))
	expect(t, &near, 1, 0, 1)
	expect(t, &far, 1, 0, 1)
	far.last().Close()
	expect(t, &near, 2, 1, 1)
	assert.Assert(t, near.last().Send([]byte("again")))
	expect(t, &far, 2, 1, 2)
}

// The other end has gone without a word: nothing is heard, and no error comes.
func TestASilentLinkIsDialledAnew(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer socket.Close()
	var near end
	began := time.Now()
	go (&dialling{dialer: session.NewDialer(socket.Addr().String(), &near)}).run(ctx)
	expect(t, &near, 2, 1, 0)
	assert.Assert(t, time.Since(began) < 4*time.Second)
	assert.Assert(t, !near.opened[0].Send([]byte("lost")), "an ended session takes nothing")
}

func TestALinkThatStaysEmptyOfBytesTakesABoundedNumber(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer socket.Close()
	var near end
	go (&dialling{dialer: session.NewDialer(socket.Addr().String(), &near)}).run(ctx)
	expect(t, &near, 1, 0, 0)
	s := near.last()
	big := make([]byte, 1<<20)
	taken := 0
	for taken < 5000 && s.Send(big) {
		taken++
	}
	assert.Assert(t, taken < 5000, "the queue is not bounded")
}
