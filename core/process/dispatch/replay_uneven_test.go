package dispatch

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// siteReplays are the replayed sites.
var siteReplays = []struct {
	name string
	site site
}{
	{"quiet, 4.4 ms links", site{link: 4400 * time.Microsecond, rate: 100}},
	{"quiet, 0.5 ms links", site{link: 500 * time.Microsecond, rate: 100}},
	{"spells, without figures, 1.4 ms links", site{link: 1400 * time.Microsecond, rate: 100, noisy: true}},
	{"spells, 1.4 ms links", site{link: 1400 * time.Microsecond, rate: 100, noisy: true, figures: true}},
	{"spells, 4.4 ms links", site{link: 4400 * time.Microsecond, rate: 100, noisy: true, figures: true}},
	{"spells, high load, 1.4 ms links", site{link: 1400 * time.Microsecond, rate: 220, noisy: true, figures: true}},
	{"waves, 4.4 ms links", site{link: 4400 * time.Microsecond, rate: 160, swing: 0.55, period: 15 * time.Second, uneven: true, duration: 17 * time.Second}},
	{"waves and spells, 4.4 ms links", site{link: 4400 * time.Microsecond, rate: 160, swing: 0.55, period: 15 * time.Second, uneven: true, noisy: true, figures: true, duration: 17 * time.Second}},
	{"waves and spells, 1.4 ms links", site{link: 1400 * time.Microsecond, rate: 160, swing: 0.55, period: 15 * time.Second, uneven: true, noisy: true, figures: true, duration: 17 * time.Second}},
}

// Prints the replays of sites if REPLAY is set: they take too long for each test run.
func TestSiteReplays(t *testing.T) {
	if os.Getenv("REPLAY") == "" {
		t.Skip("set REPLAY=1 to run the replays of sites")
	}
	for _, tt := range siteReplays {
		for seed := uint64(1); seed <= 2; seed++ {
			var stats *siteStats
			synctest.Test(t, func(*testing.T) { stats = newSiteRun(tt.site, seed).run() })
			fmt.Printf("%s, seed %d\n%v\n", tt.name, seed, stats)
			assert.Check(t, stats.mostOpen <= siteConnections, "%d connections at a target", stats.mostOpen)
		}
	}
}
