package intake_test

import (
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/connection/intake"
)

// pieces are parts of requests, valid and not, of which random texts are made. Requests
// of HTTP/1.0 with chunks and of HTTP/2 are missing: net/http runs them without a body,
// and a limited listener closes their connections.
var pieces = []string{
	"GET /a HTTP/1.1\r\n", "POST /b HTTP/1.1\r\n", "Host: h\r\n", "Host: h\r\n", "\r\n", "\r\n", "\n", "\r",
	"Content-Length: 5\r\n", "Content-Length: 5, 5\r\n", "content-length:5\r\n", "Content-Length: 0\r\n", "Content-Length:\t5 \r\n",
	"Transfer-Encoding: chunked\r\n", "Transfer-Encoding:chunked\r\n", "Transfer-Encoding: identity\r\n", " folded\r\n", "\tchunked\r\n",
	"hello", "5\r\nhello\r\n", "0\r\n\r\n", "0\r\nX: t\r\n\r\n", "5;e=1\r\nhello\r\n", "0x5\r\nhello\r\n", "5 \r\nhello\r\n", "5\nhello\n",
	"ffffffffffffffff\r\n", "Expect: 100-continue\r\n", "Connection: close\r\n", ": v\r\n", "nothing\r\n", "Trailer: X\r\n",
	"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
	"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
}

// answers sends a text, cut at a place, and returns what the server sends until it closes
// the connection.
func answers(t *testing.T, address, text string, cut int) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err = io.WriteString(conn, text[:cut]); err == nil && cut < len(text) {
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(conn, text[cut:])
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	// A server that closes a connection with unread bytes resets it.
	out, _ := io.ReadAll(conn)
	return string(out)
}

// The framing must agree with that of net/http, also on texts that are no requests;
// otherwise a caller could send heads that nothing charges, or get no answer.
func TestRandomTextsAreAnsweredAsWithoutALimiter(t *testing.T) {
	l := intake.NewLimiter(1000, 64<<20)
	plain, limited := newServer(t, nil, echo), newServer(t, l, echo)
	for seed := range uint64(600) {
		r := rand.New(rand.NewPCG(seed, 1))
		var b strings.Builder
		for range 1 + r.IntN(9) {
			b.WriteString(pieces[r.IntN(len(pieces))])
		}
		text := b.String()
		cut := r.IntN(len(text) + 1)
		same := false
		// A reset may cut off either of the two answers, so a difference has to repeat.
		for range 5 {
			if same = answers(t, plain, text, cut) == answers(t, limited, text, cut); same {
				break
			}
		}
		assert.Assert(t, same, "seed %d: %q, cut after %d bytes", seed, text, cut)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if conns, bytes := l.Use(); conns != 0 || bytes != 0 {
			return poll.Continue("%d connections, %d bytes", conns, bytes)
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(5*time.Second))
}
