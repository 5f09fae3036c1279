package exchange

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/connection/upstream"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	// maxHeaderBytes is the maximum size of the header of a response, together
	// with the informational responses before it.
	maxHeaderBytes = 256 << 10
	// maxFullBodyBytes is the maximum size of the body of a response that must
	// not be streamed, because the attempt needs the whole response or the
	// status is 500 or above. A query over many shards may hold several such
	// bodies, of which a faulty target may send one without end.
	maxFullBodyBytes = 8 << 20
	// MaxBufferedBytes is the size of the beginning of a response body that is
	// buffered before any of it is passed on. If a body of at most this size
	// breaks off, the request can still be sent again. If a longer one breaks
	// off, the caller has already received a part of it and gets a broken-off
	// response.
	MaxBufferedBytes = 256 << 10
)

// The final statuses of HTTP.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// roundTrip is a request that was written to a connection, and its response.
type roundTrip struct {
	conn    *upstream.Conn
	names   HeaderNames
	attempt relay.Attempt
	// stopCancel removes the callback that interrupts the connection when the
	// context of Send ends. It returns false if the callback has already run.
	stopCancel func() bool
	// headBytes is the limit of what has been read of the head and before it.
	headBytes int
	// charged is what the request is charged for this response.
	charged int64
}

// finish returns the connection to the pool if reuse is set, and closes it
// otherwise. It also closes the connection if the context of Send has ended or
// bytes after the response are buffered.
func (x *roundTrip) finish(reuse bool) {
	if x.stopCancel() && reuse && x.conn.Reader().Buffered() == 0 {
		x.conn.Release(time.Now())
		return
	}
	x.conn.Discard()
}

// readResponse skips informational responses, then reads and classifies the
// final one.
func (x *roundTrip) readResponse() relay.Outcome {
	// http.ReadResponse needs the method to know whether a body follows.
	req := &http.Request{Method: x.attempt.Request().Method()}
	x.headBytes = unchargedHeadBytes
	x.conn.LimitInput(x.headBytes, x.moreHead)
	for {
		res, err := http.ReadResponse(x.conn.Reader(), req)
		if err != nil {
			x.finish(false)
			x.releaseAll()
			return relay.NewLost(result.Wrap(err, result.Unreachable, "reading the response header")).WithOverLimit(resetBeforeFirstRequest(x.conn, err))
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			// Informational responses (1xx) have no body.
			_ = res.Body.Close()
			continue
		}
		if err := checkResponse(res); err != nil {
			x.finish(false)
			x.releaseAll()
			return relay.NewLost(err)
		}
		x.conn.UnlimitInput()
		if timeout, ok := keepAliveTimeout(res.Header); ok {
			x.conn.SetTargetIdleTimeout(timeout)
		}
		return x.readBody(res)
	}
}

// checkResponse returns an error if a final response does not conform to HTTP: if its status
// is outside 200 to 599, or a field has a space in its name, usually before the colon.
// net/http treats such a field as an unknown one, even if it declares the length of the body.
func checkResponse(res *http.Response) error {
	if res.StatusCode < minFinalStatus || res.StatusCode > maxFinalStatus {
		return result.New(result.FrameMalformed, "status %d is none of HTTP", res.StatusCode)
	}
	for name := range res.Header {
		if strings.IndexByte(name, ' ') >= 0 {
			return result.New(result.FrameMalformed, "the response has a header field with a space in its name")
		}
	}
	return nil
}

// readBody buffers the beginning of the body. If the body is longer, or there is no memory
// for more of it, and it may be passed on before it is complete, the outcome streams the
// rest. An Answered response with a longer body that must not be streamed becomes Lost.
func (x *roundTrip) readBody(res *http.Response) relay.Outcome {
	limit := int64(maxFullBodyBytes)
	streamable := !x.attempt.NeedsWholeResponse() && res.StatusCode < http.StatusInternalServerError
	if streamable {
		limit = MaxBufferedBytes
	}
	notice := x.names.notice(res, x.attempt.Request().ID())
	body, end, err := x.readUpTo(limit, res)
	noMemory := errors.Is(err, errNoMemory)
	if err != nil && !(noMemory && streamable) {
		x.finish(false)
		x.releaseAll()
		if !noMemory {
			err = result.Wrap(err, result.Unreachable, "the response body broke off")
		}
		return relay.NewLost(err).WithNotice(notice)
	}
	var header http.Header
	if !x.attempt.NeedsWholeResponse() {
		// Only a response that may be passed on needs its header.
		header = EndToEnd(res.Header)
	}
	outcome, reuse := x.names.classify(res, header, body, x.attempt.Request().ID(), notice)
	answered, ok := outcome.(relay.Answered)
	if ok && x.attempt.NeedsWholeResponse() {
		if err := checkWhole(res); err != nil {
			outcome, ok = relay.NewLost(err).WithNotice(notice), false
		}
	}
	if !ok {
		x.releaseAll()
	}
	switch {
	case end:
		_ = res.Body.Close()
		x.finish(reuse && !res.Close)
		return outcome
	case ok && streamable:
		rest := &streamedBody{ReadCloser: res.Body, roundTrip: x, reuse: reuse && !res.Close}
		return relay.NewAnswered(answered.Response().WithRest(rest, res.ContentLength), answered.Load()).WithNotice(notice)
	}
	x.finish(false)
	if !ok {
		return outcome
	}
	x.releaseAll()
	return relay.NewLost(result.New(result.FrameTooLarge, "the response body is over the limit of %d bytes", limit)).WithNotice(notice)
}

// streamedBody is the rest of a response body after the buffered beginning. Its
// connection is reused only if reuse is set and the body was read to its end.
type streamedBody struct {
	io.ReadCloser
	roundTrip *roundTrip
	reuse     bool
	complete  bool
}

// Read reads from the rest of the body and records whether its end was reached.
func (r *streamedBody) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	r.complete = r.complete || err == io.EOF
	return n, err
}

// Close returns the connection to the pool, or closes it if the body was not
// read to its end.
func (r *streamedBody) Close() error {
	r.roundTrip.finish(r.complete && r.reuse)
	return nil
}

// classify classifies a response to the request with the given id. The outcome
// is Answered, Declined or Lost; the second result reports whether the
// connection may be reused. The header is the part of the response's header that an
// Answered outcome keeps, and the notice what the target said of itself.
func (n HeaderNames) classify(res *http.Response, header http.Header, body []byte, id string, notice relay.Notice) (relay.Outcome, bool) {
	load := parseLoad(res.Header.Get(n.load))
	// A response with another id, or without one, may be a surplus response to
	// an earlier request on this connection.
	if echoed := res.Header.Get(n.request); echoed != id {
		return relay.NewLost(result.New(result.FrameMalformed, "the response carries request id %q instead of the id of this request", echoed)), false
	}
	// Status 421 means that the target at this address is not the instance that
	// the request names.
	if res.Header.Get(n.notRun) != "" || res.StatusCode == http.StatusMisdirectedRequest {
		return relay.NewDeclined(load, res.StatusCode == http.StatusMisdirectedRequest, "status "+strconv.Itoa(res.StatusCode)).WithNotice(notice), true
	}
	if res.Header.Get("Content-Encoding") != "" {
		return relay.NewLost(result.New(result.FrameMalformed, "the response has a Content-Encoding header, which is not supported")).WithNotice(notice), false
	}
	if impliesNotRun(res.StatusCode) {
		return relay.NewLost(result.New(result.TargetRefused, "status %d without the header that marks a request as not run", res.StatusCode)).WithNotice(notice), true
	}
	signature := res.Header.Get(n.signature)
	if signature == "" && res.StatusCode < 300 {
		return relay.NewLost(result.New(result.FrameMalformed, "success status without a signature header")).WithNotice(notice), false
	}
	return relay.NewAnswered(relay.NewResponse(res.StatusCode, header, body, signature), load).WithNotice(notice), true
}

// impliesNotRun reports whether clients take a status to mean that their
// request did not run and will not run. Such a response from a target is not
// passed on unless the target itself states that it did not run the request.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header: how
// long the target keeps an idle connection open. The second result is false if
// the header has no valid timeout.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

// hopByHop lists the headers that apply to a single connection, and
// Content-Length, which is set anew for each message.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// EndToEnd returns a header without the fields in hopByHop and without the
// fields that the Connection header names.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		out[name] = values
	}
	for _, field := range strings.Split(h.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(field))
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
