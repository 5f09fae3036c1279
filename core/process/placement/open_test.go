package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// keptConnections returns for how many VMs in three data centres each target of a service
// is one to which the VM keeps an idle connection for longer than spareIdleTimeout.
func keptConnections(vms, limit int, centres ...string) map[string]int {
	now := time.Unix(1_000_000, 0)
	kept := make(map[string]int)
	for n := range vms {
		f := NewFleet(fmt.Sprintf("vm-%d", n), fmt.Sprintf("dc-%d", n%3+1), Limits{}, now.Add(-time.Minute))
		var list []discovery.Instance
		for i, centre := range centres {
			list = append(list, discovery.NewInstance(fmt.Sprintf("i-%d", i), "s-1", fmt.Sprintf("10.0.0.%d:80", i), centre, 8))
		}
		f.SetEntryVMs(vms, now)
		f.SetTargets(discovery.NewList(list, 1, now), now)
		g := f.group("s-1")
		g.declared = routing.NewService("s-1", "").WithMaxConnections(limit)
		for _, t := range g.targets {
			if f.idleTimeout(g, t) != spareIdleTimeout {
				kept[t.id]++
			}
		}
	}
	return kept
}

// Guards against idle connections that use up the limit of a target, also while one of
// three targets is lost, and against none to the target to which a VM sends its hedges.
func TestSecondChoicesStayBelowTheLimit(t *testing.T) {
	tests := []struct {
		name    string
		vms     int
		limit   int
		centres []string
		// least and most are the VMs that keep a connection to a target.
		least, most int
	}{
		{"each VM keeps two", 79, 72, []string{"dc-1", "dc-2", "dc-3"}, 40, 66},
		{"a target lost", 79, 72, []string{"dc-1", "dc-2"}, 30, 50},
		{"two targets in one data centre", 79, 72, []string{"dc-1", "dc-1", "dc-2"}, 30, 72},
		{"too many VMs for two each", 110, 72, []string{"dc-1", "dc-2", "dc-3"}, 36, 38},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			kept := keptConnections(tt.vms, tt.limit, tt.centres...)
			for n := range tt.centres {
				id := fmt.Sprintf("i-%d", n)
				assert.Check(t, kept[id] >= tt.least && kept[id] <= tt.most, "%v", kept)
			}
		})
	}
}

// Guards against hedges that open a connection while another target of the same distance
// has an open one.
func TestOpenConnectionsArePreferred(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := linkFleet(now)
	for _, centre := range []string{"dc-1", "dc-2", "dc-3"} {
		send(t, f, centre, 3*ms, 10*ms, now)
	}
	now = now.Add(time.Minute)
	send(t, f, "dc-3", 3*ms, 10*ms, now)
	for range 20 {
		l, ok := f.Acquire(NewLeaseRequest("s-1", "k").ExtraAttempt([]*Target{f.byID["i-dc-1"]}, true), now.Add(time.Second))
		assert.Assert(t, ok)
		assert.Equal(t, l.Target().ID(), "i-dc-3")
		l.Unsent(now.Add(time.Second))
	}
}
