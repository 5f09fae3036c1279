package quota

import "github.com/mulberrydale/mulberrydale/core/process/bootclock"

// lease is the stock of a holder from one owner. All of it expires at the same time.
type lease struct {
	owner uint64
	// received is the number of the latest grant that was applied.
	received uint64
	// askedAt is when the holder sent the latest ask that the owner has answered.
	askedAt    bootclock.Time
	validUntil bootclock.Time
	teams      map[string]*teamStock
	// lastGeneration is the highest generation of any stock.
	lastGeneration int
}

// teamStock is the stock of one team.
type teamStock struct {
	// count is the number of tokens that a request may take. held is the number of
	// those taken by requests that are not sent yet and may give them back.
	count int
	held  int
	// generation differs from that of every earlier stock. A token of an earlier
	// generation cannot be given back.
	generation int
}

// Token is the permission to send one request. Exactly one of Holder.Spend and
// Holder.GiveBack is called for each.
type Token struct {
	lease      *lease
	team       string
	generation int
}

func newLease(owner uint64) *lease { return &lease{owner: owner, teams: make(map[string]*teamStock)} }

// valid reports whether the stock may be used.
func (l *lease) valid(now bootclock.Time) bool { return l != nil && now.Before(l.validUntil) }

// take removes a token of a team from the stock.
func (l *lease) take(team string, now bootclock.Time) (Token, bool) {
	if !l.valid(now) {
		return Token{}, false
	}
	s := l.teams[team]
	if s == nil || s.count == 0 {
		return Token{}, false
	}
	s.count--
	s.held++
	return Token{lease: l, team: team, generation: s.generation}, true
}

// count returns the number of tokens of a team that may be taken.
func (l *lease) count(team string, now bootclock.Time) int {
	if !l.valid(now) || l.teams[team] == nil {
		return 0
	}
	return l.teams[team].count
}

// add adds tokens to the stock of a team.
func (l *lease) add(team string, n int) {
	s := l.teams[team]
	if s == nil {
		l.lastGeneration++
		s = &teamStock{generation: l.lastGeneration}
		l.teams[team] = s
	}
	s.count += n
}

// discard removes the stock of a team.
func (l *lease) discard(team string) {
	delete(l.teams, team)
}

// discardAll removes the stock of all teams.
func (l *lease) discardAll() { clear(l.teams) }

// settle ends a token of the lease, which returns to the stock if the lease is valid and
// giveBack is set.
func (l *lease) settle(t Token, giveBack bool, now bootclock.Time) {
	s := l.teams[t.team]
	if s == nil || s.generation != t.generation {
		return
	}
	s.held--
	if giveBack && l.valid(now) {
		s.count++
	}
}
