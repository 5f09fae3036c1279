package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// Guards against a VM that sends to other data centres for 18 s because a queue at its own
// target delayed two responses, while all other VMs use the target. A target that all VMs
// found slow, or that fails, still gets few trial requests.
func TestTargetSlowForOneVMIsTriedAgainSoon(t *testing.T) {
	tests := []struct {
		name     string
		reported bool
		fails    bool
		tried    bool
	}{
		{"slow for this VM", false, false, true},
		{"found slow by all", true, false, false},
		{"fails", false, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			f := linkFleet(now)
			f.SetEntryVMs(79, now)
			for range 10 {
				send(t, f, "dc-1", 0, 10*ms, now)
				now = now.Add(50 * ms)
			}
			for range 4 {
				send(t, f, "dc-1", 0, 60*ms, now)
				now = now.Add(200 * ms)
			}
			target := f.byID["i-dc-1"]
			if tt.fails {
				for range 8 {
					target.recordError()
				}
			}
			if tt.reported {
				f.TakeFindings([]discovery.HealthFinding{discovery.NewHealthFinding(target.id, true, 0)}, now.Add(1200*ms))
				target.lastSentAt = now
			}
			assert.Assert(t, target.slowdown > slowThreshold)
			assert.Assert(t, !f.trialDue(target, now.Add(500*ms)))
			assert.Equal(t, f.trialDue(target, now.Add(1300*ms)), tt.tried)
		})
	}
}
