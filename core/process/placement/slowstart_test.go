package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

var startTime = time.Unix(1_000_000, 0)

// A share that grows by what was observed before it last changed, or several times within a
// burst, floods the target.
func TestShareChangesOnlyByNewEvidence(t *testing.T) {
	at := func(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }
	for _, tt := range []struct {
		name     string
		evidence startEvidence
		observed int
		now      int
		want     float64
	}{
		{"normal", startNormal, 350, 400, 0.4},
		{"normal, before the last change", startNormal, -10, 400, 0.2},
		{"normal, soon after it", startNormal, 100, 100, 0.2},
		{"busy", startBusy, 400, 400, 0.2},
		{"overloaded", startOverloaded, 400, 400, 0.1},
		{"failed, soon after", startFailed, 100, 100, 0.05},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := beginSlowStart(0.05, at(-1000))
			s.setShare(0.2, at(0))
			s.add(tt.evidence, at(tt.observed), at(tt.now))
			assert.Equal(t, s.share, tt.want)
		})
	}
}

// A VM that hears nothing of a target must use it again within seconds.
func TestShareGrowsWithoutEvidence(t *testing.T) {
	s := beginSlowStart(minInitialShare, startTime)
	now := startTime
	for !s.done() {
		now = now.Add(100 * time.Millisecond)
		s.advance(now)
	}
	assert.Assert(t, now.Sub(startTime) <= 13*time.Second, "%v", now.Sub(startTime))
}

// startFleet returns a fleet of one of 79 VMs with targets that have answered requests if
// used is set.
func startFleet(targets int, used bool) *Fleet {
	f := NewFleet("vm-1", "dc-1", NewLimits(0.2, 0, 10*time.Second, 1.5, 5), startTime.Add(-time.Minute))
	f.SetServices(routing.NewTable(1, nil, nil, routing.Limits{}))
	f.SetEntryVMs(79, startTime)
	f.SetTargets(startList(targets), startTime)
	for range 20 {
		if used {
			l, _ := f.Acquire(NewLeaseRequest("s-1", "k"), startTime)
			l.Succeeded(startTime.Add(10 * time.Millisecond))
		}
	}
	return f
}

func startList(targets int) discovery.List {
	var out []discovery.Instance
	for n := range targets {
		out = append(out, discovery.NewInstance(fmt.Sprintf("i-%d", n), "s-1", fmt.Sprintf("10.0.0.%d:80", n), "dc-1", 2))
	}
	return discovery.NewList(out, uint64(targets), startTime)
}

// The first list of a VM and a set of shards without requests must not begin with limits.
func TestSlowStartBeginsOnlyBesideOtherTargets(t *testing.T) {
	for _, tt := range []struct {
		name          string
		before, after int
		used          bool
		want          bool
	}{
		{"first list", 0, 3, false, false},
		{"a service without requests", 2, 3, false, false},
		{"a target more", 2, 3, true, true},
		{"a second target", 1, 2, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := startFleet(tt.before, tt.used)
			f.SetTargets(startList(tt.after), startTime.Add(time.Second))
			started := f.byID[fmt.Sprintf("i-%d", tt.after-1)]
			assert.Equal(t, started.start.active(), tt.want)
		})
	}
}

// Limits of slow starts must never leave a request without a target that would have had one.
func TestTargetInSlowStartIsUsedIfNoOtherCanBe(t *testing.T) {
	f := startFleet(2, true)
	now := startTime.Add(time.Second)
	f.SetTargets(startList(3), now)
	f.SetTargets(startList(3), now)
	started := f.byID["i-2"]
	started.lastSentAt = now
	for _, id := range []string{"i-0", "i-1"} {
		f.byID[id].recordNoResponse(now)
	}
	l, ok := f.Acquire(NewLeaseRequest("s-1", "k"), now)
	assert.Assert(t, ok)
	assert.Equal(t, l.Target().ID(), "i-2")
}

// VMs that have just seen a target start must not all send their first request to it.
func TestFirstRequestsOfManyVMsAreSpread(t *testing.T) {
	now := startTime.Add(time.Second)
	sent := 0
	for vm := range 300 {
		f := startFleet(2, true)
		f.vm = fmt.Sprintf("vm-%d", vm)
		f.SetTargets(startList(3), now)
		if l, ok := f.Acquire(NewLeaseRequest("s-1", "k"), now); ok && l.Target().ID() == "i-2" {
			sent++
		}
	}
	assert.Assert(t, sent <= 50, "%d of 300, 100 without a slow start", sent)
}

// A declared rate of a cold target remains the limit, and its responses within it say
// nothing about a larger share.
func TestDeclaredColdRateBoundsASlowStart(t *testing.T) {
	f := startFleet(2, true)
	f.groups["s-1"].declared = routing.NewService("s-1", "").WithWarmUp(5*time.Second, 1)
	now := startTime.Add(time.Second)
	f.SetTargets(startList(3), now)
	started := f.byID["i-2"]
	started.coldUntil = now.Add(5 * time.Second)
	initial := started.start.share
	f.observeStart(started, startNormal, now.Add(time.Second), now.Add(time.Second))
	assert.Equal(t, started.start.share, initial)
}

// Each slow start has one line at its begin, with the cause, and one at its end.
func TestSlowStartIsLogged(t *testing.T) {
	f := startFleet(2, true)
	now := startTime.Add(time.Second)
	f.SetTargets(startList(3), now)
	for range 5 {
		now = now.Add(time.Second)
		f.mu.Lock()
		f.observeStart(f.byID["i-2"], startNormal, now, now)
		f.mu.Unlock()
	}
	changes := f.TakeChanges()
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, changes[0].Kind(), TargetStartsSlowly)
	assert.Equal(t, changes[0].Cause(), causeListed)
	assert.Equal(t, changes[1].Kind(), TargetTakesItsShare)
	assert.Assert(t, changes[1].Wait() > 0)
}
