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
	{"fails from 6 s on", func(_ *rand.Rand, since time.Duration, _, _ int) (bool, float64) { return since > 6*time.Second, 1 }},
	{"fails under load", func(r *rand.Rand, _ time.Duration, _, load int) (bool, float64) {
		return load > 40 && r.Float64() < 0.5, 1
	}},
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

// TestTrial prints.
func TestTrial(t *testing.T) {
	for _, vms := range []int{9, 79} {
		for _, rate := range []float64{3, 10, 30, 90, 300} {
			for _, duration := range []time.Duration{8, 12, 20} {
				for _, uneven := range []bool{false, true} {
					line := ""
					for n := -1; n < len(badVersions); n++ {
						version := behaviour(goodVersion)
						if n >= 0 {
							version = badVersions[n].version
						}
						wrong, worst, latest, lost, ended := 0, 0.0, time.Duration(0), 0, time.Duration(0)
						for seed := range uint64(10) {
							s := newSimulation(seed, vms, rate, duration*time.Second, version)
							s.uneven = uneven
							s.run()
							want := rollout.RolledBack
							if n < 0 {
								want = rollout.Succeeded
								ended += s.endedAt / 10
								lost += s.lostAtEnd
							} else {
								worst = max(worst, float64(s.sent)/(0.1*float64(s.all)+50))
								if s.fiftieth > 0 {
									latest = max(latest, s.lastSent-s.fiftieth)
								}
							}
							if s.record.State() != want {
								wrong++
								if n < 0 {
									fmt.Println("   ", s.reason, s.endedAt)
								}
							}
						}
						if n < 0 {
							line += fmt.Sprintf(" good wrong %d ended %.1f lost %d |", wrong, ended.Seconds(), lost)
						} else {
							line += fmt.Sprintf(" %d %.2f %.1f;", wrong, worst, latest.Seconds())
						}
					}
					fmt.Println(vms, rate, int(duration), uneven, line)
				}
			}
		}
	}
	assert.Assert(t, true)
}
