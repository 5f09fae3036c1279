package relay

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// Request is an HTTP request from a caller, with its complete body.
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
	// networkTime is described at NetworkTime.
	networkTime time.Duration
	team        routing.Team
	hasTeam     bool
	key         Credential

	// wireHeader is the result of WireHeader, keylessHeader that of KeylessHeader.
	wireHeaderOnce    sync.Once
	wireHeader        []byte
	keylessHeaderOnce sync.Once
	keylessHeader     []byte

	// holders is the number of attempts that keep the request, -1 once its maker has
	// released it too. release, which may be nil, is called then.
	holders atomic.Int64
	release func()
	// memory is nil without a limit.
	memory Memory
}

// Memory is what the memory for the responses to a request is taken from. What was taken and
// not given back is released together with the request.
type Memory interface {
	// GrowForResponse takes bytes and reports whether there was room for them.
	GrowForResponse(n int64) bool
	// ShrinkForResponse gives back bytes that were taken.
	ShrinkForResponse(n int64)
}

// NewRequest returns a request that arrived at the given time. The path selects
// the route; the URI is passed on unchanged.
func NewRequest(id, method, host, uri, path string, header http.Header, body []byte, arrived time.Time) *Request {
	return &Request{id: id, method: method, host: host, uri: uri, path: path, header: header, body: body, arrived: arrived}
}

// WithTimeout sets the time that the caller waits, counted from the arrival. It
// changes r and returns it.
func (r *Request) WithTimeout(d time.Duration) *Request {
	r.deadline = r.arrived.Add(d)
	return r
}

// WithNetworkTime sets the time that NetworkTime returns. It changes r and returns it.
func (r *Request) WithNetworkTime(d time.Duration) *Request {
	r.networkTime = d
	return r
}

// NetworkTime returns the part of the response time measured by the caller that passes
// outside of this VM, or 0 if it is not known.
func (r *Request) NetworkTime() time.Duration { return r.networkTime }

// WithCredential sets the key with which the caller identifies itself. It changes r and
// returns it.
func (r *Request) WithCredential(c Credential) *Request {
	r.key = c
	return r
}

// Credential returns the key with which the caller identifies itself.
func (r *Request) Credential() Credential { return r.key }

// WithTeam sets the team to which the request belongs. It changes r and returns it.
func (r *Request) WithTeam(t routing.Team) *Request {
	r.team = t
	r.hasTeam = true
	return r
}

// Team returns the team to which the request belongs, and false if it belongs to none:
// the configuration has no teams, or the route is public and the request has no known key.
func (r *Request) Team() (routing.Team, bool) { return r.team, r.hasTeam }

// WithRelease sets a function that is called when nothing keeps the request any more: when
// Release has been called once more than Retain. It changes r and returns it.
func (r *Request) WithRelease(release func()) *Request {
	r.release = release
	return r
}

// WithMemory sets what the memory for responses is taken from. It changes r and returns it.
func (r *Request) WithMemory(m Memory) *Request {
	r.memory = m
	return r
}

// ReserveResponse takes memory for a response and reports whether there was room for it.
func (r *Request) ReserveResponse(n int64) bool {
	return r.memory == nil || r.memory.GrowForResponse(n)
}

// ReleaseResponse gives back memory that ReserveResponse has taken, once nothing keeps what
// it was taken for.
func (r *Request) ReleaseResponse(n int64) {
	if r.memory != nil && n > 0 {
		r.memory.ShrinkForResponse(n)
	}
}

// Retain records that an attempt keeps the request.
func (r *Request) Retain() { r.holders.Add(1) }

// Release records that an attempt, or the one who made the request, no longer keeps it.
func (r *Request) Release() {
	if r.holders.Add(-1) < 0 && r.release != nil {
		r.release()
	}
}

// ID returns the id that the caller gave to this request, or one generated on
// arrival.
func (r *Request) ID() string { return r.id }

// Method returns the HTTP method.
func (r *Request) Method() string { return r.method }

// Host returns the host to which the caller addressed the request.
func (r *Request) Host() string { return r.host }

// URI returns the path and query string as sent by the caller.
func (r *Request) URI() string { return r.uri }

// Header returns the header that is passed on to targets.
func (r *Request) Header() http.Header { return r.header }

// WireHeader returns the header as it is written to targets. It is encoded once, by
// the first call, since a request to many shards is written to each of them.
func (r *Request) WireHeader(encode func(http.Header) []byte) []byte {
	r.wireHeaderOnce.Do(func() { r.wireHeader = encode(r.header) })
	return r.wireHeader
}

// KeylessHeader returns the header as it is written to targets that must not get the
// caller's key. It is encoded once, like WireHeader.
func (r *Request) KeylessHeader(encode func(http.Header) []byte) []byte {
	r.keylessHeaderOnce.Do(func() { r.keylessHeader = encode(r.header) })
	return r.keylessHeader
}

// Body returns the complete body.
func (r *Request) Body() []byte { return r.body }

// Path returns the path that selects the route.
func (r *Request) Path() string { return r.path }

// Arrived returns the time at which the request arrived.
func (r *Request) Arrived() time.Time { return r.arrived }

// Elapsed returns the time between the request's arrival and now.
func (r *Request) Elapsed(now time.Time) time.Duration { return now.Sub(r.arrived) }

// Timeout returns the time that the caller waits, counted from the arrival, or
// 0 if it did not give one.
func (r *Request) Timeout() time.Duration {
	if r.deadline.IsZero() {
		return 0
	}
	return r.deadline.Sub(r.arrived)
}
