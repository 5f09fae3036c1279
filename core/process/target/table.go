package target

import (
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
	"github.com/mulberrydale/mulberrydale/core/version/share"
)

// Change is a step of a target's state machine.
type Change struct {
	target  string
	startID string
	state   string
}

// Target returns the name of the leaf.
func (c Change) Target() string { return c.target }

// StartID returns the life of the leaf that the change is about.
func (c Change) StartID() string { return c.startID }

// State returns the new state.
func (c Change) State() string { return c.state }

// Table holds the targets of this VM across configuration versions. A target
// that stays in the configuration keeps its state, connections and history.
type Table struct {
	dataCentre string

	mu      sync.Mutex
	targets map[string]*Target

	// machineMu guards machine and changes; it is taken last, under a
	// target's lock.
	machineMu sync.Mutex
	machine   *machine
	changes   []Change
}

// NewTable returns an empty table for a VM of the data centre.
func NewTable(dataCentre string) *Table {
	return &Table{
		dataCentre: dataCentre,
		targets:    make(map[string]*Target),
		machine:    newMachine(),
	}
}

// Apply makes the table follow a configuration and returns the targets of each
// service. Targets that are declared no more are gone and their idle
// connections closed.
func (t *Table) Apply(cfg configuration.Configuration, now time.Time) map[string][]*Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	keep := make(map[string]*Target)
	out := make(map[string][]*Target, len(cfg.Services()))
	inService := make(map[string]bool)
	for _, dc := range cfg.DataCentres() {
		inService[dc.Name()] = dc.InService()
	}
	for _, s := range cfg.Services() {
		for _, l := range s.Leafs() {
			target := t.target(s, l, cfg.EntryVMs(), inService[l.DataCentre()])
			keep[l.Name()] = target
			out[s.Name()] = append(out[s.Name()], target)
		}
		acquaint(out[s.Name()])
	}
	for name, target := range t.targets {
		if keep[name] != target {
			target.remove(now)
		}
	}
	t.targets = keep
	return out
}

// inherit takes over what is known of the same leaf from a target whose share
// of connections was another: a change of limits must not make it cold.
func (t *Target) inherit(old *Target) {
	old.mu.Lock()
	defer old.mu.Unlock()
	t.state = old.state
	t.startID = old.startID
	t.leftID = old.leftID
	t.load = old.load
	t.loadAt = old.loadAt
	t.snapshots = old.snapshots
	t.ramp = old.ramp
	t.suspect = old.suspect
	t.usual = old.usual
	t.saysWarm = old.saysWarm
	t.bornAt = old.bornAt
	t.changedAt = old.changedAt
	t.recent.Store(old.recent.Load())
	t.doubtedUntil.Store(old.doubtedUntil.Load())
}

// acquaint tells each target of a service which targets there are. They share
// one list.
func acquaint(group []*Target) {
	for _, t := range group {
		t.mu.Lock()
		t.group = group
		t.mu.Unlock()
	}
}

// target returns the known target of a leaf, or a new one where the leaf is
// new or has moved. The caller holds the lock.
func (t *Table) target(s configuration.Service, l configuration.Leaf, entryVMs int, inService bool) *Target {
	connections := share.Connections(s.Limits().Connections(), entryVMs)
	known, ok := t.targets[l.Name()]
	if !ok || known.leaf != l || known.pool.MaxConnections() != connections {
		fresh := &Target{
			leaf:    l,
			service: s.Name(),
			pool:    leaf.NewPool(l.Address(), connections),
			local:   l.DataCentre() == t.dataCentre,
			table:   t,
			state:   Unknown,
			heard:   true,
		}
		if ok && known.leaf == l {
			fresh.inherit(known)
		}
		known = fresh
	}
	known.mu.Lock()
	known.inService = inService
	known.slots = s.Limits().Slots()
	known.warmUp = s.Limits().WarmUp()
	known.coldShare = share.Cold(s.Limits().ColdPerSecond(), entryVMs)
	known.mu.Unlock()
	return known
}

// Targets returns all targets.
func (t *Table) Targets() []*Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*Target, 0, len(t.targets))
	for _, target := range t.targets {
		out = append(out, target)
	}
	return out
}

// Find returns the target of the name, or nil.
func (t *Table) Find(name string) *Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.targets[name]
}

// TakeChanges returns the steps since the last call, for the peers.
func (t *Table) TakeChanges() []Change {
	t.machineMu.Lock()
	defer t.machineMu.Unlock()
	out := t.changes
	t.changes = nil
	return out
}

func (t *Table) after(state, event string) string {
	t.machineMu.Lock()
	defer t.machineMu.Unlock()
	return t.machine.after(state, event)
}

// changed notes a step; the caller holds the target's lock.
func (t *Table) changed(target *Target, state string) {
	t.machineMu.Lock()
	defer t.machineMu.Unlock()
	t.changes = append(t.changes, Change{target: target.leaf.Name(), startID: target.startID, state: state})
}

func (t *Target) remove(now time.Time) {
	t.mu.Lock()
	t.move(eventRemoved, now)
	t.mu.Unlock()
	t.pool.Close()
}
