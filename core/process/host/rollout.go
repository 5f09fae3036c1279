package host

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/gateway"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// maxOrderBytes limits the size of the body of an order.
const maxOrderBytes = 64 << 10

// RolloutOrder is the order of an operator that the traffic of a service moves to a version
// within a duration.
type RolloutOrder struct {
	service  string
	version  string
	duration time.Duration
}

// NewRolloutOrder returns an order.
func NewRolloutOrder(service, version string, duration time.Duration) RolloutOrder {
	return RolloutOrder{service: service, version: version, duration: duration}
}

// ReadOrder reads the body of a call with an order. If it can't be read, or is longer than
// maxOrderBytes, it answers 400 and returns false.
func ReadOrder(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxOrderBytes+1))
	if err != nil || len(text) > maxOrderBytes {
		WriteError(w, http.StatusBadRequest, result.New(result.BadRequest, "the order could not be read, or is longer than %d bytes", maxOrderBytes))
		return nil, false
	}
	return text, true
}

// StartRollout submits an order. It answers 200 once a quorum has it on disk, also if it is
// the same as the latest one of the service; 400 if the service is not known, the version
// is empty or the duration not positive; 409 while another rollout of the service runs;
// and 503 if no quorum has acknowledged it within operatorTimeout.
func (a *OperatorAPI) StartRollout(w http.ResponseWriter, r *http.Request, order RolloutOrder) {
	arrived := bootclock.Now()
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	if err := a.checkOrder(ctx, order); err != nil {
		a.log.Info("rollout refused", zap.String("service", order.service), zap.String("version", order.version), logsink.Cause(err))
		WriteError(w, statusOfOrder(err), err)
		return
	}
	began := time.Now()
	outcome, err := a.cluster.StartRollout(ctx, replica.NewStartRollout(order.service, order.version, order.duration), waitsFor(r, arrived))
	fields := []zap.Field{zap.String("service", order.service), zap.String("version", order.version), zap.Duration("duration", order.duration), zap.Duration("took", time.Since(began))}
	if err != nil {
		a.log.Warn("rollout not acknowledged", append(fields, logsink.Cause(err))...)
		WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	if outcome.Code() == result.VersionConflict {
		a.log.Info("rollout refused, another one of the service is running", fields...)
		WriteError(w, http.StatusConflict, result.New(result.VersionConflict, "another rollout of the service is running"))
		return
	}
	a.log.Info("rollout acknowledged", append(fields, zap.Uint64("revision", outcome.Revision()), zap.Stringer("code", outcome.Code()))...)
	gateway.WriteText(w, http.StatusOK, "")
}

// checkOrder returns an error if an order is invalid. A service is known if the routes, the
// target list or an earlier order name it. The routes of this VM may be older than those
// that the operator knows, so that a quorum is asked before a service is refused.
func (a *OperatorAPI) checkOrder(ctx context.Context, order RolloutOrder) error {
	switch {
	case order.service == "" || order.version == "":
		return result.New(result.MissingKey, "the order names no service or no version")
	case order.duration <= 0:
		return result.New(result.LimitOutOfRange, "the duration of a rollout must be positive")
	case a.cluster.HasTargets(order.service) || a.routesName(a.cluster.Routes(), order.service):
		return nil
	}
	routes, err := a.cluster.Read(ctx)
	if err != nil {
		return err
	}
	if !a.routesName(routes, order.service) {
		return result.New(result.UnknownReference, "the service %q is not known", order.service)
	}
	return nil
}

// routesName reports whether routes declare a service or have an order for it.
func (a *OperatorAPI) routesName(routes replica.Routes, service string) bool {
	if record, ok := rollout.Find(routes.Rollouts(), service); ok && record.Order() != 0 {
		return true
	}
	if routes.Version() == 0 {
		return false
	}
	table, err := a.decode(routes.Document())
	if err != nil {
		return false
	}
	_, declared := table.Service(service)
	return declared
}

// statusOfOrder returns the HTTP status for an error of checkOrder.
func statusOfOrder(err error) int {
	if result.CodeOf(err).Class() == result.ClassDocument {
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// ReadRollout writes the state of the latest rollout of a service, as encode returns it,
// after a quorum of the voters has confirmed it. It answers 404 if no rollout of the
// service was ever ordered, and 503 if no quorum confirms this within operatorTimeout.
func (a *OperatorAPI) ReadRollout(w http.ResponseWriter, r *http.Request, service string, encode func(rollout.Record) []byte) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	routes, err := a.cluster.Read(ctx)
	if err != nil {
		a.log.Warn("cannot read the state of a rollout", zap.String("service", service), logsink.Cause(err))
		WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	record, _ := rollout.Find(routes.Rollouts(), service)
	if record.Order() == 0 {
		WriteError(w, http.StatusNotFound, result.New(result.UnknownReference, "no rollout of the service %q was ordered", service))
		return
	}
	text := encode(record)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	// The error is ignored: an operator whose connection broke repeats the call.
	_, _ = w.Write(text)
}
