// Package leaf talks HTTP to targets. It is the only package that knows their
// wire form; everything it returns is in the terms of this project.
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

// NewRequest returns a sub-request that may be repeated. The id is echoed by
// the leaf. Parameters are a JSON object.
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

// AsNonIdempotent returns the request marked as non-idempotent: the outcome then states
// whether any byte of it may have left.
func (r Request) AsNonIdempotent() Request {
	r.nonIdempotent = true
	return r
}

// Report is what a leaf says of itself with each response. It may lag or be
// wrong.
type Report struct {
	startID   string
	state     ReportedState
	snapshots []string
	load      float64
	hasLoad   bool
}

// NewReport returns a report; load counts requests running and queued.
func NewReport(startID string, state ReportedState, snapshots []string, load float64, hasLoad bool) Report {
	return Report{startID: startID, state: state, snapshots: snapshots, load: load, hasLoad: hasLoad}
}

// StartID returns the id of the leaf's present life; it changes at a restart.
func (r Report) StartID() string { return r.startID }

// State returns what the leaf says about its warmth.
func (r Report) State() ReportedState { return r.state }

// Snapshots returns the names of the snapshots that the leaf holds.
func (r Report) Snapshots() []string { return r.snapshots }

// Load returns the number of requests that the leaf runs or queues, and
// whether it said so at all.
func (r Report) Load() (float64, bool) { return r.load, r.hasLoad }

// ReportedState is the leaf's word about itself.
type ReportedState int

// The words a leaf may use.
const (
	ReportedNone ReportedState = iota
	ReportedCold
	ReportedWarm
	ReportedLeaving
)

// Outcome is what became of a sub-request: Answered, Refused, Unusable, Failed
// or Withheld.
type Outcome interface{ outcome() }

// Answered is a whole result with the request id echoed.
type Answered struct {
	report   Report
	snapshot string
	body     []byte
}

// Refused is the leaf's statement that it did not run the request.
type Refused struct {
	report Report
	reason RefusalReason
}

// RefusalReason says why a leaf did not run a request.
type RefusalReason int

// The reasons of a refusal.
const (
	RefusedShed RefusalReason = iota
	RefusedSnapshot
	RefusedLeaving
)

// Unusable is a response that can't be counted: crossed, truncated, oversized
// or malformed.
type Unusable struct {
	reason string
}

// Failed is a sub-request without a response. Sent is true where a byte of it
// may have reached the leaf.
type Failed struct {
	maybeSent bool
	timedOut  bool
	err       error
}

// Withheld is a sub-request that this VM did not send, because at the moment
// of sending its own knowledge was no longer confirmed.
type Withheld struct{}

func (Withheld) outcome() {}
func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Unusable) outcome() {}
func (Failed) outcome()   {}

// Report returns what the leaf said of itself.
func (a Answered) Report() Report { return a.report }

// Snapshot returns the name of the snapshot that the result was read from.
func (a Answered) Snapshot() string { return a.snapshot }

// Body returns the result, one valid JSON value.
func (a Answered) Body() []byte { return a.body }

// Report returns what the leaf said of itself.
func (r Refused) Report() Report { return r.report }

// Reason returns why the request was not run.
func (r Refused) Reason() RefusalReason { return r.reason }

// Reason returns why the response could not be counted.
func (u Unusable) Reason() string { return u.reason }

// MaybeSent reports whether a byte of the request may have reached the leaf.
func (f Failed) MaybeSent() bool { return f.maybeSent }

// TimedOut reports whether the connection stood and no response came in time.
func (f Failed) TimedOut() bool { return f.timedOut }

// Err returns the cause.
func (f Failed) Err() error { return f.err }

// NewAnswered returns a whole result, for fakes of the connection.
func NewAnswered(report Report, snapshot string, body []byte) Answered {
	return Answered{report: report, snapshot: snapshot, body: body}
}

// NewRefused returns a refusal, for fakes of the connection.
func NewRefused(report Report, reason RefusalReason) Refused {
	return Refused{report: report, reason: reason}
}

// NewUnusable returns an unusable response, for fakes of the connection.
func NewUnusable(reason string) Unusable { return Unusable{reason: reason} }

// NewFailed returns a failure, for fakes of the connection.
func NewFailed(maybeSent, timedOut bool) Failed {
	return Failed{maybeSent: maybeSent, timedOut: timedOut, err: result.New(result.Unreachable, "no response")}
}
