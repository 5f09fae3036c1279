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

	"github.com/mulberrydale/mulberrydale/core/connection/listener"
	"github.com/mulberrydale/mulberrydale/core/process/drain"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/mulberrydale/operators"
	"github.com/mulberrydale/mulberrydale/mulberrydale/settings"
	"github.com/mulberrydale/mulberrydale/mulberrydale/vm"
)

const (
	// headerTimeout bounds how long a client may take over its header.
	headerTimeout = 10 * time.Second
	// bodyTimeout bounds how long a caller may take over its whole request.
	bodyTimeout = 30 * time.Second
	// callerIdleTimeout is how long an idle connection of a caller is kept.
	callerIdleTimeout = 2 * time.Minute
	// drainPollInterval is the time between two looks at the phase of leaving.
	drainPollInterval = 20 * time.Millisecond
	// operatorShutdownTimeout bounds the end of the connections after the last request.
	operatorShutdownTimeout = 2 * time.Second
)

// server is the process with its sockets.
type server struct {
	settings  settings.Settings
	log       *zap.Logger
	vm        *vm.VM
	callers   *http.Server
	operators *http.Server
}

// runServer serves until a signal asks to stop, and leaves without a cut.
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
		log.Error("a metric could not be registered", logsink.Cause(err))
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
		callers:   &http.Server{Handler: process.Entry().Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: callerIdleTimeout},
		operators: &http.Server{Handler: operators.Handler(process, reporter.HTTPHandler()), ReadHeaderTimeout: headerTimeout},
	}
	return srv.serve()
}

func newLogger(s settings.Settings) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(s.LogLevel())
	cfg.Sampling = nil
	log, err := cfg.Build()
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "log")
	}
	return log.With(zap.String("vm", s.VM())), nil
}

// serve opens the sockets, then runs until a signal or a fault.
func (s *server) serve() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	sockets, err := listener.OpenAll(s.settings.CallersAddress(), s.settings.OperatorsAddress(), s.settings.PeersAddress())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failures := make(chan error, 3)
	listener.Start(s.callers, sockets[0], failures)
	listener.Start(s.operators, sockets[1], failures)
	go (&vmLoop{vm: s.vm, socket: sockets[2], failures: failures}).run(ctx)
	s.log.Info("serving", zap.String("callers", s.settings.CallersAddress()), zap.String("operators", s.settings.OperatorsAddress()))
	select {
	case err := <-failures:
		return err
	case <-signals:
	}
	s.shutDown()
	return nil
}

// shutDown serves on until the balancer has noticed, then finishes what runs.
// Shutdown comes last: it closes idle connections at once, and a request that
// is just being sent on one would be cut.
func (s *server) shutDown() {
	s.log.Info("leaving")
	s.vm.Leave()
	drainState := drain.New(s.settings.BalancerLag()).Leave(time.Now())
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for now := time.Now(); drainState.Phase(s.vm.Entry().Running(), now) < drain.Finishing; now = <-ticker.C {
	}
	ctx, cancel := context.WithTimeout(context.Background(), drain.MaxFinishing)
	defer cancel()
	_ = s.callers.Shutdown(ctx)
	ctx, cancel = context.WithTimeout(context.Background(), operatorShutdownTimeout)
	defer cancel()
	_ = s.operators.Shutdown(ctx)
	s.log.Info("stopped")
}

// vmLoop runs the roles.
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
