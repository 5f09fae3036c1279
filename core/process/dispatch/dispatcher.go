// Package dispatch answers requests: it drives the decisions of relay with the
// targets of placement, and sends to them.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
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
	Send(ctx context.Context, a relay.Attempt, now time.Time) relay.Outcome
}

// Dispatcher answers requests with the routes in force.
type Dispatcher struct {
	fleet  *placement.Fleet
	sender Sender
	table  atomic.Pointer[routing.Table]
	// running counts the requests that are not answered yet.
	running atomic.Int64
}

// New returns a dispatcher without routes.
func New(fleet *placement.Fleet, sender Sender) *Dispatcher {
	return &Dispatcher{fleet: fleet, sender: sender}
}

// SetTable puts a version in force for requests that arrive from now on.
func (d *Dispatcher) SetTable(t *routing.Table) {
	d.fleet.SetServices(t)
	d.table.Store(t)
}

// Table returns the version in force, nil for none.
func (d *Dispatcher) Table() *routing.Table { return d.table.Load() }

// Running returns the number of requests that are not answered yet.
func (d *Dispatcher) Running() int64 { return d.running.Load() }

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
func (d *Dispatcher) Answer(ctx context.Context, req *relay.Request) (relay.Answer, Trace) {
	d.running.Add(1)
	defer d.running.Add(-1)
	table := d.table.Load()
	if table == nil {
		return relay.NewRefused(result.NoConfiguration, "this VM has no routes yet").WithRetryAfter(retryAfter(retryUnknown, req)), Trace{}
	}
	trace := Trace{version: table.Version()}
	route, ok := table.Match(req.Host(), req.Path())
	if !ok {
		return relay.NewRefused(result.UnknownQuery, "no route matches the host and path"), trace
	}
	trace.route = route.Name()
	service := ""
	if len(route.Shards()) == 0 {
		service = route.Pick(rand.Float64())
	}
	plan := relay.NewPlan(route, service, req, wayBack)
	if refusal, refused := d.admit(plan, req); refused {
		return refusal, trace
	}
	q := &query{
		dispatcher: d,
		request:    req,
		state:      relay.NewState(plan),
		results:    make(chan arrival, relay.MaxSends*len(plan.Services())),
		rooms:      make([]chan *placement.Lease, len(plan.Services())),
		waiters:    make([]*placement.Waiter, len(plan.Services())),
		trace:      &trace,
	}
	q.run(ctx)
	answer := q.state.Answer(time.Now())
	if refused, is := answer.(relay.Refused); is && refused.Code().Execution() == result.NotRun {
		answer = refused.WithRetryAfter(retryAfter(d.wait(plan, time.Now()), req))
	}
	return answer, trace
}

// admit refuses a request at once where too few of its services have a target,
// or where the queues are so long that no target would have it in time.
func (d *Dispatcher) admit(plan relay.Plan, req *relay.Request) (relay.Refused, bool) {
	now := req.Arrived()
	if !now.Before(plan.End()) {
		return relay.NewRefused(result.DeadlineTooShort, "no time is left for the request"), true
	}
	soon := 0
	left := plan.UnsentDeadline().Sub(now)
	usable := d.usable(plan.Services())
	for _, s := range usable {
		if d.fleet.ExpectedWait(s, plan.Route().Priority(), now) <= left {
			soon++
		}
	}
	switch {
	case len(usable) < plan.MinParts():
		return relay.NewRefused(result.NoTarget, "too few services have a target").WithRetryAfter(retryAfter(retryUnknown, req)), true
	case soon < plan.MinParts():
		return relay.NewRefused(result.Overloaded, "the wait for a target would be too long").WithRetryAfter(retryAfter(d.wait(plan, now), req)), true
	}
	return relay.Refused{}, false
}

// usable returns those of the services that have a target for requests.
func (d *Dispatcher) usable(services []string) []string {
	var out []string
	for _, s := range services {
		if d.fleet.Usable(s) > 0 {
			out = append(out, s)
		}
	}
	return out
}

// Servable reports whether the routes from shards have enough services with
// a target that can be reached from here.
func (d *Dispatcher) Servable() bool {
	table := d.table.Load()
	if table == nil {
		return false
	}
	for _, route := range table.Routes() {
		if len(route.Shards()) > 0 && len(d.usable(route.Shards())) < route.Least() {
			return false
		}
	}
	return true
}

// wait returns the longest expected wait among the services of a plan.
func (d *Dispatcher) wait(plan relay.Plan, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, s := range plan.Services() {
		longest = max(longest, d.fleet.ExpectedWait(s, plan.Route().Priority(), now))
	}
	return longest
}

// retryAfter returns when a refused caller may come back: when the queue ahead
// is expected to be gone, within the time that the caller has, and spread so
// that not all come back at the same time.
func retryAfter(wait time.Duration, req *relay.Request) time.Duration {
	wait += retryLeast + time.Duration(rand.Int64N(int64(wait/2+retryLeast)))
	if left := req.Timeout(); left > 0 {
		wait = min(wait, time.Duration(retryPart*float64(left)))
	}
	return wait
}
