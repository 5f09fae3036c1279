package fleet

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// limitedListener limits the number of open connections of a leaf. Reads from a
// connection wait until the connection cost of the service has passed since the
// connection was accepted.
type limitedListener struct {
	net.Listener
	leaf *Leaf
	open atomic.Int64
}

// Accept returns the next connection within the limit. It closes connections
// over the limit and, while the leaf is unavailable, all connections.
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

// limitedConn is a connection that counts against the limit of its listener.
type limitedConn struct {
	net.Conn
	listener   *limitedListener
	readableAt time.Time
	closed     atomic.Bool
}

// Read waits until readableAt and then reads.
func (c *limitedConn) Read(p []byte) (int, error) {
	if wait := time.Until(c.readableAt); wait > 0 {
		time.Sleep(wait)
	}
	return c.Conn.Read(p)
}

// Close closes the connection. The first call also decrements the listener's
// count of open connections.
func (c *limitedConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// connState keeps track of the remote addresses of open connections, so that
// silenceOpenConns can silence them while later connections work.
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

// silenceOpenConns makes the leaf never again answer requests on the
// connections that are open now. The caller holds l.mu.
func (l *Leaf) silenceOpenConns() {
	for address := range l.openConns {
		l.silencedConns[address] = true
	}
}
