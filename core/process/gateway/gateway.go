// Package gateway implements the entry role of a VM: it reads the requests of
// callers, dispatches them to targets according to the current routing table,
// writes the answers, and records log lines and metrics about them.
package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/connection/intake"
	"github.com/mulberrydale/mulberrydale/core/process/dispatch"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// maxDeadlineMillis is one day. A deadline header with this value or a larger
// one is ignored.
const maxDeadlineMillis = 24 * 3600 * 1000

// defaultMaxBodyBytes limits the size of a request body if there is no routing
// table or if it declares no limit.
const defaultMaxBodyBytes = 8 << 20

// noRoutesRetryAfter is the time after which a VM without routes usually has them.
const noRoutesRetryAfter = 300 * time.Millisecond

const (
	// streamBufferBytes is the size of the buffer through which the rest of a
	// response is copied, which is the part that follows its buffered beginning.
	streamBufferBytes = 32 << 10
	// callerWriteTimeout limits how long a write of streamed response data may
	// block because the caller does not read.
	callerWriteTimeout = 10 * time.Second
	// overCapacityRetryAfter is the Retry-After value of a request for whose body there is
	// no memory.
	overCapacityRetryAfter = time.Second
)

// gateway is the HTTP handler for the requests of callers.
type gateway struct {
	dispatcher *dispatch.Dispatcher
	names      exchange.HeaderNames
	telemetry  *Telemetry
	// isIsolated reports whether this VM cannot reach enough targets, so that
	// callers should use other VMs.
	isIsolated func() bool
}

// ServeHTTP answers one request. If the rest of a relayed response cannot be
// read or written, it panics with http.ErrAbortHandler. It never returns without an
// answer, because net/http then sends a success without a body. Not even a caller that
// seems to have left may get that: it may have ended only its side of the connection.
func (g *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if g.dispatcher.Draining() || g.isIsolated() {
		w.Header().Set("Connection", "close")
	}
	// A nil entry keeps net/http from adding a Date header, which callers do
	// not need.
	w.Header()["Date"] = nil
	req, refused := g.readRequest(r, arrived)
	if refused != nil {
		if refused.Code() == result.OverCapacity {
			g.telemetry.recordOverCapacity(r.Header.Get(g.names.Request()), r.ContentLength, arrived)
			// The rest of the body is not read.
			w.Header().Set("Connection", "close")
		}
		g.writeRefused(w, *refused)
		return
	}
	defer req.Release()
	answer, trace := g.dispatcher.Answer(r.Context(), req)
	if relayed, ok := answer.(relay.Relayed); ok {
		defer relayed.Response().Close()
	}
	g.telemetry.recordAnswer(req, answer, trace, r.Context().Err() != nil, time.Now())
	if err := g.writeAnswer(w, r.Method, answer); err != nil {
		g.telemetry.recordAborted(req, trace, err, time.Now())
		// The panic closes the connection, so that the caller does not take the
		// truncated response for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// readRequest reads a request with its whole body. It refuses a body that
// cannot be read, exceeds the limit or finds no memory. A request without an id gets a random
// one. The deadline header, in milliseconds, is ignored if it is not a number
// greater than 0 and less than maxDeadlineMillis.
func (g *gateway) readRequest(r *http.Request, arrived time.Time) (*relay.Request, *relay.Refused) {
	limit := int64(defaultMaxBodyBytes)
	if t := g.dispatcher.Table(); t != nil && t.Limits().BodyBytes() > 0 {
		limit = t.Limits().BodyBytes()
	}
	body, charge, err := intake.ReadBody(r, limit)
	if err != nil {
		refused := g.refuseBody(err)
		return nil, &refused
	}
	id := r.Header.Get(g.names.Request())
	if id == "" {
		id = uuid.NewString()
	}
	req := relay.NewRequest(id, r.Method, r.Host, r.RequestURI, r.URL.EscapedPath(), exchange.EndToEnd(r.Header), body, arrived).
		WithRelease(charge.Release).
		WithMemory(charge).
		WithCredential(relay.ReadCredential(r.Header[g.names.Key()]))
	if ms, err := strconv.ParseFloat(r.Header.Get(g.names.Deadline()), 64); err == nil && ms > 0 && ms < maxDeadlineMillis {
		req = req.WithTimeout(time.Duration(ms * float64(time.Millisecond)))
	}
	if d, known := networkTime(r.Context()); known {
		req = req.WithNetworkTime(d)
	}
	return req, nil
}

// refuseBody returns the refusal of a request whose body could not be read.
func (g *gateway) refuseBody(err error) relay.Refused {
	switch {
	case g.dispatcher.Table() == nil:
		// Without routes no request may be refused for good.
		return relay.NewRefused(result.NoConfiguration, "this VM has no routes yet").WithRetryAfter(noRoutesRetryAfter)
	case errors.Is(err, intake.ErrTooLarge):
		return relay.NewRefused(result.DocumentTooLarge, "the request body is larger than the limit")
	case errors.Is(err, intake.ErrNoMemory):
		return relay.NewRefused(result.OverCapacity, "this VM has no memory left for the request body").WithRetryAfter(overCapacityRetryAfter)
	}
	return relay.NewRefused(result.BadRequest, "the request body ended early")
}

// writeAnswer writes an answer. It returns an error if the rest of a streamed
// response could not be read from the target or written to the caller.
func (g *gateway) writeAnswer(w http.ResponseWriter, method string, answer relay.Answer) error {
	switch a := answer.(type) {
	case relay.Relayed:
		return writeRelayed(w, method, a.Response())
	case relay.Merged:
		header := w.Header()
		header[g.names.Parts()] = []string{strings.Join(a.Signatures(), ", ")}
		header[g.names.Missing()] = []string{strconv.Itoa(a.Missing())}
		header["Content-Type"] = []string{"application/octet-stream"}
		header["Content-Length"] = []string{strconv.Itoa(len(a.Records()))}
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(a.Records())
	case relay.Refused:
		g.writeRefused(w, a)
	}
	return nil
}

// writeRelayed writes the response of a target with its status, end-to-end
// header fields and body unchanged, and with a Content-Length if the length is
// known. It returns an error if the rest of a streamed response could not be
// read from the target or written to the caller.
func writeRelayed(w http.ResponseWriter, method string, res *relay.Response) error {
	header := w.Header()
	for name, values := range res.Header() {
		header[name] = values
	}
	if _, has := header["Content-Type"]; !has {
		// Without an entry, net/http would detect a content type and add it.
		header["Content-Type"] = nil
	}
	length := int64(len(res.Body()))
	if res.Rest() != nil {
		length = res.Length()
	}
	// A response to HEAD or with the status 204 or 304 has no body, so the number
	// of bytes received from the target is not the length to declare.
	if length >= 0 && method != http.MethodHead && res.Status() != http.StatusNoContent && res.Status() != http.StatusNotModified {
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	w.WriteHeader(res.Status())
	// The error is ignored: it means that the caller has disconnected, which
	// net/http detects itself.
	_, _ = w.Write(res.Body())
	if res.Rest() == nil {
		return nil
	}
	return streamBody(w, res.Rest())
}

// streamBody copies the rest of a response to the caller as it arrives. If the
// caller does not read, the copy fails after callerWriteTimeout, so that the
// target is not blocked for longer.
func streamBody(w http.ResponseWriter, rest io.Reader) error {
	controller := http.NewResponseController(w)
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := rest.Read(buf)
		if n > 0 {
			// The error is ignored: a writer that does not support deadlines, as
			// in tests, never blocks.
			_ = controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
			if _, err := w.Write(buf[:n]); err != nil {
				return result.Wrap(err, result.Unreachable, "cannot write the response to the caller")
			}
			if err := controller.Flush(); err != nil {
				return result.Wrap(err, result.Unreachable, "cannot write the response to the caller")
			}
		}
		switch {
		case err == io.EOF:
			_ = controller.SetWriteDeadline(time.Time{})
			return nil
		case err != nil:
			return result.Wrap(err, result.Unreachable, "cannot read the rest of the response from the target")
		}
	}
}

// writeRefused writes a refusal. If it has a retry time, the response has a
// Retry-After header in seconds with three decimals. The status is 503 only if
// the result code guarantees that the request has not run.
func (g *gateway) writeRefused(w http.ResponseWriter, a relay.Refused) {
	if a.RetryAfter() > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter().Seconds(), 'f', 3, 64))
	}
	if a.Code() == result.UnknownTeam {
		// HTTP requires this header with status 401. The scheme is the header to use.
		w.Header().Set("WWW-Authenticate", g.names.Key())
	}
	WriteText(w, httpStatus(a.Code()), strconv.Itoa(int(a.Code()))+" "+a.Code().String()+": "+a.Reason()+"\n")
}

// httpStatus returns the HTTP status for the result code of a refusal.
func httpStatus(code result.Code) int {
	switch code {
	case result.UnknownQuery:
		return http.StatusNotFound
	case result.BadRequest:
		return http.StatusBadRequest
	case result.DocumentTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.UnknownTeam:
		return http.StatusUnauthorized
	case result.TimedOut:
		return http.StatusGatewayTimeout
	case result.OverQuota:
		return http.StatusTooManyRequests
	}
	if code.Execution() == result.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// WriteText writes a complete plain-text response with a Content-Length.
func WriteText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
