package listing_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/listing"
	"github.com/mulberrydale/mulberrydale/core/result"
)

func TestGetRejectsIncompleteResponses(t *testing.T) {
	tests := []struct {
		name     string
		serve    http.HandlerFunc
		wantCode result.Code
	}{
		{"status 429", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, result.Unreachable},
		{"cut short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "20")
			_, _ = io.WriteString(w, "half")
		}, result.Unreachable},
		{"too long", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", 17)) }, result.DocumentTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(tt.serve)
			defer server.Close()
			c := listing.NewClient(strings.TrimPrefix(server.URL, "http://"), 16)
			_, err := c.Get(context.Background(), "/list", nil)
			assert.Equal(t, result.CodeOf(err), tt.wantCode, "%v", err)
		})
	}
}

func ExampleClient_Get() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path+" from "+r.URL.Query().Get("from"))
	}))
	defer server.Close()
	c := listing.NewClient(strings.TrimPrefix(server.URL, "http://"), 100)
	text, err := c.Get(context.Background(), "/list", url.Values{"from": {"p 2"}})
	fmt.Println(string(text), err)
	// Output: /list from p 2 <nil>
}
