package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
)

// Guards against uneven use of remote targets: 76 VMs have no target in their
// own data centre, and the service has three targets elsewhere. Each VM must
// send mostly to one of them, and the VMs must be spread evenly over the three.
func TestVMsWithoutLocalTargetsSpreadOverRemoteOnes(t *testing.T) {
	const vms = 76
	vmsPerTarget := make(map[string]int)
	for n := range vms {
		f := placement.NewFleet(fmt.Sprintf("front-dc-4-%d", n), "dc-4", limits, start)
		f.SetTargets(newList(1, "dc-1", "dc-2", "dc-3"), start)
		counts := make(map[string]int)
		now := start
		for range 100 {
			now = now.Add(30 * time.Millisecond)
			counts[sendAnswered(t, f, now, func(string) time.Duration { return 10 * time.Millisecond })]++
		}
		for id, count := range counts {
			if count > 80 {
				vmsPerTarget[id]++
			}
		}
	}
	for _, id := range []string{"i-0", "i-1", "i-2"} {
		assert.Assert(t, vmsPerTarget[id] > 12 && vmsPerTarget[id] < 40, "%v", vmsPerTarget)
	}
}

// Checks that the VMs together open at most 25 connections to a target, the
// declared limit, except that each VM may always open one.
func TestConnectionsAreSharedByAllVMs(t *testing.T) {
	for _, vms := range []int{1, 3, 6, 9, 20, 60} {
		f := newTestFleet(newService(), "dc-1")
		f.SetTargets(discovery.NewList([]discovery.Instance{discovery.NewInstance("i-0", "s-1", "10.0.0.1:80", "dc-1", 100)}, 2, start), start)
		f.SetEntryVMs(vms, start)
		open := 0
		for {
			if _, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), start); !ok {
				break
			}
			open++
		}
		assert.Assert(t, open >= 1)
		assert.Assert(t, open == 1 || open*vms <= 25, "%d VMs open %d each", vms, open)
	}
}

// Guards against idle connections using up a target's limit: with 76 VMs and
// three targets that accept 70 connections each, only connections to the target
// in the VM's own data centre, i-1, may be kept idle for as long as the target
// keeps them.
func TestScarceSpareConnectionsAreNotKeptIdle(t *testing.T) {
	tests := []struct {
		name  string
		vms   int
		limit int
		kept  map[string]bool
	}{
		{"scarce", 76, 70, map[string]bool{"i-1": true}},
		{"two connections for each VM", 9, 26, map[string]bool{"i-0": true, "i-1": true, "i-2": true}},
		{"no limit", 76, 0, map[string]bool{"i-0": true, "i-1": true, "i-2": true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newTestFleet(newService().WithMaxConnections(tt.limit), "dc-2", "dc-1", "dc-3")
			f.SetEntryVMs(tt.vms, start)
			now := start.Add(time.Minute)
			var tried []*placement.Target
			kept := make(map[string]bool)
			for range 3 {
				l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k").ExtraAttempt(tried, true), now)
				assert.Assert(t, ok)
				tried = append(tried, l.Target())
				if l.IdleTimeout() == 0 {
					kept[l.Instance().ID()] = true
				}
			}
			assert.DeepEqual(t, kept, tt.kept)
		})
	}
}

// Guards against exceeding the connection limit of targets after all VMs have
// lost power: the targets still hold the old connections, so the new ones must
// fit beside them.
func TestNewConnectionsAfterAStartFitBesideOldOnes(t *testing.T) {
	const limit, vms = 26, 9
	f := newTestFleet(newService().WithMaxConnections(limit), "dc-1")
	f.SetTargets(discovery.NewList([]discovery.Instance{discovery.NewInstance("i-0", "s-1", "10.0.0.1:80", "dc-1", 100)}, 2, start), start)
	f.SetEntryVMs(vms, start)
	open := func(now time.Time) int {
		var leases []*placement.Lease
		for {
			l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), now)
			if !ok {
				break
			}
			leases = append(leases, l)
		}
		for _, l := range leases {
			l.Unsent(now)
		}
		return len(leases)
	}
	later := open(start.Add(time.Minute))
	early := open(start.Add(time.Second))
	assert.Assert(t, early >= 1 && (early+later)*vms <= limit+vms, "%d connections after the start, %d later", early, later)
	assert.Assert(t, early < later)
}
