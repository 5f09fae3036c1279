// Package leaf sends sub-requests and health probes to leafs over HTTP. It is
// the only package that depends on the wire format of leafs; its callers use
// only the types declared here.
package leaf

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/result"
)

// Request is one sub-request to one leaf.
type Request struct {
	id            string
	service       string
	operation     string
	snapshot      string
	parameters    []byte
	deadline      time.Time
	nonIdempotent bool
}

// NewRequest returns an idempotent sub-request. The leaf echoes the id. The
// operation reads the named snapshot; parameters are a JSON object. The request
// to the leaf contains the time that remains until the deadline.
func NewRequest(id, service, operation, snapshot string, parameters []byte, deadline time.Time) Request {
	return Request{
		id:         id,
		service:    service,
		operation:  operation,
		snapshot:   snapshot,
		parameters: parameters,
		deadline:   deadline,
	}
}

// AsNonIdempotent returns the request marked as non-idempotent. For such a
// request, Failed.MaybeSent is false if no byte of the request can have left
// this VM.
func (r Request) AsNonIdempotent() Request {
	r.nonIdempotent = true
	return r
}

// Report is the state that a leaf reports about itself with each response. It
// may be out of date or wrong.
type Report struct {
	startID   string
	state     ReportedState
	snapshots []string
	load      float64
	hasLoad   bool
}

// NewReport returns a report. The load is the number of running and queued
// requests; it is valid only if hasLoad is set.
func NewReport(startID string, state ReportedState, snapshots []string, load float64, hasLoad bool) Report {
	return Report{startID: startID, state: state, snapshots: snapshots, load: load, hasLoad: hasLoad}
}

// StartID returns the id that identifies one run of the leaf's process; it
// changes at a restart.
func (r Report) StartID() string { return r.startID }

// State returns the reported warm-up or shutdown state.
func (r Report) State() ReportedState { return r.state }

// Snapshots returns the names of the snapshots that the leaf holds.
func (r Report) Snapshots() []string { return r.snapshots }

// Load returns the number of requests that the leaf runs or queues; the second
// result is false if the leaf did not report it.
func (r Report) Load() (float64, bool) { return r.load, r.hasLoad }

// ReportedState is the warm-up or shutdown state that a leaf reports.
type ReportedState int

// The states that a leaf can report. ReportedNone means that the state was
// missing or unknown.
const (
	ReportedNone ReportedState = iota
	ReportedCold
	ReportedWarm
	ReportedLeaving
)

// Outcome is the result of a sub-request: Answered, Refused, Unusable, Failed
// or Withheld.
type Outcome interface{ outcome() }

// Answered is a complete response that echoes the request id.
type Answered struct {
	report   Report
	snapshot string
	body     []byte
}

// Refused is a response that states that the leaf did not run the request.
type Refused struct {
	report Report
	reason RefusalReason
}

// RefusalReason is the reason why a leaf did not run a request.
type RefusalReason int

// The reasons of a Refused outcome.
const (
	// RefusedShed means that the leaf shed load. It is also used for a reason
	// that is not one of those listed here.
	RefusedShed RefusalReason = iota
	// RefusedSnapshot means that the leaf lacks the requested snapshot.
	RefusedSnapshot
	// RefusedLeaving means that the leaf is shutting down.
	RefusedLeaving
)

// Unusable is a response that must be ignored: it belongs to another request,
// is truncated, oversized or malformed, declares no length, or has an
// unexpected status.
type Unusable struct {
	reason string
}

// Failed is a sub-request without a response.
type Failed struct {
	maybeSent bool
	timedOut  bool
	err       error
}

// Withheld is a sub-request that this VM did not send, because its
// configuration was stale at the time of sending, for example after the process
// was suspended. Pool does not return it; callers of Pool use it instead of
// sending.
type Withheld struct{}

func (Withheld) outcome() {}
func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Unusable) outcome() {}
func (Failed) outcome()   {}

// Report returns the state that the leaf reported.
func (a Answered) Report() Report { return a.report }

// Snapshot returns the name of the snapshot that the result was read from.
func (a Answered) Snapshot() string { return a.snapshot }

// Body returns the result, one valid JSON value.
func (a Answered) Body() []byte { return a.body }

// Report returns the state that the leaf reported.
func (r Refused) Report() Report { return r.report }

// Reason returns why the request was not run.
func (r Refused) Reason() RefusalReason { return r.reason }

// Reason returns why the response is unusable.
func (u Unusable) Reason() string { return u.reason }

// MaybeSent reports whether a byte of the request may have reached the leaf. It
// is always true for an idempotent request that was not answered.
func (f Failed) MaybeSent() bool { return f.maybeSent }

// TimedOut reports whether the context ended before a response arrived, as
// opposed to a connection that failed.
func (f Failed) TimedOut() bool { return f.timedOut }

// Err returns the cause of the failure.
func (f Failed) Err() error { return f.err }

// NewAnswered returns a complete response, for tests that replace Pool.
func NewAnswered(report Report, snapshot string, body []byte) Answered {
	return Answered{report: report, snapshot: snapshot, body: body}
}

// NewRefused returns a refusal, for tests that replace Pool.
func NewRefused(report Report, reason RefusalReason) Refused {
	return Refused{report: report, reason: reason}
}

// NewUnusable returns an unusable response, for tests that replace Pool.
func NewUnusable(reason string) Unusable { return Unusable{reason: reason} }

// NewFailed returns a failure, for tests that replace Pool.
func NewFailed(maybeSent, timedOut bool) Failed {
	return Failed{maybeSent: maybeSent, timedOut: timedOut, err: result.New(result.Unreachable, "no response from the leaf")}
}
