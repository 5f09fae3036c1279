package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
)

const (
	// queueLength is the maximum number of messages waiting to be sent to a peer.
	queueLength = 4096
	dialTimeout = time.Second
	// writeTimeout limits one write; if it expires, the connection is closed
	// and dialled again.
	writeTimeout   = 3 * time.Second
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
	// minReconnectAge is the age above which reconnect closes a connection.
	minReconnectAge = 2 * time.Second
)

// link sends messages to one peer over a one-way connection.
type link struct {
	address string
	hello   []byte
	queue   chan []byte

	mu       sync.Mutex
	conn     net.Conn
	dialedAt time.Time
}

func newLink(address string, hello Hello) *link {
	return &link{address: address, hello: Encode(hello), queue: make(chan []byte, queueLength)}
}

// send queues a message and reports whether there was room for it. A message for
// a full queue is dropped; senders repeat messages that are still needed.
func (l *link) send(payload []byte) bool {
	select {
	case l.queue <- payload:
		return true
	default:
		return false
	}
}

// reconnect closes the connection, so that run dials a new one, unless the
// connection is younger than minReconnectAge.
func (l *link) reconnect(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && now.Sub(l.dialedAt) > minReconnectAge {
		_ = l.conn.Close()
	}
}

// run dials and sends messages until ctx ends. It dials again after each
// failure, with exponential backoff between minRedialDelay and maxRedialDelay.
// The backoff is reset after an attempt that lasted longer than maxRedialDelay,
// the time of the connection included. A dial that times out can reset it too,
// because dialTimeout is equal to maxRedialDelay.
func (l *link) run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		start := time.Now()
		l.connect(ctx)
		if time.Since(start) > maxRedialDelay {
			delay = minRedialDelay
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// connect dials once and sends messages until the connection fails or ctx ends.
func (l *link) connect(ctx context.Context) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return
	}
	l.mu.Lock()
	l.conn = conn
	l.dialedAt = time.Now()
	l.mu.Unlock()
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	// The peer never sends on this connection, so a read returns only when the
	// connection is closed or fails.
	go (&closeDetector{conn: conn}).run()
	if l.write(conn, l.hello) != nil {
		return
	}
	for {
		select {
		case payload := <-l.queue:
			if l.write(conn, payload) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (l *link) write(conn net.Conn, payload []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return frame.Write(conn, payload)
}

// closeDetector closes a connection after its peer has closed it.
type closeDetector struct{ conn net.Conn }

func (c *closeDetector) run() {
	var one [1]byte
	_, _ = c.conn.Read(one[:])
	_ = c.conn.Close()
}
