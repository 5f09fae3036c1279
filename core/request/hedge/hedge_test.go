package hedge_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/request/hedge"
)

func TestBudgetBoundsExtraLoad(t *testing.T) {
	const firstRequests = 10_000
	tests := []struct {
		name     string
		budget   *hedge.Budget
		maxTaken int
	}{
		{"hedges", hedge.NewHedgeBudget(), firstRequests * 5 / 100},
		{"retries", hedge.NewRetryBudget(), firstRequests*10/100 + 10},
	}
	for _, tt := range tests {
		taken := 0
		for range firstRequests {
			tt.budget.Deposit()
			if tt.budget.TryWithdraw() {
				taken++
			}
		}
		assert.Assert(t, taken <= tt.maxTaken, "%d %s exceed the budget", taken, tt.name)
	}
}

func TestDelayFollowsQuantile(t *testing.T) {
	l := hedge.NewLatencyTracker()
	for i := range 256 {
		took := 5 * time.Millisecond
		if i%5 == 0 {
			took = 40 * time.Millisecond
		}
		l.Add(took)
	}
	assert.Equal(t, l.Delay(), 50*time.Millisecond)
	// One straggler in twenty responses must not determine the delay.
	for i := range 512 {
		took := 4 * time.Millisecond
		if i%20 == 0 {
			took = 40 * time.Millisecond
		}
		l.Add(took)
	}
	assert.Equal(t, l.Delay(), 5*time.Millisecond)
}

func ExampleBudget() {
	b := hedge.NewHedgeBudget()
	taken := 0
	for b.TryWithdraw() {
		taken++
	}
	fmt.Println(taken)
	// Output: 15
}
