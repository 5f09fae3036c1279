package relay

import (
	"net/http"
	"sync"
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
	// team is the team of the caller, nil if it is not known.
	team *routing.Team

	// wireHeader is the result of WireHeader.
	wireHeaderOnce sync.Once
	wireHeader     []byte
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

// WithTeam sets the team of the caller. It changes r and returns it.
func (r *Request) WithTeam(t routing.Team) *Request {
	r.team = &t
	return r
}

// Team returns the team of the caller, and whether it is known.
func (r *Request) Team() (routing.Team, bool) {
	if r.team == nil {
		return routing.Team{}, false
	}
	return *r.team, true
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
