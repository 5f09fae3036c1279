package intake

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// firstBufferBytes is the first size of the buffer of a head that does not arrive in one
// read.
const firstBufferBytes = 1 << 10

// Conn is a connection of HTTP with limits on what its caller sends.
type Conn struct {
	net.Conn
	limiter *Limiter

	// The fields up to fault belong to the goroutine that reads.
	framing framing
	// input holds bytes that were read and not passed on, nil if there are none. ready is
	// the number of them that may be passed on.
	input []byte
	ready int
	// inputCharge is what input is charged.
	inputCharge int64
	// running is set from the end of a head until the request has been answered.
	running bool
	// fault is the error of all further reads, nil if there was none.
	fault error

	// received is the number of bytes of the current body that have arrived.
	received atomic.Int64

	// The fields below are guarded by the lock of the limiter.
	use *addressUse
	// bytes are charged for the connection, and request of them for the request whose
	// head has arrived last.
	bytes, request int64
	// began is when the connection was accepted, or when the first byte of the unfinished
	// head or of the head before the unfinished body arrived.
	began time.Time
	// silent is set until the first byte has arrived, and awaitsBody while a body is
	// unfinished.
	silent, awaitsBody bool
	removed            bool
	list               *connList
	prev, next         *Conn
}

// Read reads what may be passed on: a complete head with what has arrived of its body, or
// more of the body. It blocks until a head is complete.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ready == 0 && c.fault != nil || len(p) == 0 {
		return 0, c.fault
	}
	if c.running && c.framing.phase == inHead && c.ready == 0 {
		return c.readEarly(p[:1])
	}
	for {
		if c.ready > 0 {
			return c.passOn(p), nil
		}
		if len(c.input) > 0 {
			n, err := c.advance(c.input)
			if err != nil {
				return 0, c.reject(err)
			}
			if c.ready = n; n > 0 {
				continue
			}
			if n, err := c.readMore(); n == 0 && !c.endsInHead(err) {
				return 0, err
			}
			continue
		}
		n, err := c.readDirect(p)
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// readDirect reads into the buffer of the caller. What must not be passed on yet is moved
// to input, and the result is 0 without an error if that is everything.
func (c *Conn) readDirect(p []byte) (int, error) {
	if c.framing.phase == inBody && int64(len(p)) > c.framing.remaining {
		p = p[:c.framing.remaining]
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	passed, fault := c.advance(p[:n])
	if fault != nil {
		return 0, c.reject(fault)
	}
	if passed < n && !c.keep(p[passed:n]) {
		return 0, c.reject(errOverBudget)
	}
	return passed, nil
}

// readEarly reads one byte while a request is running. net/http does so to learn that the
// caller has left; the byte is the first one of the next head.
func (c *Conn) readEarly(p []byte) (int, error) {
	if len(c.input) > 0 {
		c.ready = 1
		c.passOn(p)
	} else if n, err := c.Conn.Read(p); n == 0 {
		return 0, err
	}
	c.framing.early = p[0] != '\r' && p[0] != '\n'
	return 1, nil
}

// advance returns how many bytes of text, which was read last and not passed on, may be
// passed on.
func (c *Conn) advance(text []byte) (int, error) {
	if c.framing.phase != inHead {
		return c.advanceBody(text), nil
	}
	n, err := c.framing.scanHead(text, *c.limiter.limits.Load())
	if err != nil || n == 0 {
		return 0, err
	}
	if c.framing.lines == 0 {
		c.framing.startHead()
		return n, nil
	}
	cost := requestBytes + headByteCopies*int64(n) + lineBytes*int64(c.framing.lines)
	m := 0
	if c.framing.startBody() {
		m = c.scanBody(text[n:])
		c.received.Store(int64(m))
	}
	if !c.headDone(cost, c.framing.phase != inHead) {
		return 0, errOverBudget
	}
	return n + m, nil
}

// advanceBody returns how many bytes of text belong to the body.
func (c *Conn) advanceBody(text []byte) int {
	n := c.scanBody(text)
	c.received.Add(int64(n))
	if c.framing.phase == inHead {
		c.bodyDone()
	}
	return n
}

// scanBody returns how many bytes of text belong to the body. A body with a fault is passed
// on up to it, so that net/http finds the fault, too.
func (c *Conn) scanBody(text []byte) int {
	n, err := c.framing.scanBody(text)
	if err != nil {
		c.fault = io.ErrUnexpectedEOF
	}
	return n
}

// Write sends bytes to the caller. It fails if the caller does not take them in time.
func (c *Conn) Write(p []byte) (int, error) {
	allowed := writeTimeout + time.Duration(len(p)/minWriteRate)*time.Second
	// The write reports the error of a connection that is closed.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(allowed))
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side. net/http uses it to let a caller read the response
// to a request that it is still sending.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and releases what is charged for it.
func (c *Conn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.remove(c)
	c.limiter.unlock()
	return c.Conn.Close()
}

// SyscallConn gives access to the socket, for its options and what the kernel has measured.
// The socket must not be read or written through it.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return raw.SyscallConn()
}

// The round-trip time of a caller is read from its socket.
var _ syscall.Conn = (*Conn)(nil)
