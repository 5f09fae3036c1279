package exchange

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// The encoded request must be one that net/http reads back with exactly the fields of
// the caller and of this VM, whatever the values hold.
func TestEncodedRequestIsReadBack(t *testing.T) {
	names := OwnHeaderNames()
	header := http.Header{"Accept": {"a", "b"}, "X-Trace": {"4f1c"}, names.Deadline(): {"999"}}
	tests := []struct {
		name, method, id, target string
		body                     []byte
		length                   string
	}{
		{"without a body", http.MethodGet, "req-1", "i-1", nil, ""},
		{"with a body", http.MethodPost, "req-2", "i-1", []byte("text"), "4"},
		{"a body that is not copied", http.MethodPost, "req-5", "i-1", make([]byte, maxCopiedBytes+1), "4097"},
		{"an empty post", http.MethodPost, "req-3", "i-1", nil, "0"},
		{"line breaks in an id", http.MethodGet, "req\r\nX-Added: 1", "i\n1", nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			r := relay.NewRequest(tt.id, tt.method, "a.example", "/x/1?q=%20", "/x/1", header, tt.body, now)
			var first []byte
			for range 2 {
				a := relay.NewAttempt(r, discovery.NewInstance(tt.target, "s-1", "10.0.0.1:1", "dc-1", 2), now.Add(250*time.Millisecond), false)
				head, rest := names.encodeRequest(a, now)
				text := append(head, bytes.Join(rest, nil)...)
				if first == nil {
					first = text
				}
				assert.Assert(t, bytes.Equal(text, first))
				got, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
				assert.NilError(t, err)
				assert.Equal(t, got.Method, tt.method)
				assert.Equal(t, got.RequestURI, "/x/1?q=%20")
				assert.Equal(t, got.Host, "a.example")
				assert.Equal(t, got.Header.Get(names.Request()), lineBreaks.Replace(tt.id))
				assert.Equal(t, got.Header.Get(names.Target()), lineBreaks.Replace(tt.target))
				assert.DeepEqual(t, got.Header[names.Deadline()], []string{"250"})
				assert.DeepEqual(t, got.Header["Accept"], []string{"a", "b"})
				assert.Equal(t, got.Header.Get("X-Trace"), "4f1c")
				assert.Equal(t, got.Header.Get("X-Added"), "")
				assert.Equal(t, got.Header.Get("Content-Length"), tt.length)
			}
		})
	}
}
