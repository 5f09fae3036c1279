// Package gateway is the role that answers callers: it reads their requests,
// has them answered by the targets of the routes in force, and writes what
// comes of it, with one log line for each decision.
package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/process/dispatch"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// maxDeadlineMillis bounds the time that a caller may name, a day.
const maxDeadlineMillis = 24 * 3600 * 1000

// defaultBodyBytes bounds a request's body where the routes declare no bound.
const defaultBodyBytes = 8 << 20

const (
	// streamBufferBytes is the most that is read of a response at once.
	streamBufferBytes = 32 << 10
	// callerWriteTimeout is how long a client may take nothing of its response.
	callerWriteTimeout = 10 * time.Second
)

// gateway reads the requests of callers and writes their answers.
type gateway struct {
	dispatcher *dispatch.Dispatcher
	names      exchange.Names
	telemetry  *Telemetry
	draining   atomic.Bool
	// isolated reports whether clients should turn to other VMs.
	isolated func() bool
}

// ServeHTTP answers one client request.
func (g *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if g.draining.Load() || g.isolated() {
		w.Header().Set("Connection", "close")
	}
	// What is not set here is not sent; a date helps no client.
	w.Header()["Date"] = nil
	req, refused := g.readRequest(r, arrived)
	if refused != nil {
		g.writeRefused(w, *refused)
		return
	}
	answer, trace := g.dispatcher.Answer(r.Context(), req)
	if relayed, ok := answer.(relay.Relayed); ok {
		defer relayed.Response().Close()
	}
	callerLeft := r.Context().Err() != nil
	g.telemetry.recordAnswer(req, answer, trace, callerLeft, time.Now())
	if callerLeft {
		return
	}
	if err := g.writeAnswer(w, r.Method, answer); err != nil {
		g.telemetry.recordAborted(req, trace, err, time.Now())
		// The client must see that the rest is missing.
		panic(http.ErrAbortHandler)
	}
}

// readRequest reads a whole request.
func (g *gateway) readRequest(r *http.Request, arrived time.Time) (*relay.Request, *relay.Refused) {
	limit := int64(defaultBodyBytes)
	if t := g.dispatcher.Table(); t != nil && t.Limits().BodyBytes() > 0 {
		limit = t.Limits().BodyBytes()
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		refused := relay.NewRefused(result.BadRequest, "the body broke off")
		return nil, &refused
	}
	if int64(len(body)) > limit {
		refused := relay.NewRefused(result.DocumentTooLarge, "the body is larger than the limit")
		return nil, &refused
	}
	id := r.Header.Get(g.names.Request())
	if id == "" {
		id = uuid.NewString()
	}
	req := relay.NewRequest(id, r.Method, r.Host, r.RequestURI, r.URL.EscapedPath(), exchange.EndToEnd(r.Header), body, arrived)
	if ms, err := strconv.ParseFloat(r.Header.Get(g.names.Deadline()), 64); err == nil && ms > 0 && ms < maxDeadlineMillis {
		req = req.Within(time.Duration(ms * float64(time.Millisecond)))
	}
	return req, nil
}

// writeAnswer writes an answer. An error says that the rest of a response did not
// come or could not be passed on.
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

// writeRelayed passes a target's response on unchanged.
func writeRelayed(w http.ResponseWriter, method string, res *relay.Response) error {
	header := w.Header()
	for name, values := range res.Header() {
		header[name] = values
	}
	if _, has := header["Content-Type"]; !has {
		// Without an entry a type would be guessed and added.
		header["Content-Type"] = nil
	}
	length := int64(len(res.Body()))
	if res.Rest() != nil {
		length = res.Length()
	}
	if length >= 0 && method != http.MethodHead && res.Status() != http.StatusNoContent && res.Status() != http.StatusNotModified {
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	w.WriteHeader(res.Status())
	// A client that is gone needs nothing more; the server notices by itself.
	_, _ = w.Write(res.Body())
	if res.Rest() == nil {
		return nil
	}
	return streamBody(w, res.Rest())
}

// streamBody copies the rest of a response as it comes in. A client that does not
// read holds its target up for no longer than clientStall.
func streamBody(w http.ResponseWriter, rest io.Reader) error {
	controller := http.NewResponseController(w)
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := rest.Read(buf)
		if n > 0 {
			// Not every writer has deadlines; one without never blocks.
			_ = controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
			if _, err := w.Write(buf[:n]); err != nil {
				return result.Wrap(err, result.Unreachable, "the client")
			}
			if err := controller.Flush(); err != nil {
				return result.Wrap(err, result.Unreachable, "the client")
			}
		}
		switch {
		case err == io.EOF:
			_ = controller.SetWriteDeadline(time.Time{})
			return nil
		case err != nil:
			return result.Wrap(err, result.Unreachable, "the target broke off")
		}
	}
}

// writeRefused writes a refusal. Its status promises that the request has not run
// only where the code says so.
func (g *gateway) writeRefused(w http.ResponseWriter, a relay.Refused) {
	if a.RetryAfter() > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter().Seconds(), 'f', 3, 64))
	}
	WriteText(w, httpStatus(a.Code()), strconv.Itoa(int(a.Code()))+" "+a.Code().String()+": "+a.Reason()+"\n")
}

// httpStatus returns the status for a refusal.
func httpStatus(code result.Code) int {
	switch code {
	case result.UnknownQuery:
		return http.StatusNotFound
	case result.BadRequest:
		return http.StatusBadRequest
	case result.DocumentTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.TimedOut:
		return http.StatusGatewayTimeout
	}
	if code.Execution() == result.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// WriteText writes a short text as a whole answer.
func WriteText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
