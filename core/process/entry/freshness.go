package entry

import (
	"context"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/membership"
	"github.com/mulberrydale/mulberrydale/core/request/query"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// freshPoll is the time between two looks at a gate that says to wait.
const freshnessPollInterval = 5 * time.Millisecond

// maxFreshWait bounds the wait where the caller's deadline is far away.
const maxFreshnessWait = 200 * time.Millisecond

// FreshnessChecker decides whether this VM knows enough of the present to send new work.
type FreshnessChecker interface {
	Freshness(version uint64, now time.Time) membership.Freshness
}

// freshVersion returns the version in force once it is confirmed, or a refusal
// where no confirmation comes in time.
func (e *Entry) waitForFreshConfig(ctx context.Context, began time.Time, request query.Request) (*activeConfig, error) {
	maxWait := maxFreshnessWait
	if request.Deadline() > 0 {
		maxWait = min(maxWait, request.Deadline()/2)
	}
	for {
		active := e.active.Load()
		if active == nil {
			return nil, result.New(result.NoConfiguration, "this VM has no accepted configuration yet")
		}
		now := time.Now()
		if e.freshness.Freshness(active.version, now) != membership.Stale {
			return active, nil
		}
		if now.Sub(began) >= maxWait || ctx.Err() != nil {
			return nil, unconfirmedError()
		}
		time.Sleep(freshnessPollInterval)
	}
}

func unconfirmedError() error {
	return result.New(result.Unconfirmed, "this VM waits for a confirmation of its configuration")
}
