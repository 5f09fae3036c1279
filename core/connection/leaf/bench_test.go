package leaf_test

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
)

// rawLeaf responds on plain TCP connections without net/http, so that the
// benchmark measures little more than the client.
type rawLeaf struct{ socket net.Listener }

func (l *rawLeaf) run() {
	for {
		conn, err := l.socket.Accept()
		if err != nil {
			return
		}
		go (&rawConn{conn: conn}).run()
	}
}

// rawConn is one connection that a rawLeaf has accepted.
type rawConn struct{ conn net.Conn }

// run reads requests up to the end of their body and responds to each.
func (c *rawConn) run() {
	r := bufio.NewReader(c.conn)
	head := []byte("HTTP/1.1 200 OK\r\nSnapshot: s1\r\nStart-Id: life-1\r\nState: warm\r\nSnapshots: s1\r\nLoad: 1\r\nContent-Length: 9\r\nRequest-Id: ")
	for {
		id := ""
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if strings.HasPrefix(line, "Request-Id: ") {
				id = line[len("Request-Id: "):]
			}
			if line == "\r\n" {
				break
			}
		}
		if _, err := r.Discard(len(`{"a":1}`)); err != nil {
			return
		}
		if _, err := c.conn.Write(append(append(head[:len(head):len(head)], id...), "\r\n[1, 2, 3]"...)); err != nil {
			return
		}
	}
}

// BenchmarkSubRequest measures the time and the allocations of one sub-request.
func BenchmarkSubRequest(b *testing.B) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer socket.Close()
	go (&rawLeaf{socket: socket}).run()
	pool := leaf.NewPool(socket.Addr().String(), 1)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		now := time.Now()
		request := leaf.NewRequest("sub-1", "s", "q", "s1", []byte(`{"a":1}`), now.Add(time.Second))
		if outcome, ok := pool.Run(ctx, request, now).(leaf.Answered); !ok {
			b.Fatalf("%#v", outcome)
		}
	}
}
