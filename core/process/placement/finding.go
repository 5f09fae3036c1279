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
	// maxKeptLate bounds the late responses that are kept for LateResponses.
	maxKeptLate = 256
	// minLateInterval is the least mean time between two late responses of one
	// target, from all VMs together, if all its responses are late. Of a target
	// with more responses a random part of the late ones is reported.
	minLateInterval = 25 * time.Millisecond
)

// lateResponse is a response that took more than lateSample times the median.
type lateResponse struct {
	id string
	at time.Time
	// interval is described at discovery.LateResponse.
	interval time.Duration
}

// addLate keeps a late response, or a random part of them for a target with many
// responses. A target in slow start gets only its share of the requests, so its responses
// are further apart. The caller holds f.mu.
func (f *Fleet) addLate(t *Target, now time.Time) {
	interval := f.responseInterval(t.group, now)
	if t.start.active() && f.hasEstablished(t.group, now) {
		interval = time.Duration(float64(interval) / t.start.share)
	}
	if len(f.late) >= maxKeptLate || rand.Float64() >= float64(interval)/float64(minLateInterval) {
		return
	}
	f.late = append(f.late, lateResponse{id: t.id, at: now, interval: max(interval, minLateInterval)})
}

// responseInterval estimates the mean time between two responses of a target of a
// service to all VMs together, from the first attempts of this VM: it takes the other
// VMs to send as many, and all of them to spread these over the targets. The caller
// holds f.mu.
func (f *Fleet) responseInterval(g *group, now time.Time) time.Duration {
	return time.Duration(float64(g.budget.firstInterval(now)) * float64(max(1, len(g.targets))) / float64(f.entryVMs))
}

// LateResponses returns the late responses since the last call.
func (f *Fleet) LateResponses(now time.Time) []discovery.LateResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []discovery.LateResponse
	for _, r := range f.late {
		out = append(out, discovery.NewLateResponse(r.id, now.Sub(r.at), r.interval))
	}
	f.late = nil
	return out
}

// Findings returns what recent requests of this VM showed about its targets:
// the unhealthy ones (slow, failing or not responding), those that other VMs
// reported unhealthy but that have responded well since, and those in slow
// start whose latest response was normal. The VMs share
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
		} else if t.peerReport.unhealthy && t.slowSince.IsZero() && t.lastObservedAt.After(t.peerReport.observedAt) {
			out = append(out, discovery.NewHealthFinding(id, false, age))
		} else if t.answeredNormally() {
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
		if finding.Unhealthy() {
			f.beginAfterFinding(t, now)
			f.observeStart(t, startOverloaded, observedAt, now)
		} else {
			f.observeStartRecovery(t, observedAt, now)
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

// reportedUnhealthy reports whether the other VMs found the target unhealthy within
// findingLifetime, and no later observation of this VM contradicts them.
func (t *Target) reportedUnhealthy(now time.Time) bool {
	contradicted := t.slowSince.IsZero() && !t.peerReport.observedAt.After(t.lastObservedAt)
	return t.peerReport.unhealthy && now.Sub(t.peerReport.observedAt) < findingLifetime && !contradicted
}

// trialDue reports whether a trial request is due if the target is being
// avoided: this VM has no request in flight there and has sent none for longer
// than ownTrialInterval. This time is longer for a target that gives no response,
// and at most soloTrialInterval for one that only this VM finds slow.
func (f *Fleet) trialDue(t *Target, now time.Time) bool {
	interval := f.ownTrialInterval()
	if t.start.failed {
		interval *= failedTrialFactor
	}
	if t.slowForThisVMOnly(now) {
		interval = min(interval, soloTrialInterval)
	}
	return now.Sub(t.lastSentAt) > interval && len(t.inFlight) == 0
}

// ownTrialInterval returns the time between two trial requests of this VM to
// the same target. The more VMs share the target, the less often each of them
// sends one.
func (f *Fleet) ownTrialInterval() time.Duration {
	return trialInterval * time.Duration(max(1, f.entryVMs/trialsPerInterval))
}
