package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/clockstep"
	"github.com/mulberrydale/mulberrydale/core/request/admission"
)

// Guards against departures that a step of the time of day removes: the expected wait would
// be that of a service without any, and requests be refused that could be served.
func TestClockStepsDoNotChangeTheExpectedWait(t *testing.T) {
	start := time.Now()
	for _, step := range []int64{-7200, -1, 1, 7200} {
		q := admission.NewQueue()
		for n := range 100 {
			q.RecordDeparture(start.Add(time.Duration(n) * 10 * time.Millisecond))
		}
		for range 30 {
			q.Join(start.Add(time.Minute))
		}
		now := start.Add(990 * time.Millisecond)
		want := q.ExpectedWait(now)
		assert.Assert(t, want > 0 && want < time.Second, "%v", want)
		assert.Equal(t, q.ExpectedWait(clockstep.Step(now, step)), want, "step %d s", step)
	}
}
