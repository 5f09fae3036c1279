package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// raw returns a function that writes a response of which only the id of the request and
// the signature are given.
func raw(statusLine, fields, body string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "%s\r\n%s%s%s\r\n%s", statusLine, requestIDHeader(r), signatureHeader, fields, body)
	}
}

// protocolTests are responses of targets at the edges of the protocol.
var protocolTests = []struct {
	name    string
	respond func(net.Conn, *http.Request)
	// usable means that the response is one of the protocol.
	usable bool
}{
	{"status 000", raw("HTTP/1.1 000 X", "Content-Length: 2\r\n", "no"), false},
	{"status 000 without a body", raw("HTTP/1.1 000 X", "Content-Length: 0\r\n", ""), false},
	{"status 000 that says it has not run", raw("HTTP/1.1 000 X", names.NotRun()+": 1\r\nContent-Length: 0\r\n", ""), false},
	{"status 099", raw("HTTP/1.1 099 X", "Content-Length: 2\r\n", "no"), false},
	{"status 600", raw("HTTP/1.1 600 X", "Content-Length: 2\r\n", "no"), false},
	{"status 600 that says it has not run", raw("HTTP/1.1 600 X", names.NotRun()+": 1\r\nContent-Length: 0\r\n", ""), false},
	{"status 999", raw("HTTP/1.1 999 X", "Content-Length: 2\r\n", "no"), false},
	{"status +20", raw("HTTP/1.1 +20 X", "Content-Length: 2\r\n", "no"), false},
	{"status 0200", raw("HTTP/1.1 0200 X", "Content-Length: 2\r\n", "no"), false},
	{"status 20", raw("HTTP/1.1 20 X", "Content-Length: 2\r\n", "no"), false},
	{"status 2 0", raw("HTTP/1.1 2 0 X", "Content-Length: 2\r\n", "no"), false},
	{"status in letters", raw("HTTP/1.1 abc X", "Content-Length: 2\r\n", "no"), false},
	{"no status", raw("HTTP/1.1", "Content-Length: 2\r\n", "no"), false},
	{"informational responses before", raw("HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 OK", "Content-Length: 2\r\n", "ok"), true},
	{"a status 600 after an informational one", raw("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 600 OK", "Content-Length: 2\r\n", "no"), false},
	{"no reason phrase", raw("HTTP/1.1 200", "Content-Length: 2\r\n", "ok"), true},
	{"no reason phrase after the space", raw("HTTP/1.1 200 ", "Content-Length: 2\r\n", "ok"), true},
	{"a long reason phrase", raw("HTTP/1.1 200 "+strings.Repeat("x", 10000), "Content-Length: 2\r\n", "ok"), true},
	{"a reason phrase over the limit of a head", raw("HTTP/1.1 200 "+strings.Repeat("x", 300<<10), "Content-Length: 2\r\n", "no"), false},
	{"a reason phrase with control characters", raw("HTTP/1.1 200 a\x00\x01\rb", "Content-Length: 2\r\n", "ok"), true},
	{"two equal lengths", raw("HTTP/1.1 200 OK", "Content-Length: 2\r\nContent-Length: 2\r\n", "ok"), true},
	{"two lengths", raw("HTTP/1.1 200 OK", "Content-Length: 2\r\nContent-Length: 3\r\n", "noo"), false},
	{"two lengths in one field", raw("HTTP/1.1 200 OK", "Content-Length: 2, 3\r\n", "noo"), false},
	{"a negative length", raw("HTTP/1.1 200 OK", "Content-Length: -2\r\n", "no"), false},
	{"a signed length", raw("HTTP/1.1 200 OK", "Content-Length: +2\r\n", "no"), false},
	{"a length of more than 63 bits", raw("HTTP/1.1 200 OK", "Content-Length: 9223372036854775808\r\n", "no"), false},
	{"a length that no body has", endOfConnection(raw("HTTP/1.1 200 OK", "Content-Length: 9223372036854775807\r\n", "no")), false},
	{"chunks and a length", raw("HTTP/1.1 200 OK", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"), true},
	{"another encoding", raw("HTTP/1.1 200 OK", "Transfer-Encoding: gzip, chunked\r\n", "2\r\nno\r\n0\r\n\r\n"), false},
	{"two encodings", raw("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "2\r\nno\r\n0\r\n\r\n"), false},
	{"a line without a colon", raw("HTTP/1.1 200 OK", "nothing\r\nContent-Length: 2\r\n", "no"), false},
	{"a line without a name", raw("HTTP/1.1 200 OK", ": value\r\nContent-Length: 2\r\n", "no"), false},
	{"a space before the colon", raw("HTTP/1.1 200 OK", "X-A : b\r\nContent-Length: 2\r\n", "no"), false},
	{"a space before the colon of the length", endOfConnection(raw("HTTP/1.1 200 OK", "Content-Length : 2\r\n", "no")), false},
	{"a space before the colon of the encoding", endOfConnection(raw("HTTP/1.1 200 OK", "Transfer-Encoding : chunked\r\n", "2\r\nno\r\n0\r\n\r\n")), false},
	{"a name with a control character", raw("HTTP/1.1 200 OK", "X\x01A: b\r\nContent-Length: 2\r\n", "no"), false},
	{"a value with a control character", raw("HTTP/1.1 200 OK", "X-A: a\x00b\r\nContent-Length: 2\r\n", "no"), false},
	{"a value with a carriage return", raw("HTTP/1.1 200 OK", "X-A: a\rb\r\nContent-Length: 2\r\n", "no"), false},
	{"a value with a tab", raw("HTTP/1.1 200 OK", "X-A: a\tb\r\nContent-Length: 2\r\n", "ok"), true},
	{"a folded line", raw("HTTP/1.1 200 OK", "X-A: a\r\n b\r\nContent-Length: 2\r\n", "ok"), true},
	{"a folded line before any field", func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n folded\r\n%s%sContent-Length: 2\r\n\r\nno", requestIDHeader(r), signatureHeader)
	}, false},
}

// endOfConnection closes the connection after a response.
func endOfConnection(respond func(net.Conn, *http.Request)) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		respond(c, r)
		_ = c.Close()
	}
}

// countingConns counts the connections that carried a request.
func countingConns(respond func(net.Conn, *http.Request), reused *atomic.Int64) func(net.Conn, *http.Request) {
	var last atomic.Value
	return func(c net.Conn, r *http.Request) {
		if c.RemoteAddr().String() == last.Swap(c.RemoteAddr().String()) {
			reused.Add(1)
		}
		respond(c, r)
	}
}

// A response that is none of the protocol must not reach the caller, panic, be followed by
// another request on its connection, or make a non-idempotent request run twice.
func TestOnlyResponsesOfTheProtocolAreRelayed(t *testing.T) {
	for _, tt := range protocolTests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var reused atomic.Int64
			target := newLeafServer(t, countingConns(tt.respond, &reused))
			s := newEntryServer(t, routeTable(routing.NonIdempotent), target.instance("i-1", "s-1"))
			for n := range 2 {
				res, body := s.send(t, "POST", "/x/1", "body")
				if tt.usable {
					assert.Equal(t, res.StatusCode, 200, body)
					assert.Equal(t, body, "ok")
					continue
				}
				assert.Equal(t, res.StatusCode, 502, body)
				assert.Equal(t, len(target.requests()), n+1, "a non-idempotent request was sent twice")
			}
			assert.Equal(t, reused.Load() > 0, tt.usable, "reuse of the connection")
		})
	}
}

// Where the route allows a retry, the caller must get the response of another target.
func TestRetryAfterAResponseOutsideTheProtocol(t *testing.T) {
	for _, tt := range protocolTests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			bad := newLeafServer(t, tt.respond)
			good := newLeafServer(t, reply(200, signatureHeader, "ok"))
			s := newEntryServer(t, routeTable(routing.Idempotent), bad.instance("i-bad", "s-1"), good.instance("i-good", "s-1"))
			for range 4 {
				res, body := s.send(t, "GET", "/x/1", "")
				assert.Equal(t, res.StatusCode, 200)
				assert.Equal(t, body, "ok")
			}
		})
	}
}

// A shard with such a response must count as missing.
func TestShardOutsideTheProtocolIsMissing(t *testing.T) {
	table := routing.NewTable(1, []routing.Route{routing.NewRoute("r", "a.example", "/x/").WithKind(routing.Idempotent).
		WithTimeoutAndObjective(700*time.Millisecond, 200*time.Millisecond).WithMaxAttempts(1).WithShards([]string{"s-1", "s-2"}, 5, 0.5)},
		[]routing.Service{routing.NewService("s-1", "").WithMaxConnections(50), routing.NewService("s-2", "").WithMaxConnections(50)}, routing.Limits{})
	for _, tt := range protocolTests {
		if tt.usable {
			continue
		}
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			bad := newLeafServer(t, tt.respond)
			good := newLeafServer(t, reply(200, signatureHeader, strings.Repeat("r", 16)))
			s := newEntryServer(t, table, bad.instance("i-bad", "s-1"), good.instance("i-good", "s-2"))
			res, body := s.send(t, "GET", "/x/1", "")
			assert.Equal(t, res.StatusCode, 200, body)
			assert.Equal(t, body, strings.Repeat("r", 16))
			assert.Equal(t, res.Header.Get(names.Missing()), "1")
		})
	}
}
