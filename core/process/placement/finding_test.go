package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
)

// One VM finds a target slow; another one that has not met it yet avoids it,
// until it is found to answer well again.
func TestFindingsOfOneVMSpareTheOthers(t *testing.T) {
	one := fleet(service(), "dc-1", "dc-1", "dc-1")
	other := fleet(service(), "dc-1", "dc-1", "dc-1")
	one.SetEntryVMs(60, start)
	other.SetEntryVMs(60, start)
	slow := true
	took := func(id string) time.Duration {
		if slow && id == "i-0" {
			return 100 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	now := start
	for range 300 {
		now = now.Add(5 * time.Millisecond)
		answer(t, one, now, took)
		if len(one.Findings(now.Add(100*time.Millisecond))) > 0 {
			break
		}
	}
	now = now.Add(100 * time.Millisecond)
	other.TakeFindings(one.Findings(now), now)
	// In half a second each of 60 VMs may try it once at most.
	trials := 0
	for range 100 {
		now = now.Add(5 * time.Millisecond)
		if answer(t, other, now, took) == "i-0" {
			trials++
		}
	}
	assert.Assert(t, trials <= 1, "%d requests", trials)
	other.TakeFindings([]discovery.HealthFinding{discovery.NewHealthFinding("i-0", false, 0)}, now)
	counts := make(map[string]int)
	slow = false
	for range 200 {
		now = now.Add(5 * time.Millisecond)
		counts[answer(t, other, now, took)]++
	}
	assert.Assert(t, counts["i-0"] > 20, "%v", counts)
}

// The load: a target was slow for all VMs and is well again. A VM that met it
// while it was slow uses it as soon as others have found it well, and not only
// after a trial of its own, which 60 VMs make once in 14 s.
func TestWhatOthersFindWellIsUsedAgain(t *testing.T) {
	f := fleet(service(), "dc-1", "dc-1", "dc-1")
	f.SetEntryVMs(60, start)
	now := start
	slow := func(id string) time.Duration {
		if id == "i-0" {
			return 100 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	for range 200 {
		now = now.Add(5 * time.Millisecond)
		answer(t, f, now, slow)
	}
	now = now.Add(time.Second)
	f.TakeFindings([]discovery.HealthFinding{discovery.NewHealthFinding("i-0", false, 0)}, now)
	counts := make(map[string]int)
	for range 200 {
		now = now.Add(5 * time.Millisecond)
		counts[answer(t, f, now, func(string) time.Duration { return 10 * time.Millisecond })]++
	}
	assert.Assert(t, counts["i-0"] > 20, "%v", counts)
}

// The load: a target falls silent while requests from here are on their way.
// The others are told long before the requests' time is up.
func TestASilentTargetIsToldAtOnce(t *testing.T) {
	f := fleet(service(), "dc-1", "dc-1")
	now := start
	for range 60 {
		now = now.Add(10 * time.Millisecond)
		answer(t, f, now, func(string) time.Duration { return 10 * time.Millisecond })
	}
	l, ok := f.Acquire(placement.NewAsk("s-1", "k"), now)
	assert.Assert(t, ok)
	tests := []struct {
		name  string
		after time.Duration
		told  bool
	}{
		{"it may still pause", 120 * time.Millisecond, false},
		{"no pause takes that long", 200 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			told := false
			for _, finding := range f.Findings(now.Add(tt.after)) {
				told = told || finding.Unhealthy() && finding.ID() == l.Target().Instance().ID()
			}
			assert.Equal(t, told, tt.told)
		})
	}
}
