package rollout

import (
	"slices"
	"strings"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

// Stage says which targets the requests for a service go to while a rollout runs.
type Stage uint64

// The stages, in the order in which a rollout that succeeds passes through them. The
// values are sent.
const (
	// Hold: only the old versions get requests.
	Hold Stage = iota
	// Test: each VM may send its allowance of requests to the new version.
	Test
	// Shift: a fixed share of the requests goes to the new version.
	Shift
	// Full: first attempts go to the new version while it has capacity.
	Full
	// Closed: the old versions get nothing.
	Closed
)

// String returns the name of the stage for the log.
func (s Stage) String() string {
	switch s {
	case Hold:
		return "hold"
	case Test:
		return "test"
	case Shift:
		return "shift"
	case Full:
		return "full"
	case Closed:
		return "closed"
	}
	return "unknown"
}

// shiftShare is the share of the requests that go to the new version in the stage Shift.
const shiftShare = 0.25

// Grant is what the leader allows one run of an entry VM. The allowance is the number of
// requests that the VM may have sent to the new version since the order; it is used in the
// stage Test only.
type Grant struct {
	service   string
	order     uint64
	stage     Stage
	allowance uint64
}

// NewGrant returns a grant.
func NewGrant(service string, order uint64, stage Stage, allowance uint64) Grant {
	return Grant{service: service, order: order, stage: stage, allowance: allowance}
}

// Service returns the name of the service.
func (g Grant) Service() string { return g.service }

// Order returns the number of the order.
func (g Grant) Order() uint64 { return g.order }

// Stage returns the stage.
func (g Grant) Stage() Stage { return g.stage }

// Gate decides on an entry VM which version the requests for a service may go to, and
// counts them. It is not safe for concurrent use.
type Gate struct {
	service  string
	order    uint64
	version  string
	grant    Grant
	expires  bootclock.Time
	requests uint64
	sent     uint64
	// owed is the part of a request by which the new version has got less than
	// shiftShare. It starts at random, so that VMs with few requests add up to the share.
	owed   float64
	routes map[string]*RouteCounts
	before func(route string) time.Duration
}

// NewGate returns the gate of a running rollout without a grant. The random number is from
// 0 to 1. before returns the median response time of a route at its first request, 0 if it
// is not known.
func NewGate(r Record, random float64, before func(route string) time.Duration) *Gate {
	return &Gate{service: r.service, order: r.order, version: r.version, owed: random, routes: make(map[string]*RouteCounts), before: before}
}

// Order returns the number of the order.
func (g *Gate) Order() uint64 { return g.order }

// Version returns the target version.
func (g *Gate) Version() string { return g.version }

// Take applies a grant that is valid until a time. It reports whether the grant has another
// stage than the one before.
func (g *Gate) Take(grant Grant, until bootclock.Time) bool {
	if grant.order != g.order {
		return false
	}
	changed := grant.stage != g.grant.stage
	g.grant = grant
	g.expires = until
	return changed
}

// Stage returns the stage that is in force, Hold after the grant has expired.
func (g *Gate) Stage(now bootclock.Time) Stage {
	if !now.Before(g.expires) {
		return Hold
	}
	return g.grant.stage
}

// NextMayBeNew reports whether the next request may go to the new version.
func (g *Gate) NextMayBeNew(now bootclock.Time) bool {
	switch g.Stage(now) {
	case Hold:
		return false
	case Test:
		return g.sent < g.grant.allowance
	case Shift:
		return g.owed+shiftShare >= 1
	case Full, Closed:
		return true
	}
	return false
}

// CountRequest counts a request for the service, which goes to the new version or not.
func (g *Gate) CountRequest(updated bool) {
	g.requests++
	g.owed += shiftShare
	if updated {
		g.sent++
		g.owed--
	}
	g.owed = min(max(g.owed, 0), 1)
}

// CountExtra counts a retry or hedge at the new version.
func (g *Gate) CountExtra() { g.sent++ }

// CountFailure counts an attempt that failed.
func (g *Gate) CountFailure(route string, updated bool) { g.counts(route, updated).AddFailure() }

// CountResponse counts an attempt that got a response.
func (g *Gate) CountResponse(route string, updated bool, took time.Duration) {
	g.counts(route, updated).AddResponse(took)
}

func (g *Gate) counts(route string, updated bool) *Counts {
	r := g.routes[route]
	if r == nil {
		r = &RouteCounts{route: route, before: g.before(route)}
		g.routes[route] = r
	}
	if updated {
		return &r.updated
	}
	return &r.old
}

// InFlight counts attempts that have not ended.
type InFlight struct {
	old, oldOverdue, overdue uint64
}

// Add counts an attempt at the new version or at an old one, whose response is overdue or
// not.
func (f *InFlight) Add(updated, overdue bool) {
	switch {
	case updated && overdue:
		f.overdue++
	case updated:
	case overdue:
		f.old++
		f.oldOverdue++
	default:
		f.old++
	}
}

// Report returns the counts, with the attempts that have not ended. usable is false if this
// VM has no target of the new version that it can use; it then goes on with the old ones.
func (g *Gate) Report(running InFlight, usable bool, now bootclock.Time) Report {
	stage := g.Stage(now)
	if !usable {
		stage = min(stage, Full)
	}
	r := Report{service: g.service, order: g.order, stage: stage, allowance: g.grant.allowance,
		requests: g.requests, sent: g.sent, running: running}
	for _, counts := range g.routes {
		r.routes = append(r.routes, *counts)
	}
	slices.SortFunc(r.routes, func(a, b RouteCounts) int { return strings.Compare(a.route, b.route) })
	return r
}
