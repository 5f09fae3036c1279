package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/process/placement"

	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// longBody is longer than the part of a response that is buffered before
// streaming starts.
var longBody = strings.Repeat("0123456789abcdef", 3*exchange.MaxBufferedBytes/16)

// framings are the ways in which a target can mark the end of a body.
var framings = []struct {
	name   string
	header string
	// frame returns a piece of a body as it is written to the connection.
	frame func(piece string) string
	// closes is set if the end of the body is marked by closing the connection.
	closes bool
}{
	{"with a length", fmt.Sprintf("Content-Length: %d\r\n", len(longBody)), func(s string) string { return s }, false},
	{"in chunks", "Transfer-Encoding: chunked\r\n", func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }, false},
	{"without a length", "", func(s string) string { return s }, true},
}

// startRequest sends a request and returns once the header of the response has
// arrived.
func (s *entryServer) startRequest(t *testing.T) *http.Response {
	t.Helper()
	req, err := http.NewRequest("GET", s.server.URL+"/x/1", nil)
	assert.NilError(t, err)
	req.Host = "a.example"
	req.Header.Set(names.Request(), "req-1")
	res, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = res.Body.Close() })
	return res
}

// The first part of a long response reaches the caller before the target has
// sent the rest.
func TestLongResponseIsStreamed(t *testing.T) {
	for _, framing := range framings {
		t.Run(framing.name, func(t *testing.T) {
			resume := make(chan struct{})
			l := newLeafServer(t, func(c net.Conn, r *http.Request) {
				half := len(longBody) / 2
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s%s\r\n%s", requestIDHeader(r), signatureHeader, framing.header, framing.frame(longBody[:half]))
				<-resume
				_, _ = io.WriteString(c, framing.frame(longBody[half:]))
				if strings.Contains(framing.header, "chunked") {
					_, _ = io.WriteString(c, "0\r\n\r\n")
				}
				if framing.closes {
					_ = c.Close()
				}
			})
			s := newEntryServer(t, routeTable(routing.Idempotent), l.instance("i-1", "s-1"))
			res := s.startRequest(t)
			assert.Equal(t, res.Header.Get(names.Signature()), "sig-1")
			head := make([]byte, exchange.MaxBufferedBytes)
			_, err := io.ReadFull(res.Body, head)
			assert.NilError(t, err, "the first part must arrive before the target has sent the rest")
			close(resume)
			rest, err := io.ReadAll(res.Body)
			assert.NilError(t, err)
			assert.Assert(t, string(head)+string(rest) == longBody)
			// The connection stays open for the next request unless closing it
			// marked the end of the body.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if open := s.entry.pool.OpenConnections(); open == 1 != !framing.closes {
					return poll.Continue("%d connections are open", open)
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second))
		})
	}
}

// A long response that the target does not complete must not look complete to
// the caller, and the log states the cause.
func TestTruncatedLongResponseIsAborted(t *testing.T) {
	for _, framing := range framings {
		t.Run(framing.name, func(t *testing.T) {
			l := newLeafServer(t, func(c net.Conn, r *http.Request) {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s%s\r\n%s", requestIDHeader(r), signatureHeader, framing.header, framing.frame(longBody)[:2*exchange.MaxBufferedBytes])
				// The pause lets the data be sent before the reset, which
				// discards unsent data.
				time.Sleep(50 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			})
			core, logs := observer.New(zapcore.WarnLevel)
			s := newEntryServer(t, routeTable(routing.Idempotent), l.instance("i-1", "s-1"))
			s.entry.gateway.telemetry = NewTelemetry(zap.New(core))
			res := s.startRequest(t)
			_, err := io.ReadAll(res.Body)
			assert.Assert(t, err != nil, "the truncated response looks complete")
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if logs.FilterField(zap.String("id", "req-1")).Len() != 1 {
					return poll.Continue("no log line for the request")
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second))
			assert.Equal(t, s.entry.pool.OpenConnections(), int64(0))
		})
	}
}

// If a target stops sending in the middle of a response, the attempt ends at the
// timeout of the route. If the caller disconnects, the attempt ends soon
// afterwards.
func TestStreamingEndsOnTimeoutOrDisconnect(t *testing.T) {
	tests := []struct {
		name       string
		disconnect bool
	}{{"the target stops sending", false}, {"the caller disconnects", true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ended := make(chan struct{})
			l := newLeafServer(t, func(c net.Conn, r *http.Request) {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s%s\r\n%s", requestIDHeader(r), signatureHeader, framings[0].header, longBody[:2*exchange.MaxBufferedBytes])
				_, _ = c.Read(make([]byte, 1))
				close(ended)
			})
			s := newEntryServer(t, routeTable(routing.Idempotent), l.instance("i-1", "s-1"))
			res := s.startRequest(t)
			if tt.disconnect {
				assert.NilError(t, res.Body.Close())
			} else {
				_, err := io.ReadAll(res.Body)
				assert.Assert(t, err != nil)
			}
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Fatal("the attempt has not ended after 5 s")
			}
			// The attempt no longer counts as in flight: the target has capacity
			// for two requests again.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				first, ok := s.entry.fleet.Acquire(placement.NewLeaseRequest("s-1", "r"), time.Now())
				if !ok {
					return poll.Continue("no capacity for one request")
				}
				defer first.Unsent(time.Now())
				second, ok := s.entry.fleet.Acquire(placement.NewLeaseRequest("s-1", "r"), time.Now())
				if !ok {
					return poll.Continue("no capacity for two requests")
				}
				second.Unsent(time.Now())
				return poll.Success()
			}, poll.WithTimeout(5*time.Second))
		})
	}
}
