package placement

import (
	"math/rand/v2"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

const (
	// findingAge is how long what a VM saw of a target is of use to others.
	findingLifetime = 3 * time.Second
	// freshFinding is how old a finding may be when it is first told.
	maxReportAge = time.Second
	// trialsAtOnce is the number of VMs that try a target that is known to be
	// bad within one trial interval; the others wait for their findings.
	trialsPerInterval = 3
)

// Findings returns what the requests of this VM showed of its targets lately:
// those that are slow, fail or are silent, and those that others found so and
// that have answered well since. With 60 VMs, each meets a target about once
// a second, so a VM alone would learn of a slow one only after many seconds.
func (f *Fleet) Findings(now time.Time) []discovery.Finding {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []discovery.Finding
	for id, t := range f.byID {
		age := now.Sub(t.lastObservedAt)
		if t.stalled(now) {
			out = append(out, discovery.NewFinding(id, true, 0))
			continue
		}
		if t.lastObservedAt.IsZero() || age > maxReportAge {
			continue
		}
		if t.unhealthy(now) {
			out = append(out, discovery.NewFinding(id, true, age))
		} else if t.peerReport.unhealthy && t.lastObservedAt.After(t.peerReport.at) {
			out = append(out, discovery.NewFinding(id, false, age))
		}
	}
	return out
}

// TakeFindings takes over what other VMs found.
func (f *Fleet) TakeFindings(findings []discovery.Finding, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, finding := range findings {
		t := f.byID[finding.ID()]
		observedAt := now.Add(-finding.Age())
		if t == nil || !observedAt.After(t.peerReport.at) {
			continue
		}
		if finding.Bad() && !t.peerReport.unhealthy {
			// The VMs try it again one after another.
			t.lastSentAt = now.Add(-time.Duration(rand.Int64N(int64(f.ownTrialInterval()))))
		}
		t.peerReport = peerFinding{unhealthy: finding.Bad(), at: observedAt}
		if !finding.Bad() && observedAt.After(t.lastObservedAt) {
			t.recordPeerRecovery()
		}
	}
}

// told is what other VMs last found of a target.
type peerFinding struct {
	unhealthy bool
	at        time.Time
}

// bad reports whether the own requests show that the target is slow, fails or
// is silent.
func (t *Target) unhealthy(now time.Time) bool {
	return t.stalled(now) || t.consecutiveFailures > 0 || t.slowdown > slowThreshold || t.errorRate > errorRateThreshold
}

// toldBad reports whether others found the target bad after it last answered
// a request from here.
func (t *Target) reportedUnhealthy(now time.Time) bool {
	return t.peerReport.unhealthy && now.Sub(t.peerReport.at) < findingLifetime && t.peerReport.at.After(t.lastObservedAt)
}

// trialDue reports whether a target that is avoided is tried again now. The
// more VMs share the target, the seldomer each of them does.
func (f *Fleet) trialDue(t *Target, now time.Time) bool {
	return now.Sub(t.lastSentAt) > f.ownTrialInterval() && len(t.inFlight) == 0
}

// trialPause returns the time between two trials of a target by this VM.
func (f *Fleet) ownTrialInterval() time.Duration {
	return trialInterval * time.Duration(max(1, f.entryVMs/trialsPerInterval))
}
