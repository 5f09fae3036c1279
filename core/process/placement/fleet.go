// Package placement decides which target gets a request, how many at once,
// and which request waits: from what the list of targets says and what the
// requests of this VM have shown.
package placement

import (
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

const (
	// fewerAfter is how long VMs count that are not heard any more.
	fewerAfter = 20 * time.Second
	// defaultSlots is assumed of a target that does not tell its slots.
	defaultSlots = 8
)

// Limits are the bounds that all VMs keep to together.
type Limits struct {
	extraRatio   float64
	extraSlack   float64
	extraWindow  time.Duration
	coldOverage  float64
	coldSlack    float64
	coldHeadroom float64
}

// NewLimits returns the bounds: further sends against first ones within
// a window with a slack on top, and how far a cold target's rate may be exceeded for a second.
func NewLimits(extraRatio, extraSlack float64, extraWindow time.Duration, coldOverage, coldSlack float64) Limits {
	return Limits{extraRatio: extraRatio, extraSlack: extraSlack, extraWindow: extraWindow, coldOverage: coldOverage, coldSlack: coldSlack, coldHeadroom: 0.7}
}

// Fleet is the targets of all services. It is safe for concurrent use.
type Fleet struct {
	vm     string
	centre string
	limits Limits
	began  time.Time

	mu       sync.Mutex
	groups   map[string]*group
	byID     map[string]*Target
	out      map[string]bool
	centres  map[string]*way
	entryVMs int
	// entryVMsAt is when at least as many were last heard.
	entryVMsAt time.Time
}

// group is the targets of one service. The fleet's lock guards it.
type group struct {
	fleet     *Fleet
	name      string
	declared  routing.Service
	targets   []*Target
	budget    budget
	latencies map[string]*latency
	queue     queue
}

// NewFleet returns a fleet without targets for a VM in a data centre, whose
// process starts now.
func NewFleet(vm, centre string, limits Limits, now time.Time) *Fleet {
	return &Fleet{
		vm:       vm,
		centre:   centre,
		limits:   limits,
		began:    now,
		groups:   make(map[string]*group),
		byID:     make(map[string]*Target),
		out:      make(map[string]bool),
		centres:  make(map[string]*way),
		entryVMs: 1,
	}
}

// group returns the targets of a service. The caller holds the lock.
func (f *Fleet) group(service string) *group {
	g := f.groups[service]
	if g == nil {
		g = &group{fleet: f, name: service, budget: newBudget(f.limits, f.began), latencies: make(map[string]*latency)}
		f.groups[service] = g
	}
	return g
}

func (g *group) latency(kind string) *latency {
	l := g.latencies[kind]
	if l == nil {
		l = &latency{}
		g.latencies[kind] = l
	}
	return l
}

// coldLimit returns the requests that this VM may send a cold target within
// a second, -1 for no limit.
func (g *group) coldLimit() int {
	rate := g.declared.ColdRate()
	if rate <= 0 {
		return -1
	}
	l := g.fleet.limits
	all := (rate*l.coldOverage + l.coldSlack) * l.coldHeadroom
	// A second of this VM's clock may lie across two of whoever counts.
	return max(1, int(all/float64(g.fleet.entryVMs)/2))
}

// SetEntryVMs takes over the number of VMs that share the targets. Fewer count
// only after a while: those that are not heard may still send.
func (f *Fleet) SetEntryVMs(n int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n < f.entryVMs && now.Sub(f.entryVMsAt) < fewerAfter {
		return
	}
	f.entryVMs = max(n, 1)
	f.entryVMsAt = now
}

// SetServices takes over the declared services.
func (f *Fleet) SetServices(t *routing.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range t.Routes() {
		for _, name := range r.Services() {
			if s, ok := t.Service(name); ok {
				f.group(name).declared = s
			}
		}
	}
}

// SetOut takes over the data centres that get nothing.
func (f *Fleet) SetOut(centres []string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.out)
	for _, c := range centres {
		f.out[c] = true
	}
	f.handOverAll(now)
}

// SetTargets takes over a list of targets and returns the addresses that no
// listed target has any more.
func (f *Fleet) SetTargets(list discovery.List, now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(list.Instances()))
	addresses := make(map[string]bool, len(list.Instances()))
	for _, i := range list.Instances() {
		listed[i.ID()] = true
		addresses[i.Address()] = true
		f.set(i, now)
	}
	var gone []string
	for id, t := range f.byID {
		if listed[id] {
			continue
		}
		t.listed = false
		f.remove(t)
		if !addresses[t.instance.Address()] {
			gone = append(gone, t.instance.Address())
		}
	}
	f.handOverAll(now)
	return gone
}

func (f *Fleet) set(i discovery.Instance, now time.Time) {
	t := f.byID[i.ID()]
	if t != nil && (t.instance.Service() != i.Service() || t.instance.Address() != i.Address()) {
		t.listed = false
		f.remove(t)
		t = nil
	}
	if t != nil {
		t.update(i, now)
		return
	}
	g := f.group(i.Service())
	t = newTarget(i, g, now)
	g.targets = append(g.targets, t)
	f.byID[i.ID()] = t
}

func (f *Fleet) remove(t *Target) {
	delete(f.byID, t.instance.ID())
	g := t.group
	for n, other := range g.targets {
		if other == t {
			g.targets = append(g.targets[:n:n], g.targets[n+1:]...)
			return
		}
	}
}

// Usable returns the number of targets of a service that may get requests.
func (f *Fleet) Usable(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, t := range f.group(service).targets {
		if !t.leaving && !f.out[t.instance.DataCentre()] && !f.cut(t.instance.DataCentre()) {
			n++
		}
	}
	return n
}
