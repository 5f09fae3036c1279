package replica

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// ServiceVersions is a service with the versions of its targets in the target list.
type ServiceVersions struct {
	service  string
	versions []string
}

// NewServiceVersions returns a service with the versions of its targets.
func NewServiceVersions(service string, versions []string) ServiceVersions {
	return ServiceVersions{service: service, versions: versions}
}

// Service returns the name of the service.
func (v ServiceVersions) Service() string { return v.service }

// Versions returns the versions of its targets.
func (v ServiceVersions) Versions() []string { return v.versions }

// RecordVersions records the versions in use of services for which none is recorded.
type RecordVersions struct {
	services   []ServiceVersions
	appendedAt time.Time
}

// StartRollout orders that the traffic of a service moves to another version. It changes
// nothing if the latest order of the service is the same, unless that rollout has ended
// and renewed is set.
type StartRollout struct {
	service  string
	version  string
	duration time.Duration
	// listed are the versions of the service in the leader's target list, which are in
	// use if none are recorded.
	listed     []string
	renewed    bool
	appendedAt time.Time
}

// EndRollout ends the rollout with an order number, if it is running.
type EndRollout struct {
	service    string
	order      uint64
	succeeded  bool
	reason     string
	appendedAt time.Time
}

// StateElapsed states how much of the duration of a running rollout has passed, for the
// next leader. It is not a change of the routes, so the revision stays the same.
type StateElapsed struct {
	service string
	order   uint64
	elapsed time.Duration
}

func (RecordVersions) command() {}
func (StartRollout) command()   {}
func (EndRollout) command()     {}
func (StateElapsed) command()   {}

// NewRecordVersions returns the command that records versions in use.
func NewRecordVersions(services []ServiceVersions) RecordVersions {
	return RecordVersions{services: services}
}

// NewStartRollout returns the order of an operator.
func NewStartRollout(service, version string, duration time.Duration) StartRollout {
	return StartRollout{service: service, version: version, duration: duration}
}

// Service returns the name of the service.
func (c StartRollout) Service() string { return c.service }

// Version returns the target version.
func (c StartRollout) Version() string { return c.version }

// Duration returns the time until the deadline.
func (c StartRollout) Duration() time.Duration { return c.duration }

// WithLeaderView returns the order with what the leader adds to it: the versions of the
// service in its target list, and whether the same order as the latest one, which has
// ended, starts a new rollout.
func (c StartRollout) WithLeaderView(listed []string, renewed bool) StartRollout {
	c.listed = listed
	c.renewed = renewed
	return c
}

// NewEndRollout returns the command that ends a rollout, with the evidence for the audit
// trail.
func NewEndRollout(service string, order uint64, succeeded bool, reason string) EndRollout {
	return EndRollout{service: service, order: order, succeeded: succeeded, reason: reason}
}

// NewStateElapsed returns the command that states the elapsed time of a rollout.
func NewStateElapsed(service string, order uint64, elapsed time.Duration) StateElapsed {
	return StateElapsed{service: service, order: order, elapsed: elapsed}
}

// RolloutOutcome is the result of a StartRollout: ChangeAccepted, ChangeRepeated, or
// VersionConflict while another rollout of the service is running.
type RolloutOutcome struct {
	code     result.Code
	revision uint64
}

func (RolloutOutcome) outcome() {}

// Code returns the result code.
func (o RolloutOutcome) Code() result.Code { return o.code }

// Revision returns the revision after the command.
func (o RolloutOutcome) Revision() uint64 { return o.revision }

// Rollouts returns the versions in use and the latest rollouts, sorted by service.
func (r Routes) Rollouts() []rollout.Record { return r.rollouts }

// WithRollouts returns the routes with versions in use and rollouts that were received from
// another process.
func (r Routes) WithRollouts(rollouts []rollout.Record) Routes {
	r.rollouts = rollouts
	return r
}

// setRollout replaces the record of a service. Readers may hold the old list, which is
// not modified.
func (s *State) setRollout(r rollout.Record) {
	s.routes.rollouts = rollout.With(s.routes.rollouts, r)
}

func (s *State) recordVersions(c RecordVersions) RoutesOutcome {
	changed := false
	for _, v := range c.services {
		r, _ := rollout.Find(s.routes.rollouts, v.service)
		updated := r.WithVersions(v.versions)
		if slices.Equal(r.InUse(), updated.InUse()) {
			continue
		}
		s.setRollout(updated)
		changed = true
	}
	if changed {
		s.routes.revision++
	}
	return s.routesOutcome()
}

func (s *State) startRollout(c StartRollout) RolloutOutcome {
	r, _ := rollout.Find(s.routes.rollouts, c.service)
	same := r.SameOrder(c.version, c.duration)
	switch {
	case same && (r.State() == rollout.Running || !c.renewed):
		return RolloutOutcome{code: result.ChangeRepeated, revision: s.routes.revision}
	case r.State() == rollout.Running:
		return RolloutOutcome{code: result.VersionConflict, revision: s.routes.revision}
	}
	s.routes.revision++
	// Where only the target version is listed, it is the one in use.
	listed := slices.DeleteFunc(slices.Clone(c.listed), func(v string) bool { return v == c.version })
	if len(listed) == 0 {
		listed = c.listed
	}
	r = r.WithVersions(listed).Started(s.routes.revision, c.version, c.duration)
	s.setRollout(r)
	s.auditRollout(c.appendedAt, r, fmt.Sprintf("rollout of service %s to version %s in %s ordered", c.service, c.version, c.duration))
	return RolloutOutcome{code: result.ChangeAccepted, revision: s.routes.revision}
}

func (s *State) endRollout(c EndRollout) RoutesOutcome {
	r, ok := rollout.Find(s.routes.rollouts, c.service)
	if !ok || r.Order() != c.order || r.State() != rollout.Running {
		return s.routesOutcome()
	}
	r = r.Ended(c.succeeded)
	s.setRollout(r)
	s.routes.revision++
	s.auditRollout(c.appendedAt, r, fmt.Sprintf("rollout of service %s to version %s %s: %s", c.service, r.Version(), r.State(), c.reason))
	return s.routesOutcome()
}

func (s *State) stateElapsed(c StateElapsed) RoutesOutcome {
	r, ok := rollout.Find(s.routes.rollouts, c.service)
	if ok && r.Order() == c.order && r.State() == rollout.Running {
		s.setRollout(r.WithElapsed(c.elapsed))
	}
	return s.routesOutcome()
}

func (s *State) auditRollout(at time.Time, r rollout.Record, change string) {
	s.auditTrail.Add(audit.NewRecord(at, fmt.Sprintf("rollout-%d", r.Order()), "operator", "", s.routes.version, s.routes.version,
		result.ChangeAccepted, []string{change}))
}
