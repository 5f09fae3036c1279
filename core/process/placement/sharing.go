package placement

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

const (
	// slowFactor is the slowness from which a target counts as slow in the reports of the
	// VMs to each other.
	slowFactor = 1.3
	// slownessRenewal is the age from which the slowness of a target that is still slow
	// is reported again.
	slownessRenewal = 150 * time.Millisecond
	// maxSlowness is the highest slowness that is believed of other VMs.
	maxSlowness = 100
	// maxKeptSlowness bounds the reports that are kept for SlownessReports.
	maxKeptSlowness = 256
)

// sharedSlowness is what the VMs of the data centre were last told of a target, by this VM
// or by another one.
type sharedSlowness struct {
	slow bool
	at   time.Time
}

// needsReport reports whether other VMs should be told of a slowness: that the target is slow,
// unless they were told less than slownessRenewal ago, or that it no longer is.
func (s sharedSlowness) needsReport(slow bool, now time.Time) bool {
	if slow {
		return !s.slow || now.Sub(s.at) > slownessRenewal
	}
	return s.slow
}

// queueSlownessReport queues a slowness that a target reported for SlownessReports, if other
// VMs should be told of it. The caller holds f.mu.
func (f *Fleet) queueSlownessReport(t *Target, factor float64, now time.Time) {
	slow := factor >= slowFactor
	if len(f.slownessReports) >= maxKeptSlowness || !t.sharedSlowness.needsReport(slow, now) {
		return
	}
	t.sharedSlowness = sharedSlowness{slow: slow, at: now}
	f.slownessReports = append(f.slownessReports, t)
}

// SlownessReports returns the latest slowness of each target of which other VMs should be
// told since the last call.
func (f *Fleet) SlownessReports(now time.Time) []discovery.Slowness {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []discovery.Slowness
	for _, t := range f.slownessReports {
		if !t.slowness.known() {
			// A new run of the target has begun.
			continue
		}
		out = append(out, discovery.NewSlowness(t.id, t.slowness.latest, now.Sub(t.slowness.at)))
	}
	f.slownessReports = f.slownessReports[:0]
	return out
}

// TakeSlowness applies what other VMs learned of the slowness of targets.
func (f *Fleet) TakeSlowness(list []discovery.Slowness, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range list {
		t := f.byID[s.ID()]
		at := now.Add(-s.Age())
		if t == nil || s.Factor() <= 0 || s.Factor() > maxSlowness || !at.After(t.slowness.at) {
			continue
		}
		if f.meanSlowness == 0 {
			f.meanSlowness = 1
		}
		t.slowness.learn(s.Factor(), f.meanSlowness, at)
		t.sharedSlowness = sharedSlowness{slow: s.Factor() >= slowFactor, at: at}
	}
}
