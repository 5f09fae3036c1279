// Package placement selects the target for each request, limits the number of
// requests in flight at each target, and queues requests that must wait. It
// uses the list of targets from service discovery, the results of this VM's own
// requests and the findings of other VMs.
package placement

import (
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

const (
	// vmCountHold is how long a VM still counts among those that share the
	// targets after messages from it have stopped.
	vmCountHold = 20 * time.Second
	// defaultSlots is the number of slots, that is, of requests run at once,
	// that maxInFlight assumes for a target that does not report it.
	defaultSlots = 8
	// defaultListLag and defaultDrainTimeout are the times of targets for which the
	// platform states none.
	defaultListLag      = time.Second
	defaultDrainTimeout = 3 * time.Second
)

// Limits holds the limits that apply to all VMs together: the retry budget and
// the rate of requests to a cold target, which is one that has just started.
type Limits struct {
	extraRatio        float64
	extraSlack        float64
	extraWindow       time.Duration
	coldOverage       float64
	coldSlack         float64
	coldLimitFraction float64
}

// NewLimits returns limits for retries and cold targets. Within extraWindow,
// the number of extra attempts may be up to extraRatio times the number of
// first attempts, plus extraSlack. In any second, a cold target may receive
// coldOverage times its declared rate, plus coldSlack requests; the VMs use
// only 0.7 of this cold limit.
func NewLimits(extraRatio, extraSlack float64, extraWindow time.Duration, coldOverage, coldSlack float64) Limits {
	return Limits{extraRatio: extraRatio, extraSlack: extraSlack, extraWindow: extraWindow, coldOverage: coldOverage, coldSlack: coldSlack, coldLimitFraction: 0.7}
}

// Fleet holds the targets of all services and their state as observed by one
// VM. It is safe for concurrent use.
type Fleet struct {
	vm        string
	ownCentre string
	limits    Limits
	startedAt time.Time

	mu     sync.Mutex
	groups map[string]*group
	// latencies holds the response times of each kind of request to all services
	// together.
	latencies map[string]*latency
	byID      map[string]*Target
	departed  map[string]departed
	// list is the latest list with changes, and listReadAt when a list was last read.
	list       discovery.List
	listReadAt time.Time
	// table is the latest table of SetServices, nil before the first.
	table        *routing.Table
	times        TargetTimes
	changes      []TargetChange
	outOfService map[string]bool
	reachability map[string]*centreReachability
	// handshakes has the shortest TCP handshakes by data centre.
	handshakes map[string]*shortestHandshake
	// entryVMs is the number of VMs that share the targets, 1 while it is not known.
	entryVMs int
	// entryVMsSetAt is when SetEntryVMs last took effect, which is when entryVMs
	// VMs were last known to run.
	entryVMsSetAt time.Time
	// late holds the late responses since LateResponses was last called.
	late []lateResponse
	// enforceVersions is set if only recorded versions are used, also of services
	// without a rollout.
	enforceVersions bool
	// outOfTouch is set while no control VM can be reached.
	outOfTouch bool
	// rolloutRequests and rolloutUpdated count what TakeRolloutRequests returns.
	rolloutRequests, rolloutUpdated int64
	// bootNow returns the present time for grants of rollouts.
	bootNow func() bootclock.Time
	// fairness decides between the teams whose requests wait.
	fairness fairness
	// meanSlowness is the moving average of the slowness factors of all targets, 0 if
	// none has reported one.
	meanSlowness float64
	// slownessReports holds the targets whose slowness is reported next.
	slownessReports []*Target
	// noSlowStart is set in tests that compare.
	noSlowStart bool
}

// group holds the targets of one service, with its retry budget, response times
// and queue. It is guarded by Fleet.mu.
type group struct {
	fleet    *Fleet
	name     string
	declared routing.Service
	// routed is true while a route of the current table uses the service.
	routed    bool
	targets   []*Target
	budget    retryBudget
	latencies map[string]*latency
	queue     queue
	versions  versions
	// extraShares limits the extra attempts of each team while the budget is short.
	extraShares extraShares
	// load is the moving average of the load that the targets reported, in requests for
	// each slot, without those in slow start.
	load float64
}

// NewFleet returns a fleet without targets for a process that starts now, on
// the given VM in the given data centre.
func NewFleet(vm, centre string, limits Limits, now time.Time) *Fleet {
	return &Fleet{
		vm:           vm,
		ownCentre:    centre,
		limits:       limits,
		startedAt:    now,
		groups:       make(map[string]*group),
		latencies:    make(map[string]*latency),
		byID:         make(map[string]*Target),
		departed:     make(map[string]departed),
		times:        NewTargetTimes(defaultListLag, defaultDrainTimeout),
		outOfService: make(map[string]bool),
		reachability: make(map[string]*centreReachability),
		handshakes:   make(map[string]*shortestHandshake),
		entryVMs:     1,
		bootNow:      bootclock.Now,
		fairness:     newFairness(),
	}
}

// group returns the group of a service and creates it on first use. The caller
// holds f.mu.
func (f *Fleet) group(service string) *group {
	g := f.groups[service]
	if g == nil {
		g = &group{fleet: f, name: service, budget: newBudget(f.limits, f.startedAt), latencies: make(map[string]*latency)}
		f.groups[service] = g
	}
	return g
}

// latency returns the estimated response time of a kind of request: that of this
// service, or that of all services together while this VM has too few responses of
// this one. The caller holds g.fleet.mu.
//
// For example, where 300 VMs share the requests to 200 shards, a VM needs half a
// minute until it has enough responses of each shard to tell a slow target from a
// normal one, but its first request already gives it 200 responses of all shards.
func (g *group) latency(kind string) *latency {
	if l := g.latencies[kind]; l != nil && l.known() {
		return l
	}
	if l := g.fleet.latencies[kind]; l != nil {
		return l
	}
	return &latency{}
}

// addResponseTime records the response time of a kind of request. The caller holds
// g.fleet.mu.
func (g *group) addResponseTime(kind string, responseTime time.Duration) {
	if g.latencies[kind] == nil {
		g.latencies[kind] = newServiceLatency()
	}
	if g.fleet.latencies[kind] == nil {
		g.fleet.latencies[kind] = newPooledLatency()
	}
	g.latencies[kind].add(responseTime)
	g.fleet.latencies[kind].add(responseTime)
}

// limitShares returns the number of VMs among which a limit for all of them is divided, or
// false before it is known: this VM must then assume that the others use all of it. The
// caller holds f.mu.
func (f *Fleet) limitShares() (vms int, known bool) {
	return f.entryVMs, !f.entryVMsSetAt.IsZero()
}

// SetEntryVMs sets the number of VMs that share the targets. A number below 1
// counts as 1. A lower number than the current one is ignored until vmCountHold
// after the last call that took effect, because VMs from which no messages
// arrive may still send requests.
func (f *Fleet) SetEntryVMs(n int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n < f.entryVMs && now.Sub(f.entryVMsSetAt) < vmCountHold {
		return
	}
	f.entryVMs = max(n, 1)
	f.entryVMsSetAt = now
}

// SetTargetTimes sets the times that the platform states for all targets. It must be
// called before the first list.
func (f *Fleet) SetTargetTimes(times TargetTimes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.times = times
}

// SetServices sets the declarations of the services that the routes of a
// routing table use. The last declaration of any other service stays in effect.
// ReselectTargets must be called after it.
func (f *Fleet) SetServices(t *routing.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = t
	for _, g := range f.groups {
		g.routed = false
	}
	for _, r := range t.Routes() {
		for _, name := range r.Services() {
			if s, ok := t.Service(name); ok {
				f.group(name).declared = s
				f.group(name).routed = true
			}
		}
	}
}

// SetOutOfService sets the data centres whose targets get no requests.
func (f *Fleet) SetOutOfService(centres []string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.outOfService)
	for _, c := range centres {
		f.outOfService[c] = true
	}
	f.grantAllWaiting(now)
}

// SetTargets replaces the list of targets. It returns the addresses of targets
// that are no longer listed with their id, service, address and version, unless a listed
// target uses the address.
func (f *Fleet) SetTargets(list discovery.List, now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = list
	var removed []*Target
	listed := make(map[string]bool, len(list.Instances()))
	for _, i := range list.Select(f.declares) {
		listed[i.ID()] = true
		if replaced := f.upsert(i, list.ReadAt(), now); replaced != nil {
			removed = append(removed, replaced)
		}
	}
	for id, t := range f.byID {
		if !listed[id] {
			f.rememberDeparture(t, now)
			f.remove(t)
			removed = append(removed, t)
		}
	}
	f.listReadAt = list.ReadAt()
	f.targetsChanged(now)
	return f.unusedAddresses(removed)
}

// ReselectTargets applies the services of the latest table to the targets of which the list
// has several instances with one id. It returns addresses as SetTargets does.
func (f *Fleet) ReselectTargets(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var removed []*Target
	for _, i := range f.list.SelectAmbiguous(f.declares) {
		if f.byID[i.ID()].instance.Service() != i.Service() {
			removed = append(removed, f.upsert(i, f.listReadAt, now))
		}
	}
	if len(removed) == 0 {
		return nil
	}
	f.targetsChanged(now)
	return f.unusedAddresses(removed)
}

// declares reports whether the latest table declares a service. The caller holds f.mu.
func (f *Fleet) declares(service string) bool {
	if f.table == nil {
		return false
	}
	_, ok := f.table.Service(service)
	return ok
}

// targetsChanged updates what depends on the set of targets. The caller holds f.mu.
func (f *Fleet) targetsChanged(now time.Time) {
	for _, g := range f.groups {
		g.updateVersions()
	}
	f.grantAllWaiting(now)
}

// unusedAddresses returns the addresses of removed targets that no target uses. The caller
// holds f.mu.
func (f *Fleet) unusedAddresses(removed []*Target) []string {
	used := make(map[string]bool, len(f.byID))
	for _, t := range f.byID {
		used[t.instance.Address()] = true
	}
	var out []string
	for _, t := range removed {
		if !used[t.instance.Address()] {
			out = append(out, t.instance.Address())
		}
	}
	return out
}

// upsert adds a target or updates it. If its service, address or version has changed, it
// is replaced by a new target without history, and the old one is returned. readAt is
// when the list was read. The caller holds f.mu.
func (f *Fleet) upsert(i discovery.Instance, readAt, now time.Time) (replaced *Target) {
	t := f.byID[i.ID()]
	if t != nil && t.instance.Service() == i.Service() && t.instance.Address() == i.Address() && t.instance.Version() == i.Version() {
		t.update(i, readAt, f.listReadAt, now)
		return nil
	}
	if t != nil {
		f.remove(t)
		replaced = t
	}
	g := f.group(i.Service())
	t = newTarget(i, g, f.recallDeparture(i.ID(), i.Address()), readAt, now)
	g.targets = append(g.targets, t)
	f.byID[i.ID()] = t
	return replaced
}

// remove deletes a target from the fleet and from the group of its service, so
// that it gets no more requests. The caller holds f.mu.
func (f *Fleet) remove(t *Target) {
	t.listed = false
	delete(f.byID, t.instance.ID())
	g := t.group
	for n, other := range g.targets {
		if other == t {
			g.targets = append(g.targets[:n:n], g.targets[n+1:]...)
			return
		}
	}
}

// UsableTargets returns the number of targets of a service to which requests
// may be sent: those that are not leaving, have not asked this VM to wait, and whose data
// centre is in service and reachable. While all targets of the service are leaving,
// those count that are usable as a last resort.
func (f *Fleet) UsableTargets(service string, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, t := range f.group(service).targets {
		if f.selectable(t, now) {
			n++
		}
	}
	return n
}
