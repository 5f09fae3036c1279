package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/quota"
)

// tokenPollInterval is the time between two checks whether tokens must be renewed or
// requested in advance.
const tokenPollInterval = 100 * time.Millisecond

// relayAfterAsks is the number of asks without an answer after which asks are also sent
// through a control VM that is not the leader.
const relayAfterAsks = 2

// Tokens holds the tokens of this VM for the quotas of teams. It asks the leader for more
// on the sessions of the cluster. mu is taken before Cluster.mu and tokenOwner.mu.
type Tokens struct {
	cluster *Cluster

	mu      sync.Mutex
	holder  *quota.Holder
	waiting map[quota.Waiter]chan quota.Decision
	stats   TokenStats
	// unanswered is the number of asks since the last grant.
	unanswered int
}

// TokenStats counts how the tokens of requests were obtained, and the messages sent.
type TokenStats struct {
	fromStock, fromOwner, refused, unavailable, asks int64
}

// Counts returns the numbers of requests whose token was in stock, those whose token the
// owner granted while they waited, those refused, those without a token or an owner, and
// the number of asks.
func (s TokenStats) Counts() (fromStock, fromOwner, refused, unavailable, asks int64) {
	return s.fromStock, s.fromOwner, s.refused, s.unavailable, s.asks
}

// EnableQuotas makes this VM take part in the quotas of teams: a control VM grants tokens
// while it is the leader, and Tokens returns those of an entry VM. It is called after
// EnableControl and before Run.
func (c *Cluster) EnableQuotas(settings quota.Settings, decode TeamDecoder) {
	c.tokens = &Tokens{cluster: c, holder: quota.NewHolder(), waiting: make(map[quota.Waiter]chan quota.Decision)}
	if c.control != nil {
		c.tokenOwner = &tokenOwner{control: c.control, settings: settings, decode: decode, log: c.log}
	}
}

// Tokens returns the tokens of this VM, nil without EnableQuotas.
func (c *Cluster) Tokens() *Tokens { return c.tokens }

// runTokens starts the loops of the quotas.
func (c *Cluster) runTokens(ctx context.Context) {
	if c.tokenOwner != nil {
		go (&leadershipLoop{cluster: c}).run(ctx)
	}
	if c.tokens != nil {
		go (&tokenLoop{tokens: c.tokens}).run(ctx)
	}
}

// Take decides whether a request of a team that has arrived may be sent. If no token is in
// stock, it asks the owner and waits for the answer for at most the given time, or until
// done is closed. The result is quota.Taken, quota.Refused or quota.Unavailable.
func (t *Tokens) Take(team string, wait time.Duration, done <-chan struct{}) quota.Decision {
	decision, waiter, answer := t.begin(team)
	if answer == nil {
		return decision
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case decision = <-answer:
		return decision
	case <-timer.C:
	case <-done:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, waiter)
	if t.holder.Cancel(waiter) {
		t.stats.unavailable++
		return quota.Unavailable{}
	}
	return <-answer
}

// begin decides at once if possible. Otherwise it asks the owner and returns the channel
// that receives the decision.
func (t *Tokens) begin(team string) (quota.Decision, quota.Waiter, chan quota.Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	decision := t.holder.Take(team, bootclock.Now())
	switch d := decision.(type) {
	case quota.Taken:
		t.stats.fromStock++
	case quota.Refused:
		t.stats.refused++
	case quota.Waiting:
		answer := make(chan quota.Decision, 1)
		t.waiting[d.Waiter()] = answer
		if !t.askIfDue() {
			delete(t.waiting, d.Waiter())
			t.holder.Cancel(d.Waiter())
			t.stats.unavailable++
			return quota.Unavailable{}, 0, nil
		}
		return nil, d.Waiter(), answer
	}
	return decision, 0, nil
}

// Spend records that the request of a token is about to be sent.
func (t *Tokens) Spend(token quota.Token) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder.Spend(token)
}

// GiveBack returns the token of a request that was not sent and will not be.
func (t *Tokens) GiveBack(token quota.Token) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder.GiveBack(token, bootclock.Now())
}

// Stats returns the counts since the start.
func (t *Tokens) Stats() TokenStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// SetVMs sets the number of entry VMs.
func (t *Tokens) SetVMs(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder.SetVMs(n)
}

// askIfDue sends an ask if one is due. It returns false if no leader can be asked. The
// caller holds mu.
func (t *Tokens) askIfDue() bool {
	if !t.holder.Due(bootclock.Now()) {
		return true
	}
	c := t.cluster
	sessions := c.leaderSessions(t.unanswered >= relayAfterAsks, time.Now())
	local := c.tokenOwner != nil && c.Leads()
	if len(sessions) == 0 && !local {
		return false
	}
	ask := t.holder.NextAsk(bootclock.Now())
	t.stats.asks++
	t.unanswered++
	payload := peer.Encode(peer.NewTokenRequest(ask))
	for _, s := range sessions {
		s.Send(payload)
	}
	if local {
		if grant, ok := c.tokenOwner.answer(holderName(c.self.vm, c.self.startID), ask); ok {
			t.apply(grant)
		}
	}
	return true
}

// apply applies a grant and passes the decisions on. The caller holds mu.
func (t *Tokens) apply(grant quota.Grant) {
	t.unanswered = 0
	for _, o := range t.holder.Apply(grant, bootclock.Now()) {
		answer := t.waiting[o.Waiter()]
		delete(t.waiting, o.Waiter())
		switch o.Decision().(type) {
		case quota.Taken:
			t.stats.fromOwner++
		case quota.Refused:
			t.stats.refused++
		case quota.Unavailable:
			t.stats.unavailable++
		}
		if answer != nil {
			answer <- o.Decision()
		}
	}
}

// receive applies a grant of the leader.
func (t *Tokens) receive(m peer.TokenGrant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(m.Grant())
	t.askIfDue()
}

// tokenLoop renews tokens and requests them in advance.
type tokenLoop struct{ tokens *Tokens }

func (l *tokenLoop) run(ctx context.Context) {
	ticker := time.NewTicker(tokenPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.tokens.mu.Lock()
			l.tokens.askIfDue()
			l.tokens.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}
