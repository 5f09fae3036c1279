package dispatch

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// teamName returns the name of the caller's team. Callers without a key are one team, with
// the empty name.
func teamName(req *relay.Request) string {
	team, _ := req.Team()
	return team.Name()
}

// recordDemand counts what a request needs towards the usual demand of its team, if the
// table has teams. Requests beyond the quota of their team do not count.
func (d *Dispatcher) recordDemand(table *routing.Table, plan relay.Plan, req *relay.Request) {
	if table.DeclaresTeams() {
		d.fleet.RecordDemand(teamName(req), len(plan.Services()), req.Arrived())
	}
}

// expectedWait returns how long a request would wait in the queue of a service.
func (d *Dispatcher) expectedWait(service string, plan relay.Plan, req *relay.Request, now time.Time) time.Duration {
	r := placement.NewLeaseRequest(service, plan.Route().Name()).ForTeam(teamName(req))
	return d.fleet.ExpectedWait(r, d.priority(plan, req), now)
}

// sendAllFirst sends or queues the first attempts of all parts. With allOrNone, all parts
// are given up if too few of them would get a target in time, so that the targets do no
// work for an answer that lacks the minimum of parts.
func (q *query) sendAllFirst(now time.Time) {
	if !q.allOrNone {
		for n := range q.state.NumParts() {
			q.sendFirst(n, now)
		}
		return
	}
	if !q.permitted() {
		for n := range q.state.NumParts() {
			q.state.GiveUp(n)
		}
		return
	}
	plan := q.state.Plan()
	requests := make([]placement.LeaseRequest, q.state.NumParts())
	for n := range requests {
		requests[n] = q.leaseRequest(n)
	}
	leases, wait, ok := q.dispatcher.fleet.AcquireAll(requests, plan.MinParts(), q.dispatcher.priority(plan, q.request), plan.UnsentDeadline().Sub(now), now)
	if !ok {
		q.capacityWait = wait
	}
	for n := range requests {
		switch {
		case !ok:
			q.state.GiveUp(n)
		case leases[n] != nil:
			q.send(n, leases[n], now)
		default:
			q.sendFirst(n, now)
		}
	}
}
