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
	// The reporter chooses among equal targets by chance, so that it may take some time
	// until it has sent enough requests to the slow one.
	for range 3000 {
		now = now.Add(5 * time.Millisecond)
		sendAnswered(t, reporter, now, responseTime)
		if len(reporter.Findings(now.Add(100*time.Millisecond))) > 0 {
			break
		}
	}
	now = now.Add(100 * time.Millisecond)
	findings := reporter.Findings(now)
	assert.Assert(t, len(findings) > 0, "the slow target was not found")
	receiver.TakeFindings(findings, now)
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
	// The finding must be later than the response to a trial request of the last 100 ms,
	// which otherwise is the better knowledge of this VM.
	now = now.Add(200 * time.Millisecond)
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

// A response of 130 ms, which a single pause explains, must not keep requests from a
// target until the next trial request, which with 60 VMs is up to 14 s later. Nor may
// it be reported as a finding; the other VMs' responses decide whether it was more.
func TestOneLateResponseIsNotConclusive(t *testing.T) {
	f := newTestFleet(newService(), "dc-1", "dc-1", "dc-1")
	f.SetEntryVMs(60, start)
	now := start
	lateID := ""
	for n := range 100 {
		// Each target has one response a second from all VMs together, so that
		// all late ones are reported.
		now = now.Add(20 * time.Second)
		id := sendAnswered(t, f, now, func(string) time.Duration {
			if n == 60 {
				return 130 * time.Millisecond
			}
			return 10 * time.Millisecond
		})
		if n == 60 {
			lateID = id
			break
		}
	}
	now = now.Add(140 * time.Millisecond)
	assert.Equal(t, len(f.Findings(now)), 0)
	late := f.LateResponses(now)
	assert.Equal(t, len(late), 1)
	assert.Equal(t, late[0].ID(), lateID)
	assert.Equal(t, len(f.LateResponses(now)), 0)
	// One second later the target gets its share again.
	now = now.Add(time.Second)
	counts := make(map[string]int)
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		counts[sendAnswered(t, f, now, func(string) time.Duration { return 10 * time.Millisecond })]++
	}
	assert.Assert(t, counts[lateID] > 20, "%v", counts)
}

// Slow responses that no single pause explains show this VM by themselves that a
// target is slow.
func TestRepeatedSlowResponsesAreConclusive(t *testing.T) {
	f := newTestFleet(newService(), "dc-1")
	now := start
	for range 20 {
		now = now.Add(20 * time.Millisecond)
		sendAnswered(t, f, now, func(string) time.Duration { return 10 * time.Millisecond })
	}
	for n := range 3 {
		assert.Equal(t, len(f.Findings(now)), 0, "after %d slow responses", n)
		now = now.Add(200 * time.Millisecond)
		sendAnswered(t, f, now, func(string) time.Duration { return 50 * time.Millisecond })
		now = now.Add(60 * time.Millisecond)
		if len(f.Findings(now)) == 1 {
			assert.Assert(t, n > 0, "after the first slow response")
			return
		}
	}
	t.Fatal("three slow responses within 0.6 s were no finding")
}

// What other VMs found stays in use after a late response of this VM's own, which
// does not contradict it.
func TestOwnLateResponseConfirmsAFindingOfOthers(t *testing.T) {
	f := newTestFleet(newService(), "dc-1", "dc-1", "dc-1")
	f.SetEntryVMs(60, start)
	now := start
	for range 60 {
		now = now.Add(20 * time.Millisecond)
		sendAnswered(t, f, now, func(string) time.Duration { return 10 * time.Millisecond })
	}
	l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), now)
	assert.Assert(t, ok)
	id := l.Instance().ID()
	now = now.Add(60 * time.Millisecond)
	f.TakeFindings([]discovery.HealthFinding{discovery.NewHealthFinding(id, true, 0)}, now)
	now = now.Add(20 * time.Millisecond)
	l.Succeeded(now)
	sent := 0
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		chosen := sendAnswered(t, f, now, func(chosen string) time.Duration {
			if chosen == id {
				return 80 * time.Millisecond
			}
			return 10 * time.Millisecond
		})
		if chosen == id {
			sent++
		}
	}
	assert.Assert(t, sent <= 1, "%d requests to a target that others found slow", sent)
}

// Of a target with many responses only some late ones are reported, with the interval
// that they stand for, so that the volume is bounded.
func TestLateResponsesAreSampledAtHighRates(t *testing.T) {
	tests := []struct {
		name     string
		interval time.Duration
		minKept  int
		maxKept  int
		reported time.Duration
	}{
		{"one response of each target a second", 20 * time.Second, 40, 40, time.Second},
		{"1000 responses of each target a second", 20 * time.Millisecond, 0, 8, 25 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newTestFleet(newService(), "dc-1", "dc-1", "dc-1")
			f.SetEntryVMs(60, start)
			now := start
			send := func(n int, responseTime time.Duration) {
				for range n {
					now = now.Add(tt.interval)
					sendAnswered(t, f, now, func(string) time.Duration { return responseTime })
				}
			}
			send(64, 10*time.Millisecond)
			send(20, 50*time.Millisecond)
			send(64, 10*time.Millisecond)
			send(20, 50*time.Millisecond)
			late := f.LateResponses(now)
			assert.Assert(t, len(late) >= tt.minKept && len(late) <= tt.maxKept, "%d reported", len(late))
			for _, r := range late {
				assert.Assert(t, r.Interval() >= tt.reported/2 && r.Interval() <= 2*tt.reported, "%v", r.Interval())
			}
		})
	}
}
