package exchange_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/connection/upstream"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// endlessTarget sends a beginning and then the same text again and again until the
// connection is closed.
type endlessTarget struct {
	listener  net.Listener
	beginning string
	repeated  string
	sent      atomic.Int64
	closed    chan struct{}
}

func (e *endlessTarget) run() {
	conn, err := e.listener.Accept()
	if err != nil {
		return
	}
	defer close(e.closed)
	defer conn.Close()
	_, err = conn.Write([]byte(e.beginning))
	text := []byte(strings.Repeat(e.repeated, 64<<10/len(e.repeated)))
	for err == nil {
		var n int
		n, err = conn.Write(text)
		e.sent.Add(int64(n))
	}
}

// A target may send bytes without end that are no response, until the caller closes
// the connection. The attempt must end long before its deadline, with bounded memory
// and without the connection.
func TestResponseWithoutEndIsCutOff(t *testing.T) {
	names := exchange.OwnHeaderNames()
	valid := "HTTP/1.1 200 OK\r\n" + names.Request() + ": req-1\r\n" + names.Signature() + ": sig\r\n"
	tests := []struct {
		name                string
		beginning, repeated string
		// maxBytes limits what the target can send, including what the buffers of
		// the two sockets hold.
		maxBytes int64
	}{
		{"one header line", "HTTP/1.1 200 OK\r\nX-Long: ", "x", 16 << 20},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-More: x\r\n", 16 << 20},
		{"no line at all", "", "\x01\x02", 16 << 20},
		{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n", 16 << 20},
		{"a body without a length", valid + "\r\n", "0123456789abcdef", 32 << 20},
		{"a body in chunks", valid + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n", 32 << 20},
		{"a failure without a length", strings.Replace(valid, "200 OK", "500 X", 1) + "\r\n", "x", 32 << 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			target := &endlessTarget{listener: listener, beginning: tt.beginning, repeated: tt.repeated, closed: make(chan struct{})}
			go target.run()
			pool := upstream.NewPool()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			r := relay.NewRequest("req-1", http.MethodGet, "a.example", "/x/1", "/x/1", http.Header{}, nil, time.Now())
			a := relay.NewAttempt(r, discovery.NewInstance("i-1", "s-1", listener.Addr().String(), "dc-1", 2), time.Now().Add(20*time.Second), false).WithWholeResponse()
			outcome := exchange.NewSender(pool, names).Send(ctx, a, time.Now())
			_, lost := outcome.(relay.Lost)
			assert.Assert(t, lost, "%T", outcome)
			assert.NilError(t, ctx.Err(), "the attempt ended only with its context")
			<-target.closed
			assert.Assert(t, target.sent.Load() < tt.maxBytes, fmt.Sprint(target.sent.Load()))
			assert.Equal(t, pool.OpenConnections(), int64(0))
		})
	}
}
