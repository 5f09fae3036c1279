package quota

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

const (
	// renewInterval is the age of the last answered ask from which on a holder with
	// stock asks again. It leaves StockLifetime less this time to bridge an election.
	renewInterval = 1200 * time.Millisecond
	// refillInterval is the least time between two asks without a waiting request.
	refillInterval = 250 * time.Millisecond
	// repeatInterval is the time after which an ask is repeated if requests still wait.
	repeatInterval = 60 * time.Millisecond
	// maxPendingAsks bounds the asks whose answers are still accepted.
	maxPendingAsks = 64
)

// waitingRequest is a request that waits for a token. firstAsk and lastAsk are the numbers of the
// first and the latest ask that included it, 0 for none.
type waitingRequest struct {
	waiter   Waiter
	team     string
	firstAsk uint64
	lastAsk  uint64
}

// Holder holds the tokens of one entry VM. Its times are those of the boot clock of its
// VM.
type Holder struct {
	// current is the lease of the newest owner, previous that of the one before.
	current  *lease
	previous *lease
	// demands has the teams of recent requests, and waiting the requests without a decision.
	demands    map[string]*demand
	waiting    []*waitingRequest
	lastWaiter Waiter
	// hold is how long a token is kept for a request that is expected.
	hold time.Duration
	// lastAsk is the number of the latest ask, 0 for none, and lastAskAt its time.
	lastAsk   uint64
	lastAskAt bootclock.Time
	// askedAt has the times of the asks whose answers are accepted.
	askedAt map[uint64]bootclock.Time
	// used is set while tokens were taken since the last ask.
	used bool
}

// NewHolder returns a holder without tokens.
func NewHolder() *Holder {
	return &Holder{current: newLease(0), demands: make(map[string]*demand), askedAt: make(map[uint64]bootclock.Time), hold: maxHold}
}

// SetVMs sets the number of entry VMs. With more VMs, tokens are kept for a shorter time.
func (h *Holder) SetVMs(n int) {
	h.hold = min(maxHold, max(renewInterval, maxHold*vmsWithMaxHold/time.Duration(max(1, n))))
}

// Take decides whether a request of a team that has arrived may be sent. now must be read
// after the arrival.
func (h *Holder) Take(team string, now bootclock.Time) Decision {
	d := h.demands[team]
	if d == nil {
		d = &demand{}
		h.demands[team] = d
	}
	d.record(now)
	if token, ok := h.takeStock(team, now); ok {
		return Taken{token: token}
	}
	if now.Before(d.refusedUntil) {
		return Refused{retryAfter: max(minLocalRefusal, d.retryAt.Sub(now))}
	}
	h.lastWaiter++
	h.waiting = append(h.waiting, &waitingRequest{waiter: h.lastWaiter, team: team})
	return Waiting{waiter: h.lastWaiter}
}

// takeStock takes a token from the stock, first from that which expires earlier.
func (h *Holder) takeStock(team string, now bootclock.Time) (Token, bool) {
	for _, l := range []*lease{h.previous, h.current} {
		if l == nil {
			continue
		}
		if token, ok := l.take(team, now); ok {
			h.used = true
			return token, true
		}
	}
	return Token{}, false
}

// Spend records that the request of a token is about to be sent.
func (h *Holder) Spend(t Token) {
	if t.lease != nil {
		t.lease.settle(t, false, 0)
	}
}

// GiveBack returns the token of a request that was not sent and will not be. A token that
// the owner granted to a waiting request is lost, because it counts as spent.
func (h *Holder) GiveBack(t Token, now bootclock.Time) {
	if t.lease != nil {
		t.lease.settle(t, true, now)
	}
}

// Cancel removes a request that no longer waits. It returns false if the decision has been
// made.
func (h *Holder) Cancel(w Waiter) bool {
	for i, other := range h.waiting {
		if other.waiter == w {
			h.waiting = append(h.waiting[:i], h.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Due reports whether an ask should be sent.
func (h *Holder) Due(now bootclock.Time) bool {
	sinceAsk := now.Sub(h.lastAskAt)
	if h.lastAsk == 0 {
		sinceAsk = refillInterval
	}
	for _, w := range h.waiting {
		if w.firstAsk == 0 || sinceAsk >= repeatInterval {
			return true
		}
	}
	if sinceAsk < refillInterval {
		return false
	}
	if now.Sub(h.current.askedAt) >= renewInterval && h.current.valid(now) && h.hasStock() {
		return true
	}
	return h.used && h.wantsStock(now)
}

// hasStock reports whether any token of the newest owner is in stock.
func (h *Holder) hasStock() bool {
	for _, s := range h.current.teams {
		if s.count+s.held > 0 {
			return true
		}
	}
	return false
}

// wantsStock reports whether the stock of a team is below its target.
func (h *Holder) wantsStock(now bootclock.Time) bool {
	for team, d := range h.demands {
		if h.wanted(team, d, now) > 0 {
			return true
		}
	}
	return false
}

// wanted returns the number of tokens that the stock of a team is below its target,
// negative if it is above.
func (h *Holder) wanted(team string, d *demand, now bootclock.Time) int {
	missing := d.target(h.hold, now) - h.current.count(team, now) - h.previous.count(team, now)
	if missing > 0 && now.Before(d.noStockUntil) {
		return 0
	}
	return missing
}

// NextAsk returns the ask to send now. It includes all requests that wait and returns
// tokens above the target.
func (h *Holder) NextAsk(now bootclock.Time) Ask {
	h.expire(now)
	h.lastAsk++
	h.lastAskAt = now
	h.used = false
	h.askedAt[h.lastAsk] = now
	delete(h.askedAt, h.lastAsk-maxPendingAsks)
	counts := make(map[string]int)
	for _, w := range h.waiting {
		if w.firstAsk == 0 {
			w.firstAsk = h.lastAsk
		}
		w.lastAsk = h.lastAsk
		counts[w.team]++
	}
	ask := Ask{number: h.lastAsk, owner: h.current.owner, received: h.current.received}
	for team, d := range h.demands {
		if a := h.teamAsk(team, d, counts[team], now); a.stock+a.returned+a.waiting+a.wanted > 0 {
			ask.teams = append(ask.teams, a)
		}
		if now.Sub(d.lastSeen) > forgetDemandAfter && h.current.teams[team] == nil {
			delete(h.demands, team)
		}
	}
	return ask
}

// teamAsk returns the part of an ask for a team with a number of requests that wait.
func (h *Holder) teamAsk(team string, d *demand, waiting int, now bootclock.Time) TeamAsk {
	a := TeamAsk{team: team, waiting: waiting}
	s := h.current.teams[team]
	d.asked = false
	switch missing := h.wanted(team, d, now); {
	case missing > 0:
		a.wanted = missing
		d.asked = true
	case missing < 0 && s != nil:
		a.returned = min(-missing, s.count)
		s.count -= a.returned
	}
	if s != nil {
		a.stock = s.count + s.held
		if a.stock == 0 {
			delete(h.current.teams, team)
		}
	}
	return a
}

// expire discards stock that is no longer valid.
func (h *Holder) expire(now bootclock.Time) {
	if h.previous != nil && !h.previous.valid(now) {
		h.previous = nil
	}
	if !h.current.valid(now) {
		h.current.discardAll()
	}
}

// Apply applies a grant and returns the decisions for requests that waited. A grant of an
// earlier owner, or one that arrives after a later one, is ignored.
func (h *Holder) Apply(g Grant, now bootclock.Time) []Outcome {
	h.expire(now)
	if g.owner > h.current.owner {
		if h.current.valid(now) {
			h.previous = h.current
		}
		h.current = newLease(g.owner)
	}
	if g.owner < h.current.owner || g.number <= h.current.received {
		return nil
	}
	h.current.received = g.number
	if g.reset {
		h.current.discardAll()
	}
	for _, t := range g.teams {
		if t.discard {
			h.current.discard(t.team)
		}
	}
	askedAt, known := h.askedAt[g.ask]
	if !known || now.Sub(askedAt) >= StockLifetime {
		return nil
	}
	h.current.askedAt = max(h.current.askedAt, askedAt)
	h.current.validUntil = max(h.current.validUntil, askedAt.Add(StockLifetime))
	var out []Outcome
	for _, t := range g.teams {
		if !t.discard {
			out = append(out, h.applyTeam(g.ask, t, now)...)
		}
	}
	return append(out, h.unanswered(g.ask)...)
}

// applyTeam adds the stock of a team and decides the requests that wait.
func (h *Holder) applyTeam(ask uint64, g TeamGrant, now bootclock.Time) []Outcome {
	if g.stock > 0 {
		h.current.add(g.team, g.stock)
	}
	d := h.demands[g.team]
	if d == nil {
		d = &demand{lastSeen: now}
		h.demands[g.team] = d
	}
	if g.stock == 0 && d.asked {
		d.noStockUntil = now.Add(stockBackoff)
	}
	immediate := g.immediate
	return h.decide(func(w *waitingRequest) Decision {
		switch {
		case w.team != g.team:
			return nil
		case immediate > 0 && w.firstAsk > 0 && w.firstAsk <= ask:
			// The request waited when the owner was asked, so the time of the
			// grant lies after its arrival.
			immediate--
			return Taken{}
		}
		if token, ok := h.takeStock(g.team, now); ok {
			return Taken{token: token}
		}
		if w.lastAsk == 0 || w.lastAsk > ask {
			return nil
		}
		d.refuse(g.retryAfter, now)
		return Refused{retryAfter: max(minLocalRefusal, g.retryAfter)}
	})
}

// unanswered decides the requests whose team the owner does not know.
func (h *Holder) unanswered(ask uint64) []Outcome {
	return h.decide(func(w *waitingRequest) Decision {
		if w.lastAsk > 0 && w.lastAsk <= ask {
			return Unavailable{}
		}
		return nil
	})
}

// decide removes the requests for which the function returns a decision.
func (h *Holder) decide(decision func(w *waitingRequest) Decision) []Outcome {
	var out []Outcome
	var remaining []*waitingRequest
	for _, w := range h.waiting {
		if d := decision(w); d != nil {
			out = append(out, Outcome{waiter: w.waiter, decision: d})
		} else {
			remaining = append(remaining, w)
		}
	}
	h.waiting = remaining
	return out
}
