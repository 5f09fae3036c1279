package untrusted

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
)

const (
	// callersOfFaultyTargets is the number of callers that ask faulty targets again and
	// again, and faultyTime how long they do so.
	callersOfFaultyTargets = 30
	faultyTime             = 4 * time.Second
	// ordinaryRequests is the number of ordinary requests meanwhile.
	ordinaryRequests = 10
	// largeBytes is the length of a large response that is in order.
	largeBytes = 6 << 20
)

// faultyDocument is a document of routes to a faulty target, alone and as a shard, to one
// with large responses, and to an ordinary one.
const faultyDocument = `{
	"version": 1,
	"routes": [
		{"name": "alone", "host": "h.example", "path": "/alone/", "kind": "idempotent", "time-limit-ms": 2000, "services": [{"name": "s-1"}]},
		{"name": "shards", "host": "h.example", "path": "/shards/", "kind": "idempotent", "time-limit-ms": 2000, "shards": ["s-1", "s-2"], "top": 20, "least-share": 0.5},
		{"name": "ordinary", "host": "h.example", "path": "/ordinary/", "kind": "idempotent", "time-limit-ms": 2000, "services": [{"name": "s-2"}]},
		{"name": "large", "host": "h.example", "path": "/large/", "kind": "idempotent", "time-limit-ms": 5000, "services": [{"name": "s-3"}]},
	],
	"services": [{"name": "s-1"}, {"name": "s-2"}, {"name": "s-3"}],
}`

// faultyTarget answers each request on a connection with a beginning and then the same text
// until the connection is closed.
type faultyTarget struct {
	beginning, repeated string
	listener            net.Listener
}

func (f *faultyTarget) run() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go (&faultyConn{target: f, conn: conn}).run()
	}
}

// faultyConn is a connection to a faulty target.
type faultyConn struct {
	target *faultyTarget
	conn   net.Conn
}

func (f *faultyConn) run() {
	defer f.conn.Close()
	id := ""
	head := make([]byte, 0, 4<<10)
	for !strings.Contains(string(head), "\r\n\r\n") {
		n, err := f.conn.Read(head[len(head):cap(head)])
		if err != nil {
			return
		}
		head = head[:len(head)+n]
	}
	name := exchange.OwnHeaderNames().Request()
	for _, line := range strings.Split(string(head), "\r\n") {
		if value, ok := strings.CutPrefix(line, name+": "); ok {
			id = value
		}
	}
	_, err := io.WriteString(f.conn, strings.ReplaceAll(f.target.beginning, "ID", id))
	block := []byte(strings.Repeat(f.target.repeated, max(1, blockBytes/len(f.target.repeated))))
	for err == nil {
		_, err = f.conn.Write(block)
	}
}

// faultyKind is what a faulty target sends.
type faultyKind struct{ name, beginning, repeated string }

// faultyKinds returns what faulty targets send without end.
func faultyKinds() []faultyKind {
	names := exchange.OwnHeaderNames()
	fields := names.Request() + ": ID\r\n" + names.Signature() + ": s\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", blockBytes, strings.Repeat("r", blockBytes))
	return []faultyKind{
		{"one header line", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: \r\n"},
		{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"a body by length", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 99999999999\r\n\r\n", "r"},
		{"a body until close", "HTTP/1.1 200 OK\r\n" + fields + "\r\n", "r"},
		{"a body in chunks", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n", chunk},
		{"a failure in chunks", "HTTP/1.1 500 Failed\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n", chunk},
		{"a failure until close", "HTTP/1.1 500 Failed\r\n" + fields + "\r\n", "r"},
	}
}

// targetAddresses starts a faulty target, an ordinary one and one with large responses, and
// returns their addresses.
func targetAddresses(t *testing.T, kind faultyKind) []string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go (&faultyTarget{beginning: kind.beginning, repeated: kind.repeated, listener: listener}).run()
	ordinary := httptest.NewServer(http.HandlerFunc(answerAsLeaf))
	t.Cleanup(ordinary.Close)
	large := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		names := exchange.OwnHeaderNames()
		w.Header().Set(names.Request(), r.Header.Get(names.Request()))
		w.Header().Set(names.Signature(), "signature")
		for range largeBytes / blockBytes {
			_, _ = io.WriteString(w, strings.Repeat("l", blockBytes))
		}
	}))
	t.Cleanup(large.Close)
	var out []string
	for _, url := range []string{listener.Addr().String(), ordinary.URL, large.URL} {
		out = append(out, strings.TrimPrefix(url, "http://"))
	}
	return out
}

// askingCaller sends requests to the routes of the faulty target and reads what comes.
type askingCaller struct {
	url    string
	number int
	done   *sync.WaitGroup
}

func (a *askingCaller) run(ctx context.Context) {
	defer a.done.Done()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		path := []string{"/alone/", "/shards/"}[(a.number+n)%2]
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, a.url+path, http.NoBody)
		if err != nil {
			return
		}
		req.Host = "h.example"
		if res, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	}
}

// Guards against targets that send without end, in a head or in a body, and take the memory
// of an entry VM: the process must stay within the memory of its machine, go on to answer
// ordinary requests, and pass on large responses that are in order.
func TestEntryVMWithstandsTargetsThatSendWithoutEnd(t *testing.T) {
	for _, kind := range faultyKinds() {
		t.Run(kind.name, func(t *testing.T) {
			addresses := targetAddresses(t, kind)
			i := newInstallationOf(t, faultyDocument, addresses)
			entry := startServer(t, "route", i.entrySettings)
			request := ordinary{method: http.MethodGet, url: "http://" + i.callers + "/ordinary/1", host: "h.example", status: http.StatusOK}
			request.waitUntilAnswered(t)
			ctx, cancel := context.WithTimeout(context.Background(), faultyTime)
			defer cancel()
			var callers sync.WaitGroup
			for n := range callersOfFaultyTargets {
				callers.Add(1)
				go (&askingCaller{url: "http://" + i.callers, number: n, done: &callers}).run(ctx)
			}
			answered := 0
			for range ordinaryRequests {
				time.Sleep(faultyTime / (2 * ordinaryRequests))
				if status, err := request.send(); err == nil && status == http.StatusOK {
					answered++
				}
			}
			assert.Assert(t, answered >= ordinaryRequests-1, "%d of %d ordinary requests were answered", answered, ordinaryRequests)
			assert.Equal(t, largeResponse(t, i.callers), largeBytes)
			callers.Wait()
			assert.Assert(t, entry.alive(), "the process has ended")
			peak := entry.peakMemory()
			t.Logf("peak memory %d MB", peak>>20)
			assert.Assert(t, peak < memoryMB<<20, "the peak memory is %d MB, the bound is %d MB", peak>>20, memoryMB)
		})
	}
}

// largeResponse returns the length of a large response that passes through the entry VM.
func largeResponse(t *testing.T, callers string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+callers+"/large/1", http.NoBody)
	assert.NilError(t, err)
	req.Host = "h.example"
	client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	res, err := client.Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	assert.NilError(t, err)
	return int(n)
}
