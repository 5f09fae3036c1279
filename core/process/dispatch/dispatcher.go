// Package dispatch answers requests. It executes the decisions of package relay
// with targets selected by package placement and sends the requests through a
// Sender.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/confirmation"
	"github.com/mulberrydale/mulberrydale/core/process/drain"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

const (
	// defaultNetworkTime is the assumed network time of a request whose connection
	// does not show it.
	defaultNetworkTime = 4 * time.Millisecond
	// answerMargin is the time kept to merge and write an answer, and for the delay
	// until this VM has read the request.
	answerMargin = 10 * time.Millisecond
	// defaultOverdueFraction is the fraction of the route's objective after
	// which a response is overdue if no response times are known.
	defaultOverdueFraction = 0.35
	// maxOverdueFraction is the fraction of the route's objective after which a
	// response is overdue regardless of response times; any later, there is no
	// time left for another attempt.
	maxOverdueFraction = 0.6
	// callerLeftGrace is how long attempts continue after the caller has
	// disconnected. Most finish within this time, and a connection can be
	// reused only if its response was read in full.
	callerLeftGrace = 300 * time.Millisecond
	// minRetryAfter is the minimum time after which a refused caller should
	// retry, unless maxRetryAfterFraction of its timeout is even less.
	minRetryAfter = 20 * time.Millisecond
	// defaultRetryAfter is the wait assumed by retryAfter when nothing
	// indicates when a refused request could be answered, for example when a
	// service has no target. Most such conditions end within a few times this
	// long.
	defaultRetryAfter = 300 * time.Millisecond
	// maxRetryAfterFraction bounds the retry time to a fraction of the time
	// that the caller allows, so that a retry can still be answered in time.
	maxRetryAfterFraction = 0.3
)

// Sender sends a request to a target and classifies the response. Send returns
// when ctx ends, at the latest.
type Sender interface {
	Send(ctx context.Context, a relay.Attempt, now time.Time) relay.Outcome
}

// Dispatcher answers requests according to the current routing table.
type Dispatcher struct {
	fleet  *placement.Fleet
	sender Sender
	table  atomic.Pointer[routing.Table]
	// drain is the state of the process's shutdown.
	drain atomic.Pointer[drain.State]
	// ended is closed when the requests that are running must be answered at once.
	ended chan struct{}
	// running counts the requests that are not answered yet.
	running   atomic.Int64
	startedAt time.Time
	// lastArrival is the time, in nanoseconds, from startedAt until the latest request
	// arrived, 0 before the first.
	lastArrival atomic.Int64
	// confirmation tells whether the table is known to be the newest, and strict whether
	// keys are accepted only while it is.
	confirmation *confirmation.Holder
	strict       bool
	// tokens decides the quotas of teams, nil if there are none.
	tokens TokenSource
}

// New returns a dispatcher without a routing table.
func New(fleet *placement.Fleet, sender Sender) *Dispatcher {
	d := &Dispatcher{fleet: fleet, sender: sender, startedAt: time.Now(), ended: make(chan struct{}), confirmation: confirmation.NewHolder(0)}
	d.drain.Store(&drain.State{})
	return d
}

// Drain sets the state of the process's shutdown, which decides whether a request is
// still taken.
func (d *Dispatcher) Drain(s drain.State) { d.drain.Store(&s) }

// Draining reports whether the process is shutting down.
func (d *Dispatcher) Draining() bool { return d.drain.Load().Draining() }

// EndRequests makes all requests that are running return with what their targets have
// answered so far. It must be called at most once, and later requests must not be
// admitted.
func (d *Dispatcher) EndRequests() { close(d.ended) }

// SetTable sets the routing table for requests that arrive from now on.
func (d *Dispatcher) SetTable(t *routing.Table) {
	d.fleet.SetServices(t)
	d.table.Store(t)
}

// Table returns the current routing table, nil if there is none.
func (d *Dispatcher) Table() *routing.Table { return d.table.Load() }

// Running returns the number of requests that are not answered yet.
func (d *Dispatcher) Running() int64 { return d.running.Load() }

// LastArrival returns when the latest request arrived, or the zero time before the first.
func (d *Dispatcher) LastArrival() time.Time {
	after := d.lastArrival.Load()
	if after == 0 {
		return time.Time{}
	}
	return d.startedAt.Add(time.Duration(after))
}

// Trace describes how a request was answered, for the log.
type Trace struct {
	version uint64
	route   string
	hedges  int
	retries int
	sends   int
	missing []string
	team    string
}

// Team returns the name of the team of the request, empty if it has none.
func (t Trace) Team() string { return t.team }

// Version returns the version of the routing table that was used, 0 if there
// was none.
func (t Trace) Version() uint64 { return t.version }

// Route returns the name of the route, empty if none matched.
func (t Trace) Route() string { return t.route }

// Hedges returns the number of attempts sent because a response was overdue.
func (t Trace) Hedges() int { return t.hedges }

// Retries returns the number of attempts sent after a failure.
func (t Trace) Retries() int { return t.retries }

// Sends returns the number of all attempts, first attempts included.
func (t Trace) Sends() int { return t.sends }

// Missing describes the services that are missing from the answer, but at most
// maxLoggedMissing of them, each with the known reason.
func (t Trace) Missing() []string { return t.missing }

// Answer answers a request. It returns early if ctx ends, which means that the
// caller has disconnected, because the answer is not read then.
func (d *Dispatcher) Answer(ctx context.Context, req *relay.Request) (relay.Answer, Trace) {
	d.running.Add(1)
	defer d.running.Add(-1)
	d.lastArrival.Store(max(1, int64(req.Arrived().Sub(d.startedAt))))
	table := d.table.Load()
	if table == nil {
		return relay.NewRefused(result.NoConfiguration, "this VM has no routes yet").WithRetryAfter(retryAfter(defaultRetryAfter, req)), Trace{}
	}
	trace := Trace{version: table.Version()}
	route, ok := table.Match(req.Host(), req.Path())
	if !ok {
		return relay.NewRefused(result.UnknownQuery, "no route matches the host and path"), trace
	}
	trace.route = route.Name()
	if table.DeclaresTeams() {
		if refusal, refused := d.authenticate(route, req, bootclock.Now()); refused {
			return refusal, trace
		}
	}
	if team, ok := req.Team(); ok {
		trace.team = team.Name()
	}
	service := ""
	if len(route.Shards()) == 0 {
		service = route.Pick(rand.Float64())
	}
	plan := relay.NewPlan(route, service, req, returnDelay(req))
	if refusal, refused := d.admit(plan, req); refused {
		d.recordDemand(table, plan, req)
		return refusal, trace
	}
	token, refusal, refused := d.takeToken(ctx, plan, req)
	if refused {
		return refusal, trace
	}
	d.recordDemand(table, plan, req)
	q := d.newQuery(table, plan, req, token, &trace)
	q.run(ctx)
	token.giveBackUnlessSpent()
	now := time.Now()
	answer := q.state.Answer(now)
	if refused, isRefused := answer.(relay.Refused); isRefused && refused.Code().Execution() == result.NotRun {
		answer = q.refusal(refused, now)
	}
	return answer, trace
}

// returnDelay returns how long before the caller's deadline or objective an answer must
// leave: the network time of the request and answerMargin.
func returnDelay(req *relay.Request) time.Duration {
	if t := req.NetworkTime(); t > 0 {
		return t + answerMargin
	}
	return defaultNetworkTime + answerMargin
}

// admit refuses a request immediately if its time is over, if this VM is leaving and might
// not finish it, if too few of its services have a target, or if the queues are so long
// that too few services would get a target in time. The second result reports whether the
// request is refused.
func (d *Dispatcher) admit(plan relay.Plan, req *relay.Request) (relay.Refused, bool) {
	now := req.Arrived()
	if !now.Before(plan.End()) {
		return relay.NewRefused(result.DeadlineTooShort, "no time is left for the request"), true
	}
	if !d.drain.Load().Admits(plan.End(), now) {
		return relay.NewRefused(result.Stopping, "this VM is leaving").WithRetryAfter(retryAfter(0, req)), true
	}
	inTime := 0
	maxWait := plan.UnsentDeadline().Sub(now)
	usable := d.servicesWithTargets(plan.Services(), now)
	for _, s := range usable {
		if d.expectedWait(s, plan, req, now) <= maxWait {
			inTime++
		}
	}
	switch {
	case len(usable) < plan.MinParts():
		return d.refuseUnusable(plan, req, now), true
	case inTime < plan.MinParts():
		return relay.NewRefused(result.Overloaded, "the wait for a target would be too long").WithRetryAfter(retryAfter(d.longestWait(plan, req, now), req)), true
	}
	return relay.Refused{}, false
}

// refuseUnusable returns the refusal of a request of whose services too few have a usable
// target. If targets have asked this VM to wait, the caller is told when enough of them
// want requests again, even if that is later than the caller allows.
func (d *Dispatcher) refuseUnusable(plan relay.Plan, req *relay.Request, now time.Time) relay.Refused {
	wait, known := d.fleet.UntilUsable(plan.Services(), plan.MinParts(), now)
	if !known {
		return relay.NewRefused(result.NoTarget, "too few services have a target").WithRetryAfter(retryAfter(defaultRetryAfter, req))
	}
	return relay.NewRefused(result.Overloaded, "the targets want no requests for a time").WithRetryAfter(wait + spread(minRetryAfter))
}

// servicesWithTargets returns those of the services that have a usable target.
func (d *Dispatcher) servicesWithTargets(services []string, now time.Time) []string {
	var out []string
	for _, s := range services {
		if d.fleet.UsableTargets(s, now) > 0 {
			out = append(out, s)
		}
	}
	return out
}

// Servable reports whether every route over shards has enough services with a
// target that can be reached from this VM, even if the targets want no requests for a
// time. It is false without a routing table.
func (d *Dispatcher) Servable(now time.Time) bool {
	table := d.table.Load()
	if table == nil {
		return false
	}
	for _, route := range table.Routes() {
		if len(route.Shards()) == 0 {
			continue
		}
		if _, known := d.fleet.UntilUsable(route.Shards(), route.MinShards(), now); !known {
			return false
		}
	}
	return true
}

// withRetryAfter returns the refusal of a request that was not run, with the time after
// which the caller may retry. capacityWait is the time after which capacity is expected, if
// it is known.
func (d *Dispatcher) withRetryAfter(refused relay.Refused, plan relay.Plan, req *relay.Request, capacityWait time.Duration, now time.Time) relay.Refused {
	if wait, known := d.fleet.UntilUsable(plan.Services(), plan.MinParts(), now); known && wait > 0 {
		return refused.WithRetryAfter(wait + spread(minRetryAfter))
	}
	return refused.WithRetryAfter(retryAfter(max(capacityWait, d.longestWait(plan, req, now)), req))
}

// longestWait returns the longest expected queueing time among the services of
// a plan.
func (d *Dispatcher) longestWait(plan relay.Plan, req *relay.Request, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, s := range plan.Services() {
		longest = max(longest, d.expectedWait(s, plan, req, now))
	}
	return longest
}

// retryAfter returns the time after which a refused caller should retry: the
// expected wait plus a random part, so that callers don't all return at the
// same time. If the request has a timeout, the result is at most
// maxRetryAfterFraction of it.
func retryAfter(wait time.Duration, req *relay.Request) time.Duration {
	wait += minRetryAfter + spread(wait/2+minRetryAfter)
	if timeout := req.Timeout(); timeout > 0 {
		wait = min(wait, time.Duration(maxRetryAfterFraction*float64(timeout)))
	}
	return wait
}

// spread returns a random time below the limit, so that callers don't return together.
func spread(limit time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(limit))) }
