// Package entry is the role that answers callers: it plans each query, fans it
// out to targets, merges and labels the answer. Decisions are made by the
// packages of core/request; this one drives them.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mulberrydale/mulberrydale/core/process/membership"
	"github.com/mulberrydale/mulberrydale/core/process/target"
	"github.com/mulberrydale/mulberrydale/core/request/hedge"
	"github.com/mulberrydale/mulberrydale/core/request/query"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// Entry is the entry role of one process. The lock order is Entry.mu, then the
// table of targets, then a target.
type Entry struct {
	vm       string
	idPrefix string
	idCount  atomic.Uint64
	log      *zap.Logger
	table    *target.Table
	claimer  Claimer
	gate     Gate
	workers  *workers
	counters *counters
	hedges   *hedge.Budget
	running  atomic.Int64
	leaving  atomic.Bool
	serving  atomic.Pointer[serving]

	mu        sync.Mutex
	histories map[string]history
	// firstAt is when the first configuration came into force.
	firstAt time.Time
}

// settleFirst is the time between the first configuration of a process and
// its being ready.
const settleFirst = time.Second

// New returns an entry role without a configuration. The start id tells the
// lives of the process apart, so that ids of sub-requests are never used twice.
func New(vm, startID string, table *target.Table, claimer Claimer, gate Gate, scope tally.Scope, log *zap.Logger) *Entry {
	return &Entry{
		vm:        vm,
		idPrefix:  vm + "-" + startID + "-",
		log:       log,
		table:     table,
		claimer:   claimer,
		gate:      gate,
		workers:   newWorkers(),
		hedges:    hedge.NewHedges(),
		counters:  newCounters(scope),
		histories: make(map[string]history),
	}
}

// Apply puts a configuration version in force for the queries that start from
// now on. A version that is not newer changes nothing.
func (e *Entry) Apply(version uint64, cfg configuration.Configuration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if current := e.serving.Load(); current != nil && current.version >= version {
		return
	}
	if e.firstAt.IsZero() {
		e.firstAt = now
	}
	targets := e.table.Apply(cfg, now)
	e.serving.Store(newServing(version, cfg, targets, e.histories))
	e.log.Info("configuration in force", zap.Uint64("version", version))
}

// Version returns the configuration version in force, 0 for none.
func (e *Entry) Version() uint64 {
	if current := e.serving.Load(); current != nil {
		return current.version
	}
	return 0
}

// settled reports whether the VM has had time to probe its targets and to hear
// from its peers which of them are warm.
func (e *Entry) settled(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.firstAt.IsZero() && now.Sub(e.firstAt) >= settleFirst
}

// Running returns the number of callers' requests that run now.
func (e *Entry) Running() int { return int(e.running.Load()) }

// Leave makes readiness fail and closes each connection after its response.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Handler returns the callers' interface.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /queries/{name}", e.serveQuery)
	mux.HandleFunc("POST /requests/{name}", e.serveRequest)
	mux.HandleFunc("GET /ready", e.serveReady)
	mux.HandleFunc("/", e.serveOther)
	return mux
}

func (e *Entry) serveQuery(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, e.answerQuery)
}

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, e.answerOnce)
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, answer func(context.Context, query.Request, time.Time) query.Answer) {
	began := time.Now()
	e.running.Add(1)
	defer e.running.Add(-1)
	request, err := query.Decode(r.PathValue("name"), r.Body)
	if err != nil {
		e.give(w, query.NewRefusal(request, err), began)
		return
	}
	e.give(w, answer(r.Context(), request, began), began)
}

// serveReady tells the balancer whether to send requests here.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.gate.Freshness(e.Version(), time.Now()) == membership.Stale:
		e.give(w, query.NewRefusal(query.Request{}, unconfirmed()), time.Now())
	case e.leaving.Load():
		e.give(w, query.NewRefusal(query.Request{}, result.New(result.Stopping, "this VM is leaving")), time.Now())
	case e.serving.Load() == nil:
		e.give(w, query.NewRefusal(query.Request{}, result.New(result.NoConfiguration, "this VM has no accepted configuration yet")), time.Now())
	case !e.settled(time.Now()):
		e.give(w, query.NewRefusal(query.Request{}, result.New(result.NoTarget, "this VM does not know its targets yet")), time.Now())
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (e *Entry) serveOther(w http.ResponseWriter, r *http.Request) {
	err := result.New(result.NotAllowed, "%s %s is not served; use POST /queries/NAME, POST /requests/NAME or GET /ready", r.Method, r.URL.Path)
	e.give(w, query.NewRefusal(query.Request{}, err), time.Now())
}

// give writes an answer. The status follows the code, so that a client that
// knows no codes still sees success, refusal and doubt.
func (e *Entry) give(w http.ResponseWriter, answer query.Answer, began time.Time) {
	e.counters.gave(answer, time.Since(began))
	w.Header().Set("Content-Type", "application/json")
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(statusOf(answer.Code()))
	if err := answer.From(e.vm).Encode(w); err != nil {
		e.counters.unwritten.Inc(1)
	}
}

func statusOf(code result.Code) int {
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
