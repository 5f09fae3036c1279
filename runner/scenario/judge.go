package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mulberrydale/mulberrydale/runner/driver"
)

// record is one line of the stand-in's journal.
type record struct {
	at                            time.Time
	leaf, operation, caller       string
	snapshot, outcome, fault, sub string
	cold                          bool
}

// quantile returns a quantile of the times of answers, in milliseconds.
func quantile(answers []driver.Answer, q float64) float64 {
	var took []time.Duration
	for _, a := range answers {
		if a.Err() == nil {
			took = append(took, a.Latency())
		}
	}
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return float64(took[int(q*float64(len(took)-1))].Microseconds()) / 1000
}

// share returns the part of the answers for which a condition holds.
func share(answers []driver.Answer, holds func(a driver.Answer) bool) float64 {
	if len(answers) == 0 {
		return 0
	}
	n := 0
	for _, a := range answers {
		if holds(a) {
			n++
		}
	}
	return float64(n) / float64(len(answers))
}

func count(answers []driver.Answer, holds func(a driver.Answer) bool) float64 {
	return share(answers, holds) * float64(len(answers))
}

func complete(a driver.Answer) bool { return a.Err() == nil && a.Code() == 100 }

func onTime(a driver.Answer) bool {
	return a.Err() == nil && a.Code()/100 == 1 && a.Latency() <= deadline
}

func late(a driver.Answer) bool { return a.Err() != nil || a.Latency() > deadline }

// since keeps the answers to requests that were sent after a time.
func since(answers []driver.Answer, at time.Time) []driver.Answer {
	return slices.DeleteFunc(slices.Clone(answers), func(a driver.Answer) bool { return a.SentAt().Before(at) })
}

// ran counts the records of a journal for which a condition holds.
func ran(records []record, holds func(r record) bool) float64 {
	n := 0
	for _, r := range records {
		if holds(r) {
			n++
		}
	}
	return float64(n)
}

func isSub(r record) bool { return r.operation != "" }

// mostPerSecond returns the most sub-requests that reached one leaf within any
// second, of those for which a condition holds.
func mostPerSecond(records []record, holds func(r record) bool) float64 {
	windows := make(map[string][]time.Time)
	most := 0
	for _, r := range records {
		if !isSub(r) || !holds(r) {
			continue
		}
		w := append(windows[r.leaf], r.at)
		for r.at.Sub(w[0]) >= time.Second {
			w = w[1:]
		}
		windows[r.leaf] = w
		most = max(most, len(w))
	}
	return float64(most)
}

// untrue counts the answers whose content the journal contradicts: results of
// another caller or snapshot, results that no leaf gave, or a coverage that is
// not that of the results.
func untrue(answers []driver.Answer, records []record) float64 {
	gave := make(map[string]bool)
	for _, r := range records {
		if r.outcome == "ran" {
			gave[r.caller+" "+r.leaf+" "+r.snapshot] = true
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
				!gave[a.CallerID()+" "+leaf+" "+a.Snapshot()]
		}
		if wrong {
			n++
		}
	}
	return float64(n)
}

// explain counts the codes and reasons of answers that are not complete.
func explain(answers []driver.Answer) string {
	counts := make(map[string]int)
	for _, a := range answers {
		if a.Err() != nil {
			counts["no answer"]++
			continue
		}
		if !complete(a) {
			counts[fmt.Sprintf("code %d at %s", a.Code(), a.VM())]++
		}
		for _, m := range a.MissingServices() {
			counts[m[strings.IndexByte(m, ' ')+1:]]++
		}
	}
	var lines []string
	for what, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", what, n))
	}
	slices.Sort(lines)
	return fmt.Sprintf("of %d answers: %s", len(answers), strings.Join(lines, ", "))
}
