package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

const (
	// queuePerSlot is the number of requests per slot that may wait before a
	// leaf sheds load.
	queuePerSlot = 8
	// maxParameterBytes bounds the part of a request body that a leaf reads.
	maxParameterBytes = 1 << 20
	// oversizedBytes is a result length that no client should accept.
	oversizedBytes = 2 << 20
	// coldRateWindow is the period over which a leaf counts its admitted
	// sub-requests, for comparison with the cold capacity per second.
	coldRateWindow = time.Second
	// restartTime is how long a restarting leaf accepts no connections.
	restartTime = 300 * time.Millisecond
	// coldOverloadFactor is the factor by which requests take longer on a cold
	// leaf that gets more requests than its cold capacity.
	coldOverloadFactor = 10
	// callerIDKey is the parameter in which a caller sends its id.
	callerIDKey = "caller-id"
)

// Leaf is the fake target that stands in for one leaf of the configuration.
type Leaf struct {
	name       string
	service    configuration.Service
	dataCentre string
	address    string
	journal    *Journal
	slots      chan struct{}

	mu        sync.Mutex
	rng       *rand.Rand
	behaviour behaviour
	startID   string
	starts    int
	// firstRequestAt is when the first sub-request since the last start arrived.
	// It is zero before that.
	firstRequestAt   time.Time
	unavailableUntil time.Time
	warmUpTime       time.Duration
	cold             bool
	// admittedAt holds the times of the sub-requests that were admitted within
	// the coldRateWindow that ended with the last admission.
	admittedAt []time.Time
	waiting    int
	running    int
	// healthHistory holds the states at past health checks, oldest first.
	healthHistory []healthState
	// openConns holds the remote addresses of the open connections, and
	// silencedConns those of the connections on which the leaf never answers.
	silencedConns map[string]bool
	openConns     map[string]bool
}

// healthState is the state of a leaf at the time of a health check.
type healthState struct {
	at    time.Time
	state string
}

func newLeaf(declared configuration.Leaf, service configuration.Service, journal *Journal, seed uint64, warm bool) *Leaf {
	l := &Leaf{
		name:          declared.Name(),
		dataCentre:    declared.DataCentre(),
		address:       declared.Address(),
		service:       service,
		journal:       journal,
		slots:         make(chan struct{}, service.Limits().Slots()),
		rng:           rand.New(rand.NewPCG(seed, fnv1a(declared.Name()))),
		behaviour:     newBehaviour(),
		warmUpTime:    service.Limits().WarmUp(),
		silencedConns: make(map[string]bool),
		openConns:     make(map[string]bool),
	}
	l.start(!warm, true)
	return l
}

// fnv1a returns the 64-bit FNV-1a hash of s.
func fnv1a(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// start simulates a start of the leaf's process, after which the leaf is cold or
// warm. If the start is not reported, the leaf keeps its start id and reports
// the state warm even while it is cold. The caller holds l.mu.
func (l *Leaf) start(cold, reported bool) {
	if reported {
		l.starts++
		l.startID = fmt.Sprintf("%s-life-%d", l.name, l.starts)
	}
	l.cold = cold
	l.firstRequestAt = time.Time{}
	l.admittedAt = nil
	l.behaviour.leaving = false
	l.behaviour.coldUnreported = !reported
}

// unavailable reports whether the leaf is down or restarting. The caller holds
// l.mu.
func (l *Leaf) unavailable(now time.Time) bool {
	return l.behaviour.down || now.Before(l.unavailableUntil)
}

// updateCold clears cold once the declared warm-up time has passed since the
// first request. The caller holds l.mu.
func (l *Leaf) updateCold(now time.Time) {
	if l.cold && !l.firstRequestAt.IsZero() && now.Sub(l.firstRequestAt) >= l.warmUpTime {
		l.cold = false
	}
}

// reportedState returns the state that the leaf reports in its responses:
// leaving, cold or warm. The caller holds l.mu.
func (l *Leaf) reportedState() string {
	switch {
	case l.behaviour.leaving:
		return "leaving"
	case l.cold && !l.behaviour.coldUnreported:
		return "cold"
	}
	return "warm"
}

// ServeHTTP implements the interface of a target: the health check at /health,
// and sub-requests at all other paths.
func (l *Leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	silent := l.behaviour.silent || l.silencedConns[r.RemoteAddr]
	unavailable := l.unavailable(time.Now())
	l.mu.Unlock()
	if unavailable {
		l.closeConn(w, "", "dropped")
		return
	}
	if silent {
		l.hang(r)
		return
	}
	if r.URL.Path == "/health" {
		l.serveHealth(w)
		return
	}
	l.serveSubRequest(w, r)
}

// hang keeps a request open without an answer until the client disconnects. Only
// requests below /run/ are recorded in the journal, with the outcome Silenced.
func (l *Leaf) hang(r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/run/") {
		l.record(r, time.Now(), "", "", Silenced, "silent")
	}
	// The server detects that the client has disconnected only after the body
	// was read.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxParameterBytes))
	<-r.Context().Done()
}

// serveHealth reports the latest state that is at least healthLag old, or the
// oldest known state if there is none. With healthLies it always reports warm.
func (l *Leaf) serveHealth(w http.ResponseWriter) {
	now := time.Now()
	l.mu.Lock()
	l.updateCold(now)
	l.healthHistory = append(l.healthHistory, healthState{at: now, state: l.reportedState()})
	state := l.healthHistory[0].state
	for len(l.healthHistory) > 1 && now.Sub(l.healthHistory[1].at) >= l.behaviour.healthLag {
		l.healthHistory = l.healthHistory[1:]
		state = l.healthHistory[0].state
	}
	if l.behaviour.healthLies {
		state = "warm"
	}
	l.setStatusHeaders(w.Header(), state)
	l.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// setStatusHeaders sets the headers in which the leaf reports its start id, its
// state, its snapshots and, if the service declares it, its load. The caller
// holds l.mu.
func (l *Leaf) setStatusHeaders(h http.Header, state string) {
	h.Set("Start-Id", l.startID)
	h.Set("State", state)
	h.Set("Snapshots", strings.Join(l.behaviour.snapshots, ","))
	if l.service.ReportsLoad() {
		h.Set("Load", strconv.Itoa(l.waiting+l.running))
	}
}

// serveSubRequest executes or refuses one sub-request.
func (l *Leaf) serveSubRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxParameterBytes))
	if err != nil {
		return
	}
	arrivedAt := time.Now()
	caller := callerID(body)
	snapshot, refusal := l.admit(r.Header.Get("Snapshot"))
	if refusal != "" {
		l.record(r, arrivedAt, caller, snapshot, refusal, "")
		l.refuse(w, r, refusal)
		return
	}
	if !l.execute(r.Context(), deadline(r)) {
		l.record(r, arrivedAt, caller, snapshot, Abandoned, "")
		l.refuse(w, r, Shed)
		return
	}
	l.respond(w, r, arrivedAt, caller, snapshot)
}

// admit decides whether a sub-request is executed, and on which snapshot: the
// wanted one if the leaf holds it, otherwise the latest one. The refusal is the
// outcome for the journal, or "" if the sub-request is admitted. For a refused
// sub-request the returned snapshot is the wanted one.
func (l *Leaf) admit(wanted string) (snapshot, refusal string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstRequestAt.IsZero() {
		l.firstRequestAt = now
	}
	l.updateCold(now)
	held := l.behaviour.snapshots
	snapshot = held[len(held)-1]
	for _, name := range held {
		if name == wanted {
			snapshot = name
		}
	}
	switch {
	case l.behaviour.leaving:
		return wanted, RefusedLeaving
	case wanted != "" && snapshot != wanted && !l.behaviour.ignoresPin:
		return wanted, RefusedSnapshot
	case l.behaviour.shedding, l.waiting >= queuePerSlot*cap(l.slots):
		return wanted, Shed
	}
	l.admittedAt = append(l.admittedAt, now)
	for now.Sub(l.admittedAt[0]) > coldRateWindow {
		l.admittedAt = l.admittedAt[1:]
	}
	l.waiting++
	return snapshot, ""
}

// execute waits for a slot and then occupies it for the service time. It
// reports false if the deadline passed or the client disconnected before a slot
// was free.
func (l *Leaf) execute(ctx context.Context, deadline time.Duration) bool {
	timer := time.NewTimer(deadline)
	defer timer.Stop()
	select {
	case l.slots <- struct{}{}:
	case <-timer.C:
		l.addLoad(-1, 0)
		return false
	case <-ctx.Done():
		l.addLoad(-1, 0)
		return false
	}
	l.addLoad(-1, 1)
	time.Sleep(l.drawServiceTime())
	<-l.slots
	l.addLoad(0, -1)
	return true
}

// addLoad adds to the numbers of waiting and running sub-requests.
func (l *Leaf) addLoad(waiting, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting += waiting
	l.running += running
}

// drawServiceTime returns a random service time: within 10% of the configured
// one, longer for stragglers and for requests on an overloaded cold leaf.
func (l *Leaf) drawServiceTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	serviceTime := time.Duration(float64(l.behaviour.serviceTime) * (0.9 + 0.2*l.rng.Float64()))
	if l.rng.Float64() < l.behaviour.stragglerShare {
		serviceTime *= time.Duration(l.behaviour.stragglerFactor)
	}
	if l.cold && len(l.admittedAt) > l.service.Limits().ColdCapacityPerSecond() {
		serviceTime *= coldOverloadFactor
	}
	return serviceTime
}
