// Package relay decides how a request is answered by the targets of its route:
// with the unchanged response of one target, or with the merged records of one
// target of each shard. It is a state machine without I/O or clock, driven by
// core/process/dispatch.
package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// Attempt is one send of a request to a target.
type Attempt struct {
	request            *Request
	instance           discovery.Instance
	deadline           time.Time
	atMostOnce         bool
	needsWholeResponse bool
	idleTimeout        time.Duration
	identity           Identity
	onConnect          func(took time.Duration, now time.Time)
}

// NewAttempt returns the send of a request to a target that must answer by the
// deadline. With atMostOnce the request must not be sent a second time.
func NewAttempt(r *Request, i discovery.Instance, deadline time.Time, atMostOnce bool) Attempt {
	return Attempt{request: r, instance: i, deadline: deadline, atMostOnce: atMostOnce}
}

// WithWholeResponse returns a copy of the attempt for which a response that was
// not read completely is useless.
func (a Attempt) WithWholeResponse() Attempt {
	a.needsWholeResponse = true
	return a
}

// WithIdleTimeout returns a copy of the attempt with the maximum time for which
// its connection is kept idle. If it is 0, an idle connection is kept until the
// target closes it.
func (a Attempt) WithIdleTimeout(d time.Duration) Attempt {
	a.idleTimeout = d
	return a
}

// WithIdentity returns a copy of the attempt that tells the target the team of the request.
func (a Attempt) WithIdentity(i Identity) Attempt {
	a.identity = i
	return a
}

// Identity returns what the target learns about the team of the request.
func (a Attempt) Identity() Identity { return a.identity }

// IdleTimeout returns the maximum time for which the connection is kept idle, or
// 0 if it is kept until the target closes it.
func (a Attempt) IdleTimeout() time.Duration { return a.idleTimeout }

// WithOnConnect returns a copy of the attempt with a function that is called just before the
// request is written to a new connection, with the duration of its TCP handshake.
func (a Attempt) WithOnConnect(onConnect func(took time.Duration, now time.Time)) Attempt {
	a.onConnect = onConnect
	return a
}

// Connected records that the request is the first one on a connection whose TCP handshake
// took a time.
func (a Attempt) Connected(took time.Duration, now time.Time) {
	if a.onConnect != nil {
		a.onConnect(took, now)
	}
}

// NeedsWholeResponse reports whether a response that was not read completely is
// useless.
func (a Attempt) NeedsWholeResponse() bool { return a.needsWholeResponse }

// Request returns the request to send.
func (a Attempt) Request() *Request { return a.request }

// Instance returns the target. A response from any other instance is not valid.
func (a Attempt) Instance() discovery.Instance { return a.instance }

// Deadline returns the time after which a response is useless.
func (a Attempt) Deadline() time.Time { return a.deadline }

// AtMostOnce reports whether the request must not be sent a second time.
func (a Attempt) AtMostOnce() bool { return a.atMostOnce }

// Response is the response of a target. Its body is either complete, or
// consists of the bytes received so far and a reader for the rest.
type Response struct {
	status    int
	header    http.Header
	body      []byte
	signature string
	rest      io.ReadCloser
	length    int64
}

// NewResponse returns a response with a complete body and the target's
// signature.
func NewResponse(status int, header http.Header, body []byte, signature string) *Response {
	return &Response{status: status, header: header, body: body, signature: signature}
}

// Status returns the HTTP status code.
func (r *Response) Status() int { return r.status }

// Header returns the header without hop-by-hop fields.
func (r *Response) Header() http.Header { return r.header }

// Body returns the body, or its beginning if Rest is not nil.
func (r *Response) Body() []byte { return r.body }

// WithRest returns a copy of the response whose body continues with rest, which
// must be closed. The length is that of the complete body, or -1 if it is not
// known.
func (r *Response) WithRest(rest io.ReadCloser, length int64) *Response {
	out := *r
	out.rest = rest
	out.length = length
	return &out
}

// Rest returns the remainder of the body after Body, or nil if Body is
// complete.
func (r *Response) Rest() io.ReadCloser { return r.rest }

// Length returns the length of the complete body of a response with a rest, or
// -1 if it is not known.
func (r *Response) Length() int64 { return r.length }

// Close releases the rest of a response that is not read to its end.
func (r *Response) Close() {
	if r.rest != nil {
		// The rest is discarded, so an error of Close does not matter.
		_ = r.rest.Close()
	}
}

// Signature returns the signature that the target gave with the response, or ""
// if there is none.
func (r *Response) Signature() string { return r.signature }

// Load is the number of running and waiting requests that a target reports, and how slow
// its machine is.
type Load struct {
	running int
	waiting int
	known   bool
	// slowness is 0 if it is not known.
	slowness float64
}

// NewLoad returns the load that a target reported.
func NewLoad(running, waiting int) Load {
	return Load{running: running, waiting: waiting, known: true}
}

// Known reports whether the target reported its load.
func (l Load) Known() bool { return l.known }

// Running returns the number of requests that the target is running.
func (l Load) Running() int { return l.running }

// Waiting returns the number of requests that are queued at the target.
func (l Load) Waiting() int { return l.waiting }

// Notice is what a target says in a response about the requests that come after. The zero
// value says nothing.
type Notice struct {
	leaving    bool
	retryAfter time.Duration
}

// NewNotice returns what a target says: whether it is about to end, and the time for
// which it wants no further request from this VM, 0 if it names none.
func NewNotice(leaving bool, retryAfter time.Duration) Notice {
	return Notice{leaving: leaving, retryAfter: retryAfter}
}

// Leaving reports whether the target is about to end.
func (n Notice) Leaving() bool { return n.leaving }

// RetryAfter returns the time for which the target wants no further request from this VM,
// or 0 if it names none.
func (n Notice) RetryAfter() time.Duration { return n.retryAfter }

// Answer is the answer to the caller: Relayed, Merged or Refused.
type Answer interface{ answer() }

// Relayed passes the response of one target on unchanged.
type Relayed struct{ response *Response }

// Response returns the response of the target.
func (a Relayed) Response() *Response { return a.response }

// Merged holds the greatest records of the shards that answered.
type Merged struct {
	records    []byte
	signatures []string
	missing    int
}

// Records returns the records, greatest first.
func (a Merged) Records() []byte { return a.records }

// Signatures returns the signatures of the targets whose responses were merged.
func (a Merged) Signatures() []string { return a.signatures }

// Missing returns the number of shards without a usable response.
func (a Merged) Missing() int { return a.missing }

func (Relayed) answer() {}
func (Merged) answer()  {}
func (Refused) answer() {}
