package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// targetLoad is a simulated target: its responses to all VMs together come at a rate,
// a share of them is late by chance, and a pause of 120 ms each 3 s delays those of
// its time until its end.
type targetLoad struct {
	rate      float64
	lateShare float64
}

// run adds the late responses of a span to a table and returns the time of the first
// unhealthy verdict after its start, or false if there was none.
func (l targetLoad) run(table *Table, rng *rand.Rand, from time.Time, span time.Duration) (time.Duration, bool) {
	const pauseInterval, pause = 3 * time.Second, 120 * time.Millisecond
	interval := time.Duration(float64(time.Second) / l.rate)
	for elapsed := time.Duration(0); elapsed < span; elapsed += time.Duration(rng.ExpFloat64() * float64(interval)) {
		at := from.Add(elapsed)
		paused := elapsed%pauseInterval < pause
		if !paused && rng.Float64() >= l.lateShare {
			continue
		}
		if paused {
			at = at.Add(pause - elapsed%pauseInterval + time.Duration(rng.Int64N(int64(10*time.Millisecond))))
		}
		// Half of the rate: the VMs' estimates are not exact.
		table.AddLate([]discovery.LateResponse{discovery.NewLateResponse("i-1", 0, interval*3/2)}, at)
		if isUnhealthy(table, at) {
			return elapsed, true
		}
	}
	return 0, false
}

// isUnhealthy reports whether the verdict on the only target is unhealthy.
func isUnhealthy(table *Table, now time.Time) bool {
	verdicts := table.Verdicts(now)
	return len(verdicts) == 1 && verdicts[0].Unhealthy()
}

// Late responses that happen by chance, and pauses, must not show a target to be
// slow for more than half a percent of the time, whatever its load. A wrong verdict
// lasts lifetime at most, so three in 2000 seconds are allowed.
func TestChanceAndPausesAreNotConclusive(t *testing.T) {
	const span = 200 * time.Second
	for _, rate := range []float64{0.5, 2, 8, 40} {
		found := 0
		for seed := range uint64(10) {
			rng := rand.New(rand.NewPCG(seed, 1))
			if _, ok := (targetLoad{rate: rate, lateShare: 0.02}).run(NewTable(), rng, time.Unix(1_000_000, 0), span); ok {
				found++
			}
		}
		assert.Assert(t, found <= 3, "%g responses a second: unhealthy in %d of 10 runs of %v", rate, found, span)
	}
}

// A target whose responses are all late is found after a few of them, however few
// requests each VM sends. Now and then there is no response for some time by chance.
func TestSlowTargetIsFoundSoon(t *testing.T) {
	tests := []struct {
		rate   float64
		within time.Duration
	}{
		{40, 500 * time.Millisecond},
		{10, time.Second},
		{2, 8 * time.Second},
	}
	for _, tt := range tests {
		soon := 0
		for seed := range uint64(100) {
			rng := rand.New(rand.NewPCG(seed, 2))
			// One second after the start of a pause, as it hides nothing then.
			after, ok := (targetLoad{rate: tt.rate, lateShare: 0.95}).run(NewTable(), rng, time.Unix(1_000_001, 0), 20*time.Second)
			if ok && after <= tt.within {
				soon++
			}
		}
		assert.Assert(t, soon >= 95, "%g responses a second: found within %v in %d of 100 runs", tt.rate, tt.within, soon)
	}
}

// VMs that avoid a slow target send it only trial requests. Late responses to these
// keep it unhealthy; a normal one after minHealthySpan shows that it has recovered.
func TestTrialRequestsDecideOnASlowTarget(t *testing.T) {
	table := NewTable()
	now := time.Unix(1_000_000, 0)
	rng := rand.New(rand.NewPCG(1, 3))
	after, ok := (targetLoad{rate: 40, lateShare: 1}).run(table, rng, now, time.Second)
	assert.Assert(t, ok)
	now = now.Add(after)
	for range 10 {
		now = now.Add(700 * time.Millisecond)
		table.AddLate([]discovery.LateResponse{discovery.NewLateResponse("i-1", 0, 25*time.Millisecond)}, now)
		assert.Assert(t, isUnhealthy(table, now))
	}
	healthy := []discovery.HealthFinding{discovery.NewHealthFinding("i-1", false, 0)}
	table.AddFindings(healthy, now.Add(300*time.Millisecond))
	assert.Assert(t, isUnhealthy(table, now.Add(300*time.Millisecond)))
	now = now.Add(700 * time.Millisecond)
	table.AddFindings(healthy, now)
	assert.Assert(t, !isUnhealthy(table, now))
	// One late response afterwards does not show that it is slow again.
	table.AddLate([]discovery.LateResponse{discovery.NewLateResponse("i-1", 0, 25*time.Millisecond)}, now.Add(900*time.Millisecond))
	assert.Assert(t, !isUnhealthy(table, now.Add(900*time.Millisecond)))
	table.AddFindings([]discovery.HealthFinding{discovery.NewHealthFinding("i-1", true, 0)}, now.Add(950*time.Millisecond))
	assert.Assert(t, !isUnhealthy(table, now.Add(950*time.Millisecond)))
}

// Reports that arrive late, twice or out of order change nothing that they should not.
func TestOldLateResponses(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var l lateResponses
	l.add(now, time.Second)
	l.add(now.Add(-lateSlots*lateSlot), time.Second)
	l.add(now.Add(-time.Hour), time.Second)
	l.add(now, time.Second)
	assert.Equal(t, l.slots, uint64(1))
	l.add(now.Add(-2*lateSlot), time.Second)
	assert.Equal(t, l.slots, uint64(5))
	l.add(now.Add(time.Hour), time.Second)
	assert.Equal(t, l.slots, uint64(1))
}

// Slots were numbered by the time of day. After it had been set back, late responses
// counted as too old until nothing else was observed of the target.
func TestSlotsDoNotDependOnTheTimeOfDay(t *testing.T) {
	var want lateResponses
	for n, start := range []time.Time{time.Unix(1_000_000, 0), time.Unix(1_000_000, 33_000_000), time.Unix(7, 49_999_999)} {
		var l lateResponses
		for _, after := range []time.Duration{0, 70 * time.Millisecond, 130 * time.Millisecond, 40 * time.Millisecond, 400 * time.Millisecond} {
			l.add(start.Add(after), time.Second)
		}
		if n == 0 {
			want = l
		}
		assert.Equal(t, l.slots, want.slots)
		assert.Equal(t, l.latest, want.latest)
	}
}

// The responses that a pause delays may lie in two slots, which must not count for more
// than those in one.
func TestCountLate(t *testing.T) {
	tests := []struct {
		slots uint64
		want  int
	}{{0, 0}, {0b1, 1}, {0b11, 1}, {0b1011, 2}, {0b111, 3}, {0b110011, 2}, {1<<63 | 1<<62, 1}, {0b1111, 4}}
	for _, tt := range tests {
		assert.Equal(t, countLate(tt.slots), tt.want, "%b", tt.slots)
	}
}
