package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// maxRetryAfter is the longest time for which a target is left alone because it asked for
// it. A longer one, such as years, is taken for an error of the target.
const maxRetryAfter = time.Hour

// notice returns what the target says in a response to the request with the given id. A
// response to another request says nothing, because it may be late or of another target.
func (n HeaderNames) notice(res *http.Response, id string) relay.Notice {
	if res.Header.Get(n.request) != id {
		return relay.Notice{}
	}
	wait := time.Duration(0)
	if res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests {
		wait = parseRetryAfter(res.Header.Get("Retry-After"))
	}
	return relay.NewNotice(n.leaving != "" && res.Header.Get(n.leaving) == "1", wait)
}

// parseRetryAfter returns the time of a Retry-After header, which is a number of seconds
// that may have a fraction, but at most maxRetryAfter. It returns 0 for any other text: a
// date would depend on the clocks of two machines.
func parseRetryAfter(text string) time.Duration {
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && seconds == 0 {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
