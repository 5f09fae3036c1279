package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// mostMissing bounds the parts that the log names as missing.
const maxLoggedMissing = 8

// query is one request on its way.
type query struct {
	dispatcher *Dispatcher
	request    *relay.Request
	state      *relay.State
	outcomes   chan partOutcome
	leases     []chan *placement.Lease
	waiters    []*placement.Waiter
	trace      *Trace

	// cancelMu guards cancels, the ends of sends that are on their way.
	cancelMu sync.Mutex
	cancels  []context.CancelFunc
	finished bool
}

// arrival is the outcome of a send of a part.
type partOutcome struct {
	part    int
	outcome relay.Outcome
}

// run drives the request until its answer may go out.
func (q *query) run(ctx context.Context) {
	now := q.request.Arrived()
	for n := range q.state.Parts() {
		q.sendFirst(n, now)
	}
	now = time.Now()
	timer := time.NewTimer(time.Until(q.state.NextTime(now)))
	defer timer.Stop()
	for !q.state.Done(now) {
		select {
		case o := <-q.outcomes:
			now = time.Now()
			q.handleOutcome(o, now)
		case <-timer.C:
			now = time.Now()
		case <-ctx.Done():
			q.finish(true)
			return
		}
		q.handleTimer(now)
		timer.Reset(q.state.NextTime(now).Sub(now))
	}
	q.finish(false)
}

func (q *query) leaseRequest(n int) placement.LeaseRequest {
	return placement.NewLeaseRequest(q.state.Plan().Services()[n], q.state.Plan().Route().Name())
}

// first sends a part for the first time, or lets it wait for room.
func (q *query) sendFirst(n int, now time.Time) {
	lease, ok := q.dispatcher.fleet.Acquire(q.leaseRequest(n), now)
	if ok {
		q.send(n, lease, now)
		return
	}
	if q.dispatcher.fleet.UsableTargets(q.state.Plan().Services()[n]) == 0 {
		q.state.GiveUp(n)
		return
	}
	q.enqueue(n, now)
}

func (q *query) enqueue(n int, now time.Time) {
	q.leases[n] = make(chan *placement.Lease, 1)
	q.state.Waits(n)
	q.waiters[n] = q.dispatcher.fleet.Enqueue(q.leaseRequest(n), q.state.Plan().Route().Priority(), q.state.Plan().End(), q.leases[n], now)
	q.sendIfLeased(n, now)
}

// look sends a waiting part if there is room for it now.
func (q *query) sendIfLeased(n int, now time.Time) {
	select {
	case lease := <-q.leases[n]:
		q.waiters[n] = nil
		q.send(n, lease, now)
	default:
	}
}

func (q *query) send(n int, lease *placement.Lease, now time.Time) {
	plan := q.state.Plan()
	q.state.Sent(n, lease.Target(), q.overdueAfter(n), now)
	q.trace.sends++
	ctx, cancel := context.WithDeadline(context.Background(), plan.End())
	q.cancelMu.Lock()
	q.cancels = append(q.cancels, cancel)
	q.cancelMu.Unlock()
	attempt := relay.NewAttempt(q.request, lease.Target().Instance(), plan.End(), q.state.Once()).WithIdle(lease.IdleTimeout())
	if len(plan.Route().Shards()) > 0 {
		attempt = attempt.Whole()
	}
	s := &subRequest{query: q, part: n, lease: lease, cancel: cancel, attempt: attempt}
	go s.run(ctx)
}

// lateAfter returns the time after which a response of a part counts as late.
func (q *query) overdueAfter(n int) time.Duration {
	objective := float64(q.state.Plan().Route().Objective())
	delay, known := q.dispatcher.fleet.OverdueAfter(q.state.Plan().Services()[n], q.state.Plan().Route().Name())
	if !known {
		return time.Duration(defaultOverdueFraction * objective)
	}
	return min(delay, time.Duration(maxOverdueFraction*objective))
}

// deliver hands an outcome to the query, if it still waits for any.
func (q *query) deliver(o partOutcome) {
	q.cancelMu.Lock()
	defer q.cancelMu.Unlock()
	if q.finished {
		o.discard()
		return
	}
	q.outcomes <- o
}

// discard closes the response of an outcome that is of no use.
func (o partOutcome) discard() {
	if answered, ok := o.outcome.(relay.Answered); ok {
		answered.Response().Close()
	}
}

// discardRest closes the responses that came too late to be taken. The caller
// holds the lock of the cancels, so that none comes after them.
func (q *query) discardPending() {
	for {
		select {
		case o := <-q.outcomes:
			o.discard()
		default:
			return
		}
	}
}

func (q *query) handleOutcome(o partOutcome, now time.Time) {
	action := q.state.Take(o.part, o.outcome)
	if answered, ok := o.outcome.(relay.Answered); ok && !q.state.Holds(o.part, answered.Response()) {
		o.discard()
	}
	switch action {
	case relay.SendAgain:
		q.sendAgain(o.part, false, now)
	case relay.SendFree:
		q.sendAgain(o.part, true, now)
	case relay.Nothing:
	}
}

// again sends a part once more after a failure.
func (q *query) sendAgain(n int, exempt bool, now time.Time) {
	r := q.leaseRequest(n).ExtraAttempt(q.state.Tried(n), exempt)
	lease, ok := q.dispatcher.fleet.Acquire(r, now)
	if !ok && len(q.state.Tried(n)) >= q.dispatcher.fleet.UsableTargets(q.state.Plan().Services()[n]) {
		// Every target was tried; only the last one is left out.
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

// tick does what the time asks for: hedges of late parts, and looks for room.
func (q *query) handleTimer(now time.Time) {
	for _, n := range q.state.Late(now) {
		r := q.leaseRequest(n).ExtraAttempt(q.state.Tried(n), false)
		if lease, ok := q.dispatcher.fleet.Acquire(r, now); ok {
			q.trace.hedges++
			q.send(n, lease, now)
		}
	}
	for n := range q.state.Parts() {
		if q.state.Waiting(n) {
			q.dispatcher.fleet.RecheckQueue(q.waiters[n], now)
			q.sendIfLeased(n, now)
		}
	}
}

// finish leaves the queues. Sends that are on their way go on to their end,
// which keeps their connections, unless the caller has left.
func (q *query) finish(callerLeft bool) {
	now := time.Now()
	for n, w := range q.waiters {
		if w == nil || q.dispatcher.fleet.Dequeue(w) {
			continue
		}
		(<-q.leases[n]).Unsent(now)
	}
	q.cancelMu.Lock()
	defer q.cancelMu.Unlock()
	q.finished = true
	q.discardPending()
	if q.state.Once() && callerLeft {
		return
	}
	if callerLeft {
		time.AfterFunc(callerLeftGrace, q.cancelAll)
	}
	for n := range q.state.Parts() {
		if q.state.Missing(n) && len(q.trace.missing) < maxLoggedMissing {
			q.trace.missing = append(q.trace.missing, q.state.Describe(n))
		}
	}
}

func (q *query) cancelAll() {
	q.cancelMu.Lock()
	defer q.cancelMu.Unlock()
	for _, cancel := range q.cancels {
		cancel()
	}
}

// abandoned reports whether the query has ended, so that a send that was cut
// off says nothing about its target.
func (q *query) isFinished() bool {
	q.cancelMu.Lock()
	defer q.cancelMu.Unlock()
	return q.finished
}
