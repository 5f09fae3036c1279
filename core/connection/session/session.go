// Package session links two processes of the system by one TCP connection that
// carries frames both ways. The side that dials keeps the link up; a link on
// which nothing is heard is closed and dialled anew.
package session

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
)

const (
	// queueLength bounds the frames that wait for a link.
	queueLength = 1024
	// dialTimeout is short: a VM without power drops the request for
	// a connection, and it is repeated by the kernel only after a second.
	dialTimeout = 150 * time.Millisecond
	// writeTimeout bounds one write; a link that can't take it is closed.
	writeTimeout   = 2 * time.Second
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 150 * time.Millisecond
	// silence is the time without a frame after which a link is closed. Beats
	// come several times as often.
	readTimeout = 1800 * time.Millisecond
	// unackedTimeout is how long the kernel waits for sent bytes to be
	// acknowledged before it gives a connection up.
	unackedTimeout  = 2 * time.Second
	readBufferBytes = 4 << 10
)

// Handler takes in what happens on sessions. Calls for one session come one
// after another; calls for different sessions come at the same time.
type Handler interface {
	// Opened is called before the first frame of a session.
	Opened(s *Session, now time.Time)
	Received(s *Session, payload []byte, now time.Time)
	Closed(s *Session, now time.Time)
}

// Session is one connection to a peer.
type Session struct {
	conn      net.Conn
	address   string
	queue     chan []byte
	closeOnce sync.Once
	done      chan struct{}
}

// Address returns the address that was dialled, empty where the peer dialled.
func (s *Session) Address() string { return s.address }

// Send queues a frame. It reports false where the queue is full or the session
// has ended; whoever needs the message sends it again.
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

// Close ends the session.
func (s *Session) Close() {
	s.closeOnce.Do(func() {
		close(s.done)
		_ = s.conn.Close()
	})
}

func newSession(conn net.Conn, address string) *Session {
	return &Session{conn: conn, address: address, queue: make(chan []byte, queueLength), done: make(chan struct{})}
}

// serve runs a session until it breaks.
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
	}
	s.Close()
	handler.Closed(s, time.Now())
}

// limitUnacked lets the kernel give up a connection whose peer has gone
// without a word. Where the option is refused the silence bound still holds.
func setUserTimeout(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
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

// sender writes the queued frames of a session.
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

// Dialer keeps a link to one address up.
type Dialer struct {
	address string
	handler Handler
}

// NewDialer returns a dialer of an address; nothing is dialled before Run.
func NewDialer(address string, handler Handler) *Dialer {
	return &Dialer{address: address, handler: handler}
}

// Run dials, and dials again after each break, until ctx ends.
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

// Listener accepts sessions.
type Listener struct {
	socket  net.Listener
	handler Handler

	mu       sync.Mutex
	sessions map[*Session]struct{}
}

// NewListener returns a listener on a socket; nothing is accepted before Run.
func NewListener(socket net.Listener, handler Handler) *Listener {
	return &Listener{socket: socket, handler: handler, sessions: make(map[*Session]struct{})}
}

// Run accepts sessions until ctx ends.
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
	for s := range l.sessions {
		s.Close()
	}
}

// accepted is a session that a peer dialled.
type inboundSession struct {
	listener *Listener
	session  *Session
}

func (a *inboundSession) run() {
	l := a.listener
	l.mu.Lock()
	l.sessions[a.session] = struct{}{}
	l.mu.Unlock()
	a.session.serve(l.handler)
	l.mu.Lock()
	delete(l.sessions, a.session)
	l.mu.Unlock()
}
