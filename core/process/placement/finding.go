package placement

import (
	"math/rand/v2"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

const (
	// findingAge is how long what a VM saw of a target is of use to others.
	findingAge = 3 * time.Second
	// freshFinding is how old a finding may be when it is first told.
	freshFinding = time.Second
	// trialsAtOnce is the number of VMs that try a target that is known to be
	// bad within one trial interval; the others wait for their findings.
	trialsAtOnce = 3
)

// Findings returns what the requests of this VM showed of its targets lately:
// those that are slow, fail or are silent, and those that others found so and
// that have answered well since. With 60 VMs, each meets a target about once
// a second, so a VM alone would learn of a slow one only after many seconds.
func (f *Fleet) Findings(now time.Time) []discovery.HealthFinding {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []discovery.HealthFinding
	for id, t := range f.byID {
		age := now.Sub(t.seenAt)
		if t.stuck(now) {
			out = append(out, discovery.NewHealthFinding(id, true, 0))
			continue
		}
		if t.seenAt.IsZero() || age > freshFinding {
			continue
		}
		if t.bad(now) {
			out = append(out, discovery.NewHealthFinding(id, true, age))
		} else if t.told.bad && t.seenAt.After(t.told.at) {
			out = append(out, discovery.NewHealthFinding(id, false, age))
		}
	}
	return out
}

// TakeFindings takes over what other VMs found.
func (f *Fleet) TakeFindings(findings []discovery.HealthFinding, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, finding := range findings {
		t := f.byID[finding.ID()]
		at := now.Add(-finding.Age())
		if t == nil || !at.After(t.told.at) {
			continue
		}
		if finding.Unhealthy() && !t.told.bad {
			// The VMs try it again one after another.
			t.triedAt = now.Add(-time.Duration(rand.Int64N(int64(f.trialPause()))))
		}
		t.told = told{bad: finding.Unhealthy(), at: at}
		if !finding.Unhealthy() && at.After(t.seenAt) {
			t.recovered()
		}
	}
}

// told is what other VMs last found of a target.
type told struct {
	bad bool
	at  time.Time
}

// bad reports whether the own requests show that the target is slow, fails or
// is silent.
func (t *Target) bad(now time.Time) bool {
	return t.stuck(now) || t.failures > 0 || t.speed > slowSpeed || t.errors > manyErrors
}

// toldBad reports whether others found the target bad after it last answered
// a request from here.
func (t *Target) toldBad(now time.Time) bool {
	return t.told.bad && now.Sub(t.told.at) < findingAge && t.told.at.After(t.seenAt)
}

// trialDue reports whether a target that is avoided is tried again now. The
// more VMs share the target, the seldomer each of them does.
func (f *Fleet) trialDue(t *Target, now time.Time) bool {
	return now.Sub(t.triedAt) > f.trialPause() && len(t.inFlight) == 0
}

// trialPause returns the time between two trials of a target by this VM.
func (f *Fleet) trialPause() time.Duration {
	return trialInterval * time.Duration(max(1, f.entryVMs/trialsAtOnce))
}
