package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/connection/upstream"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// repeatingTarget rejects the first request and runs those after it. Before it
// answers the second request of a connection, it sends the answer to the first one
// again.
type repeatingTarget struct {
	mu       sync.Mutex
	requests int
	runs     int
}

// timesRun returns how many requests the target has run.
func (r *repeatingTarget) timesRun() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs
}

// answer returns the bytes of the answer to the next request.
func (r *repeatingTarget) answer(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := exchange.OwnHeaderNames()
	r.requests++
	if r.requests == 1 {
		return "HTTP/1.1 503 Full\r\n" + names.Request() + ": " + id + "\r\n" + names.NotRun() + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	r.runs++
	return "HTTP/1.1 200 OK\r\n" + names.Request() + ": " + id + "\r\n" + names.Signature() + ": sig\r\nContent-Length: 4\r\n\r\ndone"
}

// repeatingConn is one connection to a repeatingTarget.
type repeatingConn struct {
	target *repeatingTarget
	conn   net.Conn
}

func (c *repeatingConn) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	last := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := c.target.answer(r.Header.Get(exchange.OwnHeaderNames().Request()))
		if _, err := c.conn.Write([]byte(last + answer)); err != nil {
			return
		}
		last = answer
	}
}

// A target may send the rejection of a request a second time when the request is sent
// again. The second copy carries the right id, but says nothing about the second send,
// which runs: taken for its rejection, the request would be called not run, or would be
// run a second time by another target.
func TestSecondCopyOfRejectionIsNotTakenForThatOfNextSend(t *testing.T) {
	target := &repeatingTarget{}
	server := newConnServer(t, func(conn net.Conn) connHandler { return &repeatingConn{target: target, conn: conn} })
	pool := upstream.NewPool()
	sender := exchange.NewSender(pool, exchange.OwnHeaderNames())
	r := relay.NewRequest("req-1", http.MethodPost, "a.example", "/x/1", "/x/1", http.Header{}, []byte("seat"), time.Now())
	i := discovery.NewInstance("i-1", "s-1", server.address(), "dc-1", 2)
	var outcomes []string
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		a := relay.NewAttempt(r, i, time.Now().Add(5*time.Second), true)
		outcomes = append(outcomes, fmt.Sprintf("%T", sender.Send(ctx, a, time.Now())))
		cancel()
	}
	assert.DeepEqual(t, outcomes, []string{"relay.Declined", "relay.Answered"})
	assert.Equal(t, target.timesRun(), 1)
	// The connection that had carried the id was closed: where the number of
	// connections is limited, the new one must not exceed it.
	assert.Equal(t, pool.OpenConnections(), int64(1))
}
