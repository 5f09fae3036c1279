package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// Guards against an empty success that no target sent: a caller that ends its side of
// the connection and still reads looks to net/http as if it had left, and for a handler
// that writes nothing net/http sends 200.
func TestCallerThatEndsItsSideGetsATrueAnswer(t *testing.T) {
	silent := func(net.Conn, *http.Request) {}
	full := reply(503, "Mulberrydale-Not-Run: 1\r\n", "")
	slow := func(c net.Conn, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		full(c, r)
	}
	// halfDone answers on the first shard only.
	halfDone := func(c net.Conn, r *http.Request) {
		if r.Header.Get(names.Target()) == "i-0" {
			reply(200, signatureHeader, "")(c, r)
		}
	}
	tests := []struct {
		name    string
		table   *routing.Table
		respond func(net.Conn, *http.Request)
		targets int
		status  int
	}{
		{"may have run", routeTable(routing.NonIdempotent), silent, 1, 502},
		{"may be repeated", routeTable(routing.Idempotent), silent, 1, 502},
		{"rejected later", routeTable(routing.NonIdempotent), slow, 1, 502},
		{"no target", routeTable(routing.NonIdempotent), silent, 0, 503},
		{"too few shards", shardTable(3), silent, 3, 502},
		{"some of the shards", shardTable(3), halfDone, 3, 502},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLeafServer(t, tt.respond)
			var instances []discovery.Instance
			for n := range tt.targets {
				service := fmt.Sprintf("s-%d", n)
				if tt.targets == 1 {
					service = "s-1"
				}
				instances = append(instances, l.instance(fmt.Sprintf("i-%d", n), service))
			}
			s := newEntryServer(t, tt.table, instances...)
			conn, err := net.Dial("tcp", strings.TrimPrefix(s.server.URL, "http://"))
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\n%s: req-1\r\n%s: 900\r\nContent-Length: 4\r\n\r\nseat", names.Request(), names.Deadline())
			assert.NilError(t, err)
			time.Sleep(50 * time.Millisecond)
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer res.Body.Close()
			text, err := io.ReadAll(res.Body)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, tt.status, string(text))
			assert.Assert(t, len(text) > 0)
		})
	}
}
