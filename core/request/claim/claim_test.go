package claim_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/request/claim"
	"github.com/mulberrydale/mulberrydale/core/result"
)

var startTime = time.Unix(1_000_000, 0)

func TestSecondClaim(t *testing.T) {
	tests := []struct {
		name   string
		settle result.Code // 0 if the first claim is not settled
		holder string
		after  time.Duration // time between the two claims
		want   string
	}{
		{"by the same holder after a lost response", 0, "first", 0, "claim.Granted"},
		{"by another holder while the first request runs", 0, "second", 0, "claim.InDoubt"},
		{"after the first request was run", result.Complete, "second", 0, "claim.Settled"},
		{"after the first request was not run", result.TargetRefused, "second", 0, "claim.Granted"},
		{"after an unknown outcome", result.OutcomeUnknown, "second", 0, "claim.InDoubt"},
		{"after the id expired", result.Complete, "second", 2 * time.Hour, "claim.Granted"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := claim.NewTable()
			_, granted := table.Claim("id", "first", time.Hour, startTime).(claim.Granted)
			assert.Assert(t, granted)
			if tt.settle != 0 {
				table.Settle("id", "first", tt.settle, nil)
			}
			got := table.Claim("id", tt.holder, time.Hour, startTime.Add(tt.after))
			assert.Equal(t, fmt.Sprintf("%T", got), tt.want)
		})
	}
}

func TestOnlyHolderSettlesOnce(t *testing.T) {
	table := claim.NewTable()
	table.Claim("id", "first", time.Hour, startTime)
	table.Settle("id", "second", result.TargetRefused, nil)
	table.Settle("id", "first", result.Complete, []byte("1"))
	table.Settle("id", "first", result.TargetRefused, nil)
	settled, ok := table.Claim("id", "second", time.Hour, startTime).(claim.Settled)
	assert.Assert(t, ok)
	assert.Equal(t, string(settled.Body()), "1")
}

func TestExpiredClaimsAreRemoved(t *testing.T) {
	table := claim.NewTable()
	for i := range 100 {
		table.Claim(fmt.Sprint(i), "h", time.Second, startTime.Add(time.Duration(i)*time.Second))
	}
	assert.Assert(t, table.Len() <= 2, "%d ids are stored, want at most 2", table.Len())
}

func ExampleTable() {
	table := claim.NewTable()
	fmt.Printf("%T\n", table.Claim("id", "entry-1", time.Hour, startTime))
	fmt.Printf("%T\n", table.Claim("id", "entry-2", time.Hour, startTime))
	table.Settle("id", "entry-1", result.Complete, []byte(`["done"]`))
	fmt.Printf("%T\n", table.Claim("id", "entry-2", time.Hour, startTime))
	// Output:
	// claim.Granted
	// claim.InDoubt
	// claim.Settled
}

// A request that was not run releases its id. When it is claimed again, it must be
// stored once, with the expiry of the second claim.
func TestReleasedIDIsStoredOnce(t *testing.T) {
	table := claim.NewTable()
	now := time.Unix(1000, 0)
	table.Claim("id-0", "vm-1", time.Hour, now)
	table.Claim("id-1", "vm-1", time.Minute, now)
	table.Settle("id-1", "vm-1", result.Overloaded, nil)
	table.Claim("id-1", "vm-2", time.Hour, now.Add(time.Second))
	assert.Equal(t, len(table.Records()), 2)
	assert.Equal(t, table.Records()[1].Holder(), "vm-2")
}
