// Package quota limits the requests of each team over all VMs together with tokens. The
// Owner, on the leader of the replicated log, has a bucket for each team and grants tokens
// from it. The Holder of an entry VM keeps a small stock of tokens, takes one for each
// request, and asks the Owner for more. docs/design/11-quotas.md proves that no window
// exceeds the limit. Both are pure: they have no clock, connections or locks.
package quota

import (
	"math"
	"time"

	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

const (
	// StockLifetime is how long the stock of a holder is valid after the holder has asked
	// for it or renewed it. It bridges an election of a leader, and it is less than the
	// 4 s after which a lower limit binds.
	StockLifetime = 3 * time.Second
	// MaxQuorumAge is the age of the owner's last contact with a quorum from which on it
	// grants nothing. An owner waits for the same time after its election, during which
	// its predecessor may still grant.
	MaxQuorumAge = 400 * time.Millisecond
	// clockMargin is more than the clocks of two VMs diverge within a window or a
	// lifetime.
	clockMargin = 10 * time.Millisecond
	// holdersExpireAfter is the time after which the owner counts the stock of a silent
	// holder as spent.
	holdersExpireAfter = StockLifetime + clockMargin
	// succession is the time after the election of an owner until which tokens of the
	// owner before its predecessor may be valid.
	succession = MaxQuorumAge + holdersExpireAfter
)

// Settings holds how far the requests of a team may exceed its quota within a window.
type Settings struct {
	window  time.Duration
	overage float64
	slack   float64
}

// NewSettings returns settings by which a team may send, in any window, its rate times
// the window plus its burst, times 1 + overage, plus slack requests.
func NewSettings(window time.Duration, overage, slack float64) Settings {
	return Settings{window: window, overage: overage, slack: slack}
}

// DefaultSettings returns a window of 5 s, no overage and no slack.
func DefaultSettings() Settings { return NewSettings(5*time.Second, 0, 0) }

// Window returns the length of the window.
func (s Settings) Window() time.Duration { return s.window }

// Bound returns the greatest number of requests of a team within any window.
func (s Settings) Bound(t routing.Team) float64 {
	return (t.Rate()*s.window.Seconds()+t.Burst())*(1+s.overage) + s.slack
}

const (
	// startFraction is the fraction of the tokens that an owner has at its start, kept
	// back from the normal capacity of the bucket.
	startFraction = 0.12
	// minCapacityForStart is the capacity from which on startFraction is kept back. It
	// would take single tokens from a smaller bucket.
	minCapacityForStart = 4
	// maxStockFraction is the greatest fraction of the capacity that the holders may
	// have in stock. The rest is what a new owner may grant while the stocks of its
	// predecessor are valid.
	maxStockFraction = 0.7
)

// limit is how the owner divides what the bound of a team allows: rate times the window,
// plus capacity, plus start.
type limit struct {
	// rate is the number of tokens that the bucket gains in a second.
	rate float64
	// capacity is the greatest number of tokens that are free or in stock at holders.
	capacity float64
	// start is the number of free tokens at the start of an owner.
	start float64
	// maxStock is the greatest number of tokens in stock at all holders together.
	maxStock int
}

// limitOf returns the limit of a team. Half of the overage goes into the rate and makes up
// for tokens that are lost with holders. If what remains is less than one token, the
// bucket holds one and gains fewer, because it could never grant any otherwise. A bound
// below one request allows none.
func (s Settings) limitOf(t routing.Team) limit {
	bound := s.Bound(t)
	seconds := (s.window + clockMargin).Seconds()
	rate := t.Rate() * (1 + s.overage/2)
	capacity := bound - rate*seconds
	if capacity < 1 {
		capacity = min(bound, 1)
		rate = max(0, (bound-capacity)/seconds)
	}
	l := limit{rate: rate, capacity: capacity}
	if capacity >= minCapacityForStart {
		l.start = startFraction * capacity
		l.capacity -= l.start
	}
	l.maxStock = int(max(0, min(l.capacity-t.Burst()/2, maxStockFraction*l.capacity)))
	return l
}

// lowerThan reports whether the limit allows less than another one in some respect.
func (l limit) lowerThan(other limit) bool {
	return l.rate < other.rate || l.capacity < other.capacity || l.maxStock < other.maxStock
}

// duringSuccession returns the capacity while the stocks of several earlier owners may be
// valid: that of the first, and what the others that started within succession could
// grant.
func (l limit) duringSuccession() float64 {
	return max(0, l.afterSuccession()-l.start-l.rate*succession.Seconds())
}

// afterSuccession returns the capacity while only the stocks of the predecessor may be
// valid.
func (l limit) afterSuccession() float64 { return l.capacity - float64(l.maxStock) }

// wholeTokens returns the number of whole tokens.
func wholeTokens(n float64) int { return int(math.Floor(n + 1e-9)) }
