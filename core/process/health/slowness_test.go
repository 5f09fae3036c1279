package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// Guards against an old slowness that replaces a later one, in whatever order the reports
// of many VMs arrive, and against passing on what says nothing any more.
func TestLatestSlownessIsPassedOnOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := NewSlownessTable()
	report := func(factor float64, age time.Duration) {
		table.Add([]discovery.Slowness{discovery.NewSlowness("i-1", factor, age)}, now)
	}
	report(2.5, 20*time.Millisecond)
	report(1, 60*time.Millisecond)
	report(3, maxSlownessAge+1)
	out := table.Take(now.Add(10 * time.Millisecond))
	assert.Assert(t, len(out) == 1 && out[0] == discovery.NewSlowness("i-1", 2.5, 30*time.Millisecond), "%v", out)
	report(1, 30*time.Millisecond)
	assert.Equal(t, len(table.Take(now)), 0)
	report(1, 10*time.Millisecond)
	assert.Equal(t, len(table.Take(now.Add(2*maxSlownessAge))), 0)
	assert.Equal(t, len(table.passedAt), 0)
}
