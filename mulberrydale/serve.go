package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/intake"
	"github.com/mulberrydale/mulberrydale/core/connection/listener"
	"github.com/mulberrydale/mulberrydale/core/process/drain"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/mulberrydale/operators"
	"github.com/mulberrydale/mulberrydale/mulberrydale/settings"
	"github.com/mulberrydale/mulberrydale/mulberrydale/vm"
)

const (
	// requestReadTimeout limits how long a caller may take to send a whole request,
	// the header included.
	requestReadTimeout = 30 * time.Second
	// callerIdleTimeout is how long an idle connection of a caller stays open.
	callerIdleTimeout = 2 * time.Minute
	// drainPollInterval is the time between two checks of the drain phase.
	drainPollInterval = 20 * time.Millisecond
	// operatorShutdownTimeout limits the shutdown of the operators' server, which
	// follows that of the callers' server.
	operatorShutdownTimeout = 2 * time.Second
)

// Shares of the listeners in the budget for what is sent to this process, and the names of
// the listeners in the metrics.
const (
	callersShare   = 0.5
	operatorsShare = 0.25
	peersShare     = 0.25

	callersListener   = "callers"
	operatorsListener = "operators"
	peersListener     = "peers"
)

// server holds the VM and the HTTP servers for its callers and operators.
type server struct {
	settings  settings.Settings
	log       *zap.Logger
	vm        *vm.VM
	callers   *http.Server
	operators *http.Server
	scope     tally.Scope
}

// runServer runs the server with a settings file until SIGTERM or SIGINT, then shuts
// it down gracefully.
func runServer(path string) error {
	s, err := settings.Read(path)
	if err != nil {
		return err
	}
	log, err := newLogger(s)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	reporter := prometheus.NewReporter(prometheus.Options{OnRegisterError: func(err error) {
		log.Error("failed to register a metric", logsink.Cause(err))
	}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "mulberrydale",
		Tags:                   map[string]string{"vm": s.VM(), "data_centre": s.DataCentre()},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, time.Second)
	defer func() { _ = closer.Close() }()
	process, err := vm.New(s, scope, log)
	if err != nil {
		return err
	}
	srv := &server{
		settings:  s,
		log:       log,
		vm:        process,
		scope:     scope,
		callers:   &http.Server{Handler: process.Entry().Handler(), ReadTimeout: requestReadTimeout, IdleTimeout: callerIdleTimeout},
		operators: &http.Server{Handler: operators.Handler(process, reporter.HTTPHandler())},
	}
	return srv.serve()
}

// newLogger returns a JSON logger at the level of the settings. Sampling, which would
// drop entries with the same message, is turned off.
func newLogger(s settings.Settings) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(s.LogLevel())
	cfg.Sampling = nil
	log, err := cfg.Build()
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "create the logger")
	}
	return log.With(zap.String("vm", s.VM())), nil
}

// serve opens the sockets and runs until SIGTERM or SIGINT, or until an HTTP server or
// a role of the VM (see package vm) fails. It returns the error of what failed.
func (s *server) serve() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	sockets, err := listener.OpenAll(s.settings.CallersAddress(), s.settings.OperatorsAddress(), s.settings.PeersAddress())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The two HTTP servers and the vmLoop send at most one error each, so that with
	// room for three errors none of them blocks.
	failures := make(chan error, 3)
	intake.LimitHeap(s.settings.MemoryBytes())
	budget := intake.NewBudget(s.settings.MemoryBytes(), s.settings.MaxOpenFiles())
	callers := s.startLimiter(ctx, callersListener, budget.NewLimiter(callersShare))
	callers.Protect(s.callers)
	listener.Start(s.callers, callers.Listen(sockets[0]), failures)
	calls := s.startLimiter(ctx, operatorsListener, budget.NewLimiter(operatorsShare))
	calls.Protect(s.operators)
	listener.Start(s.operators, calls.Listen(sockets[1]), failures)
	peers := s.startLimiter(ctx, peersListener, budget.NewLimiter(peersShare))
	go (&vmLoop{vm: s.vm, socket: peers.ListenFrames(sockets[2]), failures: failures}).run(ctx)
	s.log.Info("serving", zap.String("callers", s.settings.CallersAddress()), zap.String("operators", s.settings.OperatorsAddress()))
	select {
	case err := <-failures:
		return err
	case <-signals:
	}
	s.shutDown()
	return nil
}

// startLimiter starts the checks of a limiter, which count what it refuses, and returns it.
func (s *server) startLimiter(ctx context.Context, name string, l *intake.Limiter) *intake.Limiter {
	go (&limiterLoop{limiter: l, scope: s.scope.Tagged(map[string]string{"listener": name}), log: s.log.With(zap.String("listener", name))}).run(ctx)
	return l
}

// limiterLoop closes the overdue connections of a listener, and counts and logs what its
// limiter refuses.
type limiterLoop struct {
	limiter *intake.Limiter
	scope   tally.Scope
	log     *zap.Logger
}

func (l *limiterLoop) run(ctx context.Context) { l.limiter.Run(ctx, l.report) }

// report counts and logs what was refused lately.
func (l *limiterLoop) report(c intake.Counts) {
	var fields []zap.Field
	for _, named := range c.List() {
		l.scope.Counter("intake_" + named.Name()).Inc(named.Value())
		fields = append(fields, zap.Int64(named.Name(), named.Value()))
	}
	l.log.Warn("callers over the limits", fields...)
}

// shutDown stops the server gracefully. It keeps serving until the load balancer has
// noticed that readiness fails, and only then calls Shutdown of the callers' server,
// which closes idle connections at once: a request that is being sent on one of them
// would be lost. Shutdown then waits for running requests, at most for
// drain.FinishTimeout.
func (s *server) shutDown() {
	s.log.Info("leaving")
	s.vm.Leave()
	drainState := drain.New(s.settings.BalancerLag()).Start(time.Now())
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for now := time.Now(); drainState.Phase(s.vm.Entry().Running(), now) < drain.Finishing; now = <-ticker.C {
	}
	ctx, cancel := context.WithTimeout(context.Background(), drain.FinishTimeout)
	defer cancel()
	_ = s.callers.Shutdown(ctx)
	ctx, cancel = context.WithTimeout(context.Background(), operatorShutdownTimeout)
	defer cancel()
	_ = s.operators.Shutdown(ctx)
	s.log.Info("stopped")
}

// vmLoop runs the roles of the VM and sends the error of a failed role to failures.
type vmLoop struct {
	vm       *vm.VM
	socket   net.Listener
	failures chan<- error
}

func (l *vmLoop) run(ctx context.Context) {
	if err := l.vm.Run(ctx, l.socket); err != nil {
		l.failures <- err
	}
}
