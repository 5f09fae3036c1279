package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// newBaseline returns an answerFunc that sends to one random target of each
// shard and waits for all of them.
func newBaseline(c *simCluster, seed uint64) answerFunc {
	rng := rand.New(rand.NewPCG(seed, 5))
	var mu sync.Mutex
	return func(_ context.Context, r *relay.Request) (relay.Answer, Trace) {
		ctx, cancel := context.WithDeadline(context.Background(), r.Arrived().Add(r.Timeout()))
		defer cancel()
		s := relay.NewState(relay.NewPlan(replayRoute(), "", r, 0))
		outcomes := make(chan partOutcome, replayShards)
		for n := range replayShards {
			mu.Lock()
			id := fmt.Sprintf("i-%d-%d", n, rng.IntN(targetsPerShard))
			mu.Unlock()
			s.RecordSend(n, nil, time.Hour, r.Arrived())
			go (&baselineSend{ctx: ctx, target: c.targets[id], part: n, outcomes: outcomes}).run()
		}
		for range replayShards {
			o := <-outcomes
			s.HandleOutcome(o.part, o.outcome)
			s.GiveUp(o.part)
		}
		return s.Answer(time.Now()), Trace{}
	}
}

// baselineSend is one attempt of the baseline.
type baselineSend struct {
	ctx      context.Context
	target   *simTarget
	part     int
	outcomes chan<- partOutcome
}

func (p *baselineSend) run() {
	p.outcomes <- partOutcome{part: p.part, outcome: p.target.serve(p.ctx)}
}
