// Package hedge bounds the extra load that hedges and retries put on targets,
// and says when a sub-request is late for its service.
package hedge

import "sync"

const (
	// hedgeRatio is the most hedges for each first request. With what a quiet
	// time saves up, a VM stays under 5 % over any 6,000 first requests.
	hedgeRatio = 0.0475
	// retryRatio is the most retries for each first request.
	retryRatio = 0.10
	// maxSavedHedges and savedRetries bound what a quiet time saves up.
	maxSavedHedges  = 15
	maxSavedRetries = 10
)

// Budget is a number of extra sub-requests, earned by first ones. It is safe
// for concurrent use; its lock is taken alone.
type Budget struct {
	depositPerRequest float64
	maxTokens         float64

	mu     sync.Mutex
	tokens float64
}

// NewHedgeBudget returns the budget of hedges of a VM, with what a quiet time would
// have saved up.
func NewHedgeBudget() *Budget {
	return &Budget{depositPerRequest: hedgeRatio, maxTokens: maxSavedHedges, tokens: maxSavedHedges}
}

// NewRetryBudget returns the budget of retries of a service, with what a quiet
// time would have saved up.
func NewRetryBudget() *Budget {
	return &Budget{depositPerRequest: retryRatio, maxTokens: maxSavedRetries, tokens: maxSavedRetries}
}

// Deposit counts a first request, which earns a part of an extra one.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+b.depositPerRequest)
}

// TryWithdraw spends an extra sub-request if there is one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns what was taken and not sent.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+1)
}
