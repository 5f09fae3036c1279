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
	// queuePerSlot is how many requests wait for each slot before a leaf sheds.
	queuePerSlot = 8
	// maxParameterBytes bounds what a leaf reads.
	maxParameterBytes = 1 << 20
	// oversizedBytes is the length of a result that no client should accept.
	oversizedBytes = 2 << 20
	// coldRateWindow is the time over which a cold leaf counts its load.
	coldRateWindow = time.Second
	// restartTime is how long a restarting leaf takes no connection.
	restartTime = 300 * time.Millisecond
	// coldOverloadFactor is the factor by which an overloaded cold leaf is slower.
	coldOverloadFactor = 10
	// callerIDKey is the parameter in which a caller's own id is found.
	callerIDKey = "caller-id"
)

// Leaf is one played target.
type Leaf struct {
	name       string
	service    configuration.Service
	dataCentre string
	address    string
	journal    *Journal
	slots      chan struct{}

	mu               sync.Mutex
	rng              *rand.Rand
	behaviour        behaviour
	startID          string
	starts           int
	firstRequestAt   time.Time
	unavailableUntil time.Time
	warmUpTime       time.Duration
	cold             bool
	admittedAt       []time.Time
	waiting          int
	running          int
	healthHistory    []healthState
	silencedConns    map[string]bool
	openConns        map[string]bool
}

// healthState is what the health page said from a time on.
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

func fnv1a(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// start begins a new life: a new start id, unless the turn is untold.
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

// unavailable reports whether the leaf is down or restarts. The caller holds the lock.
func (l *Leaf) unavailable(now time.Time) bool {
	return l.behaviour.down || now.Before(l.unavailableUntil)
}

// updateCold ends coldness once the leaf has been warming up under work for the
// declared time. The caller holds the lock.
func (l *Leaf) updateCold(now time.Time) {
	if l.cold && !l.firstRequestAt.IsZero() && now.Sub(l.firstRequestAt) >= l.warmUpTime {
		l.cold = false
	}
}

// reportedState is the leaf's true word about itself.
func (l *Leaf) reportedState() string {
	switch {
	case l.behaviour.leaving:
		return "leaving"
	case l.cold && !l.behaviour.coldUnreported:
		return "cold"
	}
	return "warm"
}

// ServeHTTP plays the target's interface.
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

// hang holds a request without an answer until the client gives up.
func (l *Leaf) hang(r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/run/") {
		l.record(r, time.Now(), "", "", Silenced, "silent")
	}
	// Reading the body lets the server notice that the client has gone.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxParameterBytes))
	<-r.Context().Done()
}

// serveHealth says what was true healthLag ago, or the opposite of the truth.
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

// setStatusHeaders writes what the leaf says of itself. The caller holds the lock.
func (l *Leaf) setStatusHeaders(h http.Header, state string) {
	h.Set("Start-Id", l.startID)
	h.Set("State", state)
	h.Set("Snapshots", strings.Join(l.behaviour.snapshots, ","))
	if l.service.ReportsLoad() {
		h.Set("Load", strconv.Itoa(l.waiting+l.running))
	}
}

// serveSubRequest plays one sub-request.
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

// admit decides whether a request runs, and on which snapshot.
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

// execute waits for a slot and runs. It reports false where the deadline or the
// client's leaving came before the work began.
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

func (l *Leaf) addLoad(waiting, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting += waiting
	l.running += running
}

// drawServiceTime draws the time of one request.
func (l *Leaf) drawServiceTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	serviceTime := time.Duration(float64(l.behaviour.serviceTime) * (0.9 + 0.2*l.rng.Float64()))
	if l.rng.Float64() < l.behaviour.stragglerShare {
		serviceTime *= time.Duration(l.behaviour.stragglerFactor)
	}
	if l.cold && len(l.admittedAt) > l.service.Limits().ColdPerSecond() {
		serviceTime *= coldOverloadFactor
	}
	return serviceTime
}
