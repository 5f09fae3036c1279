package exchange_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
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

// countedMemory is a memory for responses with a limit.
type countedMemory struct {
	limit int64
	used  atomic.Int64
	peak  atomic.Int64
}

func (m *countedMemory) GrowForResponse(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	m.peak.Store(max(m.peak.Load(), m.used.Load()))
	return true
}

func (m *countedMemory) ShrinkForResponse(n int64) { m.used.Add(-n) }

// text returns n bytes whose order shows.
func text(n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(i % 251)
	}
	return out
}

// What is read of a response must be charged as it arrives, and released unless the response
// is kept. A response that may be passed on before its end needs no more than there is
// memory for; another one is lost without it.
func TestResponsesAreChargedAsTheyArrive(t *testing.T) {
	const body = 200_000
	tests := []struct {
		name     string
		status   int
		length   int
		whole    bool
		limit    int64
		answered bool
		streamed bool
		charged  bool
	}{
		{"short", 200, 400, true, 0, true, false, false},
		{"short failure", 500, 400, false, 0, true, false, false},
		{"long, with memory", 200, body, false, 1 << 20, true, false, true},
		{"long, without memory", 200, body, false, 0, true, true, false},
		{"long, with memory for a part", 200, body, false, 40 << 10, true, true, true},
		{"long part, with memory", 200, body, true, 1 << 20, true, false, true},
		{"part in several blocks", 200, 3<<20 + 5, true, 16 << 20, true, false, true},
		{"part in blocks, no memory for all of them", 200, 3<<20 + 5, true, 2 << 20, false, false, false},
		{"part in blocks, no memory for them together", 200, 3<<20 + 5, true, 5 << 20, false, false, false},
		{"part of the largest size", 200, 8 << 20, true, 32 << 20, true, false, true},
		{"part over the largest size", 200, 8<<20 + 1, true, 32 << 20, false, false, false},
		{"failure in several blocks", 500, 1 << 20, false, 16 << 20, true, false, true},
		{"long part, without memory", 200, body, true, 100 << 10, false, false, false},
		{"long failure, without memory", 500, body, false, 100 << 10, false, false, false},
	}
	names := exchange.OwnHeaderNames()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(names.Request(), r.Header.Get(names.Request()))
				w.Header().Set(names.Signature(), "s")
				w.WriteHeader(tt.status)
				_, _ = w.Write(text(tt.length))
			}))
			defer server.Close()
			memory := &countedMemory{limit: tt.limit}
			released := false
			r := relay.NewRequest("req-1", http.MethodGet, "a.example", "/x/1", "/x/1", http.Header{}, nil, time.Now()).
				WithMemory(memory).WithRelease(func() { released = true })
			a := relay.NewAttempt(r, discovery.NewInstance("i-1", "s-1", strings.TrimPrefix(server.URL, "http://"), "dc-1", 2), time.Now().Add(5*time.Second), false)
			if tt.whole {
				a = a.WithWholeResponse()
			}
			outcome := exchange.NewSender(upstream.NewPool(), names).Send(context.Background(), a, time.Now())
			answered, ok := outcome.(relay.Answered)
			assert.Equal(t, ok, tt.answered, "%T", outcome)
			assert.Equal(t, memory.used.Load() > 0, tt.charged)
			assert.Assert(t, memory.peak.Load() <= tt.limit)
			if ok {
				res := answered.Response()
				assert.Equal(t, res.Rest() != nil, tt.streamed)
				got := res.Body()
				if res.Rest() != nil {
					rest, err := io.ReadAll(res.Rest())
					assert.NilError(t, err)
					assert.NilError(t, res.Rest().Close())
					got = append(got, rest...)
				}
				assert.Assert(t, bytes.Equal(got, text(tt.length)), "%d bytes of %d", len(got), tt.length)
			}
			r.Release()
			assert.Assert(t, released)
		})
	}
}

// A head without end must be charged as it arrives, and released when it is given up.
func TestHeadsAreChargedAsTheyArrive(t *testing.T) {
	names := exchange.OwnHeaderNames()
	for _, limit := range []int64{0, 1 << 20, 64 << 20} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Long", strings.Repeat("x", 300<<10))
		}))
		memory := &countedMemory{limit: limit}
		r := relay.NewRequest("req-1", http.MethodGet, "a.example", "/x/1", "/x/1", http.Header{}, nil, time.Now()).WithMemory(memory)
		a := relay.NewAttempt(r, discovery.NewInstance("i-1", "s-1", strings.TrimPrefix(server.URL, "http://"), "dc-1", 2), time.Now().Add(5*time.Second), false)
		outcome := exchange.NewSender(upstream.NewPool(), names).Send(context.Background(), a, time.Now())
		_, lost := outcome.(relay.Lost)
		assert.Assert(t, lost, "%T", outcome)
		assert.Equal(t, memory.used.Load(), int64(0))
		assert.Equal(t, memory.peak.Load() > 0, limit > 0)
		server.Close()
	}
}
