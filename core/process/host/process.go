// Package host runs the roles of a VM (entry, control or both) as one process:
// it opens the listeners, reloads changed settings, and on SIGTERM drains the
// entry role, so that requests of callers can finish within the grace period. An
// Adapter defines the formats of the settings, the routes, the list of targets
// and the calls of operators.
package host

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/mulberrydale/mulberrydale/core/connection/intake"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/cluster"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/drain"
	"github.com/mulberrydale/mulberrydale/core/process/gateway"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

const (
	// callerIdleTimeout is how long an idle connection from a caller is kept
	// open. It is longer than any idle timeout that the operator declares for
	// callers, so that no caller reuses a connection that this VM has just
	// closed. It applies to the other HTTP connections as well.
	callerIdleTimeout = 3 * time.Minute
	// balancerLag is how long the load balancer may send new connections after
	// the readiness check starts to fail. It allows for two checks, one second
	// apart, and for the network delay.
	balancerLag = 3200 * time.Millisecond
	// exitMargin is the time left between the planned exit of the process and
	// SIGKILL, at most a sixth of the grace period.
	exitMargin = 500 * time.Millisecond
	// answerMargin is the time before the planned exit in which the answers to
	// requests that have not finished are sent, at most a tenth of the grace period.
	answerMargin = 300 * time.Millisecond
	// drainPollInterval is the time between two checks whether draining has
	// reached its next phase.
	drainPollInterval = 50 * time.Millisecond
	// settingsPollInterval is the time between two checks whether the settings
	// file has changed.
	settingsPollInterval = time.Second
	// metricsPath is the HTTP path of the metrics.
	metricsPath = "/metrics"
	// gcPercent is the growth of the heap, in per cent, that starts a garbage
	// collection. It is below the default of 100 because memory costs more than
	// processor time here.
	gcPercent = 50
)

// process holds the settings, the roles and the HTTP servers of a VM.
type process struct {
	settings     Settings
	adapter      Adapter
	settingsPath string
	// settingsText is the text of the settings file that was read last.
	settingsText []byte
	log          *zap.Logger
	cluster      *cluster.Cluster
	// entry is nil if the VM is not an entry VM.
	entry *gateway.Entry
	// serveErrors receives the errors of listeners that fail.
	serveErrors chan error
	servers     []*http.Server
	// limiters has the limiter of each listener, by the name of the listener.
	limiters map[string]*intake.Limiter
}

// Run runs the process with the settings in the file at path until SIGTERM or
// SIGINT arrives, and then shuts it down gracefully. It returns an error if the
// settings are invalid, the process cannot start or a listener fails.
func Run(path string, adapter Adapter) error {
	// The signals are handled before anything else: their default is the end of the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	debug.SetGCPercent(gcPercent)
	settings, text, err := readSettings(path, adapter)
	if err != nil {
		return err
	}
	intake.LimitHeap(settings.memoryBytes)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sink := logsink.New(os.Stdout)
	go (&sinkLoop{sink: sink}).run(ctx)
	defer func() { _ = sink.Sync() }()
	log := newLogger(sink).With(zap.String("vm", settings.vm))
	p := &process{settings: settings, adapter: adapter, settingsPath: path, settingsText: text, log: log, serveErrors: make(chan error, 8), limiters: settings.newLimiters()}
	if err := p.start(ctx); err != nil {
		log.Error("cannot start the process", logsink.Cause(err))
		return err
	}
	return p.waitForStop(ctx, signals)
}

// newLogger returns a logger that writes JSON lines with durations in
// milliseconds.
func newLogger(sink zapcore.WriteSyncer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), sink, zapcore.InfoLevel))
}

// start opens the listeners and starts the roles.
func (p *process) start(ctx context.Context) error {
	s := p.settings
	telemetry := gateway.NewTelemetry(p.log)
	for name, limiter := range p.limiters {
		go (&limiterLoop{name: name, limiter: limiter, telemetry: telemetry}).run(ctx)
	}
	identity := cluster.NewIdentity(s.vm, s.ownAddress(), s.dataCentre, uuid.NewString()[:8], s.firstStart)
	var observer cluster.Observer = noopObserver{}
	if s.callersAddress != "" {
		p.entry = gateway.NewEntry(s.vm, s.dataCentre, s.limits, p.adapter.HeaderNames(), p.adapter.DecodeRoutes, telemetry, p.log)
		p.entry.SetTargetTimes(s.targetTimes)
		p.entry.SetLimiter(p.limiters[callersListener])
		observer = p.entry
	}
	p.cluster = cluster.New(identity, s.seeds, p.adapter.NewListReader(s, p.log), observer, p.log)
	p.cluster.Confirmation().SetWithin(s.revocation.within)
	p.cluster.SetRollouts(s.rollouts, nil)
	socket, err := p.startControl()
	if err != nil {
		return err
	}
	p.cluster.EnableQuotas(s.quotas, p.decodeTeams)
	if p.entry != nil {
		p.entry.SetCluster(p.cluster)
		p.entry.SetStrictRevocation(s.revocation.strict)
		p.entry.SetRollouts(s.rollouts)
	}
	go (&clusterLoop{cluster: p.cluster, listener: socket}).run(ctx)
	if err := p.startEntry(ctx); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(metricsPath, telemetry)
	return p.serveHTTP(metricsListener, s.metricsAddress, mux)
}

// decodeTeams returns the teams in a document of routes.
func (p *process) decodeTeams(document []byte) ([]routing.Team, error) {
	table, err := p.adapter.DecodeRoutes(document)
	if err != nil {
		return nil, err
	}
	return table.Teams(), nil
}

// startControl opens the replicated log of a control VM, serves operators, and
// returns the listener for the sessions of other VMs. It does nothing and
// returns nil if this VM is not a control VM.
func (p *process) startControl() (net.Listener, error) {
	s := p.settings
	if !s.isControlVM() {
		return nil, nil
	}
	if err := p.cluster.EnableControl(s.dataFolder, s.voters, bootclock.Now()); err != nil {
		return nil, err
	}
	socket, err := p.listenForSessions()
	if err != nil {
		return nil, err
	}
	api := NewOperatorAPI(p.cluster, p.adapter.AcceptRoutes, p.log)
	return socket, p.serveHTTP(operatorsListener, s.operatorsAddress, p.adapter.OperatorHandler(api))
}

// startEntry serves callers and readiness checks if this VM is an entry VM.
func (p *process) startEntry(ctx context.Context) error {
	if p.entry == nil {
		return nil
	}
	p.entry.Start(ctx)
	if err := p.serveHTTP(callersListener, p.settings.callersAddress, p.entry.Handler()); err != nil {
		return err
	}
	return p.serveHTTP(readinessListener, p.settings.readinessAddress, p.entry.Readiness())
}

// noopObserver is the observer of a VM that does not answer callers.
type noopObserver struct{}

// RoutesChanged implements cluster.Observer.
func (noopObserver) RoutesChanged(replica.Routes, time.Time) {}

// TargetsRead implements cluster.Observer.
func (noopObserver) TargetsRead(discovery.List, bool, time.Time) {}

// waitForStop reloads changed settings, at once on SIGHUP, until SIGTERM or
// SIGINT arrives, and then shuts the process down. It returns an error if a
// listener fails.
func (p *process) waitForStop(ctx context.Context, signals <-chan os.Signal) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	p.log.Info("serving", zap.String("data-centre", p.settings.dataCentre), zap.String("callers", p.settings.callersAddress),
		zap.String("operators", p.settings.operatorsAddress), zap.Strings("seeds", p.settings.seeds), zap.Bool("first-start", p.settings.firstStart))
	for {
		select {
		case err := <-p.serveErrors:
			p.log.Error("a listener failed", logsink.Cause(err))
			return err
		case <-ticker.C:
			p.reloadSettings()
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.reloadSettings()
				continue
			}
			p.shutdown(ctx)
			return nil
		}
	}
}

// reloadSettings applies the seeds of a changed settings file; other changes
// take effect at the next start. If the file cannot be read or is invalid, the
// current settings stay in use.
func (p *process) reloadSettings() {
	text, err := os.ReadFile(p.settingsPath)
	if err != nil {
		p.log.Warn("cannot read the settings file; the current settings stay in use", logsink.Cause(err))
		return
	}
	if bytes.Equal(text, p.settingsText) {
		return
	}
	p.settingsText = text
	s, err := p.adapter.DecodeSettings(text)
	if err != nil {
		p.log.Warn("the changed settings are invalid; the current settings stay in use", logsink.Cause(err))
		return
	}
	p.log.Info("settings reloaded", zap.Strings("seeds", s.seeds))
	p.cluster.SetSeeds(s.seeds, time.Now())
}

// shutdown first makes the readiness check fail, but accepts further requests,
// because the load balancer may still send some. This lasts for balancerLag, but
// at most for two thirds of the grace period. Until the requests in flight are answered
// it then refuses those that might take too long. Requests that have not finished
// answerMargin before the exit are answered with what is known of them, so that no
// caller is left without an answer. A VM without the entry role, which the balancer does
// not know, only waits for the requests of operators in flight.
func (p *process) shutdown(ctx context.Context) {
	p.log.Info("leaving")
	began := time.Now()
	grace := p.settings.gracePeriod
	untilExit := grace - min(exitMargin, grace/6)
	if p.entry != nil {
		finishAfter := untilExit - min(answerMargin, grace/10)
		defer time.AfterFunc(finishAfter, p.entry.EndRequests).Stop()
		p.drainEntry(drain.New(min(balancerLag, grace*2/3)).WithFinishAfter(finishAfter).Start(began), began)
	}
	// A server that is shut down closes the connection of a new request without an
	// answer.
	shutdownCtx, cancel := context.WithDeadline(ctx, began.Add(untilExit))
	defer cancel()
	var group sync.WaitGroup
	for _, server := range p.servers {
		group.Add(1)
		go (&serverShutdown{server: server, log: p.log, group: &group}).run(shutdownCtx)
	}
	group.Wait()
	p.log.Info("stopped", zap.Duration("after", time.Since(began)))
}

// drainEntry makes the readiness check fail and waits until the balancer has noticed
// and no request is running, or until all requests must be answered.
func (p *process) drainEntry(s drain.State, began time.Time) {
	p.entry.Drain(s)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for now := began; s.Phase(p.entry.Running(), now) < drain.Stopped; now = <-ticker.C {
	}
}

// serverShutdown waits until the requests in flight at one server are answered. One
// server must not keep the others open.
type serverShutdown struct {
	server *http.Server
	log    *zap.Logger
	group  *sync.WaitGroup
}

func (s *serverShutdown) run(ctx context.Context) {
	defer s.group.Done()
	if err := s.server.Shutdown(ctx); err != nil {
		s.log.Warn("requests were still in flight at the shutdown deadline", logsink.Cause(err))
	}
}

// sinkLoop writes buffered log lines to standard output.
type sinkLoop struct{ sink *logsink.Sink }

func (l *sinkLoop) run(ctx context.Context) { l.sink.Run(ctx) }

// clusterLoop runs the cluster, which accepts sessions of other VMs if the
// listener is not nil.
type clusterLoop struct {
	cluster  *cluster.Cluster
	listener net.Listener
}

func (l *clusterLoop) run(ctx context.Context) { l.cluster.Run(ctx, l.listener) }
