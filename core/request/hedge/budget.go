// Package hedge bounds the extra load that hedges and retries put on targets,
// and says when a sub-request is late for its service.
package hedge

import "sync"

const (
	// hedgeShare is the most hedges for each first request.
	hedgeShare = 0.05
	// retryShare is the most retries for each first request.
	retryShare = 0.10
	// savedHedges and savedRetries bound what a quiet time saves up.
	savedHedges  = 5
	savedRetries = 10
)

// Budget holds the tokens of one service. It is safe for concurrent use; its
// lock is taken alone.
type Budget struct {
	mu      sync.Mutex
	hedges  float64
	retries float64
}

// NewBudget returns a budget with what a quiet time would have saved up.
func NewBudget() *Budget {
	return &Budget{hedges: savedHedges, retries: savedRetries}
}

// First counts a first request, which earns a part of a hedge and of a retry.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedges = min(savedHedges, b.hedges+hedgeShare)
	b.retries = min(savedRetries, b.retries+retryShare)
}

// TakeHedge spends a hedge if there is one.
func (b *Budget) TakeHedge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return take(&b.hedges)
}

// TakeRetry spends a retry if there is one.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return take(&b.retries)
}

func take(tokens *float64) bool {
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}

// GiveHedge returns a hedge that was taken and not sent.
func (b *Budget) GiveHedge() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedges = min(savedHedges, b.hedges+1)
}

// GiveRetry returns a retry that was taken and not sent.
func (b *Budget) GiveRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = min(savedRetries, b.retries+1)
}
