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
	// coldWindow is the time over which a cold leaf counts its load.
	coldWindow = time.Second
	// restartTime is how long a restarting leaf takes no connection.
	restartTime = 300 * time.Millisecond
	// collapse is the factor by which an overloaded cold leaf is slower.
	collapse = 10
	// requestKey is the parameter in which a caller's own id is found.
	requestKey = "caller-id"
)

// Leaf is one played target.
type Leaf struct {
	name    string
	service configuration.Service
	centre  string
	address string
	journal *Journal
	slots   chan struct{}

	mu        sync.Mutex
	rng       *rand.Rand
	behaviour behaviour
	startID   string
	starts    int
	firstAt   time.Time
	backAt    time.Time
	warmFor   time.Duration
	cold      bool
	recent    []time.Time
	waiting   int
	running   int
	health    []healthPage
	silentOld map[string]bool
	conns     map[string]bool
}

// healthPage is what the health page said from a time on.
type healthPage struct {
	at    time.Time
	state string
}

func newLeaf(declared configuration.Leaf, service configuration.Service, journal *Journal, seed uint64, warm bool) *Leaf {
	l := &Leaf{
		name:      declared.Name(),
		centre:    declared.DataCentre(),
		address:   declared.Address(),
		service:   service,
		journal:   journal,
		slots:     make(chan struct{}, service.Limits().Slots()),
		rng:       rand.New(rand.NewPCG(seed, hash(declared.Name()))),
		behaviour: newBehaviour(),
		warmFor:   service.Limits().WarmUp(),
		silentOld: make(map[string]bool),
		conns:     make(map[string]bool),
	}
	l.start(!warm, true)
	return l
}

func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// start begins a new life: a new start id, unless the turn is untold.
func (l *Leaf) start(cold, told bool) {
	if told {
		l.starts++
		l.startID = fmt.Sprintf("%s-life-%d", l.name, l.starts)
	}
	l.cold = cold
	l.firstAt = time.Time{}
	l.recent = nil
	l.behaviour.leaving = false
	l.behaviour.untold = !told
}

// away reports whether the leaf is down or restarts. The caller holds the lock.
func (l *Leaf) away(now time.Time) bool {
	return l.behaviour.down || now.Before(l.backAt)
}

// warmed ends coldness once the leaf has been warming up under work for the
// declared time. The caller holds the lock.
func (l *Leaf) warmed(now time.Time) {
	if l.cold && !l.firstAt.IsZero() && now.Sub(l.firstAt) >= l.warmFor {
		l.cold = false
	}
}

// state is the leaf's true word about itself.
func (l *Leaf) state() string {
	switch {
	case l.behaviour.leaving:
		return "leaving"
	case l.cold && !l.behaviour.untold:
		return "cold"
	}
	return "warm"
}

// ServeHTTP plays the target's interface.
func (l *Leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	silent := l.behaviour.silent || l.silentOld[r.RemoteAddr]
	away := l.away(time.Now())
	l.mu.Unlock()
	if away {
		l.cut(w, "", "dropped")
		return
	}
	if silent {
		l.beSilent(r)
		return
	}
	if r.URL.Path == "/health" {
		l.serveHealth(w)
		return
	}
	l.serveRun(w, r)
}

// beSilent holds a request without an answer until the client gives up.
func (l *Leaf) beSilent(r *http.Request) {
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
	l.warmed(now)
	l.health = append(l.health, healthPage{at: now, state: l.state()})
	state := l.health[0].state
	for len(l.health) > 1 && now.Sub(l.health[1].at) >= l.behaviour.healthLag {
		l.health = l.health[1:]
		state = l.health[0].state
	}
	if l.behaviour.healthLies {
		state = "warm"
	}
	l.reportHeaders(w.Header(), state)
	l.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// reportHeaders writes what the leaf says of itself. The caller holds the lock.
func (l *Leaf) reportHeaders(h http.Header, state string) {
	h.Set("Start-Id", l.startID)
	h.Set("State", state)
	h.Set("Snapshots", strings.Join(l.behaviour.snapshots, ","))
	if l.service.ReportsLoad() {
		h.Set("Load", strconv.Itoa(l.waiting+l.running))
	}
}

// serveRun plays one sub-request.
func (l *Leaf) serveRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxParameterBytes))
	if err != nil {
		return
	}
	began := time.Now()
	caller := callerID(body)
	snapshot, refusal := l.admit(r.Header.Get("Snapshot"))
	if refusal != "" {
		l.record(r, began, caller, snapshot, refusal, "")
		l.refuse(w, r, refusal)
		return
	}
	if !l.work(r.Context(), deadlineOf(r)) {
		l.record(r, began, caller, snapshot, Abandoned, "")
		l.refuse(w, r, Shed)
		return
	}
	l.answer(w, r, began, caller, snapshot)
}

// admit decides whether a request runs, and on which snapshot.
func (l *Leaf) admit(wanted string) (snapshot, refusal string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstAt.IsZero() {
		l.firstAt = now
	}
	l.warmed(now)
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
	l.recent = append(l.recent, now)
	for now.Sub(l.recent[0]) > coldWindow {
		l.recent = l.recent[1:]
	}
	l.waiting++
	return snapshot, ""
}

// work waits for a slot and runs. It reports false where the deadline or the
// client's leaving came before the work began.
func (l *Leaf) work(ctx context.Context, deadline time.Duration) bool {
	timer := time.NewTimer(deadline)
	defer timer.Stop()
	select {
	case l.slots <- struct{}{}:
	case <-timer.C:
		l.count(-1, 0)
		return false
	case <-ctx.Done():
		l.count(-1, 0)
		return false
	}
	l.count(-1, 1)
	time.Sleep(l.duration())
	<-l.slots
	l.count(0, -1)
	return true
}

func (l *Leaf) count(waiting, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting += waiting
	l.running += running
}

// duration draws the time of one request.
func (l *Leaf) duration() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	took := time.Duration(float64(l.behaviour.serviceTime) * (0.9 + 0.2*l.rng.Float64()))
	if l.rng.Float64() < l.behaviour.stragglerShare {
		took *= time.Duration(l.behaviour.stragglerFactor)
	}
	if l.cold && len(l.recent) > l.service.Limits().ColdCapacityPerSecond() {
		took *= collapse
	}
	return took
}
