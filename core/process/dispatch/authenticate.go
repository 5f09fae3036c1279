package dispatch

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/confirmation"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

const (
	// firstConfirmationWait is the time after which a VM that has just started has a
	// confirmation, if it reaches the control VMs.
	firstConfirmationWait = 100 * time.Millisecond
	// maxConfirmationWait bounds the time after which a caller may retry if this VM has lost
	// its confirmation. It is not known when the VM will have one again.
	maxConfirmationWait = 2 * time.Second
)

// SetConfirmation sets what tells whether the table is known to be the newest. It must be
// called before the first request.
func (d *Dispatcher) SetConfirmation(h *confirmation.Holder) { d.confirmation = h }

// SetStrictRevocation sets whether a key is accepted only while the table is confirmed. It
// must be called before the first request.
func (d *Dispatcher) SetStrictRevocation(strict bool) { d.strict = strict }

// access is the decision whether a request may run.
type access int

const (
	// accessGranted is the decision for a request that may run, with a team or, on a public
	// route or without teams, without one.
	accessGranted access = iota
	// accessUnknown is the decision for a request whose key no team holds.
	accessUnknown
	// accessUnconfirmed is the decision for a request that this VM can't decide on, since
	// its table may not be the newest.
	accessUnconfirmed
)

// trust is what the confirmation says about the table of this VM.
type trust struct {
	confirmed bool
	certain   bool
}

// decideAccess decides whether a request on a route may run, and returns its team, if it
// has one. A key that is known is accepted while the table is confirmed, or always if the
// revocation is not strict. A key that is not known is refused for good only if the table is
// certain to be the newest, since a newer one may hold it.
func decideAccess(table *routing.Table, route routing.Route, key relay.Credential, strict bool, t trust) (team routing.Team, hasTeam bool, decision access) {
	if !table.DeclaresTeams() {
		return routing.Team{}, false, accessGranted
	}
	if digest, usable := key.Digest(); usable {
		team, hasTeam = table.TeamOf(digest)
	}
	switch {
	case route.Public():
		return team, hasTeam, accessGranted
	case hasTeam && (t.confirmed || !strict):
		return team, true, accessGranted
	case !hasTeam && t.certain:
		return routing.Team{}, false, accessUnknown
	}
	return routing.Team{}, false, accessUnconfirmed
}

// authenticate sets the team of a request under a table with teams. It refuses a request
// that needs the key of a team and has none, and one whose key can't be checked because this
// VM does not know whether its table is the newest. The second result reports whether the
// request is refused.
func (d *Dispatcher) authenticate(route routing.Route, req *relay.Request, now bootclock.Time) (relay.Refused, bool) {
	team, hasTeam, decision := d.checkAccess(route, req, now)
	if decision != accessGranted {
		return d.refuseAccess(decision, req, now), true
	}
	if hasTeam {
		req.WithTeam(team)
	}
	return relay.Refused{}, false
}

// checkAccess decides on a request with the newest table. The confirmation is read before
// the table: a proof for a table that is put in force in between must not confirm the table
// before it.
func (d *Dispatcher) checkAccess(route routing.Route, req *relay.Request, now bootclock.Time) (routing.Team, bool, access) {
	t := trust{confirmed: d.confirmation.Confirmed(now), certain: d.confirmation.Certain(now)}
	return decideAccess(d.table.Load(), route, req.Credential(), d.strict, t)
}

// refuseAccess returns the refusal of a request that may not run.
func (d *Dispatcher) refuseAccess(decision access, req *relay.Request, now bootclock.Time) relay.Refused {
	if decision == accessUnknown {
		reason := req.Credential().Fault()
		if reason == "" {
			reason = "no team holds the key"
		}
		return relay.NewRefused(result.UnknownTeam, reason)
	}
	wait := min(max(firstConfirmationWait, d.confirmation.LostFor(now)), maxConfirmationWait)
	return relay.NewRefused(result.Unconfirmed, "this VM does not know whether its routes are the newest").WithRetryAfter(wait + spread(wait))
}

// priority returns the priority of a request in the queues.
func (d *Dispatcher) priority(plan relay.Plan, req *relay.Request) placement.Priority {
	if team, ok := req.Team(); ok {
		return placement.NewPriority(team.Priority(), plan.Route().Priority())
	}
	return placement.NewPriority(d.table.Load().LeastPriority(), plan.Route().Priority())
}

// identityOf returns what targets learn about the team of a request under a table.
func identityOf(table *routing.Table, req *relay.Request) relay.Identity {
	if !table.DeclaresTeams() {
		return relay.Identity{}
	}
	team, _ := req.Team()
	return relay.NewIdentity(team.Name())
}

// permitted reports whether the request may be sent now. It is checked once for all sends
// that follow one event, with the newest table: a key that was accepted when the request
// arrived may have been taken away, or the confirmation may have expired, while the request
// was queued or its first attempt failed.
func (q *query) permitted() bool {
	if !q.checked {
		q.checked = true
		q.check()
	}
	return q.forbidden == nil
}

// check decides whether the request may still be sent, and updates what targets learn about
// its team.
func (q *query) check() {
	d := q.dispatcher
	if !q.identity.HidesKey() && !d.table.Load().DeclaresTeams() {
		return
	}
	now := bootclock.Now()
	team, _, decision := d.checkAccess(q.state.Plan().Route(), q.request, now)
	if decision != accessGranted {
		refusal := d.refuseAccess(decision, q.request, now)
		q.forbidden = &refusal
		return
	}
	q.forbidden = nil
	q.identity = relay.NewIdentity(team.Name())
}

// refusal returns the answer to a request that was not run: why it may not be sent any more,
// or else the given refusal with the time after which the caller may retry.
func (q *query) refusal(refused relay.Refused, now time.Time) relay.Refused {
	if q.forbidden != nil {
		return *q.forbidden
	}
	return q.dispatcher.withRetryAfter(refused, q.state.Plan(), q.request, q.capacityWait, now)
}

// giveUpWaiting removes the queued parts of a request that may not be sent any more.
func (q *query) giveUpWaiting(now time.Time) {
	for n, w := range q.waiters {
		if w == nil {
			continue
		}
		q.leaveQueue(n, now)
		q.waiters[n] = nil
		q.state.GiveUp(n)
	}
}
