package fleet

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// limitedListener limits the open connections of a leaf and makes each new one cost
// its time.
type limitedListener struct {
	net.Listener
	leaf *Leaf
	open atomic.Int64
}

// Accept refuses connections over the limit, as well as all while the leaf is
// down.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.leaf.mu.Lock()
		unavailable := l.leaf.unavailable(time.Now())
		l.leaf.mu.Unlock()
		limit := int64(l.leaf.service.Limits().Connections())
		if unavailable || l.open.Load() >= limit {
			if !unavailable {
				l.leaf.journal.add(Record{at: time.Now(), leaf: l.leaf.name, outcome: ConnectionRefused})
			}
			_ = conn.Close()
			continue
		}
		l.open.Add(1)
		return &limitedConn{Conn: conn, listener: l, readableAt: time.Now().Add(l.leaf.service.Limits().ConnectionCost())}, nil
	}
}

// limitedConn waits for its cost before the first byte is read.
type limitedConn struct {
	net.Conn
	listener   *limitedListener
	readableAt time.Time
	closed     atomic.Bool
}

// Read reads once the connection's cost is paid.
func (c *limitedConn) Read(p []byte) (int, error) {
	if wait := time.Until(c.readableAt); wait > 0 {
		time.Sleep(wait)
	}
	return c.Conn.Read(p)
}

// Close frees the place of the connection, once.
func (c *limitedConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// connState keeps the addresses of open connections, so that those that exist
// when the fault is switched on can fall silent while new ones work.
func (l *Leaf) connState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	address := conn.RemoteAddr().String()
	switch state {
	case http.StateNew:
		l.openConns[address] = true
		delete(l.silencedConns, address)
	case http.StateClosed, http.StateHijacked:
		delete(l.openConns, address)
		delete(l.silencedConns, address)
	}
}

// silenceOpenConns makes every connection that is open now silent for good.
func (l *Leaf) silenceOpenConns() {
	for address := range l.openConns {
		l.silencedConns[address] = true
	}
}
