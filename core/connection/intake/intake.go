// Package intake limits what the callers of a listener may make this process keep:
// connections, and the memory of what they send. A Limiter wraps the listener under
// net/http, or under a protocol of frames. It charges a budget as bytes arrive and
// before they are kept, closes connections whose head or body makes no progress, and
// makes room for new requests by closing the oldest unfinished ones first.
//
// A head is passed on to net/http only when it is complete, so that an unfinished one
// costs its bytes and not the decoded fields. Most heads arrive in one read and are
// passed on without a copy.
package intake

import (
	"context"
	"net"
	"net/http"
	"time"
)

// What the budget is charged, in bytes. The figures are upper bounds of what the heap
// holds, checked by TestChargesCoverWhatIsKept.
const (
	// httpConnBytes is for a connection of HTTP: two buffers of 4 KB, the stacks of up to
	// two goroutines and the state of net/http.
	httpConnBytes = 24 << 10
	// frameConnBytes is for a connection of frames, whose queue of outgoing frames alone
	// takes 24 KB.
	frameConnBytes = 64 << 10
	// requestBytes is for a request whose head is complete, without its fields.
	requestBytes = 16 << 10
	// lineBytes is for a header line beside its bytes: entries in the maps of two headers,
	// two strings, and an entry of the sorted list when the header is encoded again.
	lineBytes = 320
	// headByteCopies is how often the bytes of a head are kept: as strings, in the encoded
	// header for targets, and in the growth of its buffer.
	headByteCopies = 3
	// frameByteCopies is how often the bytes of a frame are kept while it is decoded.
	frameByteCopies = 2
)

const (
	// DefaultHeadBytes is the limit on a head if the configuration declares none or a
	// higher one. It is the limit that net/http has by default.
	DefaultHeadBytes = 1 << 20
	// requestLineBytes is added to the declared limit, which is that of the header lines.
	requestLineBytes = 4 << 10
	// minHeadLines is the smallest limit on the lines of a head. The shortest line that is
	// a header field takes three bytes, so a larger declared limit allows more lines.
	minHeadLines = 8192
	// shortestLineBytes is the length of the shortest header line with its line break.
	shortestLineBytes = 3
	// DefaultHeadTimeout limits the time from the first byte of a head to its end if the
	// configuration declares no limit.
	DefaultHeadTimeout = 10 * time.Second
	// silentTimeout limits the time until the first byte on a new connection. Load
	// balancers open connections ahead of requests.
	silentTimeout = 30 * time.Second
	// bodyTimeout and minBodyRate limit the time of a body: bodyTimeout, and a second more
	// for every minBodyRate bytes that have arrived.
	bodyTimeout = 30 * time.Second
	minBodyRate = 1 << 10
	// writeTimeout and minWriteRate limit the time in which a caller takes what one write
	// sends it: writeTimeout, and a second more for every minWriteRate bytes.
	writeTimeout = 10 * time.Second
	minWriteRate = 64 << 10
	// rejectLinger is how long a connection stays open after a rejection, so that the
	// caller can read it while it is still sending.
	rejectLinger = 500 * time.Millisecond
	// headReadTimeout is the limit of net/http on a head. It takes effect only if the
	// checks of a Limiter do not run.
	headReadTimeout = 3 * time.Minute
)

// Limits are the limits on heads that the configuration in force declares. A value of 0
// stands for the default.
type Limits struct {
	headBytes   int
	headTimeout time.Duration
}

// NewLimits returns limits on the bytes of a head and on the time from its first byte to
// its end.
func NewLimits(headBytes int, headTimeout time.Duration) Limits {
	return Limits{headBytes: headBytes, headTimeout: headTimeout}
}

// maxHeadBytes returns the limit on the request line and the header lines together.
func (l Limits) maxHeadBytes() int {
	if l.headBytes <= 0 || l.headBytes > DefaultHeadBytes {
		return DefaultHeadBytes + requestLineBytes
	}
	return l.headBytes + requestLineBytes
}

// maxHeadLines returns the limit on the lines of a head. No head within a declared limit
// on bytes reaches it.
func (l Limits) maxHeadLines() int {
	if l.headBytes <= 0 || l.headBytes > DefaultHeadBytes {
		return minHeadLines
	}
	return max(minHeadLines, l.headBytes/shortestLineBytes)
}

// timeout returns the limit on the time of a head.
func (l Limits) timeout() time.Duration {
	if l.headTimeout <= 0 {
		return DefaultHeadTimeout
	}
	return l.headTimeout
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Protect sets up a server for a listener that the limiter has wrapped. It must be called
// before the server serves.
func (l *Limiter) Protect(server *http.Server) {
	server.Handler = checkedHandler{next: server.Handler}
	server.MaxHeaderBytes = DefaultHeadBytes + requestLineBytes
	server.ReadHeaderTimeout = headReadTimeout
	connContext := server.ConnContext
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.requestDone(time.Now())
		}
	}
}

// connOf returns the connection of a request, nil if its listener has no limiter.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// checkedHandler passes on the requests whose bodies have the length that the connection has
// read from their heads.
type checkedHandler struct{ next http.Handler }

// ServeHTTP closes the connection if net/http has read the length of the body from the
// head in another way than the connection, which then would not see the next head.
func (h checkedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r); c != nil && !c.framing.agrees(r.ContentLength) {
		panic(http.ErrAbortHandler)
	}
	h.next.ServeHTTP(w, r)
}
