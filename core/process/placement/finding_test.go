package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
)

// Checks that a VM that has not yet sent to a slow target avoids it once
// another VM has reported it, and uses it again once it is reported healthy.
func TestOtherVMsAvoidATargetReportedSlow(t *testing.T) {
	reporter := newTestFleet(newService(), "dc-1", "dc-1", "dc-1")
	receiver := newTestFleet(newService(), "dc-1", "dc-1", "dc-1")
	reporter.SetEntryVMs(60, start)
	receiver.SetEntryVMs(60, start)
	slow := true
	responseTime := func(id string) time.Duration {
		if slow && id == "i-0" {
			return 100 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	now := start
	for range 300 {
		now = now.Add(5 * time.Millisecond)
		sendAnswered(t, reporter, now, responseTime)
		if len(reporter.Findings(now.Add(100*time.Millisecond))) > 0 {
			break
		}
	}
	now = now.Add(100 * time.Millisecond)
	receiver.TakeFindings(reporter.Findings(now), now)
	// With 60 VMs, each sends a trial request only every 14 s, so at most one
	// falls into the half second of this loop.
	trials := 0
	for range 100 {
		now = now.Add(5 * time.Millisecond)
		if sendAnswered(t, receiver, now, responseTime) == "i-0" {
			trials++
		}
	}
	assert.Assert(t, trials <= 1, "%d requests", trials)
	receiver.TakeFindings([]discovery.HealthFinding{discovery.NewHealthFinding("i-0", false, 0)}, now)
	counts := make(map[string]int)
	slow = false
	for range 200 {
		now = now.Add(5 * time.Millisecond)
		counts[sendAnswered(t, receiver, now, responseTime)]++
	}
	assert.Assert(t, counts["i-0"] > 20, "%v", counts)
}

// Guards against avoiding a recovered target for too long. A VM that measured
// slow responses from the target must use it as soon as others report it
// healthy. It must not wait for its own trial request, which each of 60 VMs
// sends only every 14 s.
func TestTargetReportedHealthyIsUsedAgain(t *testing.T) {
	f := newTestFleet(newService(), "dc-1", "dc-1", "dc-1")
	f.SetEntryVMs(60, start)
	now := start
	responseTime := func(id string) time.Duration {
		if id == "i-0" {
			return 100 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	for range 200 {
		now = now.Add(5 * time.Millisecond)
		sendAnswered(t, f, now, responseTime)
	}
	now = now.Add(time.Second)
	f.TakeFindings([]discovery.HealthFinding{discovery.NewHealthFinding("i-0", false, 0)}, now)
	counts := make(map[string]int)
	for range 200 {
		now = now.Add(5 * time.Millisecond)
		counts[sendAnswered(t, f, now, func(string) time.Duration { return 10 * time.Millisecond })]++
	}
	assert.Assert(t, counts["i-0"] > 20, "%v", counts)
}

// Guards against late detection of a target that stops responding while
// requests are in flight: it must be reported to the other VMs long before the
// deadline of these requests.
func TestUnresponsiveTargetIsReportedEarly(t *testing.T) {
	f := newTestFleet(newService(), "dc-1", "dc-1")
	now := start
	for range 60 {
		now = now.Add(10 * time.Millisecond)
		sendAnswered(t, f, now, func(string) time.Duration { return 10 * time.Millisecond })
	}
	l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), now)
	assert.Assert(t, ok)
	tests := []struct {
		name     string
		elapsed  time.Duration
		reported bool
	}{
		{"within the longest pause", 120 * time.Millisecond, false},
		{"longer than any pause", 200 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reported := false
			for _, finding := range f.Findings(now.Add(tt.elapsed)) {
				reported = reported || finding.Unhealthy() && finding.ID() == l.Instance().ID()
			}
			assert.Equal(t, reported, tt.reported)
		})
	}
}
