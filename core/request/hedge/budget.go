// Package hedge limits the extra load that hedges and retries put on targets,
// and estimates from recent response times when a sub-request should be hedged.
package hedge

import "sync"

const (
	// hedgeRatio is the fraction of a hedge token that each first request adds.
	// With a full bucket at the start, a VM sends at most 15 + 0.0475 x 6,000 =
	// 300 hedges, or 5 %, during any 6,000 consecutive first requests.
	hedgeRatio = 0.0475
	// retryRatio is the fraction of a retry token that each first request adds.
	retryRatio = 0.10
	// maxHedgeTokens and maxRetryTokens are the capacities of the token
	// buckets.
	maxHedgeTokens = 15
	maxRetryTokens = 10
)

// Budget is a token bucket for extra sub-requests, filled by first requests. It
// is safe for concurrent use. No other lock is taken while its mutex is held.
type Budget struct {
	depositPerRequest float64
	maxTokens         float64

	mu     sync.Mutex
	tokens float64
}

// NewHedgeBudget returns a full budget for the hedges of a VM.
func NewHedgeBudget() *Budget {
	return &Budget{depositPerRequest: hedgeRatio, maxTokens: maxHedgeTokens, tokens: maxHedgeTokens}
}

// NewRetryBudget returns a full budget for the retries of a service.
func NewRetryBudget() *Budget {
	return &Budget{depositPerRequest: retryRatio, maxTokens: maxRetryTokens, tokens: maxRetryTokens}
}

// Deposit adds the fraction of a token that is due for one first request, up to
// the capacity of the bucket.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+b.depositPerRequest)
}

// TryWithdraw takes one token and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns a token whose extra sub-request was not sent.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+1)
}
