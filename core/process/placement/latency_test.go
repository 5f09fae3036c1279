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

// newShardedFleet returns the fleet of one of 300 VMs with a number of shards,
// shard-0 and so on, of three targets each: i-0-0, i-0-1 and so on.
func newShardedFleet(vm string, shards int) *placement.Fleet {
	f := placement.NewFleet(vm, "dc-1", limits, start)
	var names []string
	var services []routing.Service
	var instances []discovery.Instance
	for n := range shards {
		name := fmt.Sprintf("shard-%d", n)
		names = append(names, name)
		services = append(services, routing.NewService(name, "").WithMaxConnections(195))
		for i := range 3 {
			instances = append(instances, discovery.NewInstance(fmt.Sprintf("i-%d-%d", n, i), name, fmt.Sprintf("10.0.%d.%d:80", n, i), "dc-1", 7))
		}
	}
	f.SetServices(routing.NewTable(1, []routing.Route{routing.NewRoute("r", "h", "/").WithShards(names, 20, 0.95)}, services, routing.Limits{}))
	f.SetTargets(discovery.NewList(instances, 1, start), start)
	f.SetEntryVMs(300, start)
	return f
}

// sendToAllShards sends one request to each shard, whose response takes
// responseTime(id), and returns the chosen targets.
func sendToAllShards(t *testing.T, f *placement.Fleet, shards int, now time.Time, responseTime func(id string) time.Duration) []string {
	t.Helper()
	var chosen []string
	for n := range shards {
		l, ok := f.Acquire(placement.NewLeaseRequest(fmt.Sprintf("shard-%d", n), "k"), now)
		assert.Assert(t, ok)
		id := l.Instance().ID()
		chosen = append(chosen, id)
		l.Succeeded(now.Add(responseTime(id)))
	}
	return chosen
}

// A VM that sees one request in some seconds has one response of each shard, which
// is too few to tell a slow target from a normal one by the shard's own responses.
// It must tell by those of all shards.
func TestFirstRequestToManyShardsShowsASlowTarget(t *testing.T) {
	const shards = 90
	f := newShardedFleet("vm-1", shards)
	fast := func(string) time.Duration { return 11 * time.Millisecond }
	sendToAllShards(t, f, shards, start, fast)
	now := start.Add(2500 * time.Millisecond)
	after, known := f.OverdueAfter("shard-7", "k")
	assert.Assert(t, known && after < 20*time.Millisecond, "overdue after %v", after)
	var slow string
	sendToAllShards(t, f, shards, now, func(id string) time.Duration {
		if slow == "" && id[:4] == "i-7-" {
			slow = id
			return 300 * time.Millisecond
		}
		return 11 * time.Millisecond
	})
	found := f.Findings(now.Add(400 * time.Millisecond))
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].ID(), slow)
	assert.Assert(t, found[0].Unhealthy())
}
