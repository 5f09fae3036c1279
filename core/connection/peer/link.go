package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
)

const (
	// queueLength bounds the messages that wait for a link.
	queueLength = 4096
	dialTimeout = time.Second
	// writeTimeout bounds one write; a link that can't take it is redialled.
	writeTimeout   = 3 * time.Second
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
	// youngConnection is the age below which a connection is not renewed.
	minReconnectAge = 2 * time.Second
)

// link sends messages to one peer over a connection of its own.
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

// send queues a message; a full queue drops it, because every message is sent
// again by whoever needs it.
func (l *link) send(payload []byte) bool {
	select {
	case l.queue <- payload:
		return true
	default:
		return false
	}
}

// renew closes the connection, so that the next message goes over a new one.
func (l *link) reconnect(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && now.Sub(l.dialedAt) > minReconnectAge {
		_ = l.conn.Close()
	}
}

// run dials and sends until ctx ends.
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

// connect serves one connection until it breaks.
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
	// The peer sends nothing here; a read that returns tells that it closed.
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

// closeWatch closes a connection once its peer has.
type closeDetector struct{ conn net.Conn }

func (c *closeDetector) run() {
	var one [1]byte
	_, _ = c.conn.Read(one[:])
	_ = c.conn.Close()
}
