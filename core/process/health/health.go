// Package health adds up what many VMs observed about the health of targets. A VM that
// sends a target many requests judges it by itself and reports a finding. One of
// hundreds of VMs, which sends it a request in some seconds, can't: a single late
// response may be a pause of the target or a request with more work than usual. It
// reports the response as late, and the reports of all VMs are judged together.
package health

import (
	"sort"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

const (
	// lifetime is how long the health of a target is kept after the latest
	// observation of it.
	lifetime = 3 * time.Second
	// maxUnhealthyGap is the longest time between two unhealthy findings of one
	// series. After a longer gap, an unhealthy finding starts a new series.
	maxUnhealthyGap = 2 * time.Second
	// minUnhealthySpan is the time that a series of unhealthy findings must
	// span before a target is reported as unhealthy. A single pause of a target
	// ends at the same moment for all requests that it delays; a target that is
	// slow causes unhealthy findings repeatedly.
	minUnhealthySpan = 150 * time.Millisecond
	// minHealthySpan is the least time between the last unhealthy finding and
	// the last healthy one after which a target is reported as healthy. A
	// target that rejects half of its requests answers the other half well, so
	// a healthy finding soon after an unhealthy one does not show that the
	// target has recovered.
	minHealthySpan = 600 * time.Millisecond
)

// Table holds the health of targets by id. It is not safe for concurrent use.
type Table struct{ targets map[string]observations }

// NewTable returns a table without observations.
func NewTable() *Table { return &Table{targets: make(map[string]observations)} }

// AddFindings adds the findings of a VM.
func (t *Table) AddFindings(findings []discovery.HealthFinding, now time.Time) {
	for _, f := range findings {
		o := t.targets[f.ID()]
		o.addFinding(f.Unhealthy(), now.Add(-f.Age()))
		t.targets[f.ID()] = o
	}
}

// AddLate adds the late responses that a VM reports.
func (t *Table) AddLate(late []discovery.LateResponse, now time.Time) {
	for _, r := range late {
		o := t.targets[r.ID()]
		o.addLate(now.Add(-r.Age()), r.Interval())
		t.targets[r.ID()] = o
	}
}

// Verdicts returns one finding for each target whose observations are conclusive,
// sorted by id. It removes targets without an observation for lifetime.
func (t *Table) Verdicts(now time.Time) []discovery.HealthFinding {
	var out []discovery.HealthFinding
	for id, o := range t.targets {
		if now.Sub(o.latest()) > lifetime {
			delete(t.targets, id)
			continue
		}
		if unhealthy, at, ok := o.verdict(); ok {
			out = append(out, discovery.NewHealthFinding(id, unhealthy, now.Sub(at)))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID() < out[j].ID() })
	return out
}

// observations combines what all VMs observed of one target. The times are those of
// this process's clock.
type observations struct {
	// firstUnhealthy and lastUnhealthy are the times of the first and the last
	// finding of the latest series of unhealthy findings, zero if there was
	// none.
	firstUnhealthy time.Time
	lastUnhealthy  time.Time
	// lastHealthy is the time of the last healthy finding, zero if there was
	// none.
	lastHealthy time.Time
	late        lateResponses
}

// addFinding adds one finding. An unhealthy finding starts a new series if the
// previous unhealthy one is more than maxUnhealthyGap older or the target has
// recovered since. A finding that is older than the last one of its kind changes
// nothing.
func (o *observations) addFinding(unhealthy bool, at time.Time) {
	switch {
	case !unhealthy:
		if at.After(o.lastHealthy) {
			o.lastHealthy = at
		}
	case o.lastUnhealthy.IsZero() || at.Sub(o.lastUnhealthy) > maxUnhealthyGap || o.recovered() && at.After(o.lastHealthy):
		o.firstUnhealthy = at
		o.lastUnhealthy = at
	case at.After(o.lastUnhealthy):
		o.lastUnhealthy = at
	}
}

// addLate adds a late response. Late responses of a target that is known to be
// unhealthy show that it still is: VMs that avoid it send it only trial requests, too
// few to be conclusive by themselves.
func (o *observations) addLate(at time.Time, interval time.Duration) {
	unhealthy, _, conclusive := o.verdict()
	o.late.add(at, interval)
	if conclusive && unhealthy && at.After(o.late.conclusiveAt) {
		o.late.conclusiveAt = at
	}
}

// unhealthyUntil returns the latest time at which the target is known to have been
// unhealthy, by its findings or by its late responses, or zero if there is none.
func (o observations) unhealthyUntil() time.Time {
	until := o.lastUnhealthy
	if at := o.late.conclusiveAt; at.After(until) {
		until = at
	}
	return until
}

// recovered reports whether the time of the last healthy finding is at least
// minHealthySpan after the target was last known to be unhealthy, or there are only
// healthy findings.
func (o observations) recovered() bool {
	return !o.lastHealthy.IsZero() && o.lastHealthy.Sub(o.unhealthyUntil()) >= minHealthySpan
}

// lateConclusive reports whether late responses showed the target to be slow and it
// has not recovered since.
func (o observations) lateConclusive() bool {
	return !o.late.conclusiveAt.IsZero() && o.lastHealthy.Sub(o.late.conclusiveAt) < minHealthySpan
}

// verdict returns whether the target is unhealthy and the time of the latest
// observation that shows it. ok is false while the observations are not conclusive.
//
// For example, unhealthy findings at 10.00 s and 10.01 s are not conclusive; after
// another one at 10.20 s the target is reported as unhealthy.
func (o observations) verdict() (unhealthy bool, at time.Time, ok bool) {
	switch {
	case o.recovered():
		return false, o.lastHealthy, true
	case o.lastUnhealthy.Sub(o.firstUnhealthy) >= minUnhealthySpan, o.lateConclusive():
		return true, o.unhealthyUntil(), true
	}
	return false, time.Time{}, false
}

// latest returns the time of the latest observation of any kind.
func (o observations) latest() time.Time {
	latest := o.unhealthyUntil()
	if o.lastHealthy.After(latest) {
		latest = o.lastHealthy
	}
	if o.late.lastAt.After(latest) {
		latest = o.late.lastAt
	}
	return latest
}
