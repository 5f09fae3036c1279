package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// reportFigure lets the target of the own data centre answer with a slowness.
func reportFigure(t *testing.T, f *Fleet, factor float64, now time.Time) {
	t.Helper()
	l, ok := f.Acquire(NewLeaseRequest("s-1", "k").ExtraAttempt([]*Target{f.byID["i-dc-2"], f.byID["i-dc-3"]}, true), now)
	assert.Assert(t, ok)
	l.ReportSlowness(factor, now)
	l.Succeeded(now)
}

// Guards against 79 VMs that tell each other of each response: only changes are news, and
// that a target is still slow, but not what another VM has just reported.
func TestOnlyNewsOfSlownessIsReported(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := linkFleet(now)
	steps := []struct {
		name   string
		after  time.Duration
		factor float64
		told   float64
		want   int
	}{
		{"normal", 0, 1, 0, 0},
		{"becomes slow", 10 * ms, 2.5, 0, 1},
		{"still slow, just reported", 20 * ms, 2.5, 0, 0},
		{"still slow, reported a while ago", slownessRenewal + ms, 2.5, 0, 1},
		{"normal again", 10 * ms, 1, 0, 1},
		{"still normal", 10 * ms, 1, 0, 0},
		{"slow, known from another VM", 10 * ms, 2.5, 2.5, 0},
		{"normal, known from another VM", 10 * ms, 1, 1, 0},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		if s.told > 0 {
			f.TakeSlowness([]discovery.Slowness{discovery.NewSlowness("i-dc-1", s.told, ms)}, now)
		}
		reportFigure(t, f, s.factor, now)
		assert.Equal(t, len(f.SlownessReports(now)), s.want, s.name)
	}
}

// Guards against a choice that ignores a fresh slowness of another VM, keeps to it when it
// is old, or believes one that no target can mean.
func TestChoiceFollowsFreshSlowness(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := linkFleet(now)
	for range 10 {
		send(t, f, "dc-1", 0, 20*ms, now)
		send(t, f, "dc-2", 3*ms, 23*ms, now)
		now = now.Add(50 * ms)
	}
	choice := func(at time.Time) string {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.choose(f.group("s-1"), "k", nil, at).id
	}
	take := func(factor float64) {
		f.TakeSlowness([]discovery.Slowness{discovery.NewSlowness("i-dc-1", factor, 0), discovery.NewSlowness("i-x", factor, 0)}, now)
	}
	assert.Equal(t, choice(now), "i-dc-1")
	take(0)
	take(1e6)
	assert.Equal(t, choice(now), "i-dc-1")
	take(2.5)
	assert.Assert(t, choice(now.Add(10*ms)) != "i-dc-1")
	assert.Equal(t, choice(now.Add(1500*ms)), "i-dc-1")
}

// Guards against targets that all VMs avoid for seconds after a spell of half a second,
// and against not noticing a target that is slow beyond what its machine explains.
func TestSpellsDontMakeTargetsUnhealthy(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := linkFleet(now)
	answer := func(factor float64, took time.Duration) {
		now = now.Add(50 * ms)
		l, ok := f.Acquire(NewLeaseRequest("s-1", "k").ExtraAttempt([]*Target{f.byID["i-dc-2"], f.byID["i-dc-3"]}, true), now)
		assert.Assert(t, ok)
		l.Sent(now)
		now = now.Add(took)
		l.ReportSlowness(factor, now)
		l.Succeeded(now)
	}
	for range 20 {
		answer(1, 10*ms)
	}
	for range 10 {
		answer(2.5, 25*ms)
	}
	assert.Equal(t, len(f.Findings(now))+len(f.LateResponses(now)), 0)
	for range 10 {
		answer(1, 80*ms)
	}
	assert.Assert(t, len(f.Findings(now)) == 1 && len(f.LateResponses(now)) > 0)
}
