package dispatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// countingSender counts the sends, all of which are answered.
type countingSender struct{ sends atomic.Int64 }

func (c *countingSender) Send(context.Context, relay.Attempt, time.Time) relay.Outcome {
	c.sends.Add(1)
	return answered()
}

// A query whose 36th shard has no capacity for long would make 35 targets work for an answer
// that is never given. Without teams it is sent as before.
func TestQueryThatMissesItsMinimumIsNotSent(t *testing.T) {
	const shards = 36
	for _, tt := range []struct {
		name  string
		teams []routing.Team
		sends int64
	}{
		{"with teams", []routing.Team{routing.NewTeam("t", []routing.KeyDigest{routing.DigestKey("key")}, 0)}, 0},
		{"without teams", nil, shards - 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			f := placement.NewFleet("vm", "dc-1", placement.NewLimits(0.1, 10, time.Second, 1, 1), now.Add(-time.Minute))
			f.SetEntryVMs(1, now)
			var names []string
			var services []routing.Service
			var instances []discovery.Instance
			for n := range shards {
				names = append(names, shardName(n))
				services = append(services, routing.NewService(shardName(n), "").WithMaxConnections(2))
				instances = append(instances, discovery.NewInstance(fmt.Sprintf("i-%d", n), shardName(n), "10.0.0.1:1", "dc-1", 2))
			}
			sender := &countingSender{}
			d := New(f, sender)
			route := routing.NewRoute("search", "h", "/").WithTimeoutAndObjective(200*time.Millisecond, 100*time.Millisecond).WithShards(names, 1, 1)
			table := routing.NewTable(1, []routing.Route{route}, services, routing.Limits{})
			if tt.teams != nil {
				table = table.WithTeams(tt.teams)
			}
			d.SetTable(table)
			f.SetTargets(discovery.NewList(instances, 1, now), now)
			// The targets of one shard are busy for a second already.
			occupy(f, names[0], "search", now.Add(-time.Second))
			req := relay.NewRequest("id", "GET", "h", "/", "/", nil, nil, time.Now()).WithTimeout(200 * time.Millisecond).WithCredential(relay.ReadCredential([]string{"key"}))
			answer, _ := d.Answer(context.Background(), req)
			refused, ok := answer.(relay.Refused)
			assert.Assert(t, ok)
			assert.Equal(t, sender.sends.Load(), tt.sends)
			if tt.sends == 0 {
				assert.Equal(t, refused.Code(), result.Overloaded)
				assert.Assert(t, refused.RetryAfter() > 0)
				assert.Assert(t, time.Since(now) < 100*time.Millisecond, "the request was not refused at once")
			}
		})
	}
}
