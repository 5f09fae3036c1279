package hedge_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/request/hedge"
)

func TestBudgetBoundsExtraLoad(t *testing.T) {
	b := hedge.NewBudget()
	hedges := 0
	retries := 0
	const firsts = 10_000
	for range firsts {
		b.First()
		if b.TakeHedge() {
			hedges++
		}
		if b.TakeRetry() {
			retries++
		}
	}
	assert.Assert(t, hedges <= firsts*5/100+5, "%d hedges", hedges)
	assert.Assert(t, retries <= firsts*10/100+10, "%d retries", retries)
}

func TestDelayIsTheQuantile(t *testing.T) {
	l := hedge.NewLatency()
	for i := range 256 {
		took := 5 * time.Millisecond
		if i%10 == 0 {
			took = 50 * time.Millisecond
		}
		l.Add(took)
	}
	assert.Equal(t, l.Delay(), 50*time.Millisecond)
	for range 512 {
		l.Add(5 * time.Millisecond)
	}
	assert.Equal(t, l.Delay(), 5*time.Millisecond)
}

func ExampleBudget() {
	b := hedge.NewBudget()
	taken := 0
	for b.TakeHedge() {
		taken++
	}
	fmt.Println(taken)
	// Output: 5
}
