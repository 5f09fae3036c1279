package leaf

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	dialTimeout    = 500 * time.Millisecond
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 16 << 10
	// maxDrainBytes limits how much of the rest of a response body is read before
	// the body is closed.
	maxDrainBytes = 64 << 10
	// retiredTransportLifetime is how long a replaced transport is kept, so that
	// Sweep can close its connections as they become idle.
	retiredTransportLifetime = time.Minute
	// minReplaceInterval is the least time between two replacements of the connections to a
	// leaf whose responses do not conform to HTTP.
	minReplaceInterval = time.Second
	probePath          = "/health"
	runPath            = "/run/"
	contentTypeJSON    = "application/json"
)

// Pool holds the connections of this VM to one leaf. It never opens more
// connections than this VM's share of the leaf's connection limit.
type Pool struct {
	address string
	// slots holds one element for each connection that is open or being dialled.
	slots chan struct{}
	dials atomic.Int64

	mu         sync.Mutex
	transport  *http.Transport
	replacedAt time.Time
	retired    []retiredTransport
}

// retiredTransport is a replaced transport whose connections may still carry
// requests. For retiredTransportLifetime, Sweep closes those that are idle.
type retiredTransport struct {
	transport *http.Transport
	retiredAt time.Time
}

// NewPool returns a pool for the leaf at an address. The pool opens at most
// maxConnections connections; a value below 1 counts as 1.
func NewPool(address string, maxConnections int) *Pool {
	p := &Pool{address: address, slots: make(chan struct{}, max(maxConnections, 1))}
	p.transport = p.newTransport()
	return p
}

// MaxConnections returns the maximum number of open connections.
func (p *Pool) MaxConnections() int { return cap(p.slots) }

// OpenConnections returns the number of connections that are open or being
// dialled.
func (p *Pool) OpenConnections() int { return len(p.slots) }

// Dials returns the number of dials so far, failed ones included.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// ReplaceConnections closes all idle connections, so that later requests dial
// new ones. Connections in use are closed after their request has ended. Calls
// within minInterval of the last replacement have no effect, so that many
// requests that time out together cause only one round of dials.
func (p *Pool) ReplaceConnections(now time.Time, minInterval time.Duration) {
	p.mu.Lock()
	if now.Sub(p.replacedAt) < minInterval {
		p.mu.Unlock()
		return
	}
	p.replacedAt = now
	p.retired = append(p.retired, retiredTransport{transport: p.transport, retiredAt: now})
	p.transport = p.newTransport()
	p.mu.Unlock()
	p.Sweep(now)
}

// Sweep closes the idle connections of replaced transports. It drops transports
// that were replaced at least retiredTransportLifetime ago.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.retired[:0]
	for _, r := range p.retired {
		r.transport.CloseIdleConnections()
		if now.Sub(r.retiredAt) < retiredTransportLifetime {
			kept = append(kept, r)
		}
	}
	p.retired = kept
}

// Close closes the idle connections. Connections in use stay open until their
// request has ended.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.transport.CloseIdleConnections()
	for _, r := range p.retired {
		r.transport.CloseIdleConnections()
	}
}

// Run sends a sub-request and classifies the response. It returns when ctx ends
// at the latest.
func (p *Pool) Run(ctx context.Context, request Request, now time.Time) Outcome {
	var connected atomic.Bool
	if request.nonIdempotent {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
		})
	}
	res, err := p.currentTransport().RoundTrip(p.httpRequest(ctx, request, now))
	if err != nil {
		// Idempotent requests are not traced, so whether they were sent is unknown
		// and they count as sent.
		maybeSent := !request.nonIdempotent || connected.Load()
		return Failed{maybeSent: maybeSent, timedOut: ctx.Err() != nil, err: result.Wrap(err, result.Unreachable, "sending to leaf %s", p.address)}
	}
	defer res.Body.Close()
	outcome := readOutcome(res, request.id)
	if !finalStatus(res.StatusCode) {
		// http.Transport would use the connection again.
		p.ReplaceConnections(time.Now(), minReplaceInterval)
		return outcome
	}
	// The rest of the body is drained so that the connection can be reused.
	_, _ = io.CopyN(io.Discard, res.Body, maxDrainBytes)
	return outcome
}

// Probe requests the leaf's health page and returns the report in the headers
// of the response. Its errors have the code Unreachable.
func (p *Pool) Probe(ctx context.Context) (Report, error) {
	req := (&http.Request{
		Method: http.MethodGet,
		URL:    p.url(probePath),
		Header: make(http.Header),
		Host:   p.address,
	}).WithContext(ctx)
	res, err := p.currentTransport().RoundTrip(req)
	if err != nil {
		return Report{}, result.Wrap(err, result.Unreachable, "probing leaf %s", p.address)
	}
	defer res.Body.Close()
	_, _ = io.CopyN(io.Discard, res.Body, maxDrainBytes)
	if res.StatusCode != http.StatusOK {
		return Report{}, result.New(result.Unreachable, "leaf %s: health check returned status %d, expected 200", p.address, res.StatusCode)
	}
	return readReport(res.Header), nil
}

// httpRequest builds the request without GetBody and without an Idempotency-Key
// header. With either of them, http.Transport would automatically retry the
// request if a reused connection was found to be closed.
func (p *Pool) httpRequest(ctx context.Context, request Request, now time.Time) *http.Request {
	header := make(http.Header, 6)
	header[headerRequestID] = []string{request.id}
	header[headerSnapshot] = []string{request.snapshot}
	header[headerOperation] = []string{request.operation}
	header[headerDeadline] = []string{strconv.FormatInt(request.deadline.Sub(now).Milliseconds(), 10)}
	header["Content-Type"] = []string{contentTypeJSON}
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           p.url(runPath + request.service),
		Header:        header,
		Host:          p.address,
		Body:          io.NopCloser(bytes.NewReader(request.parameters)),
		ContentLength: int64(len(request.parameters)),
	}
	return req.WithContext(ctx)
}

func (p *Pool) url(path string) *url.URL {
	return &url.URL{Scheme: "http", Host: p.address, Path: path}
}

func (p *Pool) currentTransport() *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.transport
}

func (p *Pool) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            p.dial,
		MaxIdleConnsPerHost:    cap(p.slots),
		MaxConnsPerHost:        cap(p.slots),
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// dial waits until fewer than the maximum number of connections are open, then
// opens one.
func (p *Pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.dials.Add(1)
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		<-p.slots
		return nil, err
	}
	return &countedConn{Conn: conn, pool: p}, nil
}

// countedConn frees its slot in the pool when it is closed.
type countedConn struct {
	net.Conn
	pool *Pool
	once sync.Once
}

// Close closes the connection. Only the first call frees the slot.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.pool.slots })
	return err
}
