package host

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/intake"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/cluster"
	"github.com/mulberrydale/mulberrydale/core/process/gateway"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	// operatorTimeout limits how long a call of an operator may take. An
	// operator that has no response after one second calls another VM.
	operatorTimeout = 850 * time.Millisecond
	// maxDocumentBytes limits the size of a document of routes.
	maxDocumentBytes = 32 << 20
	// decodedValueBytes is the most memory that one value of a document takes while it is
	// decoded: that of a route without any key.
	decodedValueBytes = 800
	// retryAfterSeconds is the Retry-After value of a call that is answered
	// with 503.
	retryAfterSeconds = "0.2"
)

// OperatorAPI executes the calls of operators on a control VM. An Adapter
// defines their paths and methods.
type OperatorAPI struct {
	cluster *cluster.Cluster
	decode  gateway.RouteDecoder
	log     *zap.Logger
}

// NewOperatorAPI returns the operator API of a control VM.
func NewOperatorAPI(c *cluster.Cluster, decode gateway.RouteDecoder, log *zap.Logger) *OperatorAPI {
	return &OperatorAPI{cluster: c, decode: decode, log: log}
}

// Publish submits the document of routes in the request body. It answers 400 if
// the body cannot be read or the document is invalid, and 413 if the document is
// larger than maxDocumentBytes. A document whose version is not higher than the
// current one changes nothing but is acknowledged, so that an operator may
// repeat the call.
func (a *OperatorAPI) Publish(w http.ResponseWriter, r *http.Request) {
	text, charge, err := intake.ReadBody(r, maxDocumentBytes)
	if err != nil {
		a.refuseBody(w, err)
		return
	}
	defer charge.Release()
	if !charge.Grow(decodeBytes(text)) {
		a.refuseBody(w, intake.ErrNoMemory)
		return
	}
	table, err := a.decode(text)
	if err != nil {
		a.log.Info("configuration refused", logsink.Cause(err))
		WriteError(w, http.StatusBadRequest, err)
		return
	}
	a.submit(w, r, "configuration "+strconv.FormatUint(table.Version(), 10), func(ctx context.Context) (replica.RoutesOutcome, error) {
		return a.cluster.Submit(ctx, replica.NewPublishRoutes(table.Version(), text))
	})
}

// refuseBody answers a call whose body could not be read.
func (a *OperatorAPI) refuseBody(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		WriteError(w, http.StatusRequestEntityTooLarge, result.New(result.DocumentTooLarge, "the configuration is larger than %d bytes", maxDocumentBytes))
	case errors.Is(err, intake.ErrNoMemory):
		w.Header().Set("Connection", "close")
		WriteError(w, http.StatusServiceUnavailable, result.Wrap(err, result.OverCapacity, "reading the configuration"))
	default:
		WriteError(w, http.StatusBadRequest, result.Wrap(err, result.BadRequest, "the request body ended early"))
	}
}

// decodeBytes returns an upper bound of the memory that decoding a document takes. A value
// follows a comma, a colon or a bracket.
func decodeBytes(document []byte) int64 {
	values := 0
	for _, c := range document {
		switch c {
		case ',', ':', '[', '{':
			values++
		}
	}
	return int64(values) * decodedValueBytes
}

// SetOutOfService takes a data centre out of service or, if out is false, puts
// it back into service.
func (a *OperatorAPI) SetOutOfService(w http.ResponseWriter, r *http.Request, centre string, out bool) {
	description := "data centre " + centre + " in service"
	if out {
		description = "data centre " + centre + " out of service"
	}
	a.submit(w, r, description, func(ctx context.Context) (replica.RoutesOutcome, error) {
		return a.cluster.SetOutOfService(ctx, centre, out, waitsFor(r, bootclock.Now()))
	})
}

// waitsFor returns a function that reports whether the operator of a call that began at a
// time still waits for the answer. The time of a suspension counts.
func waitsFor(r *http.Request, began bootclock.Time) func() bool {
	return func() bool {
		return bootclock.Now().Sub(began) < operatorTimeout && !intake.CallerLeft(r)
	}
}

// submit calls a function that passes a command to the cluster and answers 200 if the
// replicated log has committed it within operatorTimeout, even if it changed nothing, and
// 503 otherwise. The description is used in the log.
func (a *OperatorAPI) submit(w http.ResponseWriter, r *http.Request, description string, commit func(ctx context.Context) (replica.RoutesOutcome, error)) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	began := time.Now()
	outcome, err := commit(ctx)
	took := time.Since(began)
	if err != nil {
		a.log.Warn("change not acknowledged", zap.String("change", description), zap.Duration("took", took), logsink.Cause(err))
		WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	a.log.Info("change acknowledged", zap.String("change", description), zap.Uint64("revision", outcome.Revision()),
		zap.Uint64("version", outcome.Version()), zap.Duration("took", took))
	gateway.WriteText(w, http.StatusOK, "")
}

// Read writes the document of the active routes after a quorum of the voters
// has confirmed it. It answers 503 if there is none yet or if no quorum
// confirms it within operatorTimeout.
func (a *OperatorAPI) Read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	routes, err := a.cluster.Read(ctx)
	if err == nil && routes.Version() == 0 {
		err = result.New(result.NoConfiguration, "no configuration has been accepted yet")
	}
	if err != nil {
		a.log.Warn("cannot read the configuration", logsink.Cause(err))
		WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(routes.Document())))
	// The error is ignored: an operator whose connection broke repeats the call.
	_, _ = w.Write(routes.Document())
}

// WriteError writes an error with its result code as text, and a Retry-After
// header if the status is 503.
func WriteError(w http.ResponseWriter, status int, err error) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	gateway.WriteText(w, status, err.Error()+"\n")
}
