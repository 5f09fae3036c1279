package fleet

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json/jsontext"
)

// refuse answers with status 503 and a Not-Run header that holds the reason.
// Every outcome other than RefusedLeaving and RefusedSnapshot is reported as
// shed.
func (l *Leaf) refuse(w http.ResponseWriter, r *http.Request, outcome string) {
	reason := "shed"
	switch outcome {
	case RefusedLeaving:
		reason = "leaving"
	case RefusedSnapshot:
		reason = "snapshot"
	}
	l.mu.Lock()
	l.setStatusHeaders(w.Header(), l.reportedState())
	l.mu.Unlock()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Not-Run", reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// respond sends the result of a sub-request, or a faulty one if a fault is
// drawn, and records the sub-request in the journal with the outcome Ran.
func (l *Leaf) respond(w http.ResponseWriter, r *http.Request, arrivedAt time.Time, caller, snapshot string) {
	took := time.Since(arrivedAt)
	l.mu.Lock()
	fault := l.drawFault()
	l.setStatusHeaders(w.Header(), l.reportedState())
	l.mu.Unlock()
	l.record(r, arrivedAt, caller, snapshot, Ran, fault)
	id := r.Header.Get("Request-Id")
	body := fmt.Sprintf(`[{"leaf":%s,"caller":%s,"snapshot":%s,"took-us":%d}]`, quote(l.name), quote(caller), quote(snapshot), took.Microseconds())
	switch fault {
	case "crossed":
		id = "another-" + id
		body = `[{"leaf":"x","caller":"somebody-else"}]`
	case "malformed":
		body = body[:len(body)-2] + "}}"
	case "oversized":
		body = `["` + strings.Repeat("x", oversizedBytes) + `"]`
	}
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Snapshot", snapshot)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if fault == "dropped" || fault == "truncated" {
		l.closeConn(w, body, fault)
		return
	}
	_, _ = io.WriteString(w, body)
}

// closeConn closes the connection of a request, after the first half of the
// body if the fault is "truncated", otherwise without a response.
func (l *Leaf) closeConn(w http.ResponseWriter, body, fault string) {
	if fault == "truncated" {
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// drawFault draws at most one fault and returns "" for none. The caller holds
// l.mu.
func (l *Leaf) drawFault() string {
	x := l.rng.Float64()
	for _, f := range []struct {
		name  string
		share float64
	}{
		{"crossed", l.behaviour.crossed},
		{"truncated", l.behaviour.truncated},
		{"oversized", l.behaviour.oversized},
		{"malformed", l.behaviour.malformed},
		{"dropped", l.behaviour.dropped},
	} {
		if x < f.share {
			return f.name
		}
		x -= f.share
	}
	return ""
}

// record adds a sub-request that arrived at the given time to the journal.
func (l *Leaf) record(r *http.Request, arrivedAt time.Time, caller, snapshot, outcome, fault string) {
	l.mu.Lock()
	cold := l.cold
	l.mu.Unlock()
	l.journal.add(Record{
		at:        arrivedAt,
		leaf:      l.name,
		operation: r.Header.Get("Operation"),
		requestID: r.Header.Get("Request-Id"),
		caller:    caller,
		snapshot:  snapshot,
		outcome:   outcome,
		fault:     fault,
		cold:      cold,
	})
}

// deadline returns how long the client waits for the result, or a minute if the
// request has no valid Deadline-Ms header.
func deadline(r *http.Request) time.Duration {
	millis, err := strconv.ParseInt(r.Header.Get("Deadline-Ms"), 10, 64)
	if err != nil {
		return time.Minute
	}
	return time.Duration(millis) * time.Millisecond
}

// callerID returns the value of callerIDKey in a JSON object of parameters. It
// returns "" if the object lacks the key or if the JSON is malformed before it.
func callerID(body []byte) string {
	dec := jsontext.NewDecoder(strings.NewReader(string(body)))
	if _, err := dec.ReadToken(); err != nil {
		return ""
	}
	for dec.PeekKind() == '"' {
		key, err := dec.ReadToken()
		if err != nil {
			return ""
		}
		name := key.String()
		value, err := dec.ReadValue()
		if err != nil {
			return ""
		}
		if name == callerIDKey {
			text, _ := jsontext.AppendUnquote(nil, value)
			return string(text)
		}
	}
	return ""
}
