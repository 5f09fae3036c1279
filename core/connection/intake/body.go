package intake

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Errors of ReadBody.
var (
	// ErrTooLarge means that a body is over its limit.
	ErrTooLarge = errors.New("the request body is larger than the limit")
	// ErrNoMemory means that the budget has no room for a body.
	ErrNoMemory = errors.New("there is no memory left for the request body")
)

const (
	// firstBodyBytes is the size of the first buffer of a larger body.
	firstBodyBytes = 16 << 10
	// bodyGrowth is the factor by which the buffer of a body grows.
	bodyGrowth = 4
)

// Charge is what is charged for one request: its head and its body. A nil Charge is that
// of a request without a limiter.
type Charge struct {
	limiter *Limiter
	conn    *Conn
	use     *addressUse
	// bytes is everything that is charged, responses what is charged for responses.
	bytes     int64
	responses int64
}

// takeRequest moves what is charged for the head of the running request from its
// connection to a Charge.
func (c *Conn) takeRequest() *Charge {
	if c == nil {
		return nil
	}
	l := c.limiter
	l.mu.Lock()
	defer l.unlock()
	charge := &Charge{limiter: l, conn: c, use: c.use}
	if !c.removed {
		charge.bytes = c.request
		c.bytes -= c.request
		c.request = 0
	}
	return charge
}

// Grow charges more bytes and reports whether there was room for them.
func (c *Charge) Grow(n int64) bool {
	if c == nil {
		return true
	}
	c.limiter.mu.Lock()
	defer c.limiter.unlock()
	if c.conn.removed {
		return false
	}
	if !c.limiter.reserve(c.use, n, c.conn) {
		return false
	}
	c.bytes += n
	return true
}

// GrowForResponse charges bytes of a response to the request and reports whether there was
// room for them. Responses leave room for new requests, and close no connections of callers.
func (c *Charge) GrowForResponse(n int64) bool {
	if c == nil {
		return true
	}
	l := c.limiter
	l.mu.Lock()
	defer l.unlock()
	if c.conn.removed {
		return false
	}
	if l.responses+n > int64(responseShare*float64(l.maxBytes)) || l.bytes+n > l.maxBytes {
		l.counts.refusedMemory++
		return false
	}
	l.add(c.use, n)
	l.responses += n
	c.bytes += n
	c.responses += n
	return true
}

// ShrinkForResponse releases bytes that GrowForResponse has charged.
func (c *Charge) ShrinkForResponse(n int64) {
	if c == nil {
		return
	}
	c.limiter.mu.Lock()
	c.limiter.responses -= n
	c.responses -= n
	c.limiter.mu.Unlock()
	c.shrink(n)
}

// shrink releases bytes.
func (c *Charge) shrink(n int64) {
	if c == nil {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.unlock()
	c.limiter.add(c.use, -n)
	c.limiter.drop(c.use)
	c.bytes -= n
}

// Release releases everything. It must be called once, when nothing of the request is
// kept any more.
func (c *Charge) Release() {
	if c != nil {
		c.ShrinkForResponse(c.responses)
		c.shrink(c.bytes)
	}
}

// ReadBody reads the whole body of a request. The charge is for the head and the body; it
// is nil after an error. The error is ErrTooLarge for a body of more than limit bytes,
// and ErrNoMemory if there is no room for it.
func ReadBody(r *http.Request, limit int64) ([]byte, *Charge, error) {
	if r.ContentLength > limit {
		return nil, nil, ErrTooLarge
	}
	charge := connOf(r).takeRequest()
	body, err := readAll(r.Body, r.ContentLength, limit, charge)
	if err != nil {
		charge.Release()
		return nil, nil, err
	}
	return body, charge, nil
}

// readAll reads a body of a declared length, or of an unknown one if it is negative, into
// a buffer that is charged before it grows.
func readAll(r io.Reader, length, limit int64, charge *Charge) ([]byte, error) {
	if length == 0 || r == nil {
		return nil, nil
	}
	most := limit + 1
	if length > 0 {
		most = length
	}
	size := min(most, firstBodyBytes)
	if !charge.Grow(size) {
		return nil, ErrNoMemory
	}
	body := make([]byte, 0, size)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF || err == nil && int64(len(body)) == length {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		if int64(len(body)) >= most {
			return nil, ErrTooLarge
		}
		larger := min(most, bodyGrowth*int64(cap(body)))
		if !charge.Grow(larger) {
			return nil, ErrNoMemory
		}
		old := int64(cap(body))
		body = append(make([]byte, 0, larger), body...)
		charge.shrink(old)
	}
}
