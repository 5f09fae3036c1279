package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

func TestWarmAddresses(t *testing.T) {
	limited := func(n int) routing.Service { return routing.NewService("s-1", "").WithMaxConnections(n) }
	tests := []struct {
		name     string
		declared routing.Service
		centres  []string
		vms      int
		age      time.Duration
		want     []string
	}{
		{"target of the own data centre", limited(25), []string{"dc-2", "dc-1", "dc-3"}, 9, time.Minute, []string{"10.0.0.1:80"}},
		{"no limit", routing.NewService("s-1", ""), []string{"dc-2", "dc-1"}, 9000, time.Minute, []string{"10.0.0.1:80"}},
		{"295 VMs share 195 connections of each of three targets", limited(195), []string{"dc-2", "dc-1", "dc-3"}, 295, time.Minute, []string{"10.0.0.1:80"}},
		{"just after a start old connections may be left", limited(195), []string{"dc-2", "dc-1", "dc-3"}, 295, time.Second, nil},
		{"too many VMs for one target", limited(195), []string{"dc-1"}, 295, time.Minute, nil},
		{"no target", limited(25), nil, 9, time.Minute, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newTestFleet(tt.declared, tt.centres...)
			now := start.Add(tt.age)
			f.SetEntryVMs(tt.vms, now)
			assert.DeepEqual(t, f.WarmAddresses(now), tt.want)
		})
	}
}

// VMs without a target in their own data centre spread over the others, so that no
// target gets the connections of all of them.
func TestWarmConnectionsSpreadOverTargets(t *testing.T) {
	counts := make(map[string]int)
	for n := range 300 {
		f := placement.NewFleet(fmt.Sprintf("vm-%d", n), "dc-9", limits, start)
		f.SetServices(routing.NewTable(1, []routing.Route{routing.NewRoute("r", "h", "/").WithShards([]string{"s-1"}, 20, 1)},
			[]routing.Service{routing.NewService("s-1", "").WithMaxConnections(195)}, routing.Limits{}))
		f.SetTargets(newList(1, "dc-1", "dc-2", "dc-3"), start)
		f.SetEntryVMs(300, start)
		for _, address := range f.WarmAddresses(start.Add(time.Minute)) {
			counts[address]++
		}
	}
	for address, n := range counts {
		assert.Assert(t, n > 70 && n < 130, "%s: %d", address, n)
	}
	assert.Equal(t, len(counts), 3)
}

// A target that this VM or the others avoid gets no connection ahead.
func TestNoWarmConnectionToAnAvoidedTarget(t *testing.T) {
	f := newTestFleet(newService(), "dc-1", "dc-2")
	f.SetEntryVMs(9, start)
	now := start.Add(time.Minute)
	f.TakeFindings([]discovery.HealthFinding{discovery.NewHealthFinding("i-0", true, 0)}, now)
	assert.DeepEqual(t, f.WarmAddresses(now), []string{"10.0.0.1:80"})
}

// A service that no route uses, yet or any more, gets no connection ahead.
func TestNoWarmConnectionToAServiceWithoutARoute(t *testing.T) {
	f := newTestFleet(newService(), "dc-1")
	now := start.Add(time.Minute)
	assert.Equal(t, len(f.WarmAddresses(now)), 1)
	f.SetServices(routing.NewTable(2, []routing.Route{routing.NewRoute("r", "h", "/").WithShards([]string{"s-2"}, 20, 1)},
		[]routing.Service{routing.NewService("s-2", ""), newService()}, routing.Limits{}))
	assert.Equal(t, len(f.WarmAddresses(now)), 0)
	list := discovery.NewList(append(newList(2, "dc-1").Instances(),
		discovery.NewInstance("i-8", "s-2", "10.0.8.1:80", "dc-1", 2),
		discovery.NewInstance("i-9", "s-3", "10.0.9.1:80", "dc-1", 2)), 2, start)
	f.SetTargets(list, now)
	assert.DeepEqual(t, f.WarmAddresses(now), []string{"10.0.8.1:80"})
}
