package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

func TestRequestReachesTargetUnchanged(t *testing.T) {
	l := newLeafServer(t, reply(200, signatureHeader, "ok"))
	s := newEntryServer(t, routeTable(routing.NonIdempotent), l.instance("i-1", "s-1"))
	res, body := s.send(t, "POST", "/x/a%2Fb//c?q=1&r=%20", "the body")
	assert.Equal(t, res.StatusCode, 200)
	assert.Equal(t, body, "ok")
	assert.Equal(t, res.Header.Get(names.Signature()), "sig-1")
	r := l.requests()[0]
	got, _ := io.ReadAll(r.Body)
	assert.Equal(t, string(got), "the body")
	assert.Equal(t, r.Method, "POST")
	assert.Equal(t, r.RequestURI, "/x/a%2Fb//c?q=1&r=%20")
	assert.Equal(t, r.Host, "a.example")
	assert.Equal(t, r.Header.Get(names.Request()), "req-1")
	assert.Equal(t, r.Header.Get(names.Target()), "i-1")
	assert.Equal(t, r.Header.Get("X-Other"), "kept")
	assert.Equal(t, r.Header.Get("Connection"), "")
	remaining := r.Header.Get(names.Deadline())
	assert.Assert(t, remaining != "" && remaining <= "700" && remaining > "500", remaining)
}

// A response that is incomplete, malformed, unsigned or for another request
// must never reach the caller. A non-idempotent request is then answered with an
// error and not sent again; an idempotent request is retried at another target.
// The table also has complete responses that report a failure or a refusal.
func TestOnlyCompleteMatchingResponsesAreRelayed(t *testing.T) {
	tests := []struct {
		name    string
		respond func(net.Conn, *http.Request)
		// nonIdempotentStatus is the status of the answer to a non-idempotent
		// request.
		nonIdempotentStatus int
	}{
		{"with the id of another request", func(c net.Conn, _ *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nMulberrydale-Request: other\r\n%sContent-Length: 2\r\n\r\nno", signatureHeader)
		}, 502},
		{"shorter than its length", func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%sContent-Length: 20\r\n\r\nhalf", requestIDHeader(r), signatureHeader)
			_ = c.Close()
		}, 502},
		{"a chunk is missing", func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%sTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", requestIDHeader(r), signatureHeader)
			_ = c.Close()
		}, 502},
		{"reset without a length", func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s\r\nhalf", requestIDHeader(r), signatureHeader)
			_ = c.(*net.TCPConn).SetLinger(0)
			time.Sleep(20 * time.Millisecond)
			_ = c.Close()
		}, 502},
		{"not HTTP", func(c net.Conn, _ *http.Request) { _, _ = c.Write([]byte("\x00\x01\x02\r\n\r\n")) }, 502},
		{"without a signature", reply(200, "", "no"), 502},
		{"encoded", reply(200, signatureHeader+"Content-Encoding: gzip\r\n", "no"), 502},
		{"closed without a byte", func(c net.Conn, _ *http.Request) { _ = c.Close() }, 502},
		{"no response", func(net.Conn, *http.Request) {}, 504},
		{"503 without the not-run header", reply(503, signatureHeader, "no"), 502},
		{"429 without the not-run header", reply(429, signatureHeader, "no"), 502},
		{"408 without the not-run header", reply(408, signatureHeader, "no"), 502},
		{"a failure of the target", reply(500, signatureHeader, "broken"), 500},
		{"refused by the target", reply(503, "Mulberrydale-Not-Run: 1\r\n", ""), 503},
		{"another instance", reply(421, "", ""), 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bad := newLeafServer(t, tt.respond)
			s := newEntryServer(t, routeTable(routing.NonIdempotent), bad.instance("i-bad", "s-1"))
			res, _ := s.send(t, "GET", "/x/1", "")
			assert.Equal(t, res.StatusCode, tt.nonIdempotentStatus)
			if tt.nonIdempotentStatus != 503 {
				assert.Equal(t, len(bad.requests()), 1, "a non-idempotent request must not be sent twice")
			} else {
				assert.Assert(t, res.Header.Get("Retry-After") != "")
			}
		})
		t.Run(tt.name+", retried at another target", func(t *testing.T) {
			bad := newLeafServer(t, tt.respond)
			good := newLeafServer(t, reply(200, signatureHeader, "ok"))
			s := newEntryServer(t, routeTable(routing.Idempotent), bad.instance("i-bad", "s-1"), good.instance("i-good", "s-1"))
			for range 8 {
				res, body := s.send(t, "GET", "/x/1", "")
				assert.Equal(t, res.StatusCode, 200)
				assert.Equal(t, body, "ok")
			}
		})
	}
}

func TestResponseWithoutLengthIsRelayedInFull(t *testing.T) {
	body := strings.Repeat("0123456789", 9000)
	l := newLeafServer(t, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s\r\n%s", requestIDHeader(r), signatureHeader, body)
		_ = c.Close()
	})
	s := newEntryServer(t, routeTable(routing.Idempotent), l.instance("i-1", "s-1"))
	res, got := s.send(t, "GET", "/x/1", "")
	assert.Equal(t, res.StatusCode, 200)
	assert.Equal(t, got, body)
	assert.Equal(t, res.ContentLength, int64(len(body)))
}

// Data that follows a complete response on the same connection, whether at once
// or after the next request has been sent, must not be used as the response to
// any request.
func TestExtraResponseIsNotUsedForNextRequest(t *testing.T) {
	extras := []struct{ name, text string }{
		{"a second copy of the first response", "HTTP/1.1 200 OK\r\nMulberrydale-Request: req-1\r\n" + signatureHeader + "Content-Length: 5\r\n\r\nextra"},
		{"with an id that no request has", "HTTP/1.1 200 OK\r\nMulberrydale-Request: req-0\r\n" + signatureHeader + "Content-Length: 5\r\n\r\nextra"},
		{"without an id", "HTTP/1.1 200 OK\r\n" + signatureHeader + "Content-Length: 5\r\n\r\nextra"},
		{"a refusal without an id", "HTTP/1.1 503 X\r\nMulberrydale-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, tt := range extras {
		t.Run(tt.name+", at once", func(t *testing.T) {
			l := newLeafServer(t, func(c net.Conn, r *http.Request) {
				reply(200, signatureHeader, r.Header.Get(names.Request()))(c, r)
				_, _ = c.Write([]byte(tt.text))
			})
			s := newEntryServer(t, routeTable(routing.Idempotent), l.instance("i-1", "s-1"))
			for range 20 {
				res, body := s.send(t, "GET", "/x/1", "")
				assert.Assert(t, body != "extra")
				// A retry over a new connection can receive extra data as well, so a
				// failure is allowed, but not a wrong body.
				assert.Assert(t, res.StatusCode != 200 || body == s.lastID(), body)
			}
		})
		t.Run(tt.name+", before the next response", func(t *testing.T) {
			n := 0
			l := newLeafServer(t, func(c net.Conn, r *http.Request) {
				if n++; n > 1 {
					_, _ = c.Write([]byte(tt.text))
				}
				reply(200, signatureHeader, "right")(c, r)
			})
			s := newEntryServer(t, routeTable(routing.NonIdempotent), l.instance("i-1", "s-1"))
			res, _ := s.send(t, "GET", "/x/1", "")
			assert.Equal(t, res.StatusCode, 200)
			res, body := s.send(t, "GET", "/x/1", "")
			assert.Equal(t, res.StatusCode, 502, body)
			assert.Equal(t, len(l.requests()), 2, "a request that may have run must not be sent again")
		})
	}
}

// shardTable returns a routing table with one route over n shards, the
// services s-0, s-1 and so on. The answer consists of the 3 greatest records and
// needs at least 60 % of the shards.
func shardTable(n int) *routing.Table {
	var shards []string
	var services []routing.Service
	for i := range n {
		shards = append(shards, fmt.Sprintf("s-%d", i))
		services = append(services, routing.NewService(fmt.Sprintf("s-%d", i), ""))
	}
	return routing.NewTable(1, []routing.Route{routing.NewRoute("r", "a.example", "/x/").
		WithTimeoutAndObjective(700*time.Millisecond, 200*time.Millisecond).WithMaxAttempts(2).
		WithShards(shards, 3, 0.6)}, services, routing.Limits{})
}

func TestShardsAreMerged(t *testing.T) {
	record := func(b string) string { return strings.Repeat(b, 16) }
	// The incomplete record "rest" is ignored.
	parts := []string{record("a") + record("e"), record("c") + "rest", record("d") + record("b")}
	var instances []discovery.Instance
	for n, part := range parts {
		l := newLeafServer(t, reply(200, fmt.Sprintf("Mulberrydale-Signature: sig-%d\r\n", n), part))
		instances = append(instances, l.instance(fmt.Sprintf("i-%d", n), fmt.Sprintf("s-%d", n)))
	}
	s := newEntryServer(t, shardTable(3), instances...)
	res, body := s.send(t, "GET", "/x/1", "")
	assert.Equal(t, res.StatusCode, 200)
	assert.Equal(t, body, record("e")+record("d")+record("c"))
	assert.Equal(t, res.Header.Get(names.Parts()), "sig-0, sig-1, sig-2")
	assert.Equal(t, res.Header.Get(names.Missing()), "0")
	// If one shard has no target, the answer reports it as missing.
	s = newEntryServer(t, shardTable(3), instances[:2]...)
	res, body = s.send(t, "GET", "/x/1", "")
	assert.Equal(t, res.StatusCode, 200)
	assert.Equal(t, body, record("e")+record("c")+record("a"))
	assert.Equal(t, res.Header.Get(names.Missing()), "1")
	// If too few shards have a target, the request is refused at once.
	start := time.Now()
	s = newEntryServer(t, shardTable(3), instances[:1]...)
	res, _ = s.send(t, "GET", "/x/1", "")
	assert.Equal(t, res.StatusCode, 503)
	assert.Assert(t, time.Since(start) < 150*time.Millisecond)
}

func TestUnmatchedRequestIsNotFound(t *testing.T) {
	l := newLeafServer(t, reply(200, signatureHeader, "ok"))
	s := newEntryServer(t, routeTable(routing.Idempotent), l.instance("i-1", "s-1"))
	res, _ := s.send(t, "GET", "/y/1", "")
	assert.Equal(t, res.StatusCode, 404)
	assert.Equal(t, len(l.requests()), 0)
	// Without a routing table the answer is 503, not 404: the route may exist.
	e := newTestEntry(NewTelemetry(zap.NewNop()), 0)
	w := httptest.NewRecorder()
	e.gateway.ServeHTTP(w, httptest.NewRequest("GET", "/y/1", nil))
	assert.Equal(t, w.Code, 503)
}

// When a caller disconnects while its request is at a target, the attempt ends
// soon afterwards.
func TestAttemptEndsAfterCallerDisconnects(t *testing.T) {
	ended := make(chan time.Time, 1)
	l := newLeafServer(t, func(c net.Conn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		ended <- time.Now()
	})
	s := newEntryServer(t, routeTable(routing.Idempotent), l.instance("i-1", "s-1"))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", s.server.URL+"/x/1", nil)
	assert.NilError(t, err)
	req.Host = "a.example"
	_, err = http.DefaultTransport.RoundTrip(req)
	assert.Assert(t, err != nil)
	disconnectedAt := time.Now()
	assert.Assert(t, (<-ended).Sub(disconnectedAt) < 450*time.Millisecond)
}

func TestRefusedConnectionIsReportedAsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	s := newEntryServer(t, routeTable(routing.NonIdempotent), discovery.NewInstance("i-1", "s-1", address, "dc-1", 2))
	res, _ := s.send(t, "POST", "/x/1", "body")
	assert.Equal(t, res.StatusCode, 503)
	assert.Equal(t, s.entry.pool.OpenConnections(), int64(0))
}
