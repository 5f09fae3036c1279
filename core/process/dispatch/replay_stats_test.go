package dispatch

import (
	"fmt"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// replayStats counts the answers of a replay.
type replayStats struct {
	mu       sync.Mutex
	requests int
	// credit is the sum of the credits of all answers.
	credit  float64
	refused int
	failed  int
	hedges  int
	retries int
	// longestRefusal is the longest time until a refused or failed answer, and
	// longestNotRun until a refused one.
	longestRefusal time.Duration
	longestNotRun  time.Duration
}

// add counts an answer. A merged answer earns the square of the fraction of
// shards it contains as credit if it took at most 95 ms, and a twentieth of
// that if it took longer.
func (t *replayStats) add(answer relay.Answer, trace Trace, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	t.hedges += trace.Hedges()
	t.retries += trace.Retries()
	switch a := answer.(type) {
	case relay.Merged:
		share := float64(replayShards-a.Missing()) / replayShards
		credit := share * share
		if took > 95*time.Millisecond {
			credit /= 20
		}
		t.credit += credit
	case relay.Refused:
		if a.Code().Execution() == result.NotRun {
			t.refused++
			t.longestNotRun = max(t.longestNotRun, took)
		} else {
			t.failed++
		}
		t.longestRefusal = max(t.longestRefusal, took)
	case relay.Relayed:
	}
}

// addAll adds the counts of another replay.
func (t *replayStats) addAll(other *replayStats) {
	t.requests += other.requests
	t.credit += other.credit
	t.refused += other.refused
	t.failed += other.failed
	t.hedges += other.hedges
	t.retries += other.retries
	t.longestRefusal = max(t.longestRefusal, other.longestRefusal)
	t.longestNotRun = max(t.longestNotRun, other.longestNotRun)
}

func (t *replayStats) String() string {
	return fmt.Sprintf("%5d requests, credit %.3f, refused %d, failed %d, hedges %d, retries %d, longest wait for a refusal %d ms",
		t.requests, t.credit/float64(t.requests), t.refused, t.failed, t.hedges, t.retries, t.longestRefusal.Milliseconds())
}
