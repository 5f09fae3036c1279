package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

const (
	fairnessTeams = 20
	fairnessRun   = 80 * time.Second
	// fairnessCalm is the time after which a hot team becomes hot and requests count.
	fairnessCalm    = 60 * time.Second
	fairnessService = 40 * time.Millisecond
	fairnessMaxWait = 100 * time.Millisecond
)

// teamLoad counts the requests of a team after fairnessCalm.
type teamLoad struct{ sent, served int }

// step is an arrival or the end of a request.
type step struct {
	at    time.Time
	team  int
	lease *placement.Lease
}

// runTeams sends requests of teams whose sizes fall off as rank^-1.2 to a fleet that can
// serve a part of them. Team hot sends factor times its usual load from fairnessCalm on. With
// shared, all requests belong to one team. A request that would wait for longer than
// fairnessMaxWait, or that has, is refused.
func runTeams(overload float64, hot int, factor float64, shared bool) []teamLoad {
	newFleet := func() *placement.Fleet {
		return newTestFleet(routing.NewService("s-1", "").WithMaxConnections(4), "dc-1", "dc-1", "dc-1")
	}
	capacity := len(fill(newFleet(), placement.NewLeaseRequest("s-1", "k"), start))
	rng := rand.New(rand.NewPCG(1, 2))
	rate := overload * float64(capacity) / fairnessService.Seconds()
	total := 0.0
	for n := range fairnessTeams {
		total += math.Pow(float64(n+1), -1.2)
	}
	var steps []step
	for n := range fairnessTeams {
		mean := rate * math.Pow(float64(n+1), -1.2) / total
		for at := time.Duration(0); at < fairnessRun; {
			if n == hot && at > fairnessCalm {
				at += time.Duration(rng.ExpFloat64() / (mean * factor) * float64(time.Second))
			} else {
				at += time.Duration(rng.ExpFloat64() / mean * float64(time.Second))
			}
			steps = append(steps, step{at: start.Add(at), team: n})
		}
	}
	sort.Slice(steps, func(i, j int) bool { return steps[i].at.Before(steps[j].at) })
	p := &teamPlay{fleet: newFleet(), rng: rng, shared: shared, loads: make([]teamLoad, fairnessTeams)}
	p.run(steps)
	return p.loads
}

// waitingRequest is a request in the queue.
type waitingRequest struct {
	team   int
	until  time.Time
	waiter *placement.Waiter
	lease  chan *placement.Lease
}

// teamPlay serves the requests of teams.
type teamPlay struct {
	fleet *placement.Fleet
	rng   *rand.Rand
	// shared is set if all requests belong to one team.
	shared bool
	loads  []teamLoad
	// ends holds the ends of the requests that are running, in order.
	ends  []step
	queue []waitingRequest
}

// run runs arrivals, and the ends of the requests that they cause, in order.
func (p *teamPlay) run(arrivals []step) {
	for len(arrivals) > 0 {
		if now := arrivals[0].at; len(p.ends) == 0 || !p.ends[0].at.Before(now) {
			p.arrive(arrivals[0].team, now)
			arrivals = arrivals[1:]
			continue
		}
		end := p.ends[0]
		p.ends = p.ends[1:]
		end.lease.Succeeded(end.at)
		p.collect(end.at)
	}
}

// arrive sends a request of a team, queues or refuses it.
func (p *teamPlay) arrive(team int, now time.Time) {
	p.collect(now)
	if now.Sub(start) > fairnessCalm {
		p.loads[team].sent++
	}
	name := fmt.Sprintf("t-%d", team)
	if p.shared {
		name = ""
	} else {
		p.fleet.RecordDemand(name, 1, now)
	}
	r := placement.NewLeaseRequest("s-1", "k").ForTeam(name)
	if p.fleet.ExpectedWait(r, placement.NewPriority(0, 0), now) > fairnessMaxWait {
		return
	}
	if l, ok := p.fleet.Acquire(r, now); ok {
		p.serve(team, l, now)
		return
	}
	w := waitingRequest{team: team, until: now.Add(fairnessMaxWait), lease: make(chan *placement.Lease, 1)}
	w.waiter = p.fleet.Enqueue(r, placement.NewPriority(0, 0), w.until, w.lease, now)
	p.queue = append(p.queue, w)
	p.collect(now)
}

// serve begins a request that has a lease.
func (p *teamPlay) serve(team int, l *placement.Lease, now time.Time) {
	if now.Sub(start) > fairnessCalm {
		p.loads[team].served++
	}
	p.ends = append(p.ends, step{at: now.Add(time.Duration((0.5 + p.rng.Float64()) * float64(fairnessService))), lease: l})
	sort.Slice(p.ends, func(i, j int) bool { return p.ends[i].at.Before(p.ends[j].at) })
}

// collect serves the queued requests that have a lease, and drops those whose time is over.
func (p *teamPlay) collect(now time.Time) {
	var left []waitingRequest
	for _, w := range p.queue {
		select {
		case l := <-w.lease:
			p.serve(w.team, l, now)
			continue
		default:
		}
		if now.Before(w.until) || !p.fleet.Dequeue(w.waiter) {
			left = append(left, w)
		}
	}
	p.queue = left
}

// shares returns the share of requests served over all teams, the least share of any team
// but one, and the share of that one.
func shares(loads []teamLoad, except int) (all, least, other float64) {
	sent, served := 0, 0
	least = 1
	for n, l := range loads {
		sent += l.sent
		served += l.served
		share := float64(l.served) / float64(l.sent)
		if n == except {
			other = share
		} else {
			least = min(least, share)
		}
	}
	return float64(served) / float64(sent), least, other
}

// Where teams share a queue in the order of deadlines, one that sends many times its usual
// load takes the capacity from all others.
func TestHotTeamCostsOnlyItself(t *testing.T) {
	for _, tt := range []struct {
		name     string
		overload float64
		factor   float64
		// leastShare is what each of the other teams must be served at least.
		leastShare float64
	}{
		{"calm, the largest team sends 7.5 times as much", 1.2, 7.5, 0.9},
		{"half as much again as the capacity", 3, 1, 0.45},
		{"two and a half times the capacity", 5, 1, 0.2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			all, least, hot := shares(runTeams(tt.overload, 0, tt.factor, false), 0)
			allShared, leastShared, hotShared := shares(runTeams(tt.overload, 0, tt.factor, true), 0)
			t.Logf("fair: all %.3f, least %.3f, largest team %.3f; one queue: all %.3f, least %.3f, largest team %.3f",
				all, least, hot, allShared, leastShared, hotShared)
			assert.Assert(t, least >= tt.leastShare, "a team got %.3f", least)
			assert.Assert(t, min(least, hot) >= all/4, "a team got less than a quarter of the share of all")
			assert.Assert(t, all > 0.9*allShared, "fairness costs capacity: %.3f instead of %.3f", all, allShared)
		})
	}
}

// Priority comes before fairness: a team of higher priority is served first, however much
// it has got.
func TestPriorityComesBeforeFairness(t *testing.T) {
	f := newTestFleet(newService(), "dc-1")
	now := start
	for range 50 {
		f.RecordDemand("urgent", 1, now)
		f.RecordDemand("other", 1, now)
	}
	held := fill(f, placement.NewLeaseRequest("s-1", "k").ForTeam("urgent"), now)
	other := make(chan *placement.Lease, 1)
	urgent := make(chan *placement.Lease, 1)
	f.Enqueue(placement.NewLeaseRequest("s-1", "k").ForTeam("other"), placement.NewPriority(0, 1), now.Add(time.Second), other, now)
	f.Enqueue(placement.NewLeaseRequest("s-1", "k").ForTeam("urgent"), placement.NewPriority(0, 0), now.Add(2*time.Second), urgent, now)
	held[0].Succeeded(now)
	assert.Equal(t, len(urgent), 1)
	assert.Equal(t, len(other), 0)
	held[1].Succeeded(now)
	assert.Equal(t, len(other), 1)
}

// The retries of one team would use up the retry budget of a service for all.
func TestExtraAttemptsOfATeamStayWithinItsPart(t *testing.T) {
	f := placement.NewFleet("vm-1", "dc-1", placement.NewLimits(0.2, 0, 10*time.Second, 1, 1), start.Add(-time.Minute))
	f.SetEntryVMs(1, start)
	f.SetTargets(newList(1, "dc-1", "dc-1"), start)
	extras := make(map[string]int)
	for n := range 2000 {
		now := start.Add(time.Duration(n) * 5 * time.Millisecond)
		team := "calm"
		if n%2 == 0 {
			team = "failing"
		}
		r := placement.NewLeaseRequest("s-1", "k").ForTeam(team)
		l, ok := f.Acquire(r, now)
		assert.Assert(t, ok)
		// Each request of the failing team is retried, and a fifth of the others.
		if team == "failing" || n%10 == 1 {
			if extra, ok := f.Acquire(r.ExtraAttempt([]*placement.Target{l.Target()}, false), now); ok {
				extras[team]++
				extra.Succeeded(now)
			}
		}
		l.Succeeded(now)
	}
	t.Logf("extra attempts: %v", extras)
	// The budget allows 360. Without shares, the calm team gets a sixth of that.
	assert.Assert(t, extras["calm"] >= 130, "%d of 200", extras["calm"])
	assert.Assert(t, extras["failing"] >= 130)
}
