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
	// passOnBytes is the most that is read of a response at once.
	passOnBytes = 32 << 10
	// clientStall is how long a client may take nothing of its response.
	clientStall = 10 * time.Second
)

// gateway reads the requests of callers and writes their answers.
type gateway struct {
	dispatcher *dispatch.Dispatcher
	names      exchange.HeaderNames
	report     *Report
	leaving    atomic.Bool
	// unready reports whether clients should turn to other VMs.
	unready func() bool
}

// ServeHTTP answers one client request.
func (s *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if s.leaving.Load() || s.unready() {
		w.Header().Set("Connection", "close")
	}
	// What is not set here is not sent; a date helps no client.
	w.Header()["Date"] = nil
	req, refused := s.decode(r, arrived)
	if refused != nil {
		s.refuse(w, *refused)
		return
	}
	answer, trace := s.dispatcher.Answer(r.Context(), req)
	if relayed, ok := answer.(relay.Relayed); ok {
		defer relayed.Response().Close()
	}
	gone := r.Context().Err() != nil
	s.report.answered(req, answer, trace, gone, time.Now())
	if gone {
		return
	}
	if err := s.write(w, r.Method, answer); err != nil {
		s.report.brokenOff(req, trace, err, time.Now())
		// The client must see that the rest is missing.
		panic(http.ErrAbortHandler)
	}
}

// decode reads a whole request.
func (s *gateway) decode(r *http.Request, arrived time.Time) (*relay.Request, *relay.Refused) {
	limit := int64(defaultBodyBytes)
	if t := s.dispatcher.Table(); t != nil && t.Limits().BodyBytes() > 0 {
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
	id := r.Header.Get(s.names.Request())
	if id == "" {
		id = uuid.NewString()
	}
	req := relay.NewRequest(id, r.Method, r.Host, r.RequestURI, r.URL.EscapedPath(), exchange.EndToEnd(r.Header), body, arrived)
	if ms, err := strconv.ParseFloat(r.Header.Get(s.names.Deadline()), 64); err == nil && ms > 0 && ms < maxDeadlineMillis {
		req = req.Within(time.Duration(ms * float64(time.Millisecond)))
	}
	return req, nil
}

// write writes an answer. An error says that the rest of a response did not
// come or could not be passed on.
func (s *gateway) write(w http.ResponseWriter, method string, answer relay.Answer) error {
	switch a := answer.(type) {
	case relay.Relayed:
		return writeRelayed(w, method, a.Response())
	case relay.Merged:
		header := w.Header()
		header[s.names.Parts()] = []string{strings.Join(a.Signatures(), ", ")}
		header[s.names.Missing()] = []string{strconv.Itoa(a.Missing())}
		header["Content-Type"] = []string{"application/octet-stream"}
		header["Content-Length"] = []string{strconv.Itoa(len(a.Records()))}
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(a.Records())
	case relay.Refused:
		s.refuse(w, a)
	}
	return nil
}

// writeRelayed passes a target's response on unchanged.
func writeRelayed(w http.ResponseWriter, method string, r *relay.Response) error {
	header := w.Header()
	for name, values := range r.Header() {
		header[name] = values
	}
	if _, has := header["Content-Type"]; !has {
		// Without an entry a type would be guessed and added.
		header["Content-Type"] = nil
	}
	length := int64(len(r.Body()))
	if r.Rest() != nil {
		length = r.Length()
	}
	if length >= 0 && method != http.MethodHead && r.Status() != http.StatusNoContent && r.Status() != http.StatusNotModified {
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	w.WriteHeader(r.Status())
	// A client that is gone needs nothing more; the server notices by itself.
	_, _ = w.Write(r.Body())
	if r.Rest() == nil {
		return nil
	}
	return passOn(w, r.Rest())
}

// passOn copies the rest of a response as it comes in. A client that does not
// read holds its target up for no longer than clientStall.
func passOn(w http.ResponseWriter, rest io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, passOnBytes)
	for {
		n, err := rest.Read(buffer)
		if n > 0 {
			// Not every writer has deadlines; one without never blocks.
			_ = control.SetWriteDeadline(time.Now().Add(clientStall))
			if _, err := w.Write(buffer[:n]); err != nil {
				return result.Wrap(err, result.Unreachable, "the client")
			}
			if err := control.Flush(); err != nil {
				return result.Wrap(err, result.Unreachable, "the client")
			}
		}
		switch {
		case err == io.EOF:
			_ = control.SetWriteDeadline(time.Time{})
			return nil
		case err != nil:
			return result.Wrap(err, result.Unreachable, "the target broke off")
		}
	}
}

// refuse writes a refusal. Its status promises that the request has not run
// only where the code says so.
func (s *gateway) refuse(w http.ResponseWriter, a relay.Refused) {
	if a.RetryAfter() > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter().Seconds(), 'f', 3, 64))
	}
	WriteText(w, statusOf(a.Code()), strconv.Itoa(int(a.Code()))+" "+a.Code().String()+": "+a.Reason()+"\n")
}

// statusOf returns the status for a refusal.
func statusOf(code result.Code) int {
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
