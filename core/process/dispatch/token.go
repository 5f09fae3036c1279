package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/quota"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	// tokenWaitFraction is the fraction of the route's objective for which a request
	// without a token waits for the owner, but at least minTokenWait, which is a few
	// round trips between data centres.
	tokenWaitFraction = 0.3
	minTokenWait      = 30 * time.Millisecond
	// maxTokenWaitFraction bounds the wait to a fraction of the time in which the
	// request must be answered.
	maxTokenWaitFraction = 0.4
)

// TokenSource decides whether a request of a team is within its quota. Exactly one of Spend
// and GiveBack is called for each token taken.
type TokenSource interface {
	// Take returns quota.Taken, quota.Refused or quota.Unavailable. It waits for at most
	// the given time, or until done is closed.
	Take(team string, wait time.Duration, done <-chan struct{}) quota.Decision
	Spend(token quota.Token)
	GiveBack(token quota.Token)
}

// SetTokens sets the source of the tokens. It must be called before the first request.
// Without it, quotas are not enforced.
func (d *Dispatcher) SetTokens(source TokenSource) { d.tokens = source }

// heldToken is the token of a request from when it is taken until the request is sent or
// refused. A request takes one token, however long it is queued and however often it is
// sent. A nil heldToken belongs to a request without a quota.
type heldToken struct {
	source  TokenSource
	token   quota.Token
	settled bool
	// tookLong is set if the request may have waited for the owner.
	tookLong bool
}

// waited reports whether the request may have waited for its token.
func (t *heldToken) waited() bool { return t != nil && t.tookLong }

// spend records that the request is about to be sent.
func (t *heldToken) spend() {
	if t != nil && !t.settled {
		t.settled = true
		t.source.Spend(t.token)
	}
}

// giveBackUnlessSpent returns the token of a request that was not sent.
func (t *heldToken) giveBackUnlessSpent() {
	if t != nil && !t.settled {
		t.settled = true
		t.source.GiveBack(t.token)
	}
}

// takeToken takes a token for a request that passed admission, if its team has a quota and
// its route is not public. The last result reports whether the request is refused.
func (d *Dispatcher) takeToken(ctx context.Context, plan relay.Plan, req *relay.Request) (*heldToken, relay.Refused, bool) {
	team, known := req.Team()
	if d.tokens == nil || !known || !team.HasQuota() || plan.Route().Public() {
		return nil, relay.Refused{}, false
	}
	began := time.Now()
	switch decision := d.tokens.Take(team.Name(), tokenWait(plan, began), ctx.Done()).(type) {
	case quota.Taken:
		return &heldToken{source: d.tokens, token: decision.Token(), tookLong: time.Since(began) > time.Millisecond}, relay.Refused{}, false
	case quota.Refused:
		wait := decision.RetryAfter()
		reason := fmt.Sprintf("the team %s has used its quota; it has some again in %d ms", team.Name(), wait.Milliseconds())
		return nil, relay.NewRefused(result.OverQuota, reason).WithRetryAfter(wait + spread(wait/2+minRetryAfter)), true
	}
	reason := fmt.Sprintf("this VM has no token of the team %s and the leader did not answer", team.Name())
	return nil, relay.NewRefused(result.Unconfirmed, reason).WithRetryAfter(retryAfter(defaultRetryAfter, req)), true
}

// tokenWait returns how long a request may wait for the owner.
func tokenWait(plan relay.Plan, now time.Time) time.Duration {
	wait := max(minTokenWait, time.Duration(tokenWaitFraction*float64(plan.Route().LatencyObjective())))
	left := time.Duration(maxTokenWaitFraction * float64(plan.End().Sub(now)))
	return max(0, min(wait, left))
}
