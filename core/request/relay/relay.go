package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

const (
	// wayBack is the time that an answer takes to a caller, with the opening of
	// the caller's connection, which the caller counts too.
	wayBack = 14 * time.Millisecond
	// lateUnknown is the part of the objective after which a response is late
	// where no response times are known.
	lateUnknown = 0.35
	// lateMost is the part of the objective after which a response is late
	// whatever the response times: later there is no time for another try.
	lateMost = 0.6
	// afterLeft is how long sends go on after their caller has left. Most end
	// by then, and a connection outlives a response that was read whole.
	afterLeft = 300 * time.Millisecond
	// retryLeast is the least time after which a refused caller comes back.
	retryLeast = 20 * time.Millisecond
	// retryUnknown is when it comes back where nothing tells when there will be
	// room: most such states end within a few of these.
	retryUnknown = 300 * time.Millisecond
	// retryPart is the part of the time left that a caller may be sent away
	// for, so that an answer can still come in time.
	retryPart = 0.3
)

// Sender sends a request to a target and judges the response. It returns at
// the latest when ctx ends.
type Sender interface {
	Send(ctx context.Context, a Attempt, now time.Time) Outcome
}

// Relay answers requests with the routes in force.
type Relay struct {
	fleet  *placement.Fleet
	sender Sender
	table  atomic.Pointer[routing.Table]
	// running counts the requests that are not answered yet.
	running atomic.Int64
}

// New returns a relay without routes.
func New(fleet *placement.Fleet, sender Sender) *Relay {
	return &Relay{fleet: fleet, sender: sender}
}

// SetTable puts a version in force for requests that arrive from now on.
func (r *Relay) SetTable(t *routing.Table) {
	r.fleet.SetServices(t)
	r.table.Store(t)
}

// Table returns the version in force, nil for none.
func (r *Relay) Table() *routing.Table { return r.table.Load() }

// Running returns the number of requests that are not answered yet.
func (r *Relay) Running() int64 { return r.running.Load() }

// Trace says how an answer came about, for the log.
type Trace struct {
	version uint64
	route   string
	hedges  int
	retries int
	sends   int
	missing []string
}

// Version returns the version of the routes that the answer follows.
func (t Trace) Version() uint64 { return t.version }

// Route returns the name of the route, empty where none matched.
func (t Trace) Route() string { return t.route }

// Hedges returns the sends for late responses.
func (t Trace) Hedges() int { return t.hedges }

// Retries returns the sends after failures.
func (t Trace) Retries() int { return t.retries }

// Sends returns all sends.
func (t Trace) Sends() int { return t.sends }

// Missing names the services that are not in the answer, with what is known of
// each.
func (t Trace) Missing() []string { return t.missing }

// Answer answers a request. It returns early when the caller's ctx ends,
// because nobody reads the answer then.
func (r *Relay) Answer(ctx context.Context, req *Request) (Answer, Trace) {
	r.running.Add(1)
	defer r.running.Add(-1)
	table := r.table.Load()
	if table == nil {
		return NewRefused(result.NoConfiguration, "this VM has no routes yet").After(retryAfter(retryUnknown, req)), Trace{}
	}
	trace := Trace{version: table.Version()}
	route, ok := table.Match(req.host, req.path)
	if !ok {
		return NewRefused(result.UnknownQuery, "no route matches the host and path"), trace
	}
	trace.route = route.Name()
	service := ""
	if len(route.Shards()) == 0 {
		service = route.Pick(rand.Float64())
	}
	plan := NewPlan(route, service, req, wayBack)
	if refusal, refused := r.admit(plan, req); refused {
		return refusal, trace
	}
	q := &query{
		relay:   r,
		request: req,
		state:   NewState(plan),
		results: make(chan arrival, mostSends*len(plan.services)),
		rooms:   make([]chan *placement.Lease, len(plan.services)),
		waiters: make([]*placement.Waiter, len(plan.services)),
		trace:   &trace,
	}
	q.run(ctx)
	answer := q.state.Answer(time.Now())
	if refused, is := answer.(Refused); is && refused.code.Execution() == result.NotRun {
		answer = refused.After(retryAfter(r.wait(plan, time.Now()), req))
	}
	return answer, trace
}

// admit refuses a request at once where too few of its services have a target,
// or where the queues are so long that no target would have it in time.
func (r *Relay) admit(plan Plan, req *Request) (Refused, bool) {
	now := req.arrived
	if !now.Before(plan.end) {
		return NewRefused(result.DeadlineTooShort, "no time is left for the request"), true
	}
	usable := 0
	soon := 0
	left := plan.patience.Sub(now)
	for _, s := range plan.services {
		if r.fleet.Usable(s) == 0 {
			continue
		}
		usable++
		if r.fleet.ExpectedWait(s, plan.route.Priority(), now) <= left {
			soon++
		}
	}
	switch {
	case usable < plan.least:
		return NewRefused(result.NoTarget, "too few services have a target").After(retryAfter(retryUnknown, req)), true
	case soon < plan.least:
		return NewRefused(result.Overloaded, "the wait for a target would be too long").After(retryAfter(r.wait(plan, time.Now()), req)), true
	}
	return Refused{}, false
}

// Servable reports whether the routes from shards have enough services with
// a target that can be reached from here.
func (r *Relay) Servable() bool {
	table := r.table.Load()
	if table == nil {
		return false
	}
	for _, route := range table.Routes() {
		usable := 0
		for _, s := range route.Shards() {
			if r.fleet.Usable(s) > 0 {
				usable++
			}
		}
		if len(route.Shards()) > 0 && usable < route.Least() {
			return false
		}
	}
	return true
}

// wait returns the longest expected wait among the services of a plan.
func (r *Relay) wait(plan Plan, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, s := range plan.services {
		longest = max(longest, r.fleet.ExpectedWait(s, plan.route.Priority(), now))
	}
	return longest
}

// retryAfter returns when a refused caller may come back: when the queue ahead
// is expected to be gone, within the time that the caller has, and spread so
// that not all come back at the same time.
func retryAfter(wait time.Duration, req *Request) time.Duration {
	wait += retryLeast + time.Duration(rand.Int64N(int64(wait/2+retryLeast)))
	if left := req.Allowed(); left > 0 {
		wait = min(wait, time.Duration(retryPart*float64(left)))
	}
	return wait
}

// query is one request on its way.
type query struct {
	relay   *Relay
	request *Request
	state   *State
	results chan arrival
	rooms   []chan *placement.Lease
	waiters []*placement.Waiter
	trace   *Trace

	// cancelMu guards cancels, the ends of sends that are on their way.
	cancelMu sync.Mutex
	cancels  []context.CancelFunc
	ended    bool
}

// arrival is the outcome of a send of a part.
type arrival struct {
	part    int
	outcome Outcome
}

// run drives the request until its answer may go out.
func (q *query) run(ctx context.Context) {
	now := q.request.arrived
	for n := range q.state.parts {
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
	return placement.NewAsk(q.state.plan.services[n], q.state.plan.route.Name())
}

// first sends a part for the first time, or lets it wait for room.
func (q *query) first(n int, now time.Time) {
	lease, ok := q.relay.fleet.Acquire(q.ask(n), now)
	if ok {
		q.send(n, lease, now)
		return
	}
	if q.relay.fleet.Usable(q.state.plan.services[n]) == 0 {
		q.state.GiveUp(n)
		return
	}
	q.wait(n, q.ask(n), now)
}

func (q *query) wait(n int, a placement.Ask, now time.Time) {
	q.rooms[n] = make(chan *placement.Lease, 1)
	q.state.Waits(n)
	q.waiters[n] = q.relay.fleet.Wait(a, q.state.plan.route.Priority(), q.state.plan.end, q.rooms[n], now)
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
	plan := q.state.plan
	q.state.Sent(n, lease.Target(), q.lateAfter(n), now)
	q.trace.sends++
	ctx, cancel := context.WithDeadline(context.Background(), plan.end)
	q.cancelMu.Lock()
	q.cancels = append(q.cancels, cancel)
	q.cancelMu.Unlock()
	s := &sending{query: q, part: n, lease: lease, cancel: cancel, attempt: Attempt{
		request:     q.request,
		instance:    lease.Target().Instance(),
		deadline:    plan.end,
		connections: lease.Connections(),
		once:        q.state.once(),
	}}
	go s.run(ctx)
}

// lateAfter returns the time after which a response of a part counts as late.
func (q *query) lateAfter(n int) time.Duration {
	objective := float64(q.state.plan.route.Objective())
	late, known := q.relay.fleet.Late(q.state.plan.services[n], q.state.plan.route.Name())
	if !known {
		return time.Duration(lateUnknown * objective)
	}
	return min(late, time.Duration(lateMost*objective))
}

func (q *query) take(a arrival, now time.Time) {
	switch q.state.Take(a.part, a.outcome) {
	case SendAgain:
		q.again(a.part, false, now)
	case SendFree:
		q.again(a.part, true, now)
	case Nothing:
	}
}

// again sends a part once more after a failure.
func (q *query) again(n int, free bool, now time.Time) {
	a := q.ask(n).Again(q.state.parts[n].tried, free)
	lease, ok := q.relay.fleet.Acquire(a, now)
	if !ok && len(q.state.parts[n].tried) >= q.relay.fleet.Usable(q.state.plan.services[n]) {
		// Every target was tried; the one that was tried first is tried again.
		a = q.ask(n).Again(q.state.parts[n].tried[len(q.state.parts[n].tried)-1:], free)
		lease, ok = q.relay.fleet.Acquire(a, now)
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
	for _, n := range q.state.Late(now) {
		a := q.ask(n).Again(q.state.parts[n].tried, false)
		if lease, ok := q.relay.fleet.Acquire(a, now); ok {
			q.trace.hedges++
			q.send(n, lease, now)
		}
	}
	for n := range q.state.parts {
		if q.state.parts[n].waiting {
			q.relay.fleet.Look(q.waiters[n], now)
			q.look(n, now)
		}
	}
}

// finish leaves the queues. Sends that are on their way go on to their end,
// which keeps their connections, unless the caller has left.
func (q *query) finish(left bool) {
	now := time.Now()
	for n, w := range q.waiters {
		if w == nil || q.relay.fleet.Leave(w) {
			continue
		}
		(<-q.rooms[n]).Unsent(now)
	}
	q.cancelMu.Lock()
	defer q.cancelMu.Unlock()
	q.ended = true
	if q.state.once() && left {
		return
	}
	if left {
		time.AfterFunc(afterLeft, q.cancelAll)
	}
	for n := range q.state.parts {
		if missing := &q.state.parts[n]; missing.response == nil && len(q.trace.missing) < 8 {
			q.trace.missing = append(q.trace.missing, q.state.describe(n))
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

// sending is one send of a part.
type sending struct {
	query   *query
	part    int
	lease   *placement.Lease
	cancel  context.CancelFunc
	attempt Attempt
}

func (s *sending) run(ctx context.Context) {
	defer s.cancel()
	outcome := s.query.relay.sender.Send(ctx, s.attempt, time.Now())
	s.end(ctx, outcome, time.Now())
	s.query.results <- arrival{part: s.part, outcome: outcome}
}

// end tells the fleet what the send showed.
func (s *sending) end(ctx context.Context, outcome Outcome, now time.Time) {
	switch o := outcome.(type) {
	case Answered:
		if o.load.known {
			s.lease.TellLoad(o.load.running, o.load.waiting, now)
		}
		if o.leaving {
			s.lease.Leaving(now)
		}
		if o.response.status >= 500 {
			s.lease.Failed(now)
		} else {
			s.lease.Succeeded(now)
		}
	case Declined:
		if o.load.known {
			s.lease.TellLoad(o.load.running, o.load.waiting, now)
		}
		s.lease.Refused(o.leaving, now)
	case Unsent:
		if ctx.Err() != nil && s.query.abandoned() {
			s.lease.Unsent(now)
			return
		}
		s.lease.Silent(now)
	case Lost:
		if ctx.Err() != nil && s.query.abandoned() {
			s.lease.Abandoned(now)
			return
		}
		s.lease.Silent(now)
	}
}
