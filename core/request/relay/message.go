// Package relay decides how one request is answered from the targets of its
// route: one target whose response is passed on unchanged, or one target of
// every shard whose records are merged. It sends nothing and reads no clock;
// core/process/dispatch drives it.
package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// Request is what a caller asks.
type Request struct {
	id       string
	method   string
	host     string
	uri      string
	path     string
	header   http.Header
	body     []byte
	arrived  time.Time
	deadline time.Time
}

// NewRequest returns a request that arrived at a time. The path selects the
// route; the URI is passed on unchanged.
func NewRequest(id, method, host, uri, path string, header http.Header, body []byte, arrived time.Time) *Request {
	return &Request{id: id, method: method, host: host, uri: uri, path: path, header: header, body: body, arrived: arrived}
}

// WithTimeout returns the request with the time that its caller waits.
func (r *Request) WithTimeout(d time.Duration) *Request {
	r.deadline = r.arrived.Add(d)
	return r
}

// ID returns the caller's id of this attempt.
func (r *Request) ID() string { return r.id }

// Method returns the method.
func (r *Request) Method() string { return r.method }

// Host returns the host that the caller named.
func (r *Request) Host() string { return r.host }

// URI returns the path and query as the caller wrote them.
func (r *Request) URI() string { return r.uri }

// Header returns the header that is passed on.
func (r *Request) Header() http.Header { return r.header }

// Body returns the whole body.
func (r *Request) Body() []byte { return r.body }

// Attempt is one send of a request to a target.
type Attempt struct {
	request            *Request
	instance           discovery.Instance
	deadline           time.Time
	atMostOnce         bool
	needsWholeResponse bool
	idle               time.Duration
}

// NewAttempt returns a send of a request to a target that must answer by the
// deadline, perhaps at most once.
func NewAttempt(r *Request, i discovery.Instance, deadline time.Time, atMostOnce bool) Attempt {
	return Attempt{request: r, instance: i, deadline: deadline, atMostOnce: atMostOnce}
}

// WithWholeResponse returns the send as one whose response is of use only when it is whole.
func (a Attempt) WithWholeResponse() Attempt {
	a.needsWholeResponse = true
	return a
}

// WithIdle returns the send with the longest time for which its connection is
// worth keeping idle, 0 for as long as the target does.
func (a Attempt) WithIdle(d time.Duration) Attempt {
	a.idle = d
	return a
}

// Idle returns how long the connection is worth keeping idle, 0 for as long as
// the target does.
func (a Attempt) Idle() time.Duration { return a.idle }

// NeedsWholeResponse reports whether the response is of use only when it is whole.
func (a Attempt) NeedsWholeResponse() bool { return a.needsWholeResponse }

// Request returns what is sent.
func (a Attempt) Request() *Request { return a.request }

// Instance returns the target that must answer; no other may.
func (a Attempt) Instance() discovery.Instance { return a.instance }

// Deadline returns when the response is of no more use.
func (a Attempt) Deadline() time.Time { return a.deadline }

// AtMostOnce reports whether the request must not be sent twice.
func (a Attempt) AtMostOnce() bool { return a.atMostOnce }

// Response is what a target answered: whole, or with a rest that is still on
// its way.
type Response struct {
	status    int
	header    http.Header
	body      []byte
	signature string
	rest      io.ReadCloser
	length    int64
}

// NewResponse returns a whole response with the target's signature.
func NewResponse(status int, header http.Header, body []byte, signature string) *Response {
	return &Response{status: status, header: header, body: body, signature: signature}
}

// Status returns the status.
func (r *Response) Status() int { return r.status }

// Header returns the header without what concerns one connection only.
func (r *Response) Header() http.Header { return r.header }

// Body returns the body, or its beginning where a rest follows.
func (r *Response) Body() []byte { return r.body }

// WithRest returns the response with the rest of its body, which must be
// closed, and the length of the whole body, -1 where it is not known.
func (r *Response) WithRest(rest io.ReadCloser, length int64) *Response {
	out := *r
	out.rest = rest
	out.length = length
	return &out
}

// Rest returns what follows the beginning of the body, nil where it is whole.
func (r *Response) Rest() io.ReadCloser { return r.rest }

// Length returns the length of a body with a rest, -1 where it is not known.
func (r *Response) Length() int64 { return r.length }

// Close ends a response that nobody reads to its end.
func (r *Response) Close() {
	if r.rest != nil {
		// What it ends with is of no interest to those who did not read it.
		_ = r.rest.Close()
	}
}

// Signature returns the signature of the target, empty for none.
func (r *Response) Signature() string { return r.signature }

// Load is what a target tells of the requests that it has.
type Load struct {
	running int
	waiting int
	known   bool
}

// NewLoad returns a told load.
func NewLoad(running, waiting int) Load {
	return Load{running: running, waiting: waiting, known: true}
}

// Known reports whether the target told its load.
func (l Load) Known() bool { return l.known }

// Running returns the requests that run.
func (l Load) Running() int { return l.running }

// Waiting returns the requests that wait.
func (l Load) Waiting() int { return l.waiting }

// Outcome is what became of an attempt: Answered, Declined, Unsent or Lost.
type Outcome interface{ outcome() }

// Answered carries a response that is whole, or whose rest is on its way.
type Answered struct {
	response *Response
	load     Load
}

// Declined says that the target did not run the request and will not.
type Declined struct {
	load    Load
	leaving bool
	reason  string
}

// Unsent says that no byte of the request left.
type Unsent struct {
	err       error
	overLimit bool
}

// Lost says that the request left and that no usable response came back: it
// may have run.
type Lost struct {
	err       error
	overLimit bool
}

// WithOverLimit returns the outcome as one of a new connection that the target
// reset or not, as it does when it has as many as it takes.
func (o Unsent) WithOverLimit(reset bool) Unsent {
	o.overLimit = reset
	return o
}

// WithOverLimit returns the outcome as one of a new connection that the target
// reset or not, as it does when it has as many as it takes.
func (o Lost) WithOverLimit(reset bool) Lost {
	o.overLimit = reset
	return o
}

// Cause returns why, in the words of the system or library that failed.
func (o Unsent) Cause() string { return cause(o.err) }

// Cause returns why, in the words of the system or library that failed.
func (o Lost) Cause() string { return cause(o.err) }

func cause(err error) string {
	if err == nil {
		return "not known"
	}
	return errors.UnwrapAll(err).Error()
}

// IsOverLimit reports whether the target reset a new connection.
func (o Unsent) IsOverLimit() bool { return o.overLimit }

// IsOverLimit reports whether the target reset a new connection.
func (o Lost) IsOverLimit() bool { return o.overLimit }

// Response returns the response.
func (o Answered) Response() *Response { return o.response }

// Load returns what the target told of its load.
func (o Answered) Load() Load { return o.load }

// Load returns what the target told of its load.
func (o Declined) Load() Load { return o.load }

// Leaving reports whether the target refuses every request.
func (o Declined) Leaving() bool { return o.leaving }

func (Answered) outcome() {}
func (Declined) outcome() {}
func (Unsent) outcome()   {}
func (Lost) outcome()     {}

// NewAnswered returns a response, with the target's load.
func NewAnswered(r *Response, load Load) Answered {
	return Answered{response: r, load: load}
}

// NewDeclined returns a refusal by the target.
func NewDeclined(load Load, leaving bool, reason string) Declined {
	return Declined{load: load, leaving: leaving, reason: reason}
}

// NewUnsent returns the outcome of a request of which no byte left.
func NewUnsent(err error) Unsent { return Unsent{err: err} }

// NewLost returns the outcome of a request that left without an answer.
func NewLost(err error) Lost { return Lost{err: err} }

// Answer is what the caller gets: Relayed, Merged or Refused.
type Answer interface{ answer() }

// Relayed passes the response of one target on.
type Relayed struct{ response *Response }

// Response returns the response of the target.
func (a Relayed) Response() *Response { return a.response }

// Merged holds the greatest records of the parts that are in.
type Merged struct {
	records    []byte
	signatures []string
	missing    int
}

// Records returns the greatest records, greatest first.
func (a Merged) Records() []byte { return a.records }

// Signatures returns the signatures of the parts that are in.
func (a Merged) Signatures() []string { return a.signatures }

// Missing returns the number of shards that are not in.
func (a Merged) Missing() int { return a.missing }

func (Relayed) answer() {}
func (Merged) answer()  {}
func (Refused) answer() {}

// Path returns the path that selects the route.
func (r *Request) Path() string { return r.path }

// Arrived returns when the request arrived.
func (r *Request) Arrived() time.Time { return r.arrived }

// Elapsed returns the time since the request arrived.
func (r *Request) Elapsed(now time.Time) time.Duration { return now.Sub(r.arrived) }

// Timeout returns the time that the caller waits, 0 where it named none.
func (r *Request) Timeout() time.Duration {
	if r.deadline.IsZero() {
		return 0
	}
	return r.deadline.Sub(r.arrived)
}
