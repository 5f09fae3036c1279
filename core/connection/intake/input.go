package intake

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// errOverBudget means that the budget has no room for a head or a frame.
var errOverBudget = errors.New("there is no memory left for the request")

// lingerBytes is the most that is read from a caller after its request was rejected.
const lingerBytes = 256 << 10

// Responses to requests that no handler sees. Such a request has not run.
const (
	textHeadTooLarge = "431 Request Header Fields Too Large"
	textNoMemory     = "503 Service Unavailable"
	headerClose      = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n"
	headerRetry      = "Retry-After: 1\r\n"
	responseTooLarge = "HTTP/1.1 " + textHeadTooLarge + headerClose + "\r\n" + textHeadTooLarge
	responseNoMemory = "HTTP/1.1 " + textNoMemory + headerClose + headerRetry + "\r\n" + textNoMemory
)

// passOn copies bytes of input that may be passed on.
func (c *Conn) passOn(p []byte) int {
	n := copy(p, c.input[:c.ready])
	c.ready -= n
	c.input = c.input[n:]
	if len(c.input) == 0 {
		c.setInput(nil)
	}
	return n
}

// setInput replaces input by a buffer that is charged already, and releases the charge of
// the buffer before.
func (c *Conn) setInput(input []byte) {
	if c.inputCharge > 0 {
		c.limiter.charge(c, -c.inputCharge)
	}
	c.input = input
	c.inputCharge = int64(cap(input))
}

// keep moves the beginning of a head to input, which is empty. It reports whether there
// was memory for it.
func (c *Conn) keep(text []byte) bool {
	size := max(firstBufferBytes, len(text))
	if !c.limiter.charge(c, int64(size)) {
		return false
	}
	c.setInput(append(make([]byte, 0, size), text...))
	if !c.running {
		c.headStarted(time.Now())
	}
	return true
}

// readMore reads into the free part of input, which it enlarges if there is none.
func (c *Conn) readMore() (int, error) {
	if len(c.input) == cap(c.input) {
		size := 2 * len(c.input)
		if !c.limiter.charge(c, int64(size)) {
			return 0, c.reject(errOverBudget)
		}
		c.setInput(append(make([]byte, 0, size), c.input...))
	}
	n, err := c.Conn.Read(c.input[len(c.input):cap(c.input)])
	c.input = c.input[:len(c.input)+n]
	return n, err
}

// endsInHead reports whether err is the end of what the caller sends, within a head. What
// has arrived is then passed on, since net/http answers it.
func (c *Conn) endsInHead(err error) bool {
	decoded := headByteCopies*int64(len(c.input)) + lineBytes*int64(c.framing.lines)
	if err != io.EOF || c.fault != nil || !c.limiter.charge(c, decoded) {
		return false
	}
	c.fault = io.EOF
	c.ready = len(c.input)
	return true
}

// reject answers a request whose head is not passed on because of a fault, and ends the
// connection. It returns the error of this read and all further ones.
func (c *Conn) reject(fault error) error {
	c.fault = io.EOF
	c.setInput(nil)
	response := responseNoMemory
	if errors.Is(fault, errHeadTooLarge) {
		response = responseTooLarge
		c.limiter.countHeadOverLimit()
	}
	// Errors mean that the caller has left, or does not read the response.
	_ = c.Conn.SetDeadline(time.Now().Add(rejectLinger))
	if _, err := io.WriteString(c.Conn, response); err == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return c.fault
}

// headStarted records that the first bytes of a head have arrived and its end has not.
func (c *Conn) headStarted(now time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.unlock()
	if c.removed {
		return
	}
	c.silent = false
	c.began = now
	c.limiter.unfinished.push(c)
}

// headDone charges the request whose head has arrived, and reports whether there was room
// for it. unfinished means that the end of its body has not arrived.
func (c *Conn) headDone(cost int64, unfinished bool) bool {
	l := c.limiter
	l.mu.Lock()
	defer l.unlock()
	if c.removed {
		return false
	}
	if !l.reserveForRequest(c, cost) {
		return false
	}
	c.running = true
	c.awaitsBody = unfinished
	switch {
	case !unfinished:
		c.unlink()
	case c.silent || c.list != &l.unfinished:
		c.began = time.Now()
		l.unfinished.push(c)
	}
	c.silent = false
	return true
}

// bodyDone records that the end of a body has arrived.
func (c *Conn) bodyDone() {
	c.limiter.mu.Lock()
	defer c.limiter.unlock()
	c.awaitsBody = false
	c.unlink()
}

// requestDone releases the request that has been answered. It is called while no goroutine
// reads. The connection is closed if net/http has found the end of the body and this
// package has not: it would not see the next head.
func (c *Conn) requestDone(now time.Time) {
	c.running = false
	if c.framing.phase != inHead {
		_ = c.Conn.Close()
		return
	}
	l := c.limiter
	l.mu.Lock()
	defer l.unlock()
	if c.removed {
		return
	}
	l.releaseRequest(c)
	if c.framing.early || len(c.input) > 0 {
		c.began = now
		l.unfinished.push(c)
		return
	}
	l.idle.push(c)
}

// CloseOverdue closes the connections whose head or body has taken too long.
func (l *Limiter) CloseOverdue(now time.Time) {
	headTimeout := l.limits.Load().timeout()
	l.mu.Lock()
	defer l.unlock()
	for c := l.unfinished.head; c != nil; {
		next := c.next
		allowed := headTimeout
		switch {
		case c.silent:
			allowed = silentTimeout
		case c.awaitsBody:
			allowed = bodyTimeout + time.Duration(c.received.Load()/minBodyRate)*time.Second
		}
		if now.Sub(c.began) > allowed {
			l.counts.tooSlow++
			l.remove(c)
			l.evicted = append(l.evicted, c)
		}
		c = next
	}
}

// countHeadOverLimit counts a head with too many bytes or lines.
func (l *Limiter) countHeadOverLimit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.headOverLimit++
}
