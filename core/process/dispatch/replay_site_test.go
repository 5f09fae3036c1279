package dispatch

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
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
	siteVMs          = 79
	siteCentres      = 3
	siteShards       = 36
	siteReplicas     = 3
	siteSlots        = 2
	siteConnections  = 72
	siteDuration     = 11 * time.Second
	siteWarmUp       = 4 * time.Second
	localLink        = 200 * time.Microsecond
	connectionCost   = 6 * time.Millisecond
	targetIdle       = 7500 * time.Millisecond
	requestBytes     = 450
	responseBytes    = 900
	connectionBytes  = 400
	normalSpell      = 3400 * time.Millisecond
	slowSpell        = 600 * time.Millisecond
	slowSpellFactor  = 2.5
	sitePause        = 120 * time.Millisecond
	sitePausePeriod  = 10 * time.Second
	siteWindow       = time.Second
	seriesBin        = 500 * time.Millisecond
	urgentShare      = 0.6
	urgentRoute      = "urgent"
	thoroughRoute    = "thorough"
	callerLinkAndVMs = 6 * time.Millisecond
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

// siteStats counts what the VMs of a site send.
type siteStats struct {
	mu sync.Mutex
	// firsts and extras count the first and the further attempts, by local and remote.
	firsts, extras [2]int
	// dials counts the connections opened by first attempts, further ones and ahead.
	dials [3]int
	// bytes counts those between data centres of first and further attempts and of opening
	// connections.
	bytes [3]int
	// open counts the connections to each target, and mostOpen is the most at one.
	open     map[string]int
	mostOpen int
	kinds    map[string]*kindStats
	// series counts the first attempts of the VMs of the first data centre in each
	// seriesBin, local and remote.
	series    [64][2]int
	startedAt time.Time
	windows   map[int]*kindStats
}

// kindStats counts the answers of one kind of request or of one window.
type kindStats struct {
	requests, inTime, missing int
	credit                    float64
	took                      []time.Duration
}

// add counts an answer: one in time earns the square of its share of the shards.
func (k *kindStats) add(answer relay.Answer, took, objective time.Duration) {
	k.requests++
	k.took = append(k.took, took)
	merged, ok := answer.(relay.Merged)
	if !ok {
		return
	}
	k.missing += merged.Missing()
	share := float64(siteShards-merged.Missing()) / siteShards
	if took <= objective {
		k.inTime++
		k.credit += share * share
	} else {
		k.credit += share * share / 20
	}
}

func (k *kindStats) quantile(q float64) time.Duration {
	slices.Sort(k.took)
	return k.took[int(q*float64(len(k.took)-1))]
}

func (k *kindStats) String() string {
	return fmt.Sprintf("%d requests, in time %.3f, credit %.4f, parts missing %.2f, median %.1f ms, p95 %.1f ms", k.requests,
		float64(k.inTime)/float64(k.requests), k.credit/float64(k.requests), float64(k.missing)/float64(k.requests),
		k.quantile(0.5).Seconds()*1000, k.quantile(0.95).Seconds()*1000)
}

// worst returns the least mean credit of a window.
func (s *siteStats) worst() float64 {
	least := 1.0
	for _, k := range s.windows {
		if k.requests >= 20 {
			least = min(least, k.credit/float64(k.requests))
		}
	}
	return least
}

// remoteFirsts returns the share of first attempts that go to another data centre.
func (s *siteStats) remoteFirsts() float64 {
	return float64(s.firsts[1]) / float64(s.firsts[0]+s.firsts[1])
}

// dialShare returns the connections opened for each send.
func (s *siteStats) dialShare() float64 {
	return float64(s.dials[0]+s.dials[1]+s.dials[2]) / float64(s.firsts[0]+s.firsts[1]+s.extras[0]+s.extras[1])
}

func (s *siteStats) String() string {
	sends := s.firsts[0] + s.firsts[1] + s.extras[0] + s.extras[1]
	return fmt.Sprintf("  urgent:   %v\n  thorough: %v\n  worst window %.3f; sends %d, first attempts to other data centres %.3f, further %.3f (%.3f of them to others)\n"+
		"  connections %.3f a send: first attempts %.3f, further %.3f, ahead %.3f; most at a target %d; MB between data centres %.2f: first attempts %.2f, further %.2f, connections %.2f",
		s.kinds[urgentRoute], s.kinds[thoroughRoute], s.worst(), sends, s.remoteFirsts(),
		float64(s.extras[0]+s.extras[1])/float64(sends), float64(s.extras[1])/float64(max(1, s.extras[0]+s.extras[1])),
		s.dialShare(), float64(s.dials[0])/float64(sends), float64(s.dials[1])/float64(sends), float64(s.dials[2])/float64(sends), s.mostOpen,
		float64(s.bytes[0]+s.bytes[1]+s.bytes[2])/1e6, float64(s.bytes[0])/1e6, float64(s.bytes[1])/1e6, float64(s.bytes[2])/1e6)
}

// idleConn is an idle connection of a VM.
type idleConn struct {
	usedAt  time.Time
	maxIdle time.Duration
}

func (c idleConn) expired(now time.Time) bool {
	age := now.Sub(c.usedAt)
	return age > targetIdle || c.maxIdle > 0 && age > c.maxIdle
}

// siteVM is the Sender and the connections of one VM.
type siteVM struct {
	centre     string
	targets    map[string]*siteTarget
	addresses  map[string]*siteTarget
	stats      *siteStats
	link       time.Duration
	fleet      *placement.Fleet
	dispatcher *Dispatcher

	mu   sync.Mutex
	idle map[string][]idleConn
	// sent has the parts that were sent once.
	sent map[string]bool
}

func (v *siteVM) delay(t *siteTarget) time.Duration {
	if t.centre == v.centre {
		return localLink
	}
	return v.link
}

// take returns whether an idle connection to a target is there, and removes it.
func (v *siteVM) take(t *siteTarget, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sweep(t, now)
	if list := v.idle[t.id]; len(list) > 0 {
		v.idle[t.id] = list[:len(list)-1]
		return true
	}
	return false
}

// sweep closes the expired connections to a target. The caller holds mu.
func (v *siteVM) sweep(t *siteTarget, now time.Time) {
	before := len(v.idle[t.id])
	if before == 0 {
		return
	}
	v.idle[t.id] = slices.DeleteFunc(v.idle[t.id], func(c idleConn) bool { return c.expired(now) })
	v.stats.addOpen(t.id, len(v.idle[t.id])-before)
}

func (s *siteStats) addOpen(id string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[id] += n
	s.mostOpen = max(s.mostOpen, s.open[id])
}

// dial opens a connection to a target, which costs the target time, and returns how long
// the handshake took.
func (v *siteVM) dial(t *siteTarget, purpose int) time.Duration {
	handshake := 2 * v.delay(t)
	time.Sleep(handshake)
	v.stats.addOpen(t.id, 1)
	v.stats.mu.Lock()
	v.stats.dials[purpose]++
	if t.centre != v.centre {
		v.stats.bytes[2] += connectionBytes
	}
	v.stats.mu.Unlock()
	t.serve(connectionCost)
	return handshake
}

// count counts an attempt and returns 0 for a first one and 1 for a further one.
func (v *siteVM) count(a relay.Attempt, t *siteTarget) int {
	v.mu.Lock()
	key := a.Request().ID() + t.instanceService()
	further := v.sent[key]
	v.sent[key] = true
	v.mu.Unlock()
	v.stats.mu.Lock()
	defer v.stats.mu.Unlock()
	remote := 0
	if t.centre != v.centre {
		remote = 1
	}
	purpose := 0
	if further {
		purpose = 1
		v.stats.extras[remote]++
	} else {
		v.stats.firsts[remote]++
		if bin := int(time.Since(v.stats.startedAt) / seriesBin); v.centre == centreName(0) && bin < len(v.stats.series) {
			v.stats.series[bin][remote]++
		}
	}
	v.stats.bytes[purpose] += remote * (requestBytes + responseBytes)
	return purpose
}

// spill returns the share of first attempts of the first data centre that go to others, in
// percent, for each seriesBin.
func (s *siteStats) spill() []int {
	var out []int
	for _, b := range s.series {
		if b[0]+b[1] > 0 {
			out = append(out, 100*b[1]/(b[0]+b[1]))
		}
	}
	return out
}

// reset starts the counts of sends, connections and bytes again.
func (s *siteStats) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firsts, s.extras, s.dials, s.bytes = [2]int{}, [2]int{}, [3]int{}, [3]int{}
}

// instanceService returns the name of the target's service.
func (t *siteTarget) instanceService() string { return t.id[:len(t.id)-2] }

func (v *siteVM) Send(ctx context.Context, a relay.Attempt, now time.Time) relay.Outcome {
	t := v.targets[a.Instance().ID()]
	purpose := v.count(a, t)
	if !v.take(t, now) {
		a.Connected(v.dial(t, purpose), time.Now())
	}
	work := 6700 * time.Microsecond
	if a.Request().Path() == "/"+thoroughRoute {
		work = 20 * time.Millisecond
	}
	time.Sleep(v.delay(t))
	load, ok := t.serve(work)
	time.Sleep(v.delay(t))
	v.mu.Lock()
	v.idle[t.id] = append(v.idle[t.id], idleConn{usedAt: time.Now(), maxIdle: a.IdleTimeout()})
	v.mu.Unlock()
	switch {
	case !ok:
		return relay.NewDeclined(load, false, "full")
	case ctx.Err() != nil:
		return relay.NewLost(ctx.Err())
	}
	return relay.NewAnswered(relay.NewResponse(200, nil, nil, t.id), load)
}

// warm opens connections ahead once a second, as package gateway does.
func (v *siteVM) warm(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		v.mu.Lock()
		for id := range v.idle {
			v.sweep(v.targets[id], time.Now())
		}
		v.mu.Unlock()
		for _, address := range v.fleet.WarmAddresses(time.Now()) {
			t := v.addresses[address]
			v.mu.Lock()
			missing := len(v.idle[t.id]) == 0
			v.mu.Unlock()
			if !missing || v.dispatcher.Running() > 0 {
				continue
			}
			v.dial(t, 2)
			v.mu.Lock()
			v.idle[t.id] = append([]idleConn{{usedAt: time.Now()}}, v.idle[t.id]...)
			v.mu.Unlock()
		}
	}
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
	took := time.Since(request.Arrived()) + callerLinkAndVMs
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
