package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// mostMissing bounds the parts that the log names as missing.
const mostMissing = 8

// query is one request on its way.
type query struct {
	dispatcher *Dispatcher
	request    *relay.Request
	state      *relay.State
	results    chan arrival
	rooms      []chan *placement.Lease
	waiters    []*placement.Waiter
	trace      *Trace

	// cancelMu guards cancels, the ends of sends that are on their way.
	cancelMu sync.Mutex
	cancels  []context.CancelFunc
	ended    bool
}

// arrival is the outcome of a send of a part.
type arrival struct {
	part    int
	outcome relay.Outcome
}

// run drives the request until its answer may go out.
func (q *query) run(ctx context.Context) {
	now := q.request.Arrived()
	for n := range q.state.NumParts() {
		q.first(n, now)
	}
	now = time.Now()
	timer := time.NewTimer(time.Until(q.state.NextTime(now)))
	defer timer.Stop()
	for !q.state.Done(now) {
		select {
		case a := <-q.results:
			now = time.Now()
			q.take(a, now)
		case <-timer.C:
			now = time.Now()
		case <-ctx.Done():
			q.finish(true)
			return
		}
		q.tick(now)
		timer.Reset(q.state.NextTime(now).Sub(now))
	}
	q.finish(false)
}

func (q *query) ask(n int) placement.Ask {
	return placement.NewAsk(q.state.Plan().Services()[n], q.state.Plan().Route().Name())
}

// first sends a part for the first time, or lets it wait for room.
func (q *query) first(n int, now time.Time) {
	lease, ok := q.dispatcher.fleet.Acquire(q.ask(n), now)
	if ok {
		q.send(n, lease, now)
		return
	}
	if q.dispatcher.fleet.Usable(q.state.Plan().Services()[n]) == 0 {
		q.state.GiveUp(n)
		return
	}
	q.wait(n, now)
}

func (q *query) wait(n int, now time.Time) {
	q.rooms[n] = make(chan *placement.Lease, 1)
	q.state.MarkWaiting(n)
	q.waiters[n] = q.dispatcher.fleet.Wait(q.ask(n), q.state.Plan().Route().Priority(), q.state.Plan().End(), q.rooms[n], now)
	q.look(n, now)
}

// look sends a waiting part if there is room for it now.
func (q *query) look(n int, now time.Time) {
	select {
	case lease := <-q.rooms[n]:
		q.waiters[n] = nil
		q.send(n, lease, now)
	default:
	}
}

func (q *query) send(n int, lease *placement.Lease, now time.Time) {
	plan := q.state.Plan()
	q.state.RecordSend(n, lease.Target(), q.lateAfter(n), now)
	q.trace.sends++
	ctx, cancel := context.WithDeadline(context.Background(), plan.End())
	q.cancelMu.Lock()
	q.cancels = append(q.cancels, cancel)
	q.cancelMu.Unlock()
	attempt := relay.NewAttempt(q.request, lease.Target().Instance(), plan.End(), q.state.AtMostOnce()).WithIdleTimeout(lease.Idle())
	if len(plan.Route().Shards()) > 0 {
		attempt = attempt.WithWholeResponse()
	}
	s := &sending{query: q, part: n, lease: lease, cancel: cancel, attempt: attempt}
	go s.run(ctx)
}

// lateAfter returns the time after which a response of a part counts as late.
func (q *query) lateAfter(n int) time.Duration {
	objective := float64(q.state.Plan().Route().Objective())
	late, known := q.dispatcher.fleet.Late(q.state.Plan().Services()[n], q.state.Plan().Route().Name())
	if !known {
		return time.Duration(lateUnknown * objective)
	}
	return min(late, time.Duration(lateMost*objective))
}

// deliver hands an outcome to the query, if it still waits for any.
func (q *query) deliver(a arrival) {
	q.cancelMu.Lock()
	defer q.cancelMu.Unlock()
	if q.ended {
		a.discard()
		return
	}
	q.results <- a
}

// discard closes the response of an outcome that is of no use.
func (a arrival) discard() {
	if answered, ok := a.outcome.(relay.Answered); ok {
		answered.Response().Close()
	}
}

// discardRest closes the responses that came too late to be taken. The caller
// holds the lock of the cancels, so that none comes after them.
func (q *query) discardRest() {
	for {
		select {
		case a := <-q.results:
			a.discard()
		default:
			return
		}
	}
}

func (q *query) take(a arrival, now time.Time) {
	next := q.state.HandleOutcome(a.part, a.outcome)
	if answered, ok := a.outcome.(relay.Answered); ok && !q.state.Holds(a.part, answered.Response()) {
		a.discard()
	}
	switch next {
	case relay.Retry:
		q.again(a.part, false, now)
	case relay.FreeRetry:
		q.again(a.part, true, now)
	case relay.NoAction:
	}
}

// again sends a part once more after a failure.
func (q *query) again(n int, free bool, now time.Time) {
	a := q.ask(n).Again(q.state.Tried(n), free)
	lease, ok := q.dispatcher.fleet.Acquire(a, now)
	if !ok && len(q.state.Tried(n)) >= q.dispatcher.fleet.Usable(q.state.Plan().Services()[n]) {
		// Every target was tried; only the last one is left out.
		a = q.ask(n).Again(q.state.Tried(n)[len(q.state.Tried(n))-1:], free)
		lease, ok = q.dispatcher.fleet.Acquire(a, now)
	}
	if !ok {
		q.state.GiveUp(n)
		return
	}
	q.trace.retries++
	q.send(n, lease, now)
}

// tick does what the time asks for: hedges of late parts, and looks for room.
func (q *query) tick(now time.Time) {
	for _, n := range q.state.DueHedges(now) {
		a := q.ask(n).Again(q.state.Tried(n), false)
		if lease, ok := q.dispatcher.fleet.Acquire(a, now); ok {
			q.trace.hedges++
			q.send(n, lease, now)
		}
	}
	for n := range q.state.NumParts() {
		if q.state.Waiting(n) {
			q.dispatcher.fleet.Look(q.waiters[n], now)
			q.look(n, now)
		}
	}
}

// finish leaves the queues. Sends that are on their way go on to their end,
// which keeps their connections, unless the caller has left.
func (q *query) finish(left bool) {
	now := time.Now()
	for n, w := range q.waiters {
		if w == nil || q.dispatcher.fleet.Leave(w) {
			continue
		}
		(<-q.rooms[n]).Unsent(now)
	}
	q.cancelMu.Lock()
	defer q.cancelMu.Unlock()
	q.ended = true
	q.discardRest()
	if q.state.AtMostOnce() && left {
		return
	}
	if left {
		time.AfterFunc(afterLeft, q.cancelAll)
	}
	for n := range q.state.NumParts() {
		if q.state.Missing(n) && len(q.trace.missing) < mostMissing {
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
func (q *query) abandoned() bool {
	q.cancelMu.Lock()
	defer q.cancelMu.Unlock()
	return q.ended
}
