package dispatch

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	shortLink = 500 * time.Microsecond
	midLink   = 1400 * time.Microsecond
	longLink  = 4400 * time.Microsecond
	// sharingInterval is the interval of package cluster.
	sharingInterval = 50 * time.Millisecond
	wavePeriod      = 15 * time.Second
	waveSwing       = 0.55
	waveDuration    = 19 * time.Second
	boundsDuration  = 7 * time.Second
	// boundsPlays is the number of plays whose counts TestSiteBounds adds up. Plays of one seed
	// differ, since goroutines run in any order: with spells, the share of first attempts to
	// other data centres has a standard deviation of half its distance to the bound.
	boundsPlays = 6
)

// siteReplays are the replayed sites.
var siteReplays = []struct {
	name string
	site site
}{
	{"quiet, 4.4 ms links", site{link: longLink, rate: 100}},
	{"quiet, 0.5 ms links", site{link: shortLink, rate: 100}},
	{"spells without figures, 1.4 ms links", site{link: midLink, rate: 100, noisy: true}},
	{"spells, 1.4 ms links", site{link: midLink, rate: 100, noisy: true, figures: true, sharing: sharingInterval}},
	{"spells, 4.4 ms links", site{link: longLink, rate: 100, noisy: true, figures: true, sharing: sharingInterval}},
	{"spells not shared, 4.4 ms links", site{link: longLink, rate: 100, noisy: true, figures: true}},
	{"spells, high load, 1.4 ms links", site{link: midLink, rate: 220, noisy: true, figures: true, sharing: sharingInterval}},
	{"waves over the local capacity, 4.4 ms links", site{link: longLink, rate: 250, swing: waveSwing, period: wavePeriod, duration: waveDuration}},
	{"waves over the local capacity, 1.4 ms links", site{link: midLink, rate: 250, swing: waveSwing, period: wavePeriod, duration: waveDuration}},
	{"waves, 4.4 ms links", site{link: longLink, rate: 160, swing: waveSwing, period: wavePeriod, uneven: true, duration: waveDuration}},
	{"waves and spells, 4.4 ms links", site{link: longLink, rate: 160, swing: waveSwing, period: wavePeriod, uneven: true, noisy: true, figures: true, sharing: sharingInterval, duration: waveDuration}},
	{"waves and spells, 1.4 ms links", site{link: midLink, rate: 160, swing: waveSwing, period: wavePeriod, uneven: true, noisy: true, figures: true, sharing: sharingInterval, duration: waveDuration}},
}

// play plays a site and returns what was counted.
func (s site) play(t *testing.T, seed uint64) *siteStats {
	var stats *siteStats
	synctest.Test(t, func(*testing.T) { stats = newSiteRun(s, seed).run() })
	return stats
}

// Prints the replays of sites if REPLAY is set, with REPLAY_SEEDS seeds each: they take too
// long for each test run. The bounds of two of them are in TestSiteBounds.
func TestSiteReplays(t *testing.T) {
	if os.Getenv("REPLAY") == "" {
		t.Skip("set REPLAY=1 to run the replays of sites")
	}
	seeds, err := strconv.ParseUint(os.Getenv("REPLAY_SEEDS"), 10, 64)
	if err != nil {
		seeds = 2
	}
	for _, tt := range siteReplays {
		t.Run(tt.name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				stats := tt.site.play(t, seed)
				fmt.Printf("%s, seed %d\n%v\n  first attempts of dc-0 to others, %% in each half second: %v\n", tt.name, seed, stats, stats.spill())
			}
		})
	}
}

// Guards against requests that go to other data centres without need, against connections
// that are opened for them, and against late answers of the urgent kind. Before the link was
// measured 0.12 of the first attempts of a quiet site went to other data centres and 0.105
// connections were opened a send; with spells 0.23 and 0.13.
func TestSiteBounds(t *testing.T) {
	tests := []struct {
		name                string
		site                site
		credit              float64
		remoteFirsts, dials float64
	}{
		{"quiet, 4.4 ms links", site{link: longLink, rate: 100, duration: boundsDuration}, 0.997, 0.06, 0.07},
		{"spells, 4.4 ms links", site{link: longLink, rate: 100, noisy: true, figures: true, sharing: sharingInterval, duration: boundsDuration}, 0.985, 0.12, 0.075},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stats := tt.site.play(t, 1)
			for seed := uint64(2); seed <= boundsPlays; seed++ {
				stats.add(tt.site.play(t, seed))
			}
			urgent := stats.kinds[urgentRoute]
			assert.Check(t, urgent.credit/float64(urgent.requests) >= tt.credit, "%v", stats)
			assert.Check(t, stats.remoteFirsts() <= tt.remoteFirsts, "%v", stats)
			assert.Check(t, stats.dialShare() <= tt.dials, "%v", stats)
		})
	}
}
