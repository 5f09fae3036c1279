package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydale/mulberrydale/core/request/claim"
)

// BenchmarkClaim measures the time to apply a claim for different numbers of
// retained ids.
func BenchmarkClaim(b *testing.B) {
	for _, retained := range []int{1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("kept=%d", retained), func(b *testing.B) {
			s := NewState()
			now := time.Unix(1, 0)
			for i := range retained {
				s.claims.Append(claim.NewRecord(fmt.Sprint("old-", i), "h", now.Add(time.Hour), false, 0, nil))
			}
			i := 0
			for b.Loop() {
				i++
				s.Apply(WithAppendTime(NewClaim(fmt.Sprint("new-", i), "h", time.Hour), now))
			}
		})
	}
}

// BenchmarkSnapshot measures the time to encode a snapshot and its size per
// retained id.
func BenchmarkSnapshot(b *testing.B) {
	for _, retained := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("kept=%d", retained), func(b *testing.B) {
			s := NewState()
			for i := range retained {
				s.claims.Append(claim.NewRecord(fmt.Sprint("request/caller-", i), "entry-1-1a2b3c4d-1", time.Unix(1, 0), true, 100, []byte(`[{"ok":true}]`)))
			}
			size := 0
			for b.Loop() {
				size = len(s.Encode())
			}
			b.ReportMetric(float64(size)/float64(retained), "bytes/id")
		})
	}
}
