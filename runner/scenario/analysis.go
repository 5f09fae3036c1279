package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mulberrydale/mulberrydale/runner/driver"
)

// record is one line of the stand-in's journal: a sub-request that reached a
// leaf, or a connection that the leaf refused, which has no operation. The
// caller is the caller id from the parameters of the request. The outcome is
// "ran" if the leaf ran the sub-request. The fault names the way in which the
// leaf spoiled the response, and is empty if it didn't. subRequestID is the
// Request-Id header of the sub-request. cold says whether the leaf was cold.
type record struct {
	at                                     time.Time
	leaf, operation, caller                string
	snapshot, outcome, fault, subRequestID string
	cold                                   bool
}

// latencyQuantile returns the q-quantile, with q from 0 to 1, of the latencies
// of valid answers in milliseconds, or 0 if there are none. It doesn't
// interpolate: the rank is rounded down.
func latencyQuantile(answers []driver.Answer, q float64) float64 {
	var latencies []time.Duration
	for _, a := range answers {
		if a.Err() == nil {
			latencies = append(latencies, a.Latency())
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return float64(latencies[int(q*float64(len(latencies)-1))].Microseconds()) / 1000
}

// fractionOf returns the fraction of the answers that match, or 0 if there are
// no answers.
func fractionOf(answers []driver.Answer, match func(a driver.Answer) bool) float64 {
	if len(answers) == 0 {
		return 0
	}
	n := 0
	for _, a := range answers {
		if match(a) {
			n++
		}
	}
	return float64(n) / float64(len(answers))
}

// countAnswers returns the number of answers that match, as the float64 that
// measurements need.
func countAnswers(answers []driver.Answer, match func(a driver.Answer) bool) float64 {
	return fractionOf(answers, match) * float64(len(answers))
}

// isComplete reports whether an answer has the result code 100, complete.
func isComplete(a driver.Answer) bool { return a.Err() == nil && a.Code() == 100 }

// isOnTime reports whether an answer has a result code of the class success
// (1xx) and arrived within callerDeadline, the deadline of all scenario
// queries.
func isOnTime(a driver.Answer) bool {
	return a.Err() == nil && a.Code()/100 == 1 && a.Latency() <= callerDeadline
}

// isLate reports whether there is no valid answer or it arrived after
// callerDeadline.
func isLate(a driver.Answer) bool { return a.Err() != nil || a.Latency() > callerDeadline }

// sentSince returns the answers to requests that were sent at a time or later.
func sentSince(answers []driver.Answer, at time.Time) []driver.Answer {
	return slices.DeleteFunc(slices.Clone(answers), func(a driver.Answer) bool { return a.SentAt().Before(at) })
}

// countRecords returns the number of records that match.
func countRecords(records []record, match func(r record) bool) float64 {
	n := 0
	for _, r := range records {
		if match(r) {
			n++
		}
	}
	return float64(n)
}

// isSubRequest reports whether a record is of a sub-request. Records of refused
// connections have no operation.
func isSubRequest(r record) bool { return r.operation != "" }

// maxPerSecond returns the highest number of matching sub-requests that reached
// one leaf within any period of one second. The records must be in order of
// time.
func maxPerSecond(records []record, match func(r record) bool) float64 {
	windows := make(map[string][]time.Time)
	highest := 0
	for _, r := range records {
		if !isSubRequest(r) || !match(r) {
			continue
		}
		w := append(windows[r.leaf], r.at)
		for r.at.Sub(w[0]) >= time.Second {
			w = w[1:]
		}
		windows[r.leaf] = w
		highest = max(highest, len(w))
	}
	return float64(highest)
}

// countContradicted counts the answers that the journal contradicts: answers
// with a result for another caller or from another snapshot, with a result of a
// leaf that didn't run the sub-request, or with a coverage that differs from
// the number of results.
func countContradicted(answers []driver.Answer, records []record) float64 {
	executed := make(map[string]bool)
	for _, r := range records {
		if r.outcome == "ran" {
			executed[r.caller+" "+r.leaf+" "+r.snapshot] = true
		}
	}
	n := 0
	for _, a := range answers {
		if a.Err() != nil {
			continue
		}
		_, answered := a.Coverage()
		wrong := answered != len(a.ResultLeafs())
		for i, leaf := range a.ResultLeafs() {
			wrong = wrong || a.ResultCallerIDs()[i] != a.CallerID() || a.ResultSnapshots()[i] != a.Snapshot() ||
				!executed[a.CallerID()+" "+leaf+" "+a.Snapshot()]
		}
		if wrong {
			n++
		}
	}
	return float64(n)
}

// summarizeIncomplete returns a text with the number of answers for each VM and
// result code other than complete, the number of requests without a valid
// answer, and the number of missing services for each reason that the answers
// state.
func summarizeIncomplete(answers []driver.Answer) string {
	counts := make(map[string]int)
	for _, a := range answers {
		if a.Err() != nil {
			counts["no answer"]++
			continue
		}
		if !isComplete(a) {
			counts[fmt.Sprintf("result code %d from VM %s", a.Code(), a.VM())]++
		}
		for _, m := range a.MissingServices() {
			counts[m[strings.IndexByte(m, ' ')+1:]]++
		}
	}
	var lines []string
	for reason, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", reason, n))
	}
	slices.Sort(lines)
	return fmt.Sprintf("incomplete among %d answers, by result code and by reason of missing services: %s", len(answers), strings.Join(lines, ", "))
}
