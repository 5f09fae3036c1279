package exchange

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestParseRetryAfter(t *testing.T) {
	tests := []struct {
		name, text string
		want       time.Duration
	}{
		{"seconds", "3", 3 * time.Second},
		{"a fraction", "0.25", 250 * time.Millisecond},
		{"a fraction without a leading zero", ".5", 500 * time.Millisecond},
		{"zero", "0", 0},
		{"absent", "", 0},
		{"a word", "soon", 0},
		{"negative", "-3", 0},
		{"infinite", "Inf", 0},
		{"not a number", "NaN", 0},
		{"an exponent", "1e9", 0},
		{"two numbers", "1, 2", 0},
		{"two points", "1.2.3", 0},
		{"a point alone", ".", 0},
		{"a date", "Sat, 05 Dec 2026 12:00:00 GMT", 0},
		{"years", "100000000", time.Hour},
		{"out of range", strings.Repeat("9", 400), time.Hour},
	}
	for _, tt := range tests {
		assert.Equal(t, parseRetryAfter(tt.text), tt.want, tt.name)
	}
}

// Only a response to this very request tells about its target, and a target can ask to
// wait only when it turns a request away.
func TestNotice(t *testing.T) {
	names := OwnHeaderNames()
	tests := []struct {
		name    string
		status  int
		id      string
		leaving string
		want    bool
		wait    time.Duration
	}{
		{"a success", 200, "req-1", "", false, 0},
		{"a success of a leaving target", 200, "req-1", "1", true, 0},
		{"an error of a leaving target", 500, "req-1", "1", true, 0},
		{"a rejection of a leaving target", 503, "req-1", "1", true, 2 * time.Second},
		{"another rejection", 429, "req-1", "", false, 2 * time.Second},
		{"another value", 200, "req-1", "0", false, 0},
		{"a response to another request", 503, "req-0", "1", false, 0},
		{"a response without an id", 503, "", "1", false, 0},
	}
	for _, tt := range tests {
		h := http.Header{}
		h.Set(names.Request(), tt.id)
		h.Set(names.Leaving(), tt.leaving)
		h.Set("Retry-After", "2")
		n := names.notice(&http.Response{StatusCode: tt.status, Header: h}, "req-1")
		assert.Equal(t, n.Leaving(), tt.want, tt.name)
		assert.Equal(t, n.RetryAfter(), tt.wait, tt.name)
	}
}
