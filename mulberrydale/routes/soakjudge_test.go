package routes

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// judge returns what callers and targets have seen that must not happen.
func (s *soak) judge() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	var out []string
	arrived := make(map[string]bool)
	for _, a := range s.record.arrivals {
		arrived[a.id] = true
	}
	for _, r := range s.results {
		out = append(out, s.judgeAnswer(r, arrived[r.id])...)
	}
	return append(append(out, s.judgeDrain()...), s.judgeWaits()...)
}

// judgeAnswer checks one answer against what the targets did with the request.
func (s *soak) judgeAnswer(r exchangeResult, arrived bool) []string {
	var out []string
	runs := s.record.runs[r.id]
	if r.unfinished && arrived {
		out = append(out, r.id+" reached a target although its body is not complete")
	}
	if r.post && runs > 1 {
		out = append(out, fmt.Sprintf("%s ran %d times", r.id, runs))
	}
	if r.post && runs > 0 && r.status == http.StatusServiceUnavailable {
		out = append(out, r.id+" has run and was answered 503")
	}
	if r.status == 0 && arrived && !s.record.broken[r.id] {
		out = append(out, fmt.Sprintf("%s reached a target and got no answer from %s", r.id, r.via))
	}
	if r.status != http.StatusOK {
		return out
	}
	for _, signature := range strings.Split(r.signatures, ", ") {
		if !strings.HasSuffix(signature, "/"+r.id) {
			out = append(out, fmt.Sprintf("%s got a success signed %q", r.id, signature))
		}
	}
	if r.post && r.body != "done "+r.id || !r.post && len(r.body)%16 != 0 {
		out = append(out, fmt.Sprintf("%s got the body %q", r.id, r.body))
	}
	return out
}

// judgeDrain checks that no request which its caller sent later than the drain timeout after
// an entry VM had passed on that a target is leaving reached this run of it from that VM.
func (s *soak) judgeDrain() []string {
	toldAt := make(map[string]time.Time)
	sentAt := make(map[string]time.Time)
	for _, r := range s.results {
		sentAt[r.id] = r.sentAt
		if !r.leaving {
			continue
		}
		signature := strings.Split(r.signatures, "/")
		key := strings.Join(append(signature[:2], r.via), " ")
		if at, known := toldAt[key]; !known || r.gotAt.Before(at) {
			toldAt[key] = r.gotAt
		}
	}
	var out []string
	for _, a := range s.record.arrivals {
		told, known := toldAt[fmt.Sprintf("%s %d %s", a.leaf, a.run, a.via)]
		if sent, isCaller := sentAt[a.id]; known && isCaller && sent.After(told.Add(soakDrain)) {
			out = append(out, fmt.Sprintf("%s reached %s from %s %v after it said that it was leaving", a.id, a.leaf, a.via, sent.Sub(told)))
		}
	}
	return out
}

// judgeWaits checks that two requests at most reach a target from an entry VM while it
// wants none from it.
func (s *soak) judgeWaits() []string {
	var out []string
	for _, w := range s.record.waits {
		n := 0
		for _, a := range s.record.arrivals {
			if a.leaf == w.leaf && a.run == w.run && a.via == w.via && a.at.After(w.from) && a.at.Before(w.to) {
				n++
			}
		}
		if n > 2 {
			out = append(out, fmt.Sprintf("%d requests reached %s from %s while it wanted none", n, w.leaf, w.via))
		}
	}
	return out
}
