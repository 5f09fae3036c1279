package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// fixedDelay answers every attempt after the same time.
type fixedDelay struct{ delay time.Duration }

func (f fixedDelay) Send(_ context.Context, a relay.Attempt, _ time.Time) relay.Outcome {
	time.Sleep(f.delay)
	return relay.NewAnswered(relay.NewResponse(200, nil, nil, a.Instance().ID()), relay.Load{})
}

// A VM that was busy and sends a query 30 ms after its arrival must not take its own
// delay for one of the targets and send hedges 5 ms later, which would make it busier.
func TestHedgesWaitForTheTargetAndNotForThisVM(t *testing.T) {
	tests := []struct {
		name   string
		delay  time.Duration
		hedged bool
	}{
		{"targets in time", 20 * time.Millisecond, false},
		{"targets overdue", 50 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, list := newSimCluster(1, fault{})
				f := placement.NewFleet("vm-1", "dc-1", placement.NewLimits(0.2, 20, 10*time.Second, 1.5, 5), time.Now().Add(-time.Minute))
				d := New(f, fixedDelay{delay: tt.delay})
				d.SetTable(routing.NewTable(1, []routing.Route{replayRoute()}, replayServices(0), routing.Limits{}))
				f.SetEntryVMs(1, time.Now())
				f.SetTargets(list, time.Now())
				r := relay.NewRequest("id", "GET", "h", "/", "/", nil, nil, time.Now().Add(-30*time.Millisecond)).WithTimeout(600 * time.Millisecond)
				_, trace := d.Answer(t.Context(), r)
				assert.Equal(t, trace.Hedges() > 0, tt.hedged, "%d hedges", trace.Hedges())
				time.Sleep(time.Second)
			})
		})
	}
}
