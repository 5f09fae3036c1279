package leaf_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
)

// newLeaf starts a leaf with a handler and returns a pool of one connection to
// it.
func newLeaf(t *testing.T, handler http.HandlerFunc) *leaf.Pool {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	pool := leaf.NewPool(strings.TrimPrefix(server.URL, "http://"), 1)
	t.Cleanup(pool.Close)
	return pool
}

// run sends a request with a timeout of 300 ms.
func run(pool *leaf.Pool, request leaf.Request) leaf.Outcome {
	now := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), now.Add(300*time.Millisecond))
	defer cancel()
	return pool.Run(ctx, request, now)
}

func newRequest() leaf.Request {
	return leaf.NewRequest("sub-1", "s", "q", "s1", []byte(`{"a":1}`), time.Now().Add(time.Second))
}

// respond writes a valid response with a body.
func respond(w http.ResponseWriter, r *http.Request, body string) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Snapshot", "s1")
	w.Header().Set("Start-Id", "life-1")
	w.Header().Set("Snapshots", "s0,s1")
	w.Header().Set("Load", "3")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write([]byte(body))
}

// closeConnection closes the connection without sending anything more.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// waitForClientClose sends no response and returns once the client has closed
// the connection. The server detects that only after it has read the body.
func waitForClientClose(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func TestResponseClassification(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    string
	}{
		{"complete", func(w http.ResponseWriter, r *http.Request) { respond(w, r, `[1]`) }, "answered"},
		{"response to another request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Request-Id", "another")
			_, _ = w.Write([]byte(`[1]`))
		}, "unusable crossed"},
		{"truncated", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`[1`))
			_ = http.NewResponseController(w).Flush()
			closeConnection(w)
		}, "unusable truncated"},
		{"malformed", func(w http.ResponseWriter, r *http.Request) { respond(w, r, `[1}`) }, "unusable malformed"},
		{"two values", func(w http.ResponseWriter, r *http.Request) { respond(w, r, `[1][2]`) }, "unusable malformed"},
		{"oversized", func(w http.ResponseWriter, r *http.Request) {
			respond(w, r, `"`+strings.Repeat("x", 2<<20)+`"`)
		}, "unusable oversized"},
		{"no length", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			_ = http.NewResponseController(w).Flush()
			_, _ = w.Write([]byte(`[1]`))
		}, "unusable no Content-Length"},
		{"load shed", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Not-Run", "shed")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, "refused"},
		{"unexpected status", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.WriteHeader(http.StatusInternalServerError)
		}, "unusable status 500"},
		{"connection closed", func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }, "failed maybe-sent=true timed-out=false"},
		{"no response", func(_ http.ResponseWriter, r *http.Request) { waitForClientClose(r) }, "failed maybe-sent=true timed-out=true"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, describe(run(newLeaf(t, tt.handler), newRequest())), tt.want)
		})
	}
}

func describe(outcome leaf.Outcome) string {
	switch o := outcome.(type) {
	case leaf.Answered:
		return "answered"
	case leaf.Refused:
		return "refused"
	case leaf.Unusable:
		return "unusable " + o.Reason()
	case leaf.Failed:
		return fmt.Sprintf("failed maybe-sent=%t timed-out=%t", o.MaybeSent(), o.TimedOut())
	}
	return "withheld"
}

func TestReportIsParsed(t *testing.T) {
	outcome := run(newLeaf(t, func(w http.ResponseWriter, r *http.Request) { respond(w, r, `[]`) }), newRequest())
	answer, ok := outcome.(leaf.Answered)
	assert.Assert(t, ok)
	load, known := answer.Report().Load()
	assert.Assert(t, known)
	assert.Equal(t, load, 3.0)
	assert.Equal(t, answer.Report().StartID(), "life-1")
	assert.DeepEqual(t, answer.Report().Snapshots(), []string{"s0", "s1"})
}

// TestTransportDoesNotRetry guards against requests that http.Transport sends a
// second time: it retries requests that it considers replayable if the leaf
// closes the reused connection before it responds.
func TestTransportDoesNotRetry(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		var requests atomic.Int64
		pool := newLeaf(t, func(w http.ResponseWriter, r *http.Request) {
			if requests.Add(1) == 2 {
				closeConnection(w)
				return
			}
			respond(w, r, `[]`)
		})
		request := newRequest()
		if nonIdempotent {
			request = request.AsNonIdempotent()
		}
		assert.Equal(t, describe(run(pool, request)), "answered")
		failed, ok := run(pool, request).(leaf.Failed)
		assert.Assert(t, ok)
		assert.Assert(t, failed.MaybeSent())
		assert.Equal(t, requests.Load(), int64(2))
	}
}

func TestUnreachableLeafIsReportedUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	failed, ok := run(leaf.NewPool(address, 1), newRequest().AsNonIdempotent()).(leaf.Failed)
	assert.Assert(t, ok)
	assert.Assert(t, !failed.MaybeSent())
}

func TestReplaceConnectionsDialsAgain(t *testing.T) {
	// The leaf responds to the first request on the first connection and to all
	// requests on other connections, but to no later request on the first one.
	var silentAddr atomic.Value
	silentAddr.Store("")
	pool := newLeaf(t, func(w http.ResponseWriter, r *http.Request) {
		if silentAddr.CompareAndSwap("", r.RemoteAddr) || silentAddr.Load() != r.RemoteAddr {
			respond(w, r, `[]`)
			return
		}
		waitForClientClose(r)
	})
	assert.Equal(t, describe(run(pool, newRequest())), "answered")
	assert.Equal(t, describe(run(pool, newRequest())), "failed maybe-sent=true timed-out=true")
	pool.ReplaceConnections(time.Now(), time.Second)
	assert.Equal(t, describe(run(pool, newRequest())), "answered")
	assert.Equal(t, pool.Dials(), int64(2))
	assert.Assert(t, pool.OpenConnections() <= pool.MaxConnections())
}
