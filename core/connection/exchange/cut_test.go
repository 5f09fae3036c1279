package exchange_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/connection/upstream"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// cuttingTarget answers the n-th connection with the first n bytes of a response and
// closes it.
type cuttingTarget struct {
	listener net.Listener
	response string
}

func (c *cuttingTarget) run() {
	for n := 0; ; n++ {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		// The request is read first: closing a connection with unread bytes resets it.
		_, _ = conn.Read(make([]byte, 4<<10))
		_, _ = conn.Write([]byte(c.response[:min(n, len(c.response))]))
		_ = conn.Close()
	}
}

// A response that a target breaks off, in its head or its body, must not become a
// complete one with an empty or short body.
func TestResponseCutAnywhereIsNotComplete(t *testing.T) {
	names := exchange.OwnHeaderNames()
	head := "HTTP/1.1 200 OK\r\n" + names.Request() + ": req-1\r\n" + names.Signature() + ": sig\r\n"
	tests := []struct {
		name     string
		response string
		// complete is the number of bytes from which on the response is complete.
		complete int
	}{
		{"with a length", head + "Content-Length: 16\r\n\r\n0123456789abcdef", 0},
		{"with the length first", strings.Replace(head, "OK\r\n", "OK\r\nContent-Length: 16\r\n", 1) + "\r\n0123456789abcdef", 0},
		{"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n", 0},
		{"in chunks with a trailer", head + "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n0\r\nX-End: 1\r\n\r\n", 0},
		{"without a length", head + "\r\n", len(head) + 2},
		{"a failure", strings.Replace(head, "200 OK", "500 X", 1) + "Content-Length: 2\r\n\r\nno", 0},
		{"a rejection", strings.Replace(head, "200 OK", "503 X", 1) + names.NotRun() + ": 1\r\nContent-Length: 2\r\n\r\nno", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go (&cuttingTarget{listener: listener, response: tt.response}).run()
			pool := upstream.NewPool()
			sender := exchange.NewSender(pool, names)
			complete := tt.complete
			if complete == 0 {
				complete = len(tt.response)
			}
			for n := 0; n <= len(tt.response); n++ {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				r := relay.NewRequest("req-1", http.MethodGet, "a.example", "/x/1", "/x/1", http.Header{}, nil, time.Now())
				a := relay.NewAttempt(r, discovery.NewInstance("i-1", "s-1", listener.Addr().String(), "dc-1", 2), time.Now().Add(5*time.Second), true)
				outcome := sender.Send(ctx, a, time.Now())
				cancel()
				_, lost := outcome.(relay.Lost)
				assert.Equal(t, lost, n < complete, "%T after %d of %d bytes", outcome, n, len(tt.response))
			}
		})
	}
}
