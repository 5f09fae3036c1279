package leaf_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
)

// A final status outside 200 to 599 is none of HTTP: the sub-request must not count as
// answered or as not run, and its connection must not carry another one.
func TestStatusOutsideTheProtocolIsUnusable(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "+20", "0200"} {
		for _, fields := range []string{"", "Not-Run: shed\r\n"} {
			t.Run(status+" "+fields, func(t *testing.T) {
				pool := newLeaf(t, func(w http.ResponseWriter, r *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						return
					}
					defer conn.Close()
					fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nRequest-Id: %s\r\n%sContent-Length: 2\r\n\r\n{}", status, r.Header.Get("Request-Id"), fields)
					// A second request on this connection would end without a response.
					_, _ = conn.Read(make([]byte, 1))
				})
				for range 2 {
					switch outcome := run(pool, newRequest()).(type) {
					case leaf.Unusable:
						assert.Assert(t, status != "0200")
					case leaf.Failed:
						assert.Equal(t, status, "0200", "net/http rejects a status of four digits")
						assert.Assert(t, outcome.MaybeSent())
					default:
						t.Fatalf("%T", outcome)
					}
				}
			})
		}
	}
}
