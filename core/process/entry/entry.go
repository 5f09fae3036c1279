// Package entry implements the role that answers callers. It plans each query,
// fans it out to targets, and merges the results into one answer that states
// its result code, configuration version, snapshot and coverage. The algorithms
// are in the packages of core/request; this package does the I/O and keeps the
// state that they need.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/connection/intake"
	"github.com/mulberrydale/mulberrydale/core/process/membership"
	"github.com/mulberrydale/mulberrydale/core/process/target"
	"github.com/mulberrydale/mulberrydale/core/request/hedge"
	"github.com/mulberrydale/mulberrydale/core/request/query"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// Entry is the entry role of one process. The lock order is Entry.mu, then the
// lock of the target table, then that of a target.
type Entry struct {
	vm              string
	idPrefix        string
	idCount         atomic.Uint64
	log             *zap.Logger
	table           *target.Table
	claimer         Claimer
	freshness       FreshnessChecker
	workers         *workers
	counters        *counters
	hedges          *hedge.Budget
	runningRequests atomic.Int64
	draining        atomic.Bool
	active          atomic.Pointer[activeConfig]

	mu            sync.Mutex
	serviceStates map[string]serviceState
	// firstAppliedAt is when the first configuration was applied.
	firstAppliedAt time.Time
}

// readinessDelay is the time between applying the first configuration and
// reporting readiness. Within it the VM probes its targets and its peers report
// which of them are warm.
const readinessDelay = time.Second

// overCapacityRetryAfter is the Retry-After value, in seconds, of a request for which there
// is no memory.
const overCapacityRetryAfter = "1"

// New returns an entry role without a configuration. The start id must differ
// between runs of the process, so that no id of a sub-request is used twice.
func New(vm, startID string, table *target.Table, claimer Claimer, freshness FreshnessChecker, scope tally.Scope, log *zap.Logger) *Entry {
	return &Entry{
		vm:            vm,
		idPrefix:      vm + "-" + startID + "-",
		log:           log,
		table:         table,
		claimer:       claimer,
		freshness:     freshness,
		workers:       newWorkers(),
		hedges:        hedge.NewHedgeBudget(),
		counters:      newCounters(scope),
		serviceStates: make(map[string]serviceState),
	}
}

// Apply makes a configuration version the active one for queries that start
// from now on. It has no effect if the version is not newer than the active
// one.
func (e *Entry) Apply(version uint64, cfg configuration.Configuration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if current := e.active.Load(); current != nil && current.version >= version {
		return
	}
	if e.firstAppliedAt.IsZero() {
		e.firstAppliedAt = now
	}
	targets := e.table.Apply(cfg, now)
	e.active.Store(newActiveConfig(version, cfg, targets, e.serviceStates))
	e.log.Info("configuration applied", zap.Uint64("version", version))
}

// Version returns the active configuration version, 0 if there is none.
func (e *Entry) Version() uint64 {
	if current := e.active.Load(); current != nil {
		return current.version
	}
	return 0
}

// readinessDelayElapsed reports whether the VM has had time to probe its
// targets and to receive from its peers which of them are warm. It returns
// false if no configuration has been applied yet.
func (e *Entry) readinessDelayElapsed(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.firstAppliedAt.IsZero() && now.Sub(e.firstAppliedAt) >= readinessDelay
}

// Running returns the number of callers' requests in progress.
func (e *Entry) Running() int { return int(e.runningRequests.Load()) }

// StartDraining makes the readiness check fail and closes each connection after
// its response.
func (e *Entry) StartDraining() { e.draining.Store(true) }

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /queries/{name}", e.serveQuery)
	mux.HandleFunc("POST /requests/{name}", e.serveRequest)
	mux.HandleFunc("GET /ready", e.serveReady)
	mux.HandleFunc("/", e.serveUnknown)
	return mux
}

func (e *Entry) serveQuery(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, e.answerQuery)
}

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, e.answerNonIdempotent)
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, answer func(context.Context, query.Request, time.Time) query.Answer) {
	began := time.Now()
	e.runningRequests.Add(1)
	defer e.runningRequests.Add(-1)
	request, charge, err := readRequest(r)
	if err != nil {
		if result.CodeOf(err) == result.OverCapacity {
			w.Header().Set("Retry-After", overCapacityRetryAfter)
			// The rest of the body is not read.
			w.Header().Set("Connection", "close")
		}
		e.writeAnswer(w, query.NewRefusal(request, err), began)
		return
	}
	defer charge.Release()
	e.writeAnswer(w, answer(r.Context(), request, began), began)
}

// readRequest reads and decodes the body of a request. The error is OverCapacity if there
// is no memory for it, otherwise that of query.Decode. The charge is to be released when
// the request has been answered; it is nil after an error.
func readRequest(r *http.Request) (query.Request, *intake.Charge, error) {
	name := r.PathValue("name")
	body, charge, err := intake.ReadBody(r, query.MaxRequestBytes)
	switch {
	case errors.Is(err, intake.ErrNoMemory):
		return query.Undecoded(name), nil, result.Wrap(err, result.OverCapacity, "reading the request body")
	case errors.Is(err, intake.ErrTooLarge):
		return query.Undecoded(name), nil, result.New(result.BadRequest, "the request body is larger than %d bytes", query.MaxRequestBytes)
	case err != nil:
		return query.Undecoded(name), nil, result.Wrap(err, result.BadRequest, "reading the request body")
	}
	// The parameters of the decoded request are a copy.
	if !charge.Grow(int64(len(body))) {
		charge.Release()
		return query.Undecoded(name), nil, result.New(result.OverCapacity, "there is no memory left for the request")
	}
	request, err := query.Decode(name, body)
	if err != nil {
		charge.Release()
		return request, nil, err
	}
	return request, charge, nil
}

// serveReady answers the readiness check, by which the balancer decides whether
// to send requests to this VM.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.freshness.Freshness(e.Version(), time.Now()) == membership.Stale:
		e.writeAnswer(w, query.NewRefusal(query.Request{}, unconfirmedError()), time.Now())
	case e.draining.Load():
		e.writeAnswer(w, query.NewRefusal(query.Request{}, result.New(result.Stopping, "this VM is shutting down")), time.Now())
	case e.active.Load() == nil:
		e.writeAnswer(w, query.NewRefusal(query.Request{}, result.New(result.NoConfiguration, "this VM has no accepted configuration yet")), time.Now())
	case !e.readinessDelayElapsed(time.Now()):
		e.writeAnswer(w, query.NewRefusal(query.Request{}, result.New(result.NoTarget, "this VM is still probing its targets after its first configuration")), time.Now())
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (e *Entry) serveUnknown(w http.ResponseWriter, r *http.Request) {
	err := result.New(result.NotAllowed, "%s %s is not served; use POST /queries/NAME, POST /requests/NAME or GET /ready", r.Method, r.URL.Path)
	e.writeAnswer(w, query.NewRefusal(query.Request{}, err), time.Now())
}

// writeAnswer writes an answer to the caller. The HTTP status is derived from
// the result code, so that a client that does not interpret the codes can still
// distinguish success, refusal and an unknown outcome.
func (e *Entry) writeAnswer(w http.ResponseWriter, answer query.Answer, began time.Time) {
	e.counters.countAnswer(answer, time.Since(began))
	w.Header().Set("Content-Type", "application/json")
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(httpStatus(answer.Code()))
	if err := answer.WithVM(e.vm).Encode(w); err != nil {
		e.counters.unwrittenAnswers.Inc(1)
	}
}

func httpStatus(code result.Code) int {
	switch code {
	case result.UnknownQuery, result.NotAllowed:
		return http.StatusNotFound
	case result.BadRequest, result.DeadlineTooShort:
		return http.StatusBadRequest
	case result.OutcomeUnknown:
		return http.StatusGatewayTimeout
	case result.ClaimedBefore:
		return http.StatusOK
	}
	switch code.Class() {
	case result.ClassSuccess:
		return http.StatusOK
	case result.ClassNotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
