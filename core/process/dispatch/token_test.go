package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/process/quota"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// countingTokens is a TokenSource that always decides the same.
type countingTokens struct {
	decision           quota.Decision
	takes, spent, back int
}

func (c *countingTokens) Take(string, time.Duration, <-chan struct{}) quota.Decision {
	c.takes++
	return c.decision
}
func (c *countingTokens) Spend(quota.Token)    { c.spent++ }
func (c *countingTokens) GiveBack(quota.Token) { c.back++ }

// fixedSender responds to each send with the same outcome.
type fixedSender struct {
	outcome func() relay.Outcome
	sends   int
}

func (f *fixedSender) Send(context.Context, relay.Attempt, time.Time) relay.Outcome {
	f.sends++
	return f.outcome()
}

func answered() relay.Outcome {
	return relay.NewAnswered(relay.NewResponse(200, nil, nil, "s"), relay.Load{})
}

// tokenDispatcher returns a dispatcher with a route to a service with a number of targets.
func tokenDispatcher(sender Sender, targets int, public bool) *Dispatcher {
	now := time.Now()
	f := placement.NewFleet("vm", "dc-1", placement.NewLimits(10, 10, time.Second, 1, 1), now.Add(-time.Minute))
	f.SetEntryVMs(1, now)
	d := New(f, sender)
	route := routing.NewRoute("r", "h", "/").WithTimeoutAndObjective(300*time.Millisecond, 100*time.Millisecond).WithMaxAttempts(2).
		WithSplit([]routing.WeightedService{routing.NewWeightedService("s", 1)}).WithPublic(public)
	d.SetTable(routing.NewTable(1, []routing.Route{route}, []routing.Service{routing.NewService("s", "").WithMaxConnections(1)}, routing.Limits{}))
	var instances []discovery.Instance
	for n := range targets {
		instances = append(instances, discovery.NewInstance(string(rune('a'+n)), "s", "10.0.0.1:1", "dc-1", 1))
	}
	f.SetTargets(discovery.NewList(instances, 1, now), now)
	return d
}

// occupy takes all capacity of a service.
func occupy(f *placement.Fleet, service, kind string, now time.Time) {
	for {
		if _, ok := f.Acquire(placement.NewLeaseRequest(service, kind), now); !ok {
			return
		}
	}
}

// A refused request that used quota, or a retry that took another token, would be a loss to
// its team; a request that is sent without a token would exceed the quota.
func TestRequestTakesOneToken(t *testing.T) {
	team := routing.NewTeam("t", nil, 0).WithQuota(1, 1)
	lost := func() relay.Outcome { return relay.NewLost(nil) }
	tests := []struct {
		name     string
		team     routing.Team
		public   bool
		decision quota.Decision
		targets  int
		busy     bool
		outcome  func() relay.Outcome
		takes    int
		spent    int
		back     int
		code     result.Code
	}{
		{"sent", team, false, quota.Taken{}, 2, false, answered, 1, 1, 0, 0},
		{"sent again after a failure", team, false, quota.Taken{}, 2, false, lost, 1, 1, 0, result.OutcomeUnknown},
		{"over quota", team, false, quota.NewRefused(time.Second), 2, false, answered, 1, 0, 0, result.OverQuota},
		{"no owner", team, false, quota.Unavailable{}, 2, false, answered, 1, 0, 0, result.Unconfirmed},
		{"no target", team, false, quota.Taken{}, 0, false, answered, 0, 0, 0, result.NoTarget},
		{"queued and never sent", team, false, quota.Taken{}, 1, true, answered, 1, 0, 1, result.Overloaded},
		{"public route", team, true, quota.NewRefused(time.Second), 2, false, answered, 0, 0, 0, 0},
		{"no quota", routing.NewTeam("t", nil, 0), false, quota.NewRefused(time.Second), 2, false, answered, 0, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sender := &fixedSender{outcome: tt.outcome}
			d := tokenDispatcher(sender, tt.targets, tt.public)
			tokens := &countingTokens{decision: tt.decision}
			d.SetTokens(tokens)
			if tt.busy {
				occupy(d.fleet, "s", "r", time.Now())
			}
			req := relay.NewRequest("id", "GET", "h", "/", "/", nil, nil, time.Now()).WithTimeout(300 * time.Millisecond).WithTeam(tt.team)
			answer, _ := d.Answer(context.Background(), req)
			refused, _ := answer.(relay.Refused)
			assert.Equal(t, refused.Code(), tt.code, "%s", refused.Reason())
			assert.DeepEqual(t, []int{tokens.takes, tokens.spent, tokens.back}, []int{tt.takes, tt.spent, tt.back})
			if tt.spent == 0 && tt.takes > 0 {
				assert.Equal(t, sender.sends, 0)
				assert.Assert(t, refused.RetryAfter() > 0)
			}
		})
	}
}
