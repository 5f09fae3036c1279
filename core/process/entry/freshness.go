package entry

import (
	"context"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/membership"
	"github.com/mulberrydale/mulberrydale/core/request/query"
	"github.com/mulberrydale/mulberrydale/core/result"
)

// freshnessPollInterval is the time between two freshness checks while the
// configuration is stale.
const freshnessPollInterval = 5 * time.Millisecond

// maxFreshnessWait is the longest time that a request waits for a fresh
// configuration. If the caller set a deadline, the request waits for at most
// half of it.
const maxFreshnessWait = 200 * time.Millisecond

// FreshnessChecker decides whether this VM's configuration is confirmed
// recently enough to send new requests.
type FreshnessChecker interface {
	Freshness(version uint64, now time.Time) membership.Freshness
}

// waitForFreshConfig returns the active configuration once it is fresh or the
// VM counts as isolated. It returns an error with the code NoConfiguration if
// there is no configuration. It returns one with the code Unconfirmed if the
// configuration is still stale when ctx ends or when the longest wait, counted
// from began, has passed.
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

// unconfirmedError returns the error for requests that are refused because the
// active configuration is not confirmed.
func unconfirmedError() error {
	return result.New(result.Unconfirmed, "this VM is waiting for a quorum to confirm its configuration version")
}
