package exchange

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/upstream"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	// maxWholeBytes bounds a response that is of use only when it is whole.
	maxFullBodyBytes = 64 << 20
	// MaxBufferedBytes is the beginning of a response that is held before any of it is
	// passed on. A shorter one that breaks off can still be asked for again; of
	// a longer one the caller gets what there is, and then the break.
	MaxBufferedBytes = 256 << 10
)

// exchange is a request that was written to a connection and its response.
type roundTrip struct {
	conn    *upstream.Conn
	names   HeaderNames
	attempt relay.Attempt
	// stop ends the watch over the time of the send. It reports false where the
	// time was up and the connection has been cut.
	stopCancel func() bool
}

// end gives the connection back if it may carry another request.
func (x *roundTrip) finish(reuse bool) {
	if x.stopCancel() && reuse && x.conn.Reader().Buffered() == 0 {
		x.conn.Release(time.Now())
		return
	}
	x.conn.Discard()
}

// readResponse reads the response and judges it.
func (x *roundTrip) readResponse() relay.Outcome {
	// The method tells whether a body follows the header.
	req := &http.Request{Method: x.attempt.Request().Method()}
	for {
		res, err := http.ReadResponse(x.conn.Reader(), req)
		if err != nil {
			x.finish(false)
			return relay.NewLost(result.Wrap(err, result.Unreachable, "no response")).OverLimit(resetBeforeFirstRequest(x.conn, err))
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			// It has no body.
			_ = res.Body.Close()
			continue
		}
		if timeout, ok := keepAliveTimeout(res.Header); ok {
			x.conn.SetTargetIdleTimeout(timeout)
		}
		return x.readBody(res)
	}
}

// readBody holds the beginning of the body. A response that is longer, and of
// use before it is whole, goes on as its rest comes in.
func (x *roundTrip) readBody(res *http.Response) relay.Outcome {
	limit := int64(maxFullBodyBytes)
	streamable := !x.attempt.NeedsWhole() && res.StatusCode < http.StatusInternalServerError
	if streamable {
		limit = MaxBufferedBytes
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		x.finish(false)
		return relay.NewLost(result.Wrap(err, result.Unreachable, "the response broke off"))
	}
	outcome, reuse := x.names.classify(res, body, x.attempt.Request().ID())
	answered, ok := outcome.(relay.Answered)
	switch {
	case int64(len(body)) <= limit:
		_ = res.Body.Close()
		x.finish(reuse && !res.Close)
		return outcome
	case ok && streamable:
		rest := &streamedBody{ReadCloser: res.Body, roundTrip: x, reuse: reuse && !res.Close}
		return relay.NewAnswered(answered.Response().WithRest(rest, res.ContentLength), answered.Load())
	}
	x.finish(false)
	if !ok {
		return outcome
	}
	return relay.NewLost(result.New(result.FrameTooLarge, "the response has over %d bytes", limit))
}

// restOfBody is what follows the held beginning of a response. Its connection
// carries another request only if it was read to its end.
type streamedBody struct {
	io.ReadCloser
	roundTrip *roundTrip
	reuse     bool
	complete  bool
}

// Read reads on.
func (r *streamedBody) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	r.complete = r.complete || err == io.EOF
	return n, err
}

// Close gives the connection back or, in the middle of the body, closes it.
func (r *streamedBody) Close() error {
	r.roundTrip.finish(r.complete && r.reuse)
	return nil
}

// judge says what a response means, and reports whether its connection is in
// order after it.
func (n HeaderNames) classify(res *http.Response, body []byte, id string) (relay.Outcome, bool) {
	load := parseLoad(res.Header.Get(n.load))
	// A response without the id may be one too many from an earlier request.
	if echoed := res.Header.Get(n.request); echoed != id {
		return relay.NewLost(result.New(result.FrameMalformed, "the response is that of request %q", echoed)), false
	}
	if res.Header.Get(n.notRun) != "" || res.StatusCode == http.StatusMisdirectedRequest {
		return relay.NewDeclined(load, res.StatusCode == http.StatusMisdirectedRequest, "status "+strconv.Itoa(res.StatusCode)), true
	}
	if res.Header.Get("Content-Encoding") != "" {
		return relay.NewLost(result.New(result.FrameMalformed, "the response is encoded")), false
	}
	if impliesNotRun(res.StatusCode) {
		return relay.NewLost(result.New(result.TargetRefused, "status %d without a word on whether the request ran", res.StatusCode)), true
	}
	signature := res.Header.Get(n.signature)
	if signature == "" && res.StatusCode < 300 {
		return relay.NewLost(result.New(result.FrameMalformed, "a success without a signature")), false
	}
	return relay.NewAnswered(relay.NewResponse(res.StatusCode, EndToEnd(res.Header), body, signature), load), true
}

// promises reports whether a status tells a client that its request did not run
// and never will. A target that does not say so itself must not be passed on
// with it.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// keepAlive returns how long the target keeps an idle connection.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

// readLoad reads the running and waiting requests that a target tells.
func parseLoad(text string) relay.Load {
	fields := strings.Split(text, ",")
	if len(fields) < 2 {
		return relay.Load{}
	}
	running, err := strconv.Atoi(strings.TrimSpace(fields[0]))
	if err != nil {
		return relay.Load{}
	}
	waiting, err := strconv.Atoi(strings.TrimSpace(fields[1]))
	if err != nil {
		return relay.Load{}
	}
	return relay.NewLoad(running, waiting)
}

// hopByHop names the headers that concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// EndToEnd returns a header without what concerns one connection only.
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
