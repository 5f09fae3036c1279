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

// longBody is longer than what is held before it is passed on.
var longBody = strings.Repeat("0123456789abcdef", 3*exchange.MaxBufferedBytes/16)

// ways are the ways in which a target marks the end of a body.
var ways = []struct {
	name   string
	header string
	frame  func(body string) string
	closes bool
}{
	{"with a length", fmt.Sprintf("Content-Length: %d\r\n", len(longBody)), func(s string) string { return s }, false},
	{"in chunks", "Transfer-Encoding: chunked\r\n", func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }, false},
	{"without a length", "", func(s string) string { return s }, true},
}

// open sends a request and returns once the header of its answer is there.
func (s *tier) open(t *testing.T) *http.Response {
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

func TestALongResponseIsPassedOnAsItComes(t *testing.T) {
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			goOn := make(chan struct{})
			l := newLeafServer(t, func(c net.Conn, r *http.Request) {
				half := len(longBody) / 2
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s%s\r\n%s", idOf(r), signed, way.header, way.frame(longBody[:half]))
				<-goOn
				_, _ = io.WriteString(c, way.frame(longBody[half:]))
				if strings.Contains(way.header, "chunked") {
					_, _ = io.WriteString(c, "0\r\n\r\n")
				}
				if way.closes {
					_ = c.Close()
				}
			})
			s := newTier(t, config(routing.Idempotent), l.instance("i-1", "s-1"))
			res := s.open(t)
			assert.Equal(t, res.Header.Get(names.Signature()), "sig-1")
			begin := make([]byte, exchange.MaxBufferedBytes)
			_, err := io.ReadFull(res.Body, begin)
			assert.NilError(t, err, "the beginning comes before the target has sent the rest")
			close(goOn)
			rest, err := io.ReadAll(res.Body)
			assert.NilError(t, err)
			assert.Assert(t, string(begin)+string(rest) == longBody)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if open := s.entry.pool.OpenConnections(); open == 1 != !way.closes {
					return poll.Continue("%d connections are open", open)
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second))
		})
	}
}

// A long response that breaks off must not look complete to the client, and the
// log says why it did not get the rest.
func TestALongResponseThatBreaksOffIsNotWhole(t *testing.T) {
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			l := newLeafServer(t, func(c net.Conn, r *http.Request) {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s%s\r\n%s", idOf(r), signed, way.header, way.frame(longBody)[:2*exchange.MaxBufferedBytes])
				time.Sleep(50 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			})
			core, lines := observer.New(zapcore.WarnLevel)
			s := newTier(t, config(routing.Idempotent), l.instance("i-1", "s-1"))
			s.entry.gateway.report = NewReport(zap.New(core))
			res := s.open(t)
			_, err := io.ReadAll(res.Body)
			assert.Assert(t, err != nil, "the client takes it for whole")
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if lines.FilterField(zap.String("id", "req-1")).Len() != 1 {
					return poll.Continue("no line")
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second))
			assert.Equal(t, s.entry.pool.OpenConnections(), int64(0))
		})
	}
}

// The time of the route ends a response whose target goes silent in the middle,
// and a client that leaves ends the send.
func TestALongResponseEndsInTime(t *testing.T) {
	tests := []struct {
		name  string
		leave bool
	}{{"the target goes silent", false}, {"the client leaves", true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ended := make(chan struct{})
			l := newLeafServer(t, func(c net.Conn, r *http.Request) {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s%s\r\n%s", idOf(r), signed, ways[0].header, longBody[:2*exchange.MaxBufferedBytes])
				_, _ = c.Read(make([]byte, 1))
				close(ended)
			})
			s := newTier(t, config(routing.Idempotent), l.instance("i-1", "s-1"))
			res := s.open(t)
			if tt.leave {
				assert.NilError(t, res.Body.Close())
			} else {
				_, err := io.ReadAll(res.Body)
				assert.Assert(t, err != nil)
			}
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Fatal("the send goes on")
			}
			// Nothing holds a place at the target: there is room for two again.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				one, ok := s.entry.fleet.Acquire(placement.NewLeaseRequest("s-1", "r"), time.Now())
				if !ok {
					return poll.Continue("no room for one")
				}
				defer one.Unsent(time.Now())
				two, ok := s.entry.fleet.Acquire(placement.NewLeaseRequest("s-1", "r"), time.Now())
				if !ok {
					return poll.Continue("no room for two")
				}
				two.Unsent(time.Now())
				return poll.Success()
			}, poll.WithTimeout(5*time.Second))
		})
	}
}
