package leaf

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

// Names of the headers in the wire format of leafs.
const (
	headerRequestID = "Request-Id"
	headerSnapshot  = "Snapshot"
	headerSnapshots = "Snapshots"
	headerDeadline  = "Deadline-Ms"
	headerOperation = "Operation"
	headerStartID   = "Start-Id"
	headerState     = "State"
	headerLoad      = "Load"
	headerNotRun    = "Not-Run"
)

// maxBodyBytes limits the result of one leaf.
const maxBodyBytes = 1 << 20

// readReport reads a leaf's report from the headers of a response. Invalid
// values are treated as missing.
func readReport(h http.Header) Report {
	report := Report{startID: h.Get(headerStartID)}
	switch h.Get(headerState) {
	case "cold":
		report.state = ReportedCold
	case "warm":
		report.state = ReportedWarm
	case "leaving":
		report.state = ReportedLeaving
	}
	if snapshots := h.Get(headerSnapshots); snapshots != "" {
		report.snapshots = strings.Split(snapshots, ",")
	}
	if load, err := strconv.ParseFloat(h.Get(headerLoad), 64); err == nil && load >= 0 {
		report.load = load
		report.hasLoad = true
	}
	return report
}

// finalStatus reports whether a status is one of those that end a request.
func finalStatus(status int) bool { return status >= 200 && status <= 599 }

// readOutcome classifies a response. A result is accepted only if the request
// id is echoed, the status is 200, and the body has the declared length, is not
// over maxBodyBytes and is one valid JSON value.
func readOutcome(res *http.Response, id string) Outcome {
	report := readReport(res.Header)
	if res.Header.Get(headerRequestID) != id {
		// The response belongs to another request.
		return Unusable{reason: "crossed"}
	}
	if !finalStatus(res.StatusCode) {
		// The response does not conform to HTTP, whatever its headers say.
		return Unusable{reason: "status " + strconv.Itoa(res.StatusCode)}
	}
	switch res.Header.Get(headerNotRun) {
	case "":
	case "snapshot":
		return Refused{report: report, reason: RefusedSnapshot}
	case "leaving":
		return Refused{report: report, reason: RefusedLeaving}
	default:
		return Refused{report: report, reason: RefusedShed}
	}
	if res.StatusCode != http.StatusOK {
		return Unusable{reason: "status " + strconv.Itoa(res.StatusCode)}
	}
	if res.ContentLength < 0 {
		return Unusable{reason: "no Content-Length"}
	}
	if res.ContentLength > maxBodyBytes {
		return Unusable{reason: "oversized"}
	}
	body := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, body); err != nil {
		return Unusable{reason: "truncated"}
	}
	if !jsontext.Value(body).IsValid() {
		return Unusable{reason: "malformed"}
	}
	return Answered{report: report, snapshot: res.Header.Get(headerSnapshot), body: body}
}
