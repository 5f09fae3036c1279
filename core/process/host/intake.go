package host

import (
	"context"
	"net"
	"net/http"

	"github.com/mulberrydale/mulberrydale/core/connection/intake"
	"github.com/mulberrydale/mulberrydale/core/connection/listener"
	"github.com/mulberrydale/mulberrydale/core/process/gateway"
)

// Names of the listeners in the log and the metrics.
const (
	callersListener   = "callers"
	readinessListener = "readiness"
	operatorsListener = "operators"
	sessionsListener  = "sessions"
	metricsListener   = "metrics"
)

// listenerShares returns the share of each listener in the budget for what is sent to
// this process. The shares are fixed, so that callers leave room for operators and
// other VMs.
func (s Settings) listenerShares() map[string]float64 {
	switch {
	case !s.isControlVM():
		return map[string]float64{callersListener: 0.8, readinessListener: 0.1, metricsListener: 0.1}
	case s.callersAddress == "":
		return map[string]float64{sessionsListener: 0.5, operatorsListener: 0.4, metricsListener: 0.1}
	}
	return map[string]float64{callersListener: 0.5, sessionsListener: 0.2, operatorsListener: 0.2, readinessListener: 0.05, metricsListener: 0.05}
}

// newLimiters returns the limiter of each listener.
func (s Settings) newLimiters() map[string]*intake.Limiter {
	budget := intake.NewBudget(s.memoryBytes, s.maxOpenFiles)
	out := make(map[string]*intake.Limiter)
	for name, share := range s.listenerShares() {
		out[name] = budget.NewLimiter(share)
	}
	return out
}

// serveHTTP listens on an address and serves HTTP in the background, within the limits
// of the listener with this name. An error of the listener is sent to serveErrors.
func (p *process) serveHTTP(name, address string, handler http.Handler) error {
	socket, err := listener.Open(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, IdleTimeout: callerIdleTimeout, ConnContext: gateway.ConnContext}
	p.limiters[name].Protect(server)
	p.servers = append(p.servers, server)
	listener.Start(server, p.limiters[name].Listen(socket), p.serveErrors)
	return nil
}

// listenForSessions listens on the address for the sessions of other VMs.
func (p *process) listenForSessions() (net.Listener, error) {
	socket, err := listener.Open(p.settings.sessionsAddress)
	if err != nil {
		return nil, err
	}
	return p.limiters[sessionsListener].ListenFrames(socket), nil
}

// limiterLoop closes the overdue connections of a listener, and counts and logs what its
// limiter refuses.
type limiterLoop struct {
	name      string
	limiter   *intake.Limiter
	telemetry *gateway.Telemetry
}

func (l *limiterLoop) run(ctx context.Context) { l.limiter.Run(ctx, l.report) }

// report counts and logs what was refused lately.
func (l *limiterLoop) report(counts intake.Counts) {
	conns, bytes := l.limiter.Use()
	l.telemetry.RecordIntake(l.name, counts, conns, bytes)
}
