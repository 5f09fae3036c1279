package quota

import "time"

// Ask is what a holder reports to the owner and asks of it, for all teams together.
type Ask struct {
	number   uint64
	owner    uint64
	received uint64
	teams    []TeamAsk
}

// NewAsk returns an ask. The number increases with each ask of a holder. owner is the term
// of the owner from which the stock is, 0 if there is none, and received the number of the
// latest grant of that owner that the holder has applied.
func NewAsk(number, owner, received uint64, teams []TeamAsk) Ask {
	return Ask{number: number, owner: owner, received: received, teams: teams}
}

// Number returns the number of the ask.
func (a Ask) Number() uint64 { return a.number }

// Owner returns the term of the owner from which the stock is, 0 if there is none.
func (a Ask) Owner() uint64 { return a.owner }

// Received returns the number of the latest grant that the holder has applied.
func (a Ask) Received() uint64 { return a.received }

// Teams returns what is reported and asked for each team. The stock of any other team is
// 0.
func (a Ask) Teams() []TeamAsk { return a.teams }

// TeamAsk is the part of an Ask for one team.
type TeamAsk struct {
	team     string
	stock    int
	returned int
	waiting  int
	wanted   int
}

// NewTeamAsk returns what a holder reports and asks for a team: the tokens in stock, those
// that it removed from the stock to return them, the number of requests that wait for a
// token, and the number of tokens wanted for the stock.
func NewTeamAsk(team string, stock, returned, waiting, wanted int) TeamAsk {
	return TeamAsk{team: team, stock: stock, returned: returned, waiting: waiting, wanted: wanted}
}

// Team returns the name of the team.
func (a TeamAsk) Team() string { return a.team }

// Counts returns the tokens in stock, those returned, the requests that wait and the
// tokens wanted for the stock.
func (a TeamAsk) Counts() (stock, returned, waiting, wanted int) {
	return a.stock, a.returned, a.waiting, a.wanted
}

// Grant answers an Ask. It makes the whole stock of the holder valid for StockLifetime
// after the ask.
type Grant struct {
	owner  uint64
	number uint64
	ask    uint64
	reset  bool
	teams  []TeamGrant
}

// NewGrant returns the answer of the owner with the given term to an ask. The number
// increases with each grant of an owner. With reset, the holder discards its stock from
// this owner first.
func NewGrant(owner, number, ask uint64, reset bool, teams []TeamGrant) Grant {
	return Grant{owner: owner, number: number, ask: ask, reset: reset, teams: teams}
}

// Owner returns the term of the owner.
func (g Grant) Owner() uint64 { return g.owner }

// Number returns the number of the grant.
func (g Grant) Number() uint64 { return g.number }

// Ask returns the number of the ask that the grant answers.
func (g Grant) Ask() uint64 { return g.ask }

// Reset reports whether the holder discards its stock from this owner first.
func (g Grant) Reset() bool { return g.reset }

// Teams returns what is granted to each team.
func (g Grant) Teams() []TeamGrant { return g.teams }

// TeamGrant is the part of a Grant for one team. An order to discard stock has a TeamGrant
// of its own and says nothing about requests that wait.
type TeamGrant struct {
	team       string
	immediate  int
	stock      int
	discard    bool
	retryAfter time.Duration
}

// NewTeamGrant returns what is granted to a team: tokens for requests that waited when the
// holder asked, which count as spent, and tokens for the stock. With discard, the holder
// discards the stock of the team that it got before this grant. retryAfter is the time
// after which a request that waited and got no token may get one.
func NewTeamGrant(team string, immediate, stock int, discard bool, retryAfter time.Duration) TeamGrant {
	return TeamGrant{team: team, immediate: immediate, stock: stock, discard: discard, retryAfter: retryAfter}
}

// Team returns the name of the team.
func (g TeamGrant) Team() string { return g.team }

// Immediate returns the tokens for requests that waited when the holder asked.
func (g TeamGrant) Immediate() int { return g.immediate }

// Stock returns the tokens for the stock.
func (g TeamGrant) Stock() int { return g.stock }

// Discard reports whether the holder discards the stock of the team that it got before.
func (g TeamGrant) Discard() bool { return g.discard }

// RetryAfter returns the time after which a request that got no token may get one.
func (g TeamGrant) RetryAfter() time.Duration { return g.retryAfter }
