package intake_test

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/connection/intake"
)

// heldConns is the number of connections over which the memory of one is averaged.
const heldConns = 200

// heldBytes returns the memory that is in use for objects and stacks.
func heldBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// farFuture is later than the end of any benchmark.
var farFuture = time.Now().Add(time.Hour)

// waitForSettling waits until what a limiter charges no longer changes.
func waitForSettling(t *testing.T, l *intake.Limiter) {
	t.Helper()
	last := int64(-1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		conns, bytes := l.Use()
		if conns < heldConns || bytes != last {
			last = bytes
			return poll.Continue("%d connections, %d bytes", conns, bytes)
		}
		return poll.Success()
	}, poll.WithDelay(100*time.Millisecond), poll.WithTimeout(10*time.Second))
}

// What the budget is charged must not be less than what connections and requests keep,
// with the copies that a request to targets adds.
func TestChargesCoverWhatIsKept(t *testing.T) {
	lines := func(n int) string { return strings.Repeat("a:\r\n", n/2) + strings.Repeat("x-b1: ä\r\n", n/2) }
	distinct := ""
	for n := range 2200 {
		distinct += fmt.Sprintf("%x:\r\n", n+0x1000)
	}
	tests := []struct{ name, text string }{
		{"connections that send nothing", ""},
		{"an unfinished head", head(12000)},
		{"an ordinary request", get},
		{"many equal lines", "GET /a HTTP/1.1\r\nHost: h\r\n" + lines(2200) + "\r\n"},
		{"many distinct lines", "GET /a HTTP/1.1\r\nHost: h\r\n" + distinct + "\r\n"},
		{"one long line", head(16000) + "\r\n\r\n"},
		{"an unfinished body", "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 59000)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := intake.NewLimiter(1000, 1<<30)
			release := make(chan struct{})
			address := newServer(t, l, func(w http.ResponseWriter, r *http.Request) {
				body, charge, _ := intake.ReadBody(r, bodyLimit)
				defer charge.Release()
				header := exchange.EndToEnd(r.Header)
				var encoded strings.Builder
				_ = header.Write(&encoded)
				<-release
				runtime.KeepAlive([]any{body, header, &encoded})
			})
			before := heldBytes()
			for range heldConns {
				conn := dial(t, address)
				write(t, conn, tt.text)
			}
			waitForSettling(t, l)
			kept := heldBytes() - before
			_, charged := l.Use()
			close(release)
			t.Logf("kept %d bytes each, charged %d", kept/heldConns, charged/heldConns)
			// A client's end of a connection takes about 1 KB in this process.
			assert.Assert(t, kept <= charged, "kept %d bytes each, charged %d", kept/heldConns, charged/heldConns)
		})
	}
}

// BenchmarkRequest measures a request on an open connection, without and with a limiter.
func BenchmarkRequest(b *testing.B) {
	request := "GET /a HTTP/1.1\r\nHost: h\r\nAccept: */*\r\nX-Field: v\r\nUser-Agent: u/1\r\n\r\n"
	for name, l := range map[string]*intake.Limiter{"plain": nil, "limited": intake.NewLimiter(100, 8<<20)} {
		b.Run(name, func(b *testing.B) {
			conn := dial(b, newServer(b, l, echo))
			assert.NilError(b, conn.SetDeadline(farFuture))
			reader := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				write(b, conn, request)
				_, _ = readResponse(b, reader)
			}
		})
	}
}
