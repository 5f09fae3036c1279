package quota

import (
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// sweepInterval is the time between two searches for holders that have expired.
const sweepInterval = 200 * time.Millisecond

// Predecessor is what a leader knows of the leaders before it.
type Predecessor struct {
	exists bool
	age    time.Duration
}

// NoPredecessor states that the log had no leader before.
func NoPredecessor() Predecessor { return Predecessor{} }

// NewPredecessor states that the log had leaders before, and that the last of them whose
// entries the log holds was elected at least the given time ago.
func NewPredecessor(age time.Duration) Predecessor { return Predecessor{exists: true, age: age} }

// Owner has the buckets of all teams. A leader has a new one in each term. Its times are
// those of the boot clock of its VM.
type Owner struct {
	term     uint64
	settings Settings
	// startsAt is when the owner may grant first, 0 if it had no predecessor.
	startsAt bootclock.Time
	// olderExpireAt is when the stock of all owners before the predecessor has expired,
	// and predecessorExpiresAt when that of the predecessor has.
	olderExpireAt        bootclock.Time
	predecessorExpiresAt bootclock.Time
	// startsFull is true if no request can have been admitted within the window before
	// the start, startsWithReserve if no other owner has started within it.
	startsFull        bool
	startsWithReserve bool
	buckets           map[string]*bucket
	holders           map[string]*holderState
	lastGrant         uint64
	sweptAt           bootclock.Time
}

// holderState is what the owner knows of a holder.
type holderState struct {
	lastAsk   uint64
	expiresAt bootclock.Time
	teams     map[string]*holderTeam
	// sent holds the grants that the holder has not confirmed.
	sent []sentGrant
}

// holderTeam is the stock of one team at one holder.
type holderTeam struct {
	stock      int
	generation int
	// discardedIn is the number of the first grant that told the holder to discard its
	// stock of an earlier generation, 0 for none.
	discardedIn uint64
}

// sentGrant holds the stock in a grant by team.
type sentGrant struct {
	number uint64
	stock  map[string]int
}

// NewOwner returns the owner of a leader that observes at now that it was elected in a
// term.
func NewOwner(term uint64, settings Settings, predecessor Predecessor, now bootclock.Time) *Owner {
	o := &Owner{term: term, settings: settings, buckets: make(map[string]*bucket), holders: make(map[string]*holderState), sweptAt: now}
	if !predecessor.exists {
		o.startsFull = true
		return o
	}
	o.startsAt = now.Add(MaxQuorumAge)
	o.predecessorExpiresAt = o.startsAt.Add(holdersExpireAfter)
	o.olderExpireAt = now.Add(succession - min(succession, predecessor.age))
	o.startsWithReserve = predecessor.age > settings.window+succession
	return o
}

// Term returns the term in which the leader was elected.
func (o *Owner) Term() uint64 { return o.term }

// Grants reports whether the owner may grant: its predecessor has stopped, and its last
// contact with a quorum is recent.
func (o *Owner) Grants(quorumAge time.Duration, now bootclock.Time) bool {
	return !now.Before(o.startsAt) && quorumAge >= 0 && quorumAge < MaxQuorumAge
}

// SetTeams sets the teams whose requests are limited. Stock is discarded if a limit falls.
// A team that is added later than the window and the succession after the owner has started
// begins with a full bucket.
func (o *Owner) SetTeams(teams []routing.Team, now bootclock.Time) {
	listed := make(map[string]bool)
	for _, t := range teams {
		if !t.HasQuota() {
			continue
		}
		listed[t.Name()] = true
		l := o.settings.limitOf(t)
		b := o.buckets[t.Name()]
		if b == nil {
			o.buckets[t.Name()] = &bucket{limit: l, free: o.initialTokens(l, now), refilledAt: max(now, o.startsAt)}
			continue
		}
		o.refill(b, now)
		b.removedAt = 0
		if l.lowerThan(b.limit) {
			b.generation++
		}
		b.limit = l
	}
	for name, b := range o.buckets {
		o.removeUnlisted(name, b, listed[name], now)
	}
}

// removeUnlisted deletes the bucket of a team without a quota once nothing that it granted
// lies within a window.
func (o *Owner) removeUnlisted(name string, b *bucket, listed bool, now bootclock.Time) {
	switch {
	case listed:
	case b.removedAt == 0:
		b.removedAt = now
		b.generation++
	case now.Sub(b.removedAt) > o.settings.window+succession:
		delete(o.buckets, name)
	}
}

// initialTokens returns the free tokens of a new bucket.
func (o *Owner) initialTokens(l limit, now bootclock.Time) float64 {
	switch {
	case o.startsFull || now.Sub(o.startsAt) > o.settings.window+succession:
		return o.capacity(l, now)
	case o.startsWithReserve && now.Before(o.startsAt):
		return l.start
	}
	return 0
}

// capacity returns the capacity of a bucket at a time.
func (o *Owner) capacity(l limit, now bootclock.Time) float64 {
	switch {
	case now.Before(o.olderExpireAt):
		return l.duringSuccession()
	case now.Before(o.predecessorExpiresAt):
		return l.afterSuccession()
	}
	return l.capacity
}

// refill refills a bucket up to now, in steps that end when the capacity changes.
func (o *Owner) refill(b *bucket, now bootclock.Time) {
	for _, change := range []bootclock.Time{o.olderExpireAt, o.predecessorExpiresAt} {
		if b.refilledAt.Before(change) && change.Before(now) {
			b.refill(o.capacity(b.limit, change-1), change)
		}
	}
	b.refill(o.capacity(b.limit, now), now)
}

// Answer answers an ask of a holder, which is one run of a process. It returns false for
// an ask that is older than another one of the holder. It must be called only while Grants
// reports true.
func (o *Owner) Answer(holder string, ask Ask, now bootclock.Time) (Grant, bool) {
	o.sweep(now)
	h := o.holders[holder]
	reset := false
	if h != nil && !now.Before(h.expiresAt) {
		o.forget(holder, h)
		h = nil
	}
	if h == nil {
		h = &holderState{teams: make(map[string]*holderTeam)}
		o.holders[holder] = h
		reset = ask.owner == o.term
	}
	if ask.number <= h.lastAsk {
		return Grant{}, false
	}
	h.lastAsk = ask.number
	h.expiresAt = now.Add(holdersExpireAfter)
	o.lastGrant++
	received := uint64(0)
	if ask.owner == o.term && !reset {
		received = ask.received
	}
	o.applyReport(h, ask, reset, now)
	grant := Grant{owner: o.term, number: o.lastGrant, ask: ask.number, reset: reset}
	sent := sentGrant{number: o.lastGrant, stock: make(map[string]int)}
	for _, a := range ask.teams {
		if b := o.buckets[a.team]; b != nil && b.removedAt == 0 {
			g := o.grantTeam(b, h.team(a.team, b), a, now)
			grant.teams = append(grant.teams, g)
			if g.stock > 0 {
				sent.stock[a.team] = g.stock
			}
		}
	}
	grant.teams = append(grant.teams, h.discards(o.buckets, received, o.lastGrant)...)
	if len(sent.stock) > 0 {
		h.sent = append(h.sent, sent)
	}
	return grant, true
}

// applyReport replaces what the owner assumes in stock at a holder by what the holder
// reports and the grants that it may still receive. Nothing is raised by a report.
func (o *Owner) applyReport(h *holderState, ask Ask, reset bool, now bootclock.Time) {
	ours := ask.owner == o.term && !reset
	if ours {
		h.confirm(ask.received)
	}
	reports := make(map[string]TeamAsk, len(ask.teams))
	if ours {
		for _, a := range ask.teams {
			reports[a.team] = a
		}
	}
	for name, t := range h.teams {
		b := o.buckets[name]
		if b == nil {
			delete(h.teams, name)
			continue
		}
		a := reports[name]
		o.refill(b, now)
		after := max(0, min(t.stock, a.stock+h.inFlight(name)))
		b.setStock(t.stock, after, a.returned)
		// Returned tokens must not raise the bucket above its capacity.
		o.refill(b, now)
		t.stock = after
	}
}

// grantTeam grants tokens of one team to a holder.
func (o *Owner) grantTeam(b *bucket, t *holderTeam, a TeamAsk, now bootclock.Time) TeamGrant {
	o.refill(b, now)
	g := TeamGrant{team: a.team, immediate: b.takeImmediate(max(0, a.waiting), now)}
	if g.immediate < a.waiting {
		g.retryAfter = b.retryAfter()
	}
	if t.generation == b.generation {
		g.stock = b.takeStock(max(0, a.wanted), o.capacity(b.limit, now))
		t.stock += g.stock
	}
	return g
}

// team returns the state of a team at the holder.
func (h *holderState) team(name string, b *bucket) *holderTeam {
	t := h.teams[name]
	if t == nil {
		t = &holderTeam{generation: b.generation}
		h.teams[name] = t
	}
	return t
}

// discards returns, for the teams whose limit fell after the holder got its stock, the
// order to discard it. It is repeated until the holder confirms it.
func (h *holderState) discards(buckets map[string]*bucket, received, number uint64) []TeamGrant {
	var out []TeamGrant
	for name, t := range h.teams {
		b := buckets[name]
		if b == nil || t.generation == b.generation {
			continue
		}
		if t.stock == 0 || t.discardedIn > 0 && received >= t.discardedIn {
			t.generation = b.generation
			t.discardedIn = 0
			continue
		}
		if t.discardedIn == 0 {
			t.discardedIn = number
		}
		out = append(out, TeamGrant{team: name, discard: true})
	}
	return out
}

// confirm removes the grants that the holder has applied.
func (h *holderState) confirm(received uint64) {
	for len(h.sent) > 0 && h.sent[0].number <= received {
		h.sent = h.sent[1:]
	}
}

// inFlight returns the tokens of a team in grants that the holder has not confirmed.
func (h *holderState) inFlight(team string) int {
	n := 0
	for _, s := range h.sent {
		n += s.stock[team]
	}
	return n
}

// sweep removes holders that have expired.
func (o *Owner) sweep(now bootclock.Time) {
	if now.Sub(o.sweptAt) < sweepInterval {
		return
	}
	o.sweptAt = now
	for name, h := range o.holders {
		if !now.Before(h.expiresAt) {
			o.forget(name, h)
		}
	}
}

// forget counts the stock of a holder as spent.
func (o *Owner) forget(name string, h *holderState) {
	for team, t := range h.teams {
		if b := o.buckets[team]; b != nil {
			o.refill(b, h.expiresAt)
			b.setStock(t.stock, 0, 0)
		}
	}
	delete(o.holders, name)
}
