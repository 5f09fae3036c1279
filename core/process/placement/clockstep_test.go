package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/clockstep"
)

// timeSteps are steps of the time of day in seconds.
var timeSteps = []int64{-7200, -3, -1, 1, 3, 7200}

// Guards against a retry budget that a step of the time of day renews: the extra attempts of
// the window would count as older than it.
func TestClockStepsDoNotRenewTheBudget(t *testing.T) {
	start := time.Now()
	for _, step := range timeSteps {
		b, stepped := newBudget(NewLimits(0.2, 50, 10*time.Second, 1, 0), start), newBudget(NewLimits(0.2, 50, 10*time.Second, 1, 0), start)
		stepped.roundingOffset = b.roundingOffset
		taken := 0
		for n := range 3000 {
			now := start.Add(time.Duration(n) * 10 * time.Millisecond)
			other := now
			// The time of day is stepped and back again, each for a second.
			if n/100%2 == 1 {
				other = clockstep.Step(now, step)
			}
			b.countFirst(now)
			stepped.countFirst(other)
			want := b.tryTake(1, true, now)
			assert.Equal(t, stepped.tryTake(1, true, other), want, "step %d s, attempt %d", step, n)
			if want {
				taken++
			}
		}
		assert.Assert(t, taken > 0 && taken < 3000)
	}
}

// Guards against a cold target that gets the requests of a second twice because the time of
// day was stepped.
func TestClockStepsDoNotRenewColdCapacity(t *testing.T) {
	start := time.Now()
	allowance := coldAllowance{perSecond: 3}
	for _, step := range timeSteps {
		var sends coldSends
		sent := 0
		for n := range 20 {
			now := start.Add(time.Duration(n) * 10 * time.Millisecond)
			if n%2 == 1 {
				now = clockstep.Step(now, step)
			}
			if allowance.allows(sends, now) {
				sends.add(now)
				sent++
			}
		}
		assert.Equal(t, sent, allowance.perSecond, "step %d s", step)
		assert.Assert(t, allowance.allows(sends, start.Add(time.Second)))
	}
}
