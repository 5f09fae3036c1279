package placement

import (
	"math/rand/v2"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

const (
	// findingLifetime is how long a finding of another VM about a target is
	// used.
	findingLifetime = 3 * time.Second
	// maxReportAge is the largest age of an observation that this VM reports to
	// others.
	maxReportAge = time.Second
	// trialsPerInterval is the approximate number of VMs that send a trial
	// request to an avoided target within one trialInterval; the other VMs rely
	// on the findings of these. Because ownTrialInterval rounds down, up to five
	// VMs may send one.
	trialsPerInterval = 3
)

// Findings returns what recent requests of this VM showed about its targets:
// the unhealthy ones (slow, failing or not responding), and those that other
// VMs reported unhealthy but that have responded well since. The VMs share
// their findings because each of them sends few requests to a given target:
// with 60 VMs, about one a second, so a VM on its own would take many seconds
// to detect a slow target.
func (f *Fleet) Findings(now time.Time) []discovery.HealthFinding {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []discovery.HealthFinding
	for id, t := range f.byID {
		age := now.Sub(t.lastObservedAt)
		if t.stalled(now) {
			out = append(out, discovery.NewHealthFinding(id, true, 0))
			continue
		}
		if t.lastObservedAt.IsZero() || age > maxReportAge {
			continue
		}
		if t.unhealthy(now) {
			out = append(out, discovery.NewHealthFinding(id, true, age))
		} else if t.peerReport.unhealthy && t.lastObservedAt.After(t.peerReport.observedAt) {
			out = append(out, discovery.NewHealthFinding(id, false, age))
		}
	}
	return out
}

// TakeFindings applies the findings of other VMs. A finding is ignored if its
// target is unknown or if it is not newer than the last one applied to the same
// target.
func (f *Fleet) TakeFindings(findings []discovery.HealthFinding, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, finding := range findings {
		t := f.byID[finding.ID()]
		observedAt := now.Add(-finding.Age())
		if t == nil || !observedAt.After(t.peerReport.observedAt) {
			continue
		}
		if finding.Unhealthy() && !t.peerReport.unhealthy {
			// Randomise when the next trial request is due, so that the VMs
			// don't all send theirs at once.
			t.lastSentAt = now.Add(-time.Duration(rand.Int64N(int64(f.ownTrialInterval()))))
		}
		t.peerReport = peerFinding{unhealthy: finding.Unhealthy(), observedAt: observedAt}
		if !finding.Unhealthy() && observedAt.After(t.lastObservedAt) {
			t.recordPeerRecovery()
		}
	}
}

// peerFinding is the latest finding of other VMs about a target, and when they
// observed it by this VM's clock.
type peerFinding struct {
	unhealthy  bool
	observedAt time.Time
}

// unhealthy reports whether this VM's own requests show that the target is
// slow, failing or not responding.
func (t *Target) unhealthy(now time.Time) bool {
	return t.stalled(now) || t.consecutiveFailures > 0 || t.slowdown > slowThreshold || t.errorRate > errorRateThreshold
}

// reportedUnhealthy reports whether another VM found the target unhealthy,
// within findingLifetime and after this VM's last own observation.
func (t *Target) reportedUnhealthy(now time.Time) bool {
	return t.peerReport.unhealthy && now.Sub(t.peerReport.observedAt) < findingLifetime && t.peerReport.observedAt.After(t.lastObservedAt)
}

// trialDue reports whether a trial request is due if the target is being
// avoided: this VM has no request in flight there and has sent none for longer
// than ownTrialInterval. The more VMs share the target, the less often each of
// them sends one.
func (f *Fleet) trialDue(t *Target, now time.Time) bool {
	return now.Sub(t.lastSentAt) > f.ownTrialInterval() && len(t.inFlight) == 0
}

// ownTrialInterval returns the time between two trial requests of this VM to
// the same target.
func (f *Fleet) ownTrialInterval() time.Duration {
	return trialInterval * time.Duration(max(1, f.entryVMs/trialsPerInterval))
}
