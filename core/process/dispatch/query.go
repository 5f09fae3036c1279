package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// minHedgePostponement is the least time after which a postponed hedge is
// considered again, so that one that is not yet sent is not checked in a loop.
const minHedgePostponement = time.Millisecond

// query is a request that is being answered. It has one part for each service
// of its plan. Attempts run on goroutines of their own; of the query's mutable
// state they use only the outcomes channel and the fields guarded by cancelMu.
type query struct {
	dispatcher *Dispatcher
	// token is the token of the request, nil if its team has no quota.
	token    *heldToken
	request  *relay.Request
	state    *relay.State
	outcomes chan partOutcome
	// leases has for each part the channel that receives its lease while it is
	// queued. waiters has the queue entry of each part, nil if it is not queued.
	leases  []chan *placement.Lease
	waiters []*placement.Waiter
	// latest has the latest attempt for each part, nil before the first.
	latest []*subRequest
	trace  *Trace
	// identity is what targets learn about the team of the request.
	identity relay.Identity
	// checked is set once the request was found to be permitted or not after the latest
	// event, and forbidden is its refusal if it is not.
	checked   bool
	forbidden *relay.Refused
	// allOrNone is set if nothing is sent unless enough services have capacity or are
	// expected to have it soon.
	allOrNone bool
	// capacityWait is the time after which capacity is expected if nothing was sent
	// because of allOrNone, 0 if it is not known.
	capacityWait time.Duration

	// cancelMu guards cancels, the cancel functions of all attempts, and
	// finished.
	cancelMu sync.Mutex
	cancels  []context.CancelFunc
	finished bool
}

// partOutcome is the outcome of an attempt for a part.
type partOutcome struct {
	part    int
	outcome relay.Outcome
}

// newQuery returns a request that passed admission, with its token.
func (d *Dispatcher) newQuery(table *routing.Table, plan relay.Plan, req *relay.Request, token *heldToken, trace *Trace) *query {
	parts := len(plan.Services())
	return &query{
		dispatcher: d,
		token:      token,
		request:    req,
		state:      relay.NewState(plan),
		outcomes:   make(chan partOutcome, relay.MaxSends*parts),
		leases:     make([]chan *placement.Lease, parts),
		waiters:    make([]*placement.Waiter, parts),
		latest:     make([]*subRequest, parts),
		trace:      trace,
		identity:   identityOf(table, req),
		allOrNone:  table.DeclaresTeams() && len(plan.Route().Shards()) > 0,
	}
}

// run sends the parts and handles their outcomes until the answer is complete, ctx
// ends, or the dispatcher ends all requests.
func (q *query) run(ctx context.Context) {
	now := q.request.Arrived()
	if q.token.waited() {
		now = time.Now()
	}
	q.sendAllFirst(now)
	q.checked = false
	now = time.Now()
	timer := time.NewTimer(time.Until(q.state.NextTime(now)))
	defer timer.Stop()
	for !q.state.Done(now) {
		select {
		case o := <-q.outcomes:
			now = time.Now()
			q.handleOutcome(o, now)
			q.handleWaiting(now)
		case <-timer.C:
			now = time.Now()
		case <-q.dispatcher.ended:
			q.finish(false)
			return
		case <-ctx.Done():
			q.finish(true)
			return
		}
		q.sendDue(now)
		q.checked = false
		timer.Reset(q.state.NextTime(now).Sub(now))
	}
	q.finish(false)
}

// leaseRequest returns the lease request for the first attempt of part n.
func (q *query) leaseRequest(n int) placement.LeaseRequest {
	return placement.NewLeaseRequest(q.state.Plan().Services()[n], q.state.Plan().Route().Name()).ForTeam(teamName(q.request))
}

// sendFirst sends the first attempt of part n, or queues it if no target has
// capacity left. The part is given up if its service has no usable target.
func (q *query) sendFirst(n int, now time.Time) {
	if !q.permitted() {
		q.state.GiveUp(n)
		return
	}
	lease, ok := q.dispatcher.fleet.Acquire(q.leaseRequest(n), now)
	if ok {
		q.send(n, lease, now)
		return
	}
	if q.dispatcher.fleet.UsableTargets(q.state.Plan().Services()[n], now) == 0 {
		q.state.GiveUp(n)
		return
	}
	q.enqueue(n, now)
}

// enqueue adds part n to the queue of its service.
func (q *query) enqueue(n int, now time.Time) {
	q.leases[n] = make(chan *placement.Lease, 1)
	q.state.MarkWaiting(n)
	q.waiters[n] = q.dispatcher.fleet.Enqueue(q.leaseRequest(n), q.dispatcher.priority(q.state.Plan(), q.request), q.state.Plan().End(), q.leases[n], now)
	q.sendIfLeased(n, now)
}

// sendIfLeased sends the queued part n if it has been given a lease.
func (q *query) sendIfLeased(n int, now time.Time) {
	select {
	case lease := <-q.leases[n]:
		q.waiters[n] = nil
		q.send(n, lease, now)
	default:
	}
}

// send starts an attempt for part n on its own goroutine. The context of the
// attempt ends at the End of the plan and does not derive from the caller's context.
func (q *query) send(n int, lease *placement.Lease, now time.Time) {
	plan := q.state.Plan()
	q.state.RecordSend(n, lease.Target(), q.overdueAfter(n, lease), now)
	q.trace.sends++
	q.token.spend()
	ctx, cancel := context.WithDeadline(context.Background(), plan.End())
	q.cancelMu.Lock()
	q.cancels = append(q.cancels, cancel)
	q.cancelMu.Unlock()
	attempt := relay.NewAttempt(q.request, lease.Instance(), plan.End(), q.state.AtMostOnce()).
		WithIdleTimeout(lease.IdleTimeout()).WithIdentity(q.identity)
	if len(plan.Route().Shards()) > 0 {
		attempt = attempt.WithWholeResponse()
	}
	s := &subRequest{query: q, part: n, lease: lease, cancel: cancel}
	s.attempt = attempt.WithOnConnect(s.connected)
	q.latest[n] = s
	q.request.Retain()
	go s.run(ctx)
}

// overdueAfter returns the time after which a response for part n is overdue:
// the time estimated from recent response times, the slowness of the target and the link,
// but at most maxOverdueFraction of the route's objective, or defaultOverdueFraction of
// the objective if there is no estimate.
func (q *query) overdueAfter(n int, lease *placement.Lease) time.Duration {
	objective := float64(q.state.Plan().Route().LatencyObjective())
	delay, known := q.dispatcher.fleet.OverdueAfter(q.state.Plan().Services()[n], q.state.Plan().Route().Name())
	if !known {
		return time.Duration(defaultOverdueFraction * objective)
	}
	return min(lease.OverdueAfter(delay), time.Duration(maxOverdueFraction*objective))
}

// handleWaiting handles the outcomes that have arrived meanwhile, so that what follows
// an outcome is done once for all of them.
func (q *query) handleWaiting(now time.Time) {
	for {
		select {
		case o := <-q.outcomes:
			q.handleOutcome(o, now)
		default:
			return
		}
	}
}

// handleOutcome applies an outcome to the state and sends the part again if the
// resulting action is Retry or FreeRetry.
func (q *query) handleOutcome(o partOutcome, now time.Time) {
	action := q.state.HandleOutcome(o.part, o.outcome)
	if answered, ok := o.outcome.(relay.Answered); ok && !q.state.Holds(o.part, answered.Response()) {
		o.discard()
	}
	switch action {
	case relay.Retry:
		q.sendAgain(o.part, false, now)
	case relay.FreeRetry:
		q.sendAgain(o.part, true, now)
	case relay.NoAction:
	}
}

// sendAgain sends part n to another target after a failure. The part is given
// up if no lease is available. An exempt attempt is not charged to the retry
// budget.
func (q *query) sendAgain(n int, exempt bool, now time.Time) {
	if !q.permitted() {
		q.state.GiveUp(n)
		return
	}
	r := q.leaseRequest(n).ExtraAttempt(q.state.Tried(n), exempt)
	lease, ok := q.dispatcher.fleet.Acquire(r, now)
	if !ok && len(q.state.Tried(n)) >= q.dispatcher.fleet.UsableTargets(q.state.Plan().Services()[n], now) {
		// All targets were tried; exclude only the last one.
		r = q.leaseRequest(n).ExtraAttempt(q.state.Tried(n)[len(q.state.Tried(n))-1:], exempt)
		lease, ok = q.dispatcher.fleet.Acquire(r, now)
	}
	if !ok {
		q.state.GiveUp(n)
		return
	}
	q.trace.retries++
	q.send(n, lease, now)
}

// sendDue sends hedges for overdue parts, and sends the queued parts that have
// been given a lease. A hedge is postponed by the time that passed before the attempt
// was sent.
func (q *query) sendDue(now time.Time) {
	for _, n := range q.state.DueHedges(now) {
		if !q.permitted() {
			break
		}
		if remaining := q.overdueAfter(n, q.latest[n].lease) - q.latest[n].waitedSince(now); remaining > 0 {
			q.state.PostponeHedge(n, now.Add(max(remaining, minHedgePostponement)))
			continue
		}
		r := q.leaseRequest(n).ExtraAttempt(q.state.Tried(n), false)
		if lease, ok := q.dispatcher.fleet.Acquire(r, now); ok {
			q.trace.hedges++
			q.send(n, lease, now)
		}
	}
	for n := range q.state.NumParts() {
		if q.state.Waiting(n) {
			if !q.permitted() {
				q.giveUpWaiting(now)
				return
			}
			q.dispatcher.fleet.RecheckQueue(q.waiters[n], now)
			q.sendIfLeased(n, now)
			q.giveUpIfUnusable(n, now)
		}
	}
}

// giveUpIfUnusable gives up the queued part n if its service no longer has a usable
// target.
func (q *query) giveUpIfUnusable(n int, now time.Time) {
	if q.waiters[n] == nil || q.dispatcher.fleet.UsableTargets(q.state.Plan().Services()[n], now) > 0 {
		return
	}
	if q.dispatcher.fleet.Dequeue(q.waiters[n]) {
		q.waiters[n] = nil
		q.state.GiveUp(n)
		return
	}
	q.sendIfLeased(n, now)
}
