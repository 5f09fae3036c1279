// Package session connects two processes of this system by one TCP connection
// that carries frames in both directions. The dialling side reconnects after
// a failure. A connection on which no frame arrives for readTimeout is closed.
package session

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
)

const (
	// queueLength is the maximum number of frames waiting to be sent on
	// a session.
	queueLength = 1024
	// dialTimeout is short because the SYN packet to a VM without power is lost,
	// and the kernel sends it again only after a second. A longer timeout of less
	// than a second would gain nothing.
	dialTimeout = 150 * time.Millisecond
	// writeTimeout limits one write; if it expires, the session is closed.
	writeTimeout   = 2 * time.Second
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 150 * time.Millisecond
	// readTimeout is the time without a frame after which a session is closed.
	// Several heartbeats arrive within this time.
	readTimeout = 1800 * time.Millisecond
	// unackedTimeout is the time after which the kernel closes a connection on
	// which sent bytes remain unacknowledged.
	unackedTimeout  = 2 * time.Second
	readBufferBytes = 4 << 10
)

// Handler receives the events of sessions. Calls for one session are sequential;
// calls for different sessions are concurrent.
type Handler interface {
	// Opened is called before the first frame of a session.
	Opened(s *Session, now time.Time)
	// Received is called for each frame.
	Received(s *Session, payload []byte, now time.Time)
	// Closed is called once, after the last frame of a session.
	Closed(s *Session, now time.Time)
}

// Session is one connection to a peer.
type Session struct {
	conn    net.Conn
	address string
	queue   chan []byte
	// charger is called after each frame that was handled, nil if nothing is charged for them.
	charger   frameCharger
	closeOnce sync.Once
	done      chan struct{}
}

// Address returns the address that was dialled, empty if the peer dialled.
func (s *Session) Address() string { return s.address }

// Send queues a frame. It returns false if the queue is full or the session has
// ended; senders repeat messages that are still needed.
func (s *Session) Send(payload []byte) bool {
	select {
	case <-s.done:
		return false
	default:
	}
	select {
	case s.queue <- payload:
		return true
	default:
		return false
	}
}

// Close ends the session. It may be called more than once.
func (s *Session) Close() {
	s.closeOnce.Do(func() {
		close(s.done)
		_ = s.conn.Close()
	})
}

func newSession(conn net.Conn, address string) *Session {
	charger, _ := conn.(frameCharger)
	return &Session{conn: conn, address: address, queue: make(chan []byte, queueLength), charger: charger, done: make(chan struct{})}
}

// frameCharger is a connection that charges a budget for what arrives.
type frameCharger interface {
	// MessageDone releases what was charged for the frames that were handled.
	MessageDone()
}

// serve reads frames and passes them to the handler until the connection fails
// or the session is closed.
func (s *Session) serve(handler Handler) {
	setUserTimeout(s.conn)
	handler.Opened(s, time.Now())
	go (&frameWriter{session: s}).run()
	reader := bufio.NewReaderSize(s.conn, readBufferBytes)
	for {
		if err := s.conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			break
		}
		payload, err := frame.Read(reader)
		if err != nil {
			break
		}
		handler.Received(s, payload, time.Now())
		if s.charger != nil {
			s.charger.MessageDone()
		}
	}
	s.Close()
	handler.Closed(s, time.Now())
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection
// whose peer has disappeared without closing it. Errors are ignored, because
// readTimeout still closes the session.
func setUserTimeout(conn net.Conn) {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	})
}

// frameWriter writes the queued frames of a session to its connection.
type frameWriter struct{ session *Session }

func (w *frameWriter) run() {
	s := w.session
	for {
		select {
		case payload := <-s.queue:
			if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				s.Close()
				return
			}
			if err := frame.Write(s.conn, payload); err != nil {
				s.Close()
				return
			}
		case <-s.done:
			return
		}
	}
}

// Dialer maintains a session with the process at one address.
type Dialer struct {
	address string
	handler Handler
}

// NewDialer returns a dialer for an address. It does not dial before Run.
func NewDialer(address string, handler Handler) *Dialer {
	return &Dialer{address: address, handler: handler}
}

// Run dials until ctx ends. It dials again after each failure, with exponential
// backoff between minRedialDelay and maxRedialDelay. The backoff is reset after
// an attempt that lasted longer than twice dialTimeout, the time of the session
// included. A dial that times out is shorter and does not reset it.
func (d *Dialer) Run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		start := time.Now()
		d.connect(ctx)
		if time.Since(start) > 2*dialTimeout {
			delay = minRedialDelay
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

func (d *Dialer) connect(ctx context.Context) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", d.address)
	if err != nil {
		return
	}
	s := newSession(conn, d.address)
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	s.serve(d.handler)
}

// Listener accepts connections from peers and serves a session on each.
type Listener struct {
	socket  net.Listener
	handler Handler

	mu       sync.Mutex
	sessions map[*Session]struct{}
	// stopped is true once Run ends; connections accepted later are closed.
	stopped bool
}

// NewListener returns a listener on a socket. It accepts nothing before Run.
func NewListener(socket net.Listener, handler Handler) *Listener {
	return &Listener{socket: socket, handler: handler, sessions: make(map[*Session]struct{})}
}

// Run accepts sessions until ctx ends, then closes the socket and all sessions.
func (l *Listener) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	for ctx.Err() == nil {
		conn, err := l.socket.Accept()
		if err != nil {
			time.Sleep(minRedialDelay)
			continue
		}
		go (&inboundSession{listener: l, session: newSession(conn, "")}).run()
	}
}

func (l *Listener) close() {
	_ = l.socket.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	for s := range l.sessions {
		s.Close()
	}
}

// add adds a session to those that close ends. If that was called already, add
// closes the session and returns false.
func (l *Listener) add(s *Session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		s.Close()
		return false
	}
	l.sessions[s] = struct{}{}
	return true
}

// inboundSession is a session that a peer dialled.
type inboundSession struct {
	listener *Listener
	session  *Session
}

func (i *inboundSession) run() {
	l := i.listener
	if !l.add(i.session) {
		return
	}
	i.session.serve(l.handler)
	l.mu.Lock()
	delete(l.sessions, i.session)
	l.mu.Unlock()
}
