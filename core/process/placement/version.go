package placement

import (
	"math/rand/v2"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
)

// unknownOverdueAfter is the time after which a response at a service without known
// response times counts as overdue for a rollout.
const unknownOverdueAfter = 2 * time.Second

// connectionKept is the time without a response of a target after which a request to it is
// assumed to open a connection. While a version is tested, nearly every request does, so
// that a good version would seem slow.
const connectionKept = 7 * time.Second

// side says which part of a rollout a target belongs to.
type side int

const (
	// noSide: the version of the target was never ordered, or is no longer in use.
	noSide side = iota
	// oldSide: the version is in use. All targets are on this side if the versions of the
	// service are not restricted.
	oldSide
	// newSide: the version is the target version of the running rollout.
	newSide
)

// versions holds which versions of a service get requests. It is guarded by Fleet.mu.
type versions struct {
	record rollout.Record
	// gate is nil unless a rollout of the service is running.
	gate *rollout.Gate
	// noneListed is set if a rollout has succeeded and the list has no target of a version
	// in use.
	noneListed bool
}

// EnforceVersions makes the fleet use only targets of versions that the log has recorded,
// also of services without a rollout. It must be called before the first list.
func (f *Fleet) EnforceVersions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.enforceVersions = true
}

// SetRollouts sets the versions in use and the rollouts that the log has recorded.
func (f *Fleet) SetRollouts(records []rollout.Record, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		g := f.group(r.Service())
		g.versions.record = r
		g.updateVersions()
		switch {
		case r.State() != rollout.Running:
			g.versions.gate = nil
		case g.versions.gate == nil || g.versions.gate.Order() != r.Order():
			g.versions.gate = rollout.NewGate(r, rand.Float64(), func(kind string) time.Duration { return g.latency(kind).median })
		}
	}
	f.grantAllWaiting(now)
}

// sideOf returns the side of a target. The caller holds f.mu.
func (g *group) sideOf(t *Target) side {
	v := &g.versions
	switch {
	case !g.fleet.enforceVersions && v.record.Order() == 0:
		return oldSide
	case v.gate != nil && t.instance.Version() == v.gate.Version():
		return newSide
	case v.record.Uses(t.instance.Version()) || v.noneListed && g.fleet.outOfTouch:
		return oldSide
	}
	return noSide
}

// SetOutOfTouch sets whether no control VM can be reached. The rollout that replaced the
// versions in use may then have succeeded without this VM knowing it: if the list has no
// target of them any more, those that it has are used.
func (f *Fleet) SetOutOfTouch(outOfTouch bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outOfTouch = outOfTouch
}

// updateVersions derives what depends on both the list and the versions in use. The caller
// holds g.fleet.mu.
func (g *group) updateVersions() {
	g.versions.noneListed = g.versions.record.State() == rollout.Succeeded
	for _, t := range g.targets {
		if g.versions.record.Uses(t.instance.Version()) {
			g.versions.noneListed = false
		}
	}
}

// admits reports whether the next request may go to a target as far as its version is
// concerned. The caller holds f.mu.
func (g *group) admits(t *Target) bool {
	switch g.sideOf(t) {
	case noSide:
		return false
	case oldSide:
		return g.versions.gate == nil || !g.oldClosed(g.fleet.bootNow())
	case newSide:
		return g.versions.gate.NextMayBeNew(g.fleet.bootNow())
	}
	return false
}

// oldClosed reports whether the old versions get nothing. They go on if this VM has no
// target of the new version. The caller holds f.mu.
func (g *group) oldClosed(now bootclock.Time) bool {
	return g.versions.gate.Stage(now) == rollout.Closed && g.hasNew()
}

// hasNew reports whether a target of the new version can be used. The caller holds f.mu.
func (g *group) hasNew() bool {
	for _, t := range g.targets {
		if g.sideOf(t) == newSide && t.listed && !t.departure.known() && g.fleet.centreUsable(t.instance.DataCentre()) {
			return true
		}
	}
	return false
}

// choose returns the target for a request of a kind, or nil if there is none; see
// chooseOf. While a rollout runs, the version is chosen at the first attempt. Retries and
// hedges, which have targets in tried, go to the old versions as long as these get
// requests. A first attempt for which the new version has no target with capacity goes to
// an old one. The caller holds f.mu.
func (f *Fleet) choose(g *group, kind string, tried []*Target, now time.Time) *Target {
	gate := g.versions.gate
	if gate == nil {
		return f.chooseOf(g, oldSide, kind, tried, now)
	}
	bootNow := f.bootNow()
	if g.oldClosed(bootNow) {
		return f.chooseOf(g, newSide, kind, tried, now)
	}
	if len(tried) == 0 && gate.NextMayBeNew(bootNow) {
		if t := f.chooseOf(g, newSide, kind, nil, now); t != nil && f.classify(t, now) < down {
			return t
		}
	}
	return f.chooseOf(g, oldSide, kind, tried, now)
}

// countSend counts the attempt of a lease for the rollout that is running. The caller holds
// f.mu.
func (g *group) countSend(l *Lease, first bool) {
	gate := g.versions.gate
	if gate == nil {
		return
	}
	l.gate = gate
	l.updated = g.sideOf(l.target) == newSide
	l.setupTime = l.target.setupTime(l.sentAt)
	switch {
	case first:
		gate.CountRequest(l.updated)
		g.fleet.rolloutRequests++
		if l.updated {
			g.fleet.rolloutUpdated++
		}
	case l.updated:
		gate.CountExtra()
	}
}

// setupTime returns the part of the response time of a request sent now, without the time of
// the link, that a new connection accounts for, and not the version of the target.
func (t *Target) setupTime(now time.Time) time.Duration {
	if t.lastObservedAt.IsZero() || now.Sub(t.lastObservedAt) > connectionKept {
		return ConnectTime
	}
	return 0
}

// countFailure counts an attempt that failed for the rollout that ran when it was sent. The
// caller holds l.fleet.mu.
func (l *Lease) countFailure() {
	if l.gate != nil {
		l.gate.CountFailure(l.kind, l.updated)
	}
}

// countResponse counts a response for the rollout that ran when the request was sent. The
// caller holds l.fleet.mu.
func (l *Lease) countResponse(responseTime time.Duration) {
	if l.gate != nil {
		l.gate.CountResponse(l.kind, l.updated, max(0, responseTime-l.setupTime))
	}
}

// lateForRollout reports whether the response has been overdue for longer than a pause of
// the target can explain.
func (l *Lease) lateForRollout(now time.Time) bool {
	switch {
	case !l.streamingSince.IsZero():
		return false
	case l.overdueAt.IsZero():
		return now.Sub(l.sentAt) > unknownOverdueAfter
	}
	return now.After(l.overdueAt.Add(stalledAfter))
}

// RolloutReports returns what this VM has counted of the rollouts that are running.
func (f *Fleet) RolloutReports(now time.Time) []rollout.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []rollout.Report
	for _, g := range f.groups {
		if g.versions.gate == nil {
			continue
		}
		var running rollout.InFlight
		for _, t := range g.targets {
			for l := range t.inFlight {
				running.Add(l.updated, l.lateForRollout(now))
			}
		}
		out = append(out, g.versions.gate.Report(running, g.hasNew(), f.bootNow()))
	}
	return out
}

// TakeRolloutRequests returns the requests for services of which a rollout was running, and
// those of them that went to the new version, since the last call.
func (f *Fleet) TakeRolloutRequests() (all, updated int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all, updated = f.rolloutRequests, f.rolloutUpdated
	f.rolloutRequests, f.rolloutUpdated = 0, 0
	return all, updated
}

// TakeRolloutGrant applies a grant of the leader that is valid until a time. It reports
// whether the grant has another stage than the one before.
func (f *Fleet) TakeRolloutGrant(grant rollout.Grant, until bootclock.Time, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.groups[grant.Service()]
	if g == nil || g.versions.gate == nil || !g.versions.gate.Take(grant, until) {
		return false
	}
	f.grantWaiting(g, now)
	return true
}
