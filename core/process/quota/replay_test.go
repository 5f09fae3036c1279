package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/quota"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

const (
	replayTeams = 82
	// requestsPerS is the number of requests of all teams per second.
	requestsPerS   = 120
	replayWarmUp   = 5 * time.Second
	replayDuration = 40 * time.Second
)

var replaySettings = quota.NewSettings(5*time.Second, 0.1, 20)

// load describes the requests of a replay.
type load struct {
	// skew is the exponent with which the sizes of the teams fall off, 0 for teams of
	// the same size.
	skew float64
	// concentrated sends all requests of a team to one VM, as opposed to VMs chosen with
	// uneven probabilities.
	concentrated bool
	// hot is the factor of the requests of team hotTeam during the middle of the replay.
	hot     float64
	hotTeam int
}

// teamsOf returns the teams of a load, with a rate of 1.6 times the mean and a burst of a
// second of it, and the mean rates.
func teamsOf(l load) ([]routing.Team, []float64) {
	var teams []routing.Team
	var means []float64
	total := 0.0
	for n := range replayTeams {
		means = append(means, math.Pow(float64(n+1), -l.skew))
		total += means[n]
	}
	for n := range replayTeams {
		means[n] *= requestsPerS / total
		rate := 1.6 * means[n]
		teams = append(teams, routing.NewTeam(fmt.Sprintf("team-%02d", n), nil, 0).WithQuota(rate, rate))
	}
	return teams, means
}

// callerRate is the mean number of requests per second of one caller.
const callerRate = 0.15

// generate schedules the requests of a load, with waves of 27 % every 13 s. The callers of
// a team are hashed to VMs.
func (s *simulation) generate(l load, means []float64) {
	callers := make([][]*simVM, len(means))
	for n, mean := range means {
		for range max(1, int(math.Round(mean/callerRate))) {
			vm := s.vms[s.rng.IntN(len(s.vms))]
			if l.concentrated {
				vm = s.vms[n%len(s.vms)]
			}
			callers[n] = append(callers[n], vm)
		}
	}
	pick := func(team int) *simVM { return callers[team][s.rng.IntN(len(callers[team]))] }
	for n, mean := range means {
		peak := 1.27 * mean * max(1, l.hot)
		for t := time.Duration(0); t < replayDuration; {
			t += time.Duration(s.rng.ExpFloat64() / peak * float64(time.Second))
			rate := mean * (1 + 0.27*math.Sin(2*math.Pi*(t.Seconds()/13+float64(n)/7)))
			if l.hot > 0 && n == l.hotTeam && t > 10*time.Second && t < 25*time.Second {
				rate *= l.hot
			}
			if s.rng.Float64() < rate/peak {
				team := s.teams[n]
				s.at(bootclock.Time(t), func() { s.request(pick(n), team) })
			}
		}
	}
}

// summary returns the requests owed, those of them refused, and the worst window as a share
// of the bound.
func (s *simulation) summary(skip string) (owed, refused int, worst float64) {
	for _, team := range s.teams {
		c := s.counts[team.Name()]
		if team.Name() != skip {
			owed += c.owed
			refused += c.refusedOwed
		}
		worst = max(worst, float64(s.worstWindow(team.Name(), 0))/s.settings.Bound(team))
	}
	return owed, refused, worst
}

// Fixed shares for each VM refuse requests that are within the quota, and shares that are
// counted afterwards admit too many. The replays check both sides.
func TestReplays(t *testing.T) {
	tests := []replayCase{
		{"9 VMs, even", 9, load{}, nil, 0.001},
		{"79 VMs, even", 79, load{}, nil, 0.001},
		{"300 VMs, even", 300, load{}, nil, 0.001},
		{"9 VMs, skewed", 9, load{skew: 1.2}, nil, 0.001},
		{"79 VMs, skewed", 79, load{skew: 1.2}, nil, 0.001},
		{"300 VMs, skewed", 300, load{skew: 1.2}, nil, 0.001},
		{"79 VMs, each team on one VM", 79, load{skew: 1.2, concentrated: true}, nil, 0.001},
		{"79 VMs, a hot team", 79, load{skew: 1.2, hot: 7.5}, nil, 0.001},
		{"79 VMs, a hot small team", 79, load{skew: 1.2, hot: 7.5, hotTeam: 40}, nil, 0.001},
		{"79 VMs, leader lost", 79, load{skew: 1.2}, loseLeader, 0.05},
		{"300 VMs, leader lost", 300, load{skew: 1.2}, loseLeader, 0.05},
		{"79 VMs, a third cut off for 6 s", 79, load{skew: 1.2}, cutThird, 0.2},
		{"79 VMs, a tenth restarted and a tenth frozen", 79, load{skew: 1.2}, restartAndFreeze, 0.01},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.run)
	}
}

// replayCase is a replay with the greatest share of owed requests that may be refused.
type replayCase struct {
	name string
	vms  int
	load load
	// disturb changes the simulation before it runs.
	disturb    func(s *simulation)
	maxRefused float64
}

func (tt replayCase) run(t *testing.T) {
	teams, means := teamsOf(tt.load)
	s := newSimulation(1, replaySettings, teams, tt.vms)
	for _, vm := range s.vms {
		vm.holder.SetVMs(tt.vms)
	}
	s.countOwedIn = func(now bootclock.Time) bool { return now > bootclock.Time(replayWarmUp) }
	s.lead(0, quota.NoPredecessor(), 0)
	s.generate(tt.load, means)
	if tt.disturb != nil {
		tt.disturb(s)
	}
	s.runUntil(bootclock.Time(replayDuration + time.Second))
	hotName := ""
	if tt.load.hot > 0 {
		hotName = teams[tt.load.hotTeam].Name()
	}
	owed, refused, worst := s.summary(hotName)
	t.Logf("refused %d of %d owed (%.5f), worst window %.2f of the bound, %.0f asks a second, %.1f and %.1f KB/s to and from the owner",
		refused, owed, float64(refused)/float64(owed), worst, float64(s.asks)/replayDuration.Seconds(),
		float64(s.askBytes)/1000/replayDuration.Seconds(), float64(s.grantBytes)/1000/replayDuration.Seconds())
	if hotName != "" {
		c := s.counts[hotName]
		t.Logf("hot team: arrived %d, owed %d, admitted %d", c.arrived, c.owed, c.admitted)
		assert.Assert(t, float64(c.admitted) >= 0.97*float64(c.owed))
	}
	assert.Assert(t, worst <= 1, "worst window %.3f of the bound", worst)
	assert.Assert(t, float64(refused) <= tt.maxRefused*float64(owed), "refused %d of %d", refused, owed)
}

// loseLeader ends the leader at 15 s; the next one is elected 0.9 s later and seen 50 ms
// after that.
func loseLeader(s *simulation) {
	s.leaders[0].diesAt = bootclock.Time(15 * time.Second)
	s.lead(bootclock.Time(15900*time.Millisecond), quota.NewPredecessor(15*time.Second), 50*time.Millisecond)
}

func cutThird(s *simulation) {
	s.at(bootclock.Time(15*time.Second), func() {
		for n, vm := range s.vms {
			if n%3 == 0 {
				vm.cutUntil = s.now.Add(6 * time.Second)
			}
		}
	})
}

func restartAndFreeze(s *simulation) {
	s.at(bootclock.Time(15*time.Second), func() {
		for n, vm := range s.vms {
			switch n % 10 {
			case 0:
				s.restart(vm)
			case 1:
				vm.frozenUntil = s.now.Add(4 * time.Second)
			}
		}
	})
}

// A team whose limit falls far below what it sends must be held to the lower one by all
// VMs, and the other teams must not notice.
func TestReplayOfALowerLimit(t *testing.T) {
	teams, means := teamsOf(load{skew: 1.2})
	s := newSimulation(1, replaySettings, teams, 79)
	s.lead(0, quota.NoPredecessor(), 0)
	s.generate(load{skew: 1.2}, means)
	changedAt := bootclock.Time(15 * time.Second)
	lower := append([]routing.Team(nil), teams...)
	lower[0] = routing.NewTeam(teams[0].Name(), nil, 0).WithQuota(teams[0].Rate()/10, teams[0].Burst()/10)
	s.at(changedAt, func() { s.setTeams(lower) })
	s.runUntil(bootclock.Time(replayDuration + time.Second))
	_, refused, _ := s.summary(teams[0].Name())
	worst := s.worstWindow(teams[0].Name(), changedAt.Add(limitApplied))
	t.Logf("worst window %d of %.1f, %d owed requests of other teams refused", worst, replaySettings.Bound(lower[0]), refused)
	assert.Assert(t, float64(worst) <= replaySettings.Bound(lower[0]))
	assert.Equal(t, refused, 0)
}
