package target

import (
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
	"github.com/mulberrydale/mulberrydale/core/version/share"
)

// Change is a state change of a target that is sent to peers.
type Change struct {
	target  string
	startID string
	state   string
}

// Target returns the name of the leaf.
func (c Change) Target() string { return c.target }

// StartID returns the start id of the run of the leaf that changed state.
func (c Change) StartID() string { return c.startID }

// State returns the new state.
func (c Change) State() string { return c.state }

// Table holds the targets of this VM across configuration versions. A target
// that stays in the configuration keeps its state, connections and history. The
// lock order is Table.mu, Target.mu, Table.stateMachineMu.
type Table struct {
	dataCentre string

	mu      sync.Mutex
	targets map[string]*Target

	// stateMachineMu guards stateMachine and changes. It is the last lock in
	// the order and is taken while a target's lock is held.
	stateMachineMu sync.Mutex
	stateMachine   *stateMachine
	changes        []Change
}

// NewTable returns an empty table for a VM in the data centre.
func NewTable(dataCentre string) *Table {
	return &Table{
		dataCentre:   dataCentre,
		targets:      make(map[string]*Target),
		stateMachine: newStateMachine(),
	}
}

// Apply updates the table to a configuration and returns the targets of each
// service. Targets whose leaf the configuration no longer contains, and those
// that were replaced by a new target, become Gone and their idle connections
// are closed.
func (t *Table) Apply(cfg configuration.Configuration, now time.Time) map[string][]*Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := make(map[string]*Target)
	out := make(map[string][]*Target, len(cfg.Services()))
	dataCentreInService := make(map[string]bool)
	for _, dc := range cfg.DataCentres() {
		dataCentreInService[dc.Name()] = dc.InService()
	}
	for _, s := range cfg.Services() {
		for _, l := range s.Leafs() {
			target := t.findOrCreate(s, l, cfg.MaxEntryVMs(), dataCentreInService[l.DataCentre()])
			current[l.Name()] = target
			out[s.Name()] = append(out[s.Name()], target)
		}
		linkServiceTargets(out[s.Name()])
	}
	for name, target := range t.targets {
		if current[name] != target {
			target.markRemoved(now)
		}
	}
	t.targets = current
	return out
}

// inherit copies the history of a target of the same leaf that had a different
// limit of connections, because a change of limits must not make a warm target
// cold. Only old is locked, because no other goroutine can use t yet.
func (t *Target) inherit(old *Target) {
	old.mu.Lock()
	defer old.mu.Unlock()
	t.state = old.state
	t.startID = old.startID
	t.leavingStartID = old.leavingStartID
	t.reportedLoad = old.reportedLoad
	t.loadReportedAt = old.loadReportedAt
	t.snapshots = old.snapshots
	t.ramp = old.ramp
	t.suspect = old.suspect
	t.usualLatency = old.usualLatency
	t.reportedWarm = old.reportedWarm
	t.warmUpStartedAt = old.warmUpStartedAt
	t.stateChangedAt = old.stateChangedAt
	t.recentLatency.Store(old.recentLatency.Load())
	t.inferredColdUntil.Store(old.inferredColdUntil.Load())
}

// linkServiceTargets gives each target of a service the list of all of them.
// The targets share one slice.
func linkServiceTargets(targets []*Target) {
	for _, t := range targets {
		t.mu.Lock()
		t.serviceTargets = targets
		t.mu.Unlock()
	}
}

// findOrCreate returns the target of a leaf, with the limits of the service and
// the state of the data centre set. It returns a new target if the leaf is new,
// if its address or data centre has changed, or if this VM's share of the
// connections has changed. If only the share has changed, the new target
// inherits the history. The caller holds the table's lock.
func (t *Table) findOrCreate(s configuration.Service, l configuration.Leaf, maxEntryVMs int, dataCentreInService bool) *Target {
	connections := share.Connections(s.Limits().Connections(), maxEntryVMs)
	known, ok := t.targets[l.Name()]
	if !ok || known.leaf != l || known.pool.MaxConnections() != connections {
		created := &Target{
			leaf:                l,
			service:             s.Name(),
			pool:                leaf.NewPool(l.Address(), connections),
			sameDataCentre:      l.DataCentre() == t.dataCentre,
			table:               t,
			state:               Unknown,
			dataCentreReachable: true,
		}
		if ok && known.leaf == l {
			created.inherit(known)
		}
		known = created
	}
	known.mu.Lock()
	known.dataCentreInService = dataCentreInService
	known.slots = s.Limits().Slots()
	known.warmUp = s.Limits().WarmUp()
	known.coldShare = share.ColdRate(s.Limits().ColdCapacityPerSecond(), maxEntryVMs)
	known.mu.Unlock()
	return known
}

// Targets returns all targets, in no particular order.
func (t *Table) Targets() []*Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*Target, 0, len(t.targets))
	for _, target := range t.targets {
		out = append(out, target)
	}
	return out
}

// Find returns the target of the named leaf, or nil if there is none.
func (t *Table) Find(name string) *Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.targets[name]
}

// TakeChanges returns and clears the state changes since the last call, which
// are sent to the peers.
func (t *Table) TakeChanges() []Change {
	t.stateMachineMu.Lock()
	defer t.stateMachineMu.Unlock()
	out := t.changes
	t.changes = nil
	return out
}

func (t *Table) nextState(state, event string) string {
	t.stateMachineMu.Lock()
	defer t.stateMachineMu.Unlock()
	return t.stateMachine.nextState(state, event)
}

// recordChange adds a state change to those that TakeChanges returns. The
// caller holds the target's lock.
func (t *Table) recordChange(target *Target, state string) {
	t.stateMachineMu.Lock()
	defer t.stateMachineMu.Unlock()
	t.changes = append(t.changes, Change{target: target.leaf.Name(), startID: target.startID, state: state})
}

func (t *Target) markRemoved(now time.Time) {
	t.mu.Lock()
	t.transition(eventRemoved, now)
	t.mu.Unlock()
	t.pool.Close()
}
