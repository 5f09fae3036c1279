package operator

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// A response over the limit must be told as such. Its first part alone is a broken
// document, and for an operator's text even one that seems whole.
func TestResponseOverTheLimitIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"records":[]}`))
		spaces := bytes.Repeat([]byte(" "), 1<<20)
		for range maxResponseBytes/len(spaces) + 1 {
			_, _ = w.Write(spaces)
		}
	}))
	defer server.Close()
	_, err := NewClient(strings.TrimPrefix(server.URL, "http://")).Audit(context.Background())
	assert.Equal(t, result.CodeOf(err), result.DocumentTooLarge, "%v", err)
	assert.ErrorContains(t, err, "the response of")
}
