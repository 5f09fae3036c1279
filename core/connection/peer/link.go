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
// failure, with the delay that redialDelay returns.
func (l *link) run(ctx context.Context) {
	var delay time.Duration
	for ctx.Err() == nil {
		delay = redialDelay(delay, l.connect(ctx))
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

// redialDelay returns how long to wait before the next dial: an exponential backoff
// from minRedialDelay to maxRedialDelay that starts again after a connection that
// was open for longer than maxRedialDelay. last is the previous delay, 0 for none,
// and connectedFor is 0 if the last dial failed, however long it took.
func redialDelay(last, connectedFor time.Duration) time.Duration {
	if last == 0 || connectedFor > maxRedialDelay {
		return minRedialDelay
	}
	return min(2*last, maxRedialDelay)
}

// connect dials once and sends messages until the connection fails or ctx ends. It
// returns how long the connection was open, 0 if the dial failed.
func (l *link) connect(ctx context.Context) time.Duration {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return 0
	}
	opened := time.Now()
	l.mu.Lock()
	l.conn = conn
	l.dialedAt = opened
	l.mu.Unlock()
	l.sendMessages(ctx, conn)
	return time.Since(opened)
}

// sendMessages sends messages until the connection fails or ctx ends, and closes
// the connection.
func (l *link) sendMessages(ctx context.Context, conn net.Conn) {
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
