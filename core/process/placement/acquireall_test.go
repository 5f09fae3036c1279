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

// shardFleet returns a fleet with a number of services that have one target each.
func shardFleet(shards int) (*placement.Fleet, []placement.LeaseRequest) {
	f := placement.NewFleet("vm-1", "dc-1", limits, start)
	var services []routing.Service
	var names []string
	var instances []discovery.Instance
	var requests []placement.LeaseRequest
	for n := range shards {
		name := fmt.Sprintf("s-%d", n)
		names = append(names, name)
		services = append(services, routing.NewService(name, "").WithMaxConnections(2))
		instances = append(instances, discovery.NewInstance(fmt.Sprintf("i-%d", n), name, "10.0.0.1:1", "dc-1", 2))
		requests = append(requests, placement.NewLeaseRequest(name, "k").ForTeam("t"))
	}
	f.SetServices(routing.NewTable(1, []routing.Route{routing.NewRoute("r", "h", "/").WithShards(names, 1, 1)}, services, routing.Limits{}))
	f.SetTargets(discovery.NewList(instances, 1, start), start)
	return f, requests
}

// fill takes all capacity of a service and returns the leases.
func fill(f *placement.Fleet, r placement.LeaseRequest, now time.Time) []*placement.Lease {
	var out []*placement.Lease
	for {
		l, ok := f.Acquire(r, now)
		if !ok {
			return out
		}
		out = append(out, l)
	}
}

// Attempts at all other shards are wasted if one that the answer needs has no capacity for
// a long time.
func TestQueryTakesRoomOnAllShardsOrNone(t *testing.T) {
	const shards = 36
	const maxWait = 25 * time.Millisecond
	tests := []struct {
		name  string
		least int
		// full services have no capacity since elapsed ago.
		full    int
		elapsed time.Duration
		granted int
	}{
		{"all have capacity", shards, 0, 0, shards},
		{"one that is needed was just filled", shards, 1, 5 * time.Millisecond, shards - 1},
		{"one that is needed is full for long", shards, 1, time.Second, 0},
		{"one that may be missing is full for long", shards - 1, 1, time.Second, shards - 1},
		{"two are full for long and one may be missing", shards - 1, 2, time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, requests := shardFleet(shards)
			for n := range tt.full {
				assert.Assert(t, len(fill(f, requests[n], start)) > 0)
			}
			now := start.Add(tt.elapsed)
			leases, wait, ok := f.AcquireAll(requests, tt.least, placement.NewPriority(0, 0), maxWait, now)
			assert.Equal(t, ok, tt.granted > 0)
			assert.Equal(t, wait > 0, !ok)
			granted := 0
			for _, l := range leases {
				if l != nil {
					granted++
				}
			}
			assert.Equal(t, granted, tt.granted)
			if !ok {
				// Nothing is held of what was not granted.
				assert.Assert(t, len(fill(f, requests[shards-1], now)) == len(fill(f, requests[shards-2], now)))
			}
		})
	}
}
