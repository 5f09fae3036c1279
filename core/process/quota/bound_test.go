package quota_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/quota"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// faultRun is how long a run with random faults takes.
const faultRun = 20 * time.Second

// limitApplied is the time after which all VMs have applied a configuration.
const limitApplied = 4 * time.Second

func drawMillis(t *rapid.T, name string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
}

// drawTeams returns teams with small and large quotas.
func drawTeams(t *rapid.T) []routing.Team {
	var teams []routing.Team
	for n := range 2 {
		rate := rapid.SampledFrom([]float64{0.1, 0.3, 2, 20, 54}).Draw(t, "rate")
		burst := rapid.SampledFrom([]float64{0, 0.3, 1, rate, 3 * rate}).Draw(t, "burst")
		teams = append(teams, routing.NewTeam(fmt.Sprintf("t-%d", n), nil, 0).WithQuota(rate, burst))
	}
	return teams
}

// drawLeaders adds a chain of leaders. Each is deposed when the next is elected, but goes
// on as if it were not; some are frozen for a time. A leader that has restarted knows its
// predecessor for a shorter time.
func drawLeaders(t *rapid.T, s *simulation) {
	previous := bootclock.Time(0)
	s.lead(0, quota.NoPredecessor(), 0)
	for elected := previous; ; {
		elected = elected.Add(drawMillis(t, "term", 10, 12_000))
		if elected > bootclock.Time(faultRun) {
			return
		}
		observed := drawMillis(t, "observed", 0, 100)
		known := elected.Add(observed).Sub(previous)
		age := time.Duration(float64(known) * rapid.SampledFrom([]float64{1, 1, 0.9, 0.1, 0}).Draw(t, "known for"))
		l := s.lead(elected, quota.NewPredecessor(age), observed)
		if rapid.Bool().Draw(t, "frozen") {
			s.at(elected.Add(drawMillis(t, "frozen at", 0, 2000)), func() {
				l.frozenUntil = s.now.Add(drawMillis(t, "frozen for", 1, 6000))
			})
		}
		previous = elected
	}
}

// drawFaults freezes, restarts and cuts off VMs.
func drawFaults(t *rapid.T, s *simulation) {
	for range rapid.IntRange(0, 8).Draw(t, "faults") {
		vm := s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(t, "vm")]
		kind := rapid.IntRange(0, 2).Draw(t, "kind")
		length := drawMillis(t, "length", 1, 7000)
		s.at(bootclock.Time(drawMillis(t, "fault at", 0, int(faultRun.Milliseconds()))), func() {
			switch kind {
			case 0:
				vm.frozenUntil = s.now.Add(length)
			case 1:
				s.restart(vm)
			case 2:
				vm.cutUntil = s.now.Add(length)
			}
		})
	}
}

// drawLoad schedules bursts of requests far above the limits.
func drawLoad(t *rapid.T, s *simulation) {
	for range rapid.IntRange(1, 12).Draw(t, "bursts") {
		from := bootclock.Time(drawMillis(t, "burst at", 0, int(faultRun.Milliseconds())))
		gap := drawMillis(t, "gap", 1, 200)
		team := rapid.IntRange(0, len(s.teams)-1).Draw(t, "team")
		for n := range rapid.IntRange(1, 200).Draw(t, "requests") {
			vm := s.vms[(n*7+team)%len(s.vms)]
			s.at(from.Add(time.Duration(n)*gap), func() { s.request(vm, s.teams[team]) })
		}
	}
}

// drawSteadyLoad schedules requests that make all VMs hold tokens.
func drawSteadyLoad(t *rapid.T, s *simulation) {
	for n, team := range s.teams {
		rate := max(1, team.Rate()) * rapid.SampledFrom([]float64{0, 0.3, 0.8, 1.5}).Draw(t, "load")
		for at := 0.0; rate > 0 && at < faultRun.Seconds(); at += s.rng.ExpFloat64() / rate {
			vm := s.vms[s.rng.IntN(len(s.vms))]
			s.at(bootclock.Time(at*float64(time.Second)), func() { s.request(vm, s.teams[n]) })
		}
	}
}

// checkTokens checks that the tokens which could be spent at once never exceeded the
// capacity, which is what keeps a burst at any moment within the bound.
func checkTokens(t *rapid.T, s *simulation) {
	for _, team := range s.teams {
		most := s.mostTokens[team.Name()]
		assert.Assert(t, most <= s.settings.Capacity(team)+1e-6, "%.3f tokens of %s, capacity %.3f", most, team.Name(), s.settings.Capacity(team))
	}
}

// checkWindows checks that no window that begins at or after a time has more requests of a
// team than its bound.
func checkWindows(t *rapid.T, s *simulation, teams []routing.Team, from bootclock.Time) {
	for _, team := range teams {
		worst := s.worstWindow(team.Name(), from)
		assert.Assert(t, float64(worst) <= s.settings.Bound(team), "%d requests in a window, bound %.2f", worst, s.settings.Bound(team))
	}
}

// newFaultySimulation returns a simulation with random limits, load and faults.
func newFaultySimulation(t *rapid.T) *simulation {
	settings := quota.NewSettings(5*time.Second, rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "overage"), rapid.SampledFrom([]float64{0, 3, 20}).Draw(t, "slack"))
	s := newSimulation(rapid.Uint64().Draw(t, "seed"), settings, drawTeams(t), rapid.IntRange(1, 5).Draw(t, "vms"))
	s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
	s.slow = drawMillis(t, "slow", 0, 4000)
	s.slowShare = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "slow share")
	s.giveBack = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "give back")
	drawLeaders(t, s)
	drawFaults(t, s)
	drawLoad(t, s)
	drawSteadyLoad(t, s)
	s.watch = true
	return s
}

// The bound must hold whatever is lost, late, frozen, restarted or deposed.
func TestNoWindowExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFaultySimulation(t)
		s.runUntil(bootclock.Time(faultRun + 5*time.Second))
		checkTokens(t, s)
		checkWindows(t, s, s.teams, 0)
	})
}

// A lower limit must bind once all VMs had time to apply it, even if some hold tokens of
// the higher one.
func TestLowerLimitBinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFaultySimulation(t)
		changedAt := bootclock.Time(drawMillis(t, "changed at", 1, 12_000))
		var lower []routing.Team
		for _, team := range s.teams {
			factor := rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(t, "factor")
			lower = append(lower, routing.NewTeam(team.Name(), nil, 0).WithQuota(team.Rate()*factor, team.Burst()*factor))
		}
		s.at(changedAt, func() { s.setTeams(lower) })
		s.watchFrom = changedAt.Add(limitApplied)
		s.runUntil(bootclock.Time(faultRun + 5*time.Second))
		checkTokens(t, s)
		checkWindows(t, s, lower, s.watchFrom)
	})
}
