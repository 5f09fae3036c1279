package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/connection/upstream"
	"github.com/mulberrydale/mulberrydale/core/process/cluster"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/dispatch"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// viewInterval is the time between two looks at who else is heard.
const viewInterval = 250 * time.Millisecond

// Entry is the role that answers clients.
type Entry struct {
	fleet      *placement.Fleet
	pool       *upstream.Pool
	dispatcher *dispatch.Dispatcher
	gateway    *gateway
	cluster    *cluster.Cluster
	decode     RouteDecoder
	log        *zap.Logger
	// isolated says that data centres are cut off without which too little
	// can be answered.
	isolated atomic.Bool
}

// RouteDecoder decodes and checks the document of a version of the routes.
type RouteDecoder func(document []byte) (*routing.Table, error)

// NewEntry returns the role on a VM of a data centre, without routes and
// targets.
func NewEntry(vm, centre string, limits placement.Limits, names exchange.HeaderNames, decode RouteDecoder, report *Report, log *zap.Logger) *Entry {
	e := &Entry{fleet: placement.NewFleet(vm, centre, limits, time.Now()), pool: upstream.NewPool(), decode: decode, log: log}
	e.dispatcher = dispatch.New(e.fleet, exchange.NewSender(e.pool, names))
	e.gateway = &gateway{dispatcher: e.dispatcher, names: names, report: report, unready: e.isolated.Load}
	return e
}

// Join makes the role follow what the cluster hears, and tell it what its
// requests show of targets. It is called before the cluster runs.
func (e *Entry) Join(c *cluster.Cluster) {
	e.cluster = c
	c.SetFindingSource(e.fleet)
}

// Handler returns the handler of callers' requests.
func (e *Entry) Handler() http.Handler { return e.gateway }

// Readiness returns the handler of the balancer's questions.
func (e *Entry) Readiness() http.Handler { return readiness{entry: e} }

// Leave asks the balancer for no more callers; requests are answered on.
func (e *Entry) Leave() { e.gateway.leaving.Store(true) }

// Running returns the number of requests that are not answered yet.
func (e *Entry) Running() int { return int(e.dispatcher.Running()) }

// Usable returns the number of targets of a service that may get requests.
func (e *Entry) Usable(service string) int { return e.fleet.UsableTargets(service) }

// Start keeps the connections and the view of the other VMs until ctx ends.
func (e *Entry) Start(ctx context.Context) {
	go (&poolLoop{pool: e.pool}).run(ctx)
	go (&viewLoop{entry: e}).run(ctx)
}

// RoutesChanged puts accepted routes in force.
func (e *Entry) RoutesChanged(routes replica.Routes, now time.Time) {
	e.fleet.SetOutOfService(routes.Out(), now)
	if routes.Version() == 0 {
		return
	}
	if t := e.dispatcher.Table(); t != nil && t.Version() >= routes.Version() {
		return
	}
	t, err := e.decode(routes.Document())
	if err != nil {
		e.log.Error("accepted routes can't be read; the older ones hold", zap.Uint64("version", routes.Version()), logsink.Cause(err))
		return
	}
	e.dispatcher.SetTable(t)
}

// TargetsChanged takes a list of targets over.
func (e *Entry) TargetsChanged(list discovery.List, now time.Time) {
	e.pool.CloseAddresses(e.fleet.SetTargets(list, now))
}

// ready reports whether this VM should get requests.
func (e *Entry) ready() error {
	switch {
	case e.gateway.leaving.Load():
		return result.New(result.Stopping, "this VM is leaving")
	case e.dispatcher.Table() == nil:
		return result.New(result.NoConfiguration, "this VM has no routes yet")
	case e.isolated.Load():
		return result.New(result.NoTarget, "this VM is cut off from too many targets")
	}
	return nil
}

// readiness answers the balancer.
type readiness struct{ entry *Entry }

// ServeHTTP answers 200 when the VM should get requests.
func (h readiness) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := h.entry.ready(); err != nil {
		WriteText(w, http.StatusServiceUnavailable, err.Error()+"\n")
		return
	}
	WriteText(w, http.StatusOK, "ready\n")
}

// poolLoop closes idle connections.
type poolLoop struct{ pool *upstream.Pool }

func (l *poolLoop) run(ctx context.Context) { l.pool.Run(ctx) }

// viewLoop follows who else is heard: it sets the share of this VM in the
// targets' connections, and which data centres are cut off.
type viewLoop struct{ entry *Entry }

func (l *viewLoop) run(ctx context.Context) {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.entry.look(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// look takes over who is heard now. A VM that is cut off from too much asks
// the balancer for no more clients, who are then served by other data centres.
func (e *Entry) look(now time.Time) {
	e.fleet.SetEntryVMs(e.cluster.EntryVMs(now), now)
	e.fleet.SetLiveCentres(e.cluster.ReachableDataCentres(now), now)
	cut := e.fleet.UnreachableCentres()
	isolated := len(cut) > 0 && !e.dispatcher.Servable()
	if e.isolated.Swap(isolated) != isolated {
		e.log.Info("cut off from targets", zap.Bool("isolated", isolated), zap.Strings("data-centres", cut))
	}
}
