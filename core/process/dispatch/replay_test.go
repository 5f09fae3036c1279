package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// The replays run the whole dispatcher in simulated time against simulated targets,
// and the same load the plain way: a random target, no second send, no refusal.

const (
	replayShards  = 10
	replayCopies  = 3
	replayTime    = 6 * time.Second
	replayWork    = 9 * time.Millisecond
	replaySlots   = 2
	replayQueue   = 12
	pauseTime     = 120 * time.Millisecond
	pauseInterval = 3 * time.Second
)

// fault is what is wrong with some targets between the first and the last two
// seconds of a replay.
type fault struct {
	// share of the targets is struck; copies of them in every shard.
	share  float64
	copies int
	slow   float64
	shed   float64
	hang   bool
	gone   bool
	// connections is what a target accepts of all VMs together, 0 for plenty.
	connections int
	// again is how often a caller that got nothing asks again at once.
	again int
}

// simulated is one target.
type simulated struct {
	id      string
	rng     *rand.Rand
	fault   fault
	struck  bool
	phase   time.Duration
	began   time.Time
	mu      sync.Mutex
	running int
	waiting []chan struct{}
}

func (s *simulated) faulty(now time.Time) bool {
	at := now.Sub(s.began)
	return s.struck && at > time.Second && at < replayTime-2*time.Second
}

// serve runs a request: it waits for a slot, works and pauses.
func (s *simulated) serve(ctx context.Context) relay.Outcome {
	now := time.Now()
	faulty := s.faulty(now)
	switch {
	case faulty && s.fault.gone:
		return relay.NewUnsent(result.New(result.Unreachable, "refused"))
	case faulty && s.fault.hang:
		<-ctx.Done()
		return relay.NewLost(ctx.Err())
	}
	s.mu.Lock()
	shed := faulty && s.rng.Float64() < s.fault.shed || len(s.waiting) >= replayQueue
	if shed {
		load := relay.NewLoad(s.running, len(s.waiting))
		s.mu.Unlock()
		return relay.NewDeclined(load, false, "full")
	}
	if s.running >= replaySlots {
		turn := make(chan struct{})
		s.waiting = append(s.waiting, turn)
		s.mu.Unlock()
		select {
		case <-turn:
		case <-ctx.Done():
			return relay.NewLost(ctx.Err())
		}
		s.mu.Lock()
	} else {
		s.running++
	}
	work := time.Duration(float64(replayWork) * (0.6 + 0.8*s.rng.Float64()))
	s.mu.Unlock()
	if faulty && s.fault.slow > 0 {
		work = time.Duration(float64(work) * s.fault.slow)
	}
	if into := (now.Sub(s.began) + s.phase) % pauseInterval; into < pauseTime {
		work += pauseTime - into
	}
	time.Sleep(work)
	s.mu.Lock()
	defer s.mu.Unlock()
	load := relay.NewLoad(s.running-1, len(s.waiting))
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
	} else {
		s.running--
	}
	return relay.NewAnswered(relay.NewResponse(200, nil, nil, s.id), load)
}

// world is all targets of a replay; it sends attempts to them.
type world struct{ targets map[string]*simulated }

func (w *world) Send(ctx context.Context, a relay.Attempt, _ time.Time) relay.Outcome {
	return w.targets[a.Instance().ID()].serve(ctx)
}

func newWorld(seed uint64, f fault) (*world, discovery.List) {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &world{targets: make(map[string]*simulated)}
	var instances []discovery.Instance
	now := time.Now()
	for shard := range replayShards {
		for n := range replayCopies {
			id := fmt.Sprintf("i-%d-%d", shard, n)
			w.targets[id] = &simulated{
				id: id, fault: f, began: now,
				rng:    rand.New(rand.NewPCG(seed, uint64(shard*10+n))),
				phase:  time.Duration(rng.Int64N(int64(pauseInterval))),
				struck: rng.Float64() < f.share || n < f.copies,
			}
			instances = append(instances, discovery.NewInstance(id, shardName(shard), "10.0.0.1:1", "dc-1", replaySlots))
		}
	}
	return w, discovery.NewList(instances, 1, now)
}

func shardName(n int) string { return fmt.Sprintf("shard-%d", n) }

// replayRoute asks all shards for an answer within 100 ms.
func replayRoute() routing.Route {
	var shards []string
	for n := range replayShards {
		shards = append(shards, shardName(n))
	}
	return routing.NewRoute("search", "h", "/").WithTimes(600*time.Millisecond, 100*time.Millisecond).
		WithMaxAttempts(2).WithShards(shards, 20, 0.89)
}

// tally counts how a replay went.
type tally struct {
	mu      sync.Mutex
	asked   int
	credit  float64
	refused int
	failed  int
	hedges  int
	retries int
	held    time.Duration
}

// add counts an answer: the square of the share of the shards within the
// objective, a twentieth of it later.
func (t *tally) add(answer relay.Answer, trace Trace, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	t.hedges += trace.Hedges()
	t.retries += trace.Retries()
	switch a := answer.(type) {
	case relay.Merged:
		share := float64(replayShards-a.Missing()) / replayShards
		credit := share * share
		if took > 95*time.Millisecond {
			credit /= 20
		}
		t.credit += credit
	case relay.Refused:
		if a.Code().Execution() == result.NotRun {
			t.refused++
		} else {
			t.failed++
		}
		t.held = max(t.held, took)
	case relay.Relayed:
	}
}

func (t *tally) String() string {
	return fmt.Sprintf("%5d asked, credit %.3f, refused %d, failed %d, hedges %d, retries %d, longest wait for a refusal %d ms",
		t.asked, t.credit/float64(t.asked), t.refused, t.failed, t.hedges, t.retries, t.held.Milliseconds())
}

// answerer answers one request of a replay.
type answerer func(ctx context.Context, r *relay.Request) (relay.Answer, Trace)

// play sends requests at a rate and counts the answers.
func play(rate float64, again int, seed uint64, answer answerer) *tally {
	var t tally
	var all sync.WaitGroup
	rng := rand.New(rand.NewPCG(seed, 3))
	began := time.Now()
	for time.Since(began) < replayTime {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		r := relay.NewRequest("id", "GET", "h", "/", "/", nil, nil, time.Now()).WithTimeout(600 * time.Millisecond)
		all.Add(1)
		go (&caller{request: r, again: again, answer: answer, tally: &t, done: &all}).run()
	}
	all.Wait()
	// Sends that nobody waits for end by themselves.
	time.Sleep(10 * time.Second)
	return &t
}

type caller struct {
	request *relay.Request
	again   int
	answer  answerer
	tally   *tally
	done    *sync.WaitGroup
}

func (c *caller) run() {
	defer c.done.Done()
	began := c.request.Arrived()
	answer, trace := c.answer(context.Background(), c.request)
	for range c.again {
		if _, refused := answer.(relay.Refused); !refused {
			break
		}
		r := relay.NewRequest("id", "GET", "h", "/", "/", nil, nil, time.Now())
		answer, trace = c.answer(context.Background(), r.WithTimeout(began.Add(c.request.Timeout()).Sub(r.Arrived())))
	}
	c.tally.add(answer, trace, time.Since(began))
}

// entryVMs spreads requests over dispatchers that know nothing of each other.
func entryVMs(n int, w *world, list discovery.List, connections int) answerer {
	var dispatchers []*Dispatcher
	table := routing.NewTable(1, []routing.Route{replayRoute()}, replayServices(connections), routing.Limits{})
	for range n {
		f := placement.NewFleet(fmt.Sprintf("vm-%d", len(dispatchers)), "dc-1", placement.NewLimits(0.2, 20, 10*time.Second, 1.5, 5), time.Now().Add(-time.Minute))
		f.SetEntryVMs(n, time.Now())
		d := New(f, w)
		d.SetTable(table)
		f.SetTargets(list, time.Now())
		dispatchers = append(dispatchers, d)
	}
	var mu sync.Mutex
	next := 0
	return func(ctx context.Context, r *relay.Request) (relay.Answer, Trace) {
		mu.Lock()
		next++
		d := dispatchers[next%n]
		mu.Unlock()
		return d.Answer(ctx, r)
	}
}

func replayServices(connections int) []routing.Service {
	if connections == 0 {
		connections = 25
	}
	var out []routing.Service
	for n := range replayShards {
		out = append(out, routing.NewService(shardName(n), "").WithMaxConnections(connections))
	}
	return out
}

// plainWay sends to a random target of each shard and waits for all.
func plainWay(w *world, seed uint64) answerer {
	rng := rand.New(rand.NewPCG(seed, 5))
	var mu sync.Mutex
	return func(_ context.Context, r *relay.Request) (relay.Answer, Trace) {
		ctx, cancel := context.WithDeadline(context.Background(), r.Arrived().Add(r.Timeout()))
		defer cancel()
		s := relay.NewState(relay.NewPlan(replayRoute(), "", r, 0))
		outcomes := make(chan arrival, replayShards)
		for n := range replayShards {
			mu.Lock()
			id := fmt.Sprintf("i-%d-%d", n, rng.IntN(replayCopies))
			mu.Unlock()
			s.RecordSend(n, nil, time.Hour, r.Arrived())
			go (&plainSend{ctx: ctx, target: w.targets[id], part: n, outcomes: outcomes}).run()
		}
		for range replayShards {
			a := <-outcomes
			s.HandleOutcome(a.part, a.outcome)
			s.GiveUp(a.part)
		}
		return s.Answer(time.Now()), Trace{}
	}
}

type plainSend struct {
	ctx      context.Context
	target   *simulated
	part     int
	outcomes chan<- arrival
}

func (p *plainSend) run() {
	p.outcomes <- arrival{part: p.part, outcome: p.target.serve(p.ctx)}
}

// replays are the loads that the decisions answer, with the least credit that
// they must reach and the least gain over the plain way.
var replays = []struct {
	name  string
	rate  float64
	fault fault
	least float64
	gain  float64
}{
	{"calm, with pauses", 180, fault{}, 0.97, 0.15},
	{"one connection to a target for each VM", 180, fault{connections: 3}, 0.97, 0.15},
	{"one connection, and 15 % of the targets 8 times as slow", 120, fault{connections: 3, share: 0.15, slow: 8}, 0.85, 0.20},
	{"callers that ask again at once, half of the targets shed 60 %", 110, fault{share: 0.5, shed: 0.6, again: 3}, 0.60, 0.10},
	{"three times the load", 720, fault{}, 0.25, 0.05},
	{"one of three targets of each shard 10 times as slow", 150, fault{copies: 1, slow: 10}, 0.90, 0.30},
	{"15 % of the targets 8 times as slow", 180, fault{share: 0.15, slow: 8}, 0.90, 0.25},
	{"one of three targets of each shard gone", 150, fault{copies: 1, gone: true}, 0.90, 0.30},
	{"one of three targets of each shard hangs", 150, fault{copies: 1, hang: true}, 0.85, 0.30},
	{"half of the targets shed 60 %", 150, fault{share: 0.5, shed: 0.6}, 0.70, 0.20},
	{"twice the load", 480, fault{}, 0.40, 0.10},
}

func TestReplays(t *testing.T) {
	seed := uint64(1)
	for _, tt := range replays {
		t.Run(tt.name, func(t *testing.T) {
			var ours, plain *tally
			synctest.Test(t, func(*testing.T) {
				w, list := newWorld(seed, tt.fault)
				ours = play(tt.rate, tt.fault.again, seed, entryVMs(3, w, list, tt.fault.connections))
			})
			synctest.Test(t, func(*testing.T) {
				w, _ := newWorld(seed, tt.fault)
				plain = play(tt.rate, tt.fault.again, seed, plainWay(w, seed))
			})
			if os.Getenv("REPLAY") != "" {
				fmt.Printf("%s\n  decided: %v\n  plain:   %v\n", tt.name, ours, plain)
			}
			credit := ours.credit / float64(ours.asked)
			assert.Assert(t, credit >= tt.least, "credit %.3f: %v", credit, ours)
			assert.Assert(t, credit >= plain.credit/float64(plain.asked)+tt.gain, "the plain way: %v", plain)
			assert.Assert(t, ours.held <= 650*time.Millisecond)
		})
	}
}
