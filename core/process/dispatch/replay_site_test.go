package dispatch

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// The replays of a site run the dispatchers of 79 VMs in three data centres on a simulated
// clock. Links, connections, queues and the noise of the targets' machines are simulated;
// the processor time of the VMs is not.
const (
	siteVMs         = 79
	siteCentres     = 3
	siteShards      = 36
	siteReplicas    = 3
	siteSlots       = 2
	siteConnections = 72
	siteDuration    = 11 * time.Second
	siteWarmUp      = 4 * time.Second
	localLink       = 200 * time.Microsecond
	connectionCost  = 6 * time.Millisecond
	targetIdle      = 7500 * time.Millisecond
	requestBytes    = 450
	responseBytes   = 900
	connectionBytes = 400
	normalSpell     = 3400 * time.Millisecond
	slowSpell       = 600 * time.Millisecond
	slowSpellFactor = 2.5
	sitePause       = 120 * time.Millisecond
	sitePausePeriod = 10 * time.Second
	siteWindow      = time.Second
	seriesBin       = 500 * time.Millisecond
	urgentShare     = 0.6
	urgentRoute     = "urgent"
	thoroughRoute   = "thorough"
	callerTime      = 6 * time.Millisecond
)

// site describes a replay.
type site struct {
	// link is the one-way delay between two data centres.
	link time.Duration
	// rate is the number of queries a second, swing the part by which the demand of a data
	// centre changes, and period that of the change. The waves reach the data centres one
	// after another.
	rate   float64
	swing  float64
	period time.Duration
	// uneven gives the data centres unequal numbers of targets, noisy makes targets slow
	// in spells, and figures lets them report it.
	uneven  bool
	noisy   bool
	figures bool
	// sharing is the interval at which the VMs of a data centre report the slowness of
	// targets, 0 if they don't.
	sharing time.Duration
	// duration is siteDuration if 0.
	duration time.Duration
}

func centreName(n int) string { return fmt.Sprintf("dc-%d", n%siteCentres) }

// centreOf returns the data centre of a target. With uneven numbers a third of the shards
// has one target in each, and the others two in one, one in another and none in the third.
func (s site) centreOf(shard, replica int) string {
	if !s.uneven || shard%3 == 0 {
		return centreName(replica)
	}
	return centreName([][]int{{0, 0, 1}, {0, 1, 1}}[shard%3-1][replica])
}

func (s site) length() time.Duration {
	if s.duration > 0 {
		return s.duration
	}
	return siteDuration
}

// siteTarget is a simulated target of a site.
type siteTarget struct {
	simTarget
	centre string
	site   site
	// changeAt is when the machine becomes slow, or normal again.
	slow     bool
	changeAt time.Time
}

// factor returns by what factor work takes longer now. The caller holds mu.
func (t *siteTarget) factor(now time.Time) float64 {
	if !t.site.noisy {
		return 1
	}
	for !now.Before(t.changeAt) {
		mean := normalSpell
		if t.slow = !t.slow; t.slow {
			mean = slowSpell
		}
		t.changeAt = t.changeAt.Add(time.Duration(t.rng.ExpFloat64() * float64(mean)))
	}
	if t.slow {
		return slowSpellFactor
	}
	return 1
}

// serve runs work in one of the slots and returns the load, or false if the queue is full.
func (t *siteTarget) serve(work time.Duration) (relay.Load, bool) {
	t.mu.Lock()
	if len(t.waiting) >= maxTargetQueue {
		defer t.mu.Unlock()
		return relay.NewLoad(t.running, len(t.waiting)), false
	}
	if t.running >= siteSlots {
		slot := make(chan struct{})
		t.waiting = append(t.waiting, slot)
		t.mu.Unlock()
		<-slot
		t.mu.Lock()
	} else {
		t.running++
	}
	now := time.Now()
	work = time.Duration(float64(work) * (0.6 + 0.8*t.rng.Float64()) * t.factor(now))
	if since := (now.Sub(t.startedAt) + t.pausePhase) % sitePausePeriod; since < sitePause {
		work += sitePause - since
	}
	t.mu.Unlock()
	time.Sleep(work)
	t.mu.Lock()
	defer t.mu.Unlock()
	load := relay.NewLoad(t.running-1, len(t.waiting))
	if t.site.figures {
		load = load.WithSlowness(100 * t.factor(time.Now()))
	}
	if len(t.waiting) > 0 {
		close(t.waiting[0])
		t.waiting = t.waiting[1:]
	} else {
		t.running--
	}
	return load, true
}

// siteRun is a replay that runs.
type siteRun struct {
	site      site
	rng       *rand.Rand
	vms       []*siteVM
	stats     *siteStats
	wg        sync.WaitGroup
	exchanges []*slownessExchange
}

// siteRoutes returns the routes of a site, with the objectives less the time that callers
// and the processors of the VMs take.
func siteRoutes() []routing.Route {
	var shards []string
	for n := range siteShards {
		shards = append(shards, shardName(n))
	}
	urgent := routing.NewRoute(urgentRoute, "h", "/"+urgentRoute).WithTimeoutAndObjective(400*time.Millisecond, 80*time.Millisecond).
		WithMaxAttempts(2).WithShards(shards, 20, 0.85)
	thorough := routing.NewRoute(thoroughRoute, "h", "/"+thoroughRoute).WithTimeoutAndObjective(900*time.Millisecond, 250*time.Millisecond).
		WithMaxAttempts(2).WithShards(shards, 20, 0.95).WithPriority(1)
	return []routing.Route{urgent, thorough}
}

// newSiteRun returns a replay with the VMs and targets of a site.
func newSiteRun(s site, seed uint64) *siteRun {
	now := time.Now()
	r := &siteRun{site: s, rng: rand.New(rand.NewPCG(seed, 11)), stats: &siteStats{startedAt: now, open: make(map[string]int), kinds: make(map[string]*kindStats), windows: make(map[int]*kindStats)}}
	targets, addresses := make(map[string]*siteTarget), make(map[string]*siteTarget)
	var instances []discovery.Instance
	var services []routing.Service
	for shard := range siteShards {
		services = append(services, routing.NewService(shardName(shard), "").WithMaxConnections(siteConnections))
		for replica := range siteReplicas {
			id := fmt.Sprintf("i-%d-%d", shard, replica)
			t := &siteTarget{site: s, centre: s.centreOf(shard, replica), slow: r.rng.Float64() < 0.15, changeAt: now.Add(time.Duration(r.rng.ExpFloat64() * float64(slowSpell)))}
			t.id, t.startedAt, t.rng = id, now, rand.New(rand.NewPCG(seed, uint64(shard*10+replica)))
			t.pausePhase = time.Duration(r.rng.Int64N(int64(sitePausePeriod)))
			targets[id], addresses[fmt.Sprintf("10.0.%d.%d:1", shard, replica)] = t, t
			instances = append(instances, discovery.NewInstance(id, shardName(shard), fmt.Sprintf("10.0.%d.%d:1", shard, replica), t.centre, siteSlots))
		}
	}
	table := routing.NewTable(1, siteRoutes(), services, routing.Limits{})
	for n := range siteVMs {
		v := &siteVM{centre: centreName(n), targets: targets, addresses: addresses, stats: r.stats, link: s.link, idle: make(map[string][]idleConn), sent: make(map[string]bool)}
		v.fleet = placement.NewFleet(fmt.Sprintf("vm-%d", n), v.centre, placement.NewLimits(0.2, slackPerVM*siteVMs, 10*time.Second, 1.5, 5), now.Add(-time.Minute))
		v.fleet.SetEntryVMs(siteVMs, now)
		v.dispatcher = New(v.fleet, v)
		v.dispatcher.SetTable(table)
		v.fleet.SetTargets(discovery.NewList(instances, 1, now), now)
		r.vms = append(r.vms, v)
	}
	return r
}

// demand returns the factor by which the demand of a data centre differs from the mean.
func (s site) demand(centre int, elapsed time.Duration) float64 {
	if s.swing == 0 {
		return 1
	}
	return 1 + s.swing*math.Sin(2*math.Pi*(float64(elapsed)/float64(s.period)-float64(centre)/siteCentres))
}

// pick returns the VM of the next query: one of the data centre whose demand it is, some
// of which get several times as many queries as others.
func (r *siteRun) pick(elapsed time.Duration) *siteVM {
	centre := r.rng.IntN(siteCentres)
	for r.rng.Float64()*(1+r.site.swing) > r.site.demand(centre, elapsed) {
		centre = r.rng.IntN(siteCentres)
	}
	for {
		n := r.rng.IntN(siteVMs)
		if n%siteCentres == centre && r.rng.Float64() < 1/float64(1+n%4) {
			return r.vms[n]
		}
	}
}

// run plays the site and returns what was counted after the warm-up.
func (r *siteRun) run() *siteStats {
	startedAt := time.Now()
	for _, v := range r.vms {
		go v.warm(startedAt.Add(r.site.length()))
	}
	r.startExchange(startedAt.Add(r.site.length()))
	time.AfterFunc(siteWarmUp, r.stats.reset)
	for n := 0; time.Since(startedAt) < r.site.length(); n++ {
		time.Sleep(time.Duration(r.rng.ExpFloat64() / r.site.rate * float64(time.Second)))
		elapsed := time.Since(startedAt)
		kind, objective := urgentRoute, 80*time.Millisecond
		if r.rng.Float64() >= urgentShare {
			kind, objective = thoroughRoute, 250*time.Millisecond
		}
		v := r.pick(elapsed)
		r.wg.Add(1)
		go (&siteCaller{run: r, vm: v, id: fmt.Sprintf("q-%d/", n), kind: kind, objective: objective, elapsed: elapsed}).call()
	}
	r.wg.Wait()
	time.Sleep(12 * time.Second)
	return r.stats
}

// siteCaller sends one query.
type siteCaller struct {
	run       *siteRun
	vm        *siteVM
	id, kind  string
	objective time.Duration
	elapsed   time.Duration
}

func (c *siteCaller) call() {
	defer c.run.wg.Done()
	request := relay.NewRequest(c.id, "GET", "h", "/"+c.kind, "/"+c.kind, nil, nil, time.Now())
	answer, _ := c.vm.dispatcher.Answer(context.Background(), request)
	took := time.Since(request.Arrived()) + callerTime
	if refused, ok := answer.(relay.Refused); ok && refused.Code().Execution() == result.NotRun {
		took = c.objective * 2
	}
	if c.elapsed < siteWarmUp {
		return
	}
	s := c.run.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kinds[c.kind] == nil {
		s.kinds[c.kind] = &kindStats{}
	}
	window := int(c.elapsed / siteWindow)
	if s.windows[window] == nil {
		s.windows[window] = &kindStats{}
	}
	s.kinds[c.kind].add(answer, took, c.objective)
	s.windows[window].add(answer, took, c.objective)
}
