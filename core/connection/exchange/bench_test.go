package exchange_test

import (
	"bufio"
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

// fixedTarget answers every request on a connection with the same bytes.
type fixedTarget struct {
	listener net.Listener
	response []byte
}

func (f *fixedTarget) run() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go (&fixedConn{conn: conn, response: f.response}).run()
	}
}

type fixedConn struct {
	conn     net.Conn
	response []byte
}

func (c *fixedConn) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) == 2 {
			if _, err := c.conn.Write(c.response); err != nil {
				return
			}
		}
	}
}

// BenchmarkSend measures one sub-request on a kept connection, with the target in the
// same process.
func BenchmarkSend(b *testing.B) {
	names := exchange.OwnHeaderNames()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer listener.Close()
	body := `{"records":[]}` + strings.Repeat(" ", 386)
	response := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 400\r\nKeep-Alive: timeout=5\r\n" +
		names.Request() + ": req-1\r\n" + names.Signature() + ": sig\r\n\r\n" + body
	go (&fixedTarget{listener: listener, response: []byte(response)}).run()
	sender := exchange.NewSender(upstream.NewPool(), names)
	header := http.Header{"Accept": {"application/json"}, "User-Agent": {"planner/3.1"}, "X-Trace": {"4f1c"}}
	r := relay.NewRequest("req-1", http.MethodGet, "a.example", "/x/1", "/x/1", header, nil, time.Now())
	a := relay.NewAttempt(r, discovery.NewInstance("i-1", "s-1", listener.Addr().String(), "dc-1", 2), time.Now().Add(time.Hour), false).WithWholeResponse()
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
		outcome := sender.Send(ctx, a, time.Now())
		cancel()
		if _, ok := outcome.(relay.Answered); !ok {
			b.Fatalf("%T", outcome)
		}
	}
}
