package upstream_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/connection/upstream"
)

// server accepts connections and keeps them open without responding.
type server struct {
	socket net.Listener
	mu     sync.Mutex
	conns  []net.Conn
}

func (s *server) run() {
	for {
		conn, err := s.socket.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
	}
}

// last returns the connection accepted last, nil if there is none.
func (s *server) last() net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) == 0 {
		return nil
	}
	return s.conns[len(s.conns)-1]
}

func newServer(t *testing.T) *server {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{socket: socket}
	go s.run()
	t.Cleanup(func() { _ = socket.Close() })
	return s
}

// get returns a connection from a pool for a request with an id of its own, after the
// server has accepted at least one connection.
func get(t *testing.T, p *upstream.Pool, s *server, maxIdle time.Duration, now time.Time) *upstream.Conn {
	t.Helper()
	return getFor(t, p, s, uuid.NewString(), maxIdle, now)
}

// getFor returns a connection from a pool for the request with an id, after the server
// has accepted at least one connection.
func getFor(t *testing.T, p *upstream.Pool, s *server, id string, maxIdle time.Duration, now time.Time) *upstream.Conn {
	t.Helper()
	c, err := p.Get(context.Background(), s.socket.Addr().String(), id, maxIdle, now)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.last() == nil {
			return poll.Continue("not accepted yet")
		}
		return poll.Success()
	})
	return c
}

func TestConnectionReuse(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name       string
		prepare    func(s *server, c *upstream.Conn)
		maxIdle    time.Duration
		elapsed    time.Duration
		wantReused bool
	}{
		{"idle", func(*server, *upstream.Conn) {}, 0, time.Second, true},
		{"closed by the target", func(s *server, _ *upstream.Conn) { _ = s.last().Close() }, 0, time.Second, false},
		{"bytes after the response", func(s *server, _ *upstream.Conn) { _, _ = s.last().Write([]byte("HTTP/1.1 200 OK\r\n")) }, 0, time.Second, false},
		{"idle for longer than the timeout of the target allows", func(_ *server, c *upstream.Conn) { c.SetTargetIdleTimeout(4 * time.Second) }, 0, 3500 * time.Millisecond, false},
		{"idle for less than the timeout of the target", func(_ *server, c *upstream.Conn) { c.SetTargetIdleTimeout(4 * time.Second) }, 0, 2 * time.Second, true},
		{"idle for longer than the limit of the request", func(*server, *upstream.Conn) {}, time.Second, 2 * time.Second, false},
		{"idle for less than the limit of the request", func(*server, *upstream.Conn) {}, time.Second, 500 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t)
			p := upstream.NewPool()
			first := get(t, p, s, 0, now)
			tt.prepare(s, first)
			first.Release(now)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				next := get(t, p, s, tt.maxIdle, now.Add(tt.elapsed))
				if (next == first) == tt.wantReused {
					return poll.Success()
				}
				// The change that prepare made at the target may arrive a little later.
				next.Release(now)
				return poll.Continue("reused: %t", next == first)
			}, poll.WithTimeout(3*time.Second), poll.WithDelay(5*time.Millisecond))
		})
	}
}

func TestCloseAddressesClosesIdleAndReleasedConnections(t *testing.T) {
	s := newServer(t)
	p := upstream.NewPool()
	now := time.Now()
	idle := get(t, p, s, 0, now)
	used := get(t, p, s, 0, now)
	idle.Release(now)
	p.CloseAddresses([]string{s.socket.Addr().String()})
	used.Release(now)
	assert.Equal(t, p.OpenConnections(), int64(0))
	assert.Assert(t, get(t, p, s, 0, now) != idle)
}

// A connection that was opened ahead serves the first request, is opened once only, and
// expires like any other.
func TestWarmOpensOneConnectionAhead(t *testing.T) {
	s := newServer(t)
	p := upstream.NewPool()
	address := s.socket.Addr().String()
	now := time.Now()
	for range 3 {
		assert.NilError(t, p.Warm(t.Context(), address, now))
	}
	assert.Equal(t, p.Dials(), int64(1))
	c := get(t, p, s, 0, now.Add(time.Second))
	assert.Equal(t, p.Dials(), int64(1))
	c.SetTargetIdleTimeout(10 * time.Second)
	c.Release(now.Add(time.Second))
	c = get(t, p, s, 0, now.Add(10*time.Second))
	assert.Equal(t, p.Dials(), int64(2), "a connection was used after its idle timeout")
	c.Discard()
	// New connections have the idle timeout that a target stated last.
	assert.NilError(t, p.Warm(t.Context(), address, now))
	get(t, p, s, 0, now.Add(8*time.Second)).Discard()
	assert.Equal(t, p.Dials(), int64(4))
	_ = s.socket.Close()
	assert.Assert(t, p.Warm(t.Context(), address, now) != nil)
	assert.Equal(t, p.OpenConnections(), int64(0))
}

// A connection that has carried an id never carries it again, whatever it carried in
// between: a late copy of the first response could not be told from the second one.
func TestConnectionCarriesAnIDOnlyOnce(t *testing.T) {
	s := newServer(t)
	p := upstream.NewPool()
	now := time.Now()
	first := getFor(t, p, s, "req-1", 0, now)
	other := getFor(t, p, s, "req-2", 0, now)
	other.Release(now)
	first.Release(now)
	again := getFor(t, p, s, "req-1", 0, now)
	assert.Equal(t, again, other, "an idle connection that had not carried the id was not used")
	again.Release(now)
	assert.Equal(t, p.Dials(), int64(2))
	// Both connections have carried the id now.
	third := getFor(t, p, s, "req-1", 0, now)
	assert.Assert(t, third != first && third != other)
	assert.Equal(t, p.OpenConnections(), int64(1), "connections that had carried the id were kept beside the new one")
}

// The ids that a connection carried take memory, so that it is closed after
// maxRequestsPerConnection.
func TestConnectionIsReplacedAfterItsLastRequest(t *testing.T) {
	const maxRequestsPerConnection = 1024
	s := newServer(t)
	p := upstream.NewPool()
	now := time.Now()
	for range maxRequestsPerConnection {
		get(t, p, s, 0, now).Release(now)
	}
	assert.Equal(t, p.OpenConnections(), int64(0))
	get(t, p, s, 0, now).Release(now)
	assert.Equal(t, p.Dials(), int64(2))
}
