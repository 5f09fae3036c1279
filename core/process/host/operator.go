package host

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/process/cluster"
	"github.com/mulberrydale/mulberrydale/core/process/gateway"
	"github.com/mulberrydale/mulberrydale/core/process/logsink"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	// operatorTimeout is how long an operator's call may take: after a second
	// without a response the operator turns to another VM.
	operatorTimeout = 850 * time.Millisecond
	// maxDocumentBytes bounds a document of routes.
	maxDocumentBytes = 32 << 20
	// retryAfterSeconds is when an operator's call may come again.
	retryAfterSeconds = "0.2"
)

// OperatorAPI takes operators' changes and answers their reads.
type OperatorAPI struct {
	cluster *cluster.Cluster
	decode  gateway.RouteDecoder
	log     *zap.Logger
}

// NewOperatorAPI returns the changes of a control VM.
func NewOperatorAPI(c *cluster.Cluster, decode gateway.RouteDecoder, log *zap.Logger) *OperatorAPI {
	return &OperatorAPI{cluster: c, decode: decode, log: log}
}

// Publish accepts the document of a request's body, if it is in order and of a
// higher version than the present one.
func (a *OperatorAPI) Publish(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxDocumentBytes+1))
	if err != nil {
		WriteError(w, http.StatusBadRequest, result.Wrap(err, result.BadRequest, "the body broke off"))
		return
	}
	if len(text) > maxDocumentBytes {
		WriteError(w, http.StatusRequestEntityTooLarge, result.New(result.DocumentTooLarge, "the configuration has over %d bytes", maxDocumentBytes))
		return
	}
	table, err := a.decode(text)
	if err != nil {
		a.log.Info("configuration refused", logsink.Cause(err))
		WriteError(w, http.StatusBadRequest, err)
		return
	}
	a.submit(w, r, replica.NewPublish(table.Version(), text), "configuration "+strconv.FormatUint(table.Version(), 10))
}

// SetOutOfService takes a data centre out of service, or back in.
func (a *OperatorAPI) SetOutOfService(w http.ResponseWriter, r *http.Request, centre string, out bool) {
	description := "data centre " + centre + " in service"
	if out {
		description = "data centre " + centre + " out of service"
	}
	a.submit(w, r, replica.NewWithdraw(centre, out), description)
}

func (a *OperatorAPI) submit(w http.ResponseWriter, r *http.Request, command replica.Command, description string) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	began := time.Now()
	outcome, err := a.cluster.Submit(ctx, command)
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

// Read writes the document in force, as a quorum confirms it.
func (a *OperatorAPI) Read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	routes, err := a.cluster.Read(ctx)
	if err == nil && routes.Version() == 0 {
		err = result.New(result.NoConfiguration, "no configuration was accepted yet")
	}
	if err != nil {
		a.log.Warn("configuration not readable", logsink.Cause(err))
		WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(routes.Document())))
	// An operator that is gone asks again.
	_, _ = w.Write(routes.Document())
}

// WriteError writes a numbered error, and when to come back where that helps.
func WriteError(w http.ResponseWriter, status int, err error) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	gateway.WriteText(w, status, err.Error()+"\n")
}
