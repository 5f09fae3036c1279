package exchange_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/connection/upstream"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// textTarget answers each connection with the next text and closes it.
type textTarget struct {
	listener net.Listener
	texts    chan []byte
}

func (x *textTarget) run() {
	for text := range x.texts {
		conn, err := x.listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4<<10))
		_, _ = conn.Write(text)
		_ = conn.Close()
	}
}

// Whatever a target sends, a response counts only if it has the id of the request and a
// signature, and a rejection only if it has the id and says so.
func FuzzResponse(f *testing.F) {
	names := exchange.OwnHeaderNames()
	head := "HTTP/1.1 200 OK\r\n" + names.Request() + ": req-1\r\n" + names.Signature() + ": sig\r\n"
	for _, seed := range []string{
		head + "Content-Length: 2\r\n\r\nok",
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		head + "\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 503 X\r\n" + names.Request() + ": req-1\r\n" + names.NotRun() + ": 1\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\n" + names.Request() + ": req-1\r\n" + names.Leaving() + ": 1\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	target := &textTarget{listener: listener, texts: make(chan []byte, 1)}
	go target.run()
	f.Cleanup(func() {
		close(target.texts)
		_ = listener.Close()
	})
	sender := exchange.NewSender(upstream.NewPool(), names)
	instance := discovery.NewInstance("i-1", "s-1", listener.Addr().String(), "dc-1", 2)
	f.Fuzz(func(t *testing.T, text []byte) {
		target.texts <- text
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		r := relay.NewRequest("req-1", http.MethodGet, "a.example", "/x/1", "/x/1", http.Header{}, nil, time.Now())
		outcome := sender.Send(ctx, relay.NewAttempt(r, instance, time.Now().Add(2*time.Second), true).WithWholeResponse(), time.Now())
		lower := bytes.ToLower(text)
		switch o := outcome.(type) {
		case relay.Answered:
			assert.Assert(t, bytes.Contains(text, []byte("req-1")))
			assert.Assert(t, o.Response().Signature() != "" || o.Response().Status() >= 300)
		case relay.Declined:
			assert.Assert(t, bytes.Contains(text, []byte("req-1")))
			assert.Assert(t, o.Misdirected() || bytes.Contains(lower, bytes.ToLower([]byte(names.NotRun()))))
		}
		wait := relay.NoticeOf(outcome).RetryAfter()
		assert.Assert(t, wait >= 0 && wait <= time.Hour)
	})
}
