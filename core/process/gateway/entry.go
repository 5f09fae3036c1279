package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/connection/intake"
	"github.com/mulberrydale/mulberrydale/core/connection/upstream"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/cluster"
	"github.com/mulberrydale/mulberrydale/core/process/confirmation"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/dispatch"
	"github.com/mulberrydale/mulberrydale/core/process/drain"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// membershipInterval is the time between two updates of the number of entry VMs and the
// reachable data centres, and between two calls of recordState.
const membershipInterval = 250 * time.Millisecond

// Entry is the entry role of a VM, which answers the requests of callers.
type Entry struct {
	fleet        *placement.Fleet
	pool         *upstream.Pool
	dispatcher   *dispatch.Dispatcher
	gateway      *gateway
	cluster      *cluster.Cluster
	decodeRoutes RouteDecoder
	log          *zap.Logger
	// intake limits what callers send, nil if nothing does.
	intake *intake.Limiter
	// isolated is set while data centres are unreachable and
	// dispatch.Dispatcher.Servable reports false.
	isolated atomic.Bool
	// confirmation tells whether the routes in force are known to be the newest.
	confirmation *confirmation.Holder
	// wasConfirmed is what watchConfirmation found last.
	wasConfirmed bool
	// countedTokens is used by updateTokens only.
	countedTokens cluster.TokenStats
	// links is used by recordState only.
	links linkLog
}

// RouteDecoder decodes and validates a document of routes.
type RouteDecoder func(document []byte) (*routing.Table, error)

// NewEntry returns the entry role of a VM in a data centre, without routes and
// targets.
func NewEntry(vm, centre string, limits placement.Limits, names exchange.HeaderNames, decodeRoutes RouteDecoder, telemetry *Telemetry, log *zap.Logger) *Entry {
	e := &Entry{fleet: placement.NewFleet(vm, centre, limits, time.Now()), pool: upstream.NewPool(), decodeRoutes: decodeRoutes, log: log, confirmation: confirmation.NewHolder(0)}
	e.dispatcher = dispatch.New(e.fleet, exchange.NewSender(e.pool, names))
	e.dispatcher.SetConfirmation(e.confirmation)
	e.gateway = &gateway{dispatcher: e.dispatcher, names: names, telemetry: telemetry, isIsolated: e.isolated.Load}
	return e
}

// SetTargetTimes sets the times that the platform states for all targets. It must be
// called before Start.
func (e *Entry) SetTargetTimes(times placement.TargetTimes) { e.fleet.SetTargetTimes(times) }

// SetCluster sets the cluster that provides the number of entry VMs, the reachable
// data centres, the confirmation of the routes and the tokens of teams, and makes
// it exchange findings on the health of targets, and their slowness, between the
// fleets of the entry VMs. It must be called before the cluster runs and before
// Start.
func (e *Entry) SetCluster(c *cluster.Cluster) {
	e.cluster = c
	c.SetFindingSource(e.fleet)
	e.confirmation = c.Confirmation()
	e.dispatcher.SetConfirmation(e.confirmation)
	if tokens := c.Tokens(); tokens != nil {
		e.dispatcher.SetTokens(tokens)
	}
	c.SetSlownessSource(e.fleet)
}

// SetStrictRevocation sets whether keys are accepted only while the routes are confirmed to
// be the newest. It must be called before Start.
func (e *Entry) SetStrictRevocation(strict bool) { e.dispatcher.SetStrictRevocation(strict) }

// SetLimiter sets the limiter of the callers' listener, which gets the limits that the
// routes declare. It must be called before the cluster runs.
func (e *Entry) SetLimiter(l *intake.Limiter) { e.intake = l }

// SetRollouts sets the bounds of rollouts, and makes the cluster exchange reports and grants
// with the fleet of this VM. It must be called after SetCluster, and before the cluster
// runs.
func (e *Entry) SetRollouts(bounds rollout.Bounds) {
	if bounds.Enforced() {
		e.fleet.EnforceVersions()
	}
	e.cluster.SetRollouts(bounds, e.fleet)
}

// Handler returns the HTTP handler for the requests of callers.
func (e *Entry) Handler() http.Handler { return e.gateway }

// Readiness returns the HTTP handler for the load balancer's readiness checks.
func (e *Entry) Readiness() http.Handler { return readiness{entry: e} }

// Drain makes the readiness check fail and lets each further response close its
// connection. Requests are still answered as long as the state of the shutdown admits
// them.
func (e *Entry) Drain(s drain.State) { e.dispatcher.Drain(s) }

// EndRequests answers all requests that are running, because the process must end. It
// must be called at most once.
func (e *Entry) EndRequests() { e.dispatcher.EndRequests() }

// Running returns the number of requests that are not answered yet.
func (e *Entry) Running() int { return int(e.dispatcher.Running()) }

// UsableTargets returns the number of targets of a service that may get
// requests.
func (e *Entry) UsableTargets(service string, now time.Time) int {
	return e.fleet.UsableTargets(service, now)
}

// Start runs four loops in the background until ctx ends: one closes connections
// to targets that have been idle for too long, one opens connections before they are
// needed, one collects garbage while no request runs, and one calls updateMembership
// and recordState.
func (e *Entry) Start(ctx context.Context) {
	go (&poolLoop{pool: e.pool}).run(ctx)
	go (&warmLoop{entry: e, startedAt: time.Now(), failedAt: make(map[string]time.Time)}).run(ctx)
	go newIdleCollector(e).run(ctx)
	go (&membershipLoop{entry: e}).run(ctx)
}

// RoutesChanged applies accepted routes, the set of data centres that are out of
// service, and the versions in use and rollouts. Version 0 means that no routes are
// accepted yet. The previous routing table stays in use if the new one is not of a
// higher version or cannot be decoded. The revision of the table in use is passed to the
// confirmation, and its limits on heads to the limiter of the callers' listener.
func (e *Entry) RoutesChanged(routes replica.Routes, now time.Time) {
	e.fleet.SetOutOfService(routes.OutOfService(), now)
	e.fleet.SetRollouts(routes.Rollouts(), now)
	if routes.Version() == 0 {
		return
	}
	if t := e.dispatcher.Table(); t != nil && t.Version() >= routes.Version() {
		e.confirmation.PutInForce(routes.Revision(), t.DeclaresTeams())
		return
	}
	t, err := e.decodeRoutes(routes.Document())
	if err != nil {
		e.log.Error("cannot decode the accepted routes; the previous ones stay in use", zap.Uint64("version", routes.Version()), logsink.Cause(err))
		return
	}
	e.dispatcher.SetTable(t)
	e.pool.CloseAddresses(e.fleet.ReselectTargets(now))
	e.confirmation.PutInForce(routes.Revision(), t.DeclaresTeams())
	if e.intake != nil {
		e.intake.SetLimits(intake.NewLimits(t.Limits().HeaderBytes(), t.Limits().HeaderTimeout()))
	}
}

// TargetsRead replaces the list of targets and closes the idle connections
// to the addresses of targets whose ID is no longer listed, unless a listed
// target uses the address. A list with the same targets as before says only that they
// are still listed, which matters if a target is known to be leaving.
func (e *Entry) TargetsRead(list discovery.List, changed bool, now time.Time) {
	if !changed && !e.fleet.HasDepartures() {
		e.fleet.ConfirmTargets(list.ReadAt())
		return
	}
	e.pool.CloseAddresses(e.fleet.SetTargets(list, now))
}

// checkReady returns nil if this VM should get requests, and otherwise an error
// that states why not.
func (e *Entry) checkReady() error {
	switch {
	case e.dispatcher.Draining():
		return result.New(result.Stopping, "this VM is leaving")
	case e.dispatcher.Table() == nil:
		return result.New(result.NoConfiguration, "this VM has no routes yet")
	case e.isolated.Load():
		return result.New(result.NoTarget, "this VM cannot reach enough targets")
	}
	return nil
}

// readiness is the HTTP handler for readiness checks.
type readiness struct{ entry *Entry }

// ServeHTTP answers 200 if this VM should get requests and 503 with the reason
// otherwise.
func (h readiness) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := h.entry.checkReady(); err != nil {
		WriteText(w, http.StatusServiceUnavailable, err.Error()+"\n")
		return
	}
	WriteText(w, http.StatusOK, "ready\n")
}

// poolLoop closes connections that have been idle for too long.
type poolLoop struct{ pool *upstream.Pool }

func (l *poolLoop) run(ctx context.Context) { l.pool.Run(ctx) }

// membershipLoop calls Entry.updateMembership and Entry.recordState every
// membershipInterval.
type membershipLoop struct{ entry *Entry }

func (l *membershipLoop) run(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.entry.updateMembership(time.Now())
			l.entry.recordState()
		case <-ctx.Done():
			return
		}
	}
}

// updateMembership passes the number of entry VMs, if it is known, and the reachable
// data centres from the cluster to the fleet. The fleet derives the share of this VM in the
// connections and limits of each target from the number of entry VMs. If data
// centres are unreachable and dispatch.Dispatcher.Servable reports false, the VM
// is isolated: its readiness check fails, so that the load balancer sends
// callers to VMs in other data centres.
func (e *Entry) updateMembership(now time.Time) {
	n, known := e.cluster.EntryVMs(now)
	if known {
		e.fleet.SetEntryVMs(n, now)
		e.updateTokens(n)
	}
	e.fleet.SetOutOfTouch(!known)
	e.fleet.SetLiveCentres(e.cluster.ReachableDataCentres(now), now)
	unreachable := e.fleet.UnreachableCentres()
	isolated := len(unreachable) > 0 && !e.dispatcher.Servable(now)
	if e.isolated.Swap(isolated) != isolated {
		e.log.Info("target reachability changed", zap.Bool("isolated", isolated), zap.Strings("data-centres", unreachable))
	}
}

// recordState counts and logs what has changed of the targets, the confirmation of the
// routes, the rollouts and the link times.
func (e *Entry) recordState() {
	e.gateway.telemetry.recordTargetChanges(e.fleet.TakeChanges())
	e.watchConfirmation(bootclock.Now())
	e.gateway.telemetry.recordRolloutRequests(e.fleet.TakeRolloutRequests())
	e.links.write(e.fleet.LinkTimes(), e.log)
}
