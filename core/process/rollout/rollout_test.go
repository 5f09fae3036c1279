package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/rollout"
)

// badVersions are the sorts of bad version.
var badVersions = []struct {
	name    string
	version behaviour
}{
	{"all fail", func(*rand.Rand, time.Duration, int, int) (bool, float64) { return true, 1 }},
	{"a fifth fail", func(r *rand.Rand, _ time.Duration, _, _ int) (bool, float64) { return r.Float64() < 0.2, 1 }},
	{"slow", func(*rand.Rand, time.Duration, int, int) (bool, float64) { return false, 4 }},
	{"a third slow", func(r *rand.Rand, _ time.Duration, _, _ int) (bool, float64) {
		if r.Float64() < 0.33 {
			return false, 6
		}
		return false, 1
	}},
	{"never responds", func(*rand.Rand, time.Duration, int, int) (bool, float64) { return false, 1000 }},
	{"stops responding at 9 s", func(_ *rand.Rand, since time.Duration, _, _ int) (bool, float64) {
		if since > 9*time.Second {
			return false, 1000
		}
		return false, 1
	}},
	{"fails from 6 s on", func(_ *rand.Rand, since time.Duration, _, _ int) (bool, float64) { return since > 6*time.Second, 1 }},
	{"fails under load", failsUnderLoad},
	{"slow under load", func(_ *rand.Rand, _ time.Duration, _, load int) (bool, float64) {
		if load > 40 {
			return false, 4
		}
		return false, 1
	}},
	{"fails on a route with a tenth of the requests", func(_ *rand.Rand, _ time.Duration, route, _ int) (bool, float64) {
		return route == 2, 1
	}},
}

func failsUnderLoad(r *rand.Rand, _ time.Duration, _, load int) (bool, float64) {
	return load > 40 && r.Float64() < 0.5, 1
}

// exposure returns the requests that the new version got until the deadline, as a part of
// what a bad version may get.
func (s *simulation) exposure() float64 {
	return float64(s.sent) / (rollout.DefaultExposureShare*float64(s.all) + rollout.DefaultExposureSlack)
}

// checkBad checks that a bad version was rolled back within the bounds.
func checkBad(t *testing.T, s *simulation, maxExposure float64, what string) {
	t.Helper()
	assert.Equal(t, s.record.State(), rollout.RolledBack, "%s: %s", what, s.reason)
	assert.Assert(t, s.exposure() <= maxExposure, "%s: %d of %d requests", what, s.sent, s.all)
	if s.fiftiethBadAt > 0 {
		assert.Assert(t, s.lastSentAt-s.fiftiethBadAt <= rollout.DefaultRollbackTime, "%s: last request %s after the 50th bad response", what, s.lastSentAt-s.fiftiethBadAt)
	}
}

// Guards against a bad version, of each sort and with even and uneven callers, that stays or
// gets more than its share.
func TestBadVersionsAreRolledBack(t *testing.T) {
	for _, bad := range badVersions {
		for _, vms := range []int{9, 79} {
			for _, uneven := range []bool{false, true} {
				for seed := range uint64(2) {
					s := newSimulation(seed, vms, 90, 12*time.Second, bad.version)
					s.uneven = uneven
					checkBad(t, s.run(), 1, fmt.Sprintf("%s, %d VMs, uneven %t, seed %d", bad.name, vms, uneven, seed))
				}
			}
		}
	}
}

// Guards against a good version that has no verdict in time, and against requests that are
// lost when the old targets stop. With a few requests a second, two bad responses by chance
// among the few that the test has may roll a good version back.
func TestGoodVersionsSucceed(t *testing.T) {
	for _, rate := range []float64{3, 10, 90} {
		runs, rolledBack := 0, 0
		for _, duration := range []time.Duration{8 * time.Second, 12 * time.Second, 20 * time.Second} {
			for _, vms := range []int{9, 79} {
				for _, uneven := range []bool{false, true} {
					for seed := range uint64(2) {
						s := newSimulation(seed, vms, rate, duration, goodVersion)
						s.uneven = uneven
						s.run()
						runs++
						if s.record.State() == rollout.RolledBack {
							rolledBack++
							t.Logf("%v/s, %s, %d VMs, uneven %t, seed %d: %s", rate, duration, vms, uneven, seed, s.reason)
							continue
						}
						assert.Assert(t, s.endedAt < duration, "%s", s.endedAt)
						assert.Equal(t, s.lostAtEnd, 0, "requests at the old targets when they stop")
					}
				}
			}
		}
		allowed := runs / 20
		if rate == 90 {
			allowed = 0
		}
		assert.Assert(t, rolledBack <= allowed, "%v/s: %d of %d good versions were rolled back", rate, rolledBack, runs)
	}
}

// Guards against a late onset in a time at which the evidence from before outweighs it, and
// against a version with too few responses that is taken for good.
func TestLittleTraffic(t *testing.T) {
	for seed := range uint64(4) {
		s := newSimulation(seed, 79, 3, 12*time.Second, badVersions[0].version)
		checkBad(t, s.run(), 1, "3 requests a second, all fail")
		s = newSimulation(seed, 79, 3, 12*time.Second, badVersions[2].version)
		checkBad(t, s.run(), 1, "3 requests a second, slow")
		s = newSimulation(seed, 79, 0, 12*time.Second, goodVersion)
		checkBad(t, s.run(), 1, "no requests")
	}
}

type faultCase struct {
	name  string
	fault func(s *simulation, at time.Duration)
	// rollsBack is set if a good version can't be promoted before the deadline.
	rollsBack bool
}

func leaderLost(times ...time.Duration) func(*simulation, time.Duration) {
	return func(s *simulation, at time.Duration) {
		for _, when := range times {
			if at == when {
				s.loseLeader()
			}
		}
	}
}

func noQuorum(from, to time.Duration) func(*simulation, time.Duration) {
	return func(s *simulation, at time.Duration) { s.noQuorum = at >= from && at < to }
}

// cutOff cuts the first VMs off. They count as absent 1.5 s later.
func cutOff(vms int, from, to time.Duration) func(*simulation, time.Duration) {
	return func(s *simulation, at time.Duration) {
		for _, v := range s.vms[:vms] {
			switch at {
			case from:
				v.cut, v.cutAt = true, at
			case from + 1500*time.Millisecond:
				v.present = false
			case to:
				v.present, v.cut = true, false
				v.known = s.record
			}
		}
	}
}

// The test ends at 8.4 s of 12 s, and the stages after it follow within 1.4 s.
var faultCases = []faultCase{
	{"leader lost in the test", leaderLost(time.Second), false},
	{"leader lost in stage shift", leaderLost(8600 * time.Millisecond), false},
	{"leader lost in stage full", leaderLost(9200 * time.Millisecond), false},
	{"leader lost in stage closed", leaderLost(9600 * time.Millisecond), false},
	{"two leaders lost", leaderLost(2*time.Second, 6*time.Second), false},
	{"VM cut off in the test", cutOff(1, 3*time.Second, 6*time.Second), false},
	{"VM cut off while traffic moves", cutOff(1, 9*time.Second, time.Minute), false},
	{"nine VMs cut off", cutOff(9, 4*time.Second, time.Minute), false},
	{"VMs restart", func(s *simulation, at time.Duration) {
		if at > 0 && at%(500*time.Millisecond) == 0 && at < 8*time.Second {
			s.start(s.vms[s.random.IntN(len(s.vms))])
		}
	}, false},
	{"no quorum in the test", noQuorum(3*time.Second, 6*time.Second), false},
	{"no quorum before traffic moves", noQuorum(7*time.Second, 9*time.Second), false},
	{"no quorum until the deadline", noQuorum(9*time.Second, 12*time.Second), true},
}

// Guards against faults of the control VMs and of entry VMs in each stage that lose a good
// version, promote a bad one, or let a VM that is cut off go on with the new version.
func TestFaultsDuringRollouts(t *testing.T) {
	const maxAfterCut = 1300 * time.Millisecond
	for _, f := range faultCases {
		for _, vms := range []int{9, 79} {
			if f.name == "nine VMs cut off" && vms == 9 {
				continue
			}
			s := newSimulation(3, vms, 90, 12*time.Second, goodVersion)
			s.fault = f.fault
			s.run()
			assert.Equal(t, s.record.State() == rollout.Succeeded, !f.rollsBack, "%s, %d VMs: %s", f.name, vms, s.reason)
			assert.Equal(t, s.lostAtEnd, 0, f.name)
			assert.Assert(t, s.longestAfterCut <= maxAfterCut, "%s: %s", f.name, s.longestAfterCut)
			for _, bad := range []behaviour{badVersions[1].version, failsUnderLoad} {
				s = newSimulation(3, vms, 90, 12*time.Second, bad)
				s.fault = f.fault
				checkBad(t, s.run(), 1, fmt.Sprintf("%s, %d VMs", f.name, vms))
				assert.Assert(t, s.longestAfterCut <= maxAfterCut, "%s: %s", f.name, s.longestAfterCut)
			}
		}
	}
}
