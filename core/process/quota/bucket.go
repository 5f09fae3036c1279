package quota

import (
	"math"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

const (
	// refusalMemory is the time constant with which refused requests are forgotten.
	refusalMemory = time.Second
	// maxRetryAfter bounds the time that a refused request is told.
	maxRetryAfter = 30 * time.Second
	// stockReserveFraction is the fraction of the capacity that is kept for requests
	// that wait; only free tokens beyond it go into the stock of a holder.
	stockReserveFraction = 0.25
)

// bucket holds the tokens of a team.
type bucket struct {
	limit limit
	// free is the number of tokens that are not granted.
	free float64
	// stock is the number of tokens that holders may have.
	stock      int
	refilledAt bootclock.Time
	// generation increases when the limit falls. Stock of an earlier generation is
	// discarded.
	generation int
	// removedAt is when the team was removed from the configuration, 0 if it is in it.
	removedAt bootclock.Time
	// refused is the number of requests that were refused lately, and refusedAt when it
	// was last updated.
	refused   float64
	refusedAt bootclock.Time
}

// refill adds the tokens that have accrued up to the given time, as long as free tokens
// and stock together are below the capacity.
func (b *bucket) refill(capacity float64, now bootclock.Time) {
	room := max(0, capacity-float64(b.stock))
	accrued := b.limit.rate * max(0, now.Sub(b.refilledAt)).Seconds()
	b.free = min(room, b.free+accrued)
	b.refilledAt = max(b.refilledAt, now)
}

// setStock replaces the part of one holder in the stock. Returned tokens become free.
func (b *bucket) setStock(before, after, returned int) {
	b.stock += after - before
	b.free += float64(max(0, min(returned, before-after)))
}

// takeImmediate removes up to n whole tokens for requests that wait and returns their
// number.
func (b *bucket) takeImmediate(n int, now bootclock.Time) int {
	granted := max(0, min(n, wholeTokens(b.free)))
	b.free -= float64(granted)
	b.refused *= math.Exp(-max(0, now.Sub(b.refusedAt)).Seconds() / refusalMemory.Seconds())
	b.refusedAt = now
	b.refused += float64(n - granted)
	return granted
}

// takeStock moves up to n tokens to the stock of a holder and returns their number.
func (b *bucket) takeStock(n int, capacity float64) int {
	spare := wholeTokens(b.free - stockReserveFraction*capacity)
	granted := max(0, min(n, spare, b.limit.maxStock-b.stock))
	b.free -= float64(granted)
	b.stock += granted
	return granted
}

// retryAfter returns the time until the bucket has gained a token for each request that
// was refused lately, so that their callers return one after the other.
func (b *bucket) retryAfter() time.Duration {
	missing := max(1, b.refused) - b.free
	if b.limit.rate <= 0 || missing > b.limit.rate*maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(max(0, missing) / b.limit.rate * float64(time.Second))
}
