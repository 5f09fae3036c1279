package exchange

import (
	"net/http"

	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// acceptEncoding is the field by which a caller asks for an encoded body. Targets get
// "identity" in its place, since an encoded body is not passed on.
const acceptEncoding = "Accept-Encoding"

// selectiveFields are the fields by which a caller asks for something other than the whole
// response. The shards of a route don't get them: their responses are merged, so that each
// must be whole, and what the caller asks for concerns the merged response.
var selectiveFields = []string{"Range", "If-Range", "If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since", "Prefer"}

// replacedFields returns the names of the caller's fields that the target does not get, or not
// with the caller's value.
func (n HeaderNames) replacedFields(a relay.Attempt) []string {
	fields := []string{n.request, n.deadline, n.target, acceptEncoding}
	if a.Identity().HidesKey() {
		fields = append(fields, n.key, n.team)
	}
	if a.NeedsWholeResponse() {
		fields = append(fields, selectiveFields...)
	}
	return fields
}

// checkWhole returns an error if a response holds only a part of what was asked for.
func checkWhole(res *http.Response) error {
	if res.StatusCode == http.StatusPartialContent || res.Header.Get("Content-Range") != "" {
		return result.New(result.FrameMalformed, "the response with status %d is a part of what the request asked for", res.StatusCode)
	}
	return nil
}
