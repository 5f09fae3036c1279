package entry

import (
	"context"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/membership"
	"github.com/mulberrydale/mulberrydale/core/request/query"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// freshPoll is the time between two looks at a gate that says to wait.
const freshPoll = 5 * time.Millisecond

// maxFreshWait bounds the wait where the caller's deadline is far away.
const maxFreshWait = 200 * time.Millisecond

// FreshnessChecker decides whether this VM knows enough of the present to send new work.
type FreshnessChecker interface {
	Freshness(version uint64, now time.Time) membership.Freshness
}

// freshVersion returns the version in force once it is confirmed, or a refusal
// where no confirmation comes in time.
func (e *Entry) freshVersion(ctx context.Context, began time.Time, request query.Request) (*serving, error) {
	wait := maxFreshWait
	if request.Deadline() > 0 {
		wait = min(wait, request.Deadline()/2)
	}
	for {
		version := e.serving.Load()
		if version == nil {
			return nil, result.New(result.NoConfiguration, "this VM has no accepted configuration yet")
		}
		now := time.Now()
		if e.gate.Freshness(version.version, now) != membership.Stale {
			return version, nil
		}
		if now.Sub(began) >= wait || ctx.Err() != nil {
			return nil, unconfirmed()
		}
		time.Sleep(freshPoll)
	}
}

func unconfirmed() error {
	return result.New(result.Unconfirmed, "this VM waits for a confirmation of its configuration")
}
