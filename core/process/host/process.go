// Package host runs the roles of a VM as one process: it opens the sockets,
// watches the settings, and leaves on SIGTERM without a cut. What settings,
// routes, the list of targets and operators' calls look like is a Wire's.
package host

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/mulberrydale/mulberrydale/core/connection/listener"
	"github.com/mulberrydale/mulberrydale/core/process/cluster"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/drain"
	"github.com/mulberrydale/mulberrydale/core/process/gateway"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

const (
	// headerTimeout bounds how long a client may take over its header.
	headerTimeout = 10 * time.Second
	// clientIdle is how long an idle connection of a client is kept; longer
	// than any limit that the operator declares, so that no client finds its
	// connection closed.
	clientIdle = 3 * time.Minute
	// balancerLag is how long the balancer may send new connections after
	// readiness fails: two questions, a second apart, and the way.
	balancerLag = 3200 * time.Millisecond
	// exitMargin is kept between the end of this process and SIGKILL.
	exitMargin = 500 * time.Millisecond
	drainPoll  = 50 * time.Millisecond
	// settingsPoll is the time between two looks at the settings file.
	settingsPoll = time.Second
	// metricsPath is where the metrics are read.
	metricsPath = "/metrics"
	// collectAt is the growth of the heap, in per cent, after which garbage is
	// collected; memory costs more here than the processor.
	collectAt = 50
)

// process is one running process with its roles.
type process struct {
	settings Settings
	wire     Adapter
	path     string
	text     []byte
	log      *zap.Logger
	cluster  *cluster.Cluster
	entry    *gateway.Entry
	failed   chan error
	servers  []*http.Server
}

// Run serves with the settings of a file until a signal asks to stop, and
// leaves without a cut.
func Run(path string, w Adapter) error {
	debug.SetGCPercent(collectAt)
	settings, text, err := readSettings(path, w)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sink := logsink.New(os.Stdout)
	go (&sinkLoop{sink: sink}).run(ctx)
	defer func() { _ = sink.Sync() }()
	log := newLogger(sink).With(zap.String("vm", settings.vm))
	p := &process{settings: settings, wire: w, path: path, text: text, log: log, failed: make(chan error, 8)}
	if err := p.start(ctx); err != nil {
		log.Error("the process can't start", logsink.Cause(err))
		return err
	}
	return p.serve(ctx)
}

func newLogger(sink zapcore.WriteSyncer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), sink, zapcore.InfoLevel))
}

// start opens the sockets and starts the roles.
func (p *process) start(ctx context.Context) error {
	s := p.settings
	report := gateway.NewTelemetry(p.log)
	identity := cluster.NewIdentity(s.vm, s.ownSessions(), s.dataCentre, uuid.NewString()[:8], s.firstStart)
	var observer cluster.Observer = idle{}
	if s.callers != "" {
		p.entry = gateway.NewEntry(s.vm, s.dataCentre, s.limits, p.wire.HeaderNames(), p.wire.DecodeRoutes, report, p.log)
		observer = p.entry
	}
	p.cluster = cluster.New(identity, s.seeds, p.wire.NewListReader(s, p.log), observer, p.log)
	if p.entry != nil {
		p.entry.SetCluster(p.cluster)
	}
	sessions, err := p.startControl()
	if err != nil {
		return err
	}
	go (&clusterLoop{cluster: p.cluster, socket: sessions}).run(ctx)
	if err := p.startEntry(ctx); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(metricsPath, report)
	return p.serveHTTP(s.metrics, mux)
}

// startControl opens the log and the sockets of a control VM, and returns that
// of the sessions, nil where this VM is none.
func (p *process) startControl() (net.Listener, error) {
	s := p.settings
	if !s.controls() {
		return nil, nil
	}
	if err := p.cluster.KeepLog(s.dataFolder, s.voters, time.Now()); err != nil {
		return nil, err
	}
	sessions, err := listener.Open(s.sessions)
	if err != nil {
		return nil, err
	}
	changes := NewOperatorAPI(p.cluster, p.wire.DecodeRoutes, p.log)
	return sessions, p.serveHTTP(s.operators, p.wire.OperatorHandler(changes))
}

// startEntry serves callers, where this VM does.
func (p *process) startEntry(ctx context.Context) error {
	if p.entry == nil {
		return nil
	}
	p.entry.Start(ctx)
	if err := p.serveHTTP(p.settings.callers, p.entry.Handler()); err != nil {
		return err
	}
	return p.serveHTTP(p.settings.readiness, p.entry.Readiness())
}

// idle is the observer of a VM that answers no clients.
type idle struct{}

// RoutesChanged does nothing.
func (idle) RoutesChanged(replica.Routes, time.Time) {}

// TargetsChanged does nothing.
func (idle) TargetsChanged(discovery.List, time.Time) {}

// serveHTTP opens a socket and serves it in the background.
func (p *process) serveHTTP(address string, handler http.Handler) error {
	socket, err := listener.Open(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdle}
	p.servers = append(p.servers, server)
	listener.Start(server, socket, p.failed)
	return nil
}

// serve waits for signals and changed settings.
func (p *process) serve(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	p.log.Info("serving", zap.String("data-centre", p.settings.dataCentre), zap.String("callers", p.settings.callers),
		zap.String("operators", p.settings.operators), zap.Strings("seeds", p.settings.seeds), zap.Bool("first-start", p.settings.firstStart))
	for {
		select {
		case err := <-p.failed:
			p.log.Error("a socket failed", logsink.Cause(err))
			return err
		case <-ticker.C:
			p.reload()
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.reload()
				continue
			}
			p.leave(ctx)
			return nil
		}
	}
}

// reload takes changed settings over: the seeds. A file that can't be read
// changes nothing.
func (p *process) reload() {
	text, err := os.ReadFile(p.path)
	if err != nil {
		p.log.Warn("the settings can't be read again; the old ones hold", logsink.Cause(err))
		return
	}
	if bytes.Equal(text, p.text) {
		return
	}
	p.text = text
	s, err := p.wire.DecodeSettings(text)
	if err != nil {
		p.log.Warn("the changed settings can't be read; the old ones hold", logsink.Cause(err))
		return
	}
	p.log.Info("settings reloaded", zap.Strings("seeds", s.seeds))
	p.cluster.SetSeeds(s.seeds, time.Now())
}

// leave serves on until the balancer has noticed, then finishes what runs.
func (p *process) leave(ctx context.Context) {
	p.log.Info("leaving")
	began := time.Now()
	if p.entry == nil {
		p.log.Info("stopped")
		return
	}
	p.entry.StartDraining()
	grace := p.settings.gracePeriod
	state := drain.New(min(balancerLag, grace*2/3)).Leave(began)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for now := began; state.Phase(p.entry.Running(), now) < drain.Finishing; now = <-ticker.C {
	}
	// From here on no request is taken, also not from callers that go on using
	// their connections; what runs has the rest of the time.
	limited, cancel := context.WithDeadline(ctx, began.Add(grace-exitMargin))
	defer cancel()
	for _, server := range p.servers {
		if err := server.Shutdown(limited); err != nil {
			p.log.Warn("requests were still running at the end", logsink.Cause(err))
		}
	}
	p.log.Info("stopped", zap.Duration("after", time.Since(began)))
}

type sinkLoop struct{ sink *logsink.Sink }

func (l *sinkLoop) run(ctx context.Context) { l.sink.Run(ctx) }

type clusterLoop struct {
	cluster *cluster.Cluster
	socket  net.Listener
}

func (l *clusterLoop) run(ctx context.Context) { l.cluster.Run(ctx, l.socket) }
