package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberrydale/mulberrydale/core/request/claim"
)

// BenchmarkClaim gives the time to apply one claim while a number of ids is
// kept.
func BenchmarkClaim(b *testing.B) {
	for _, kept := range []int{1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("kept=%d", kept), func(b *testing.B) {
			s := NewState()
			now := time.Unix(1, 0)
			for i := range kept {
				s.claims.Append(claim.NewRecord(fmt.Sprint("old-", i), "h", now.Add(time.Hour), false, 0, nil))
			}
			i := 0
			for b.Loop() {
				i++
				s.Apply(Stamped(NewClaim(fmt.Sprint("new-", i), "h", time.Hour), now))
			}
		})
	}
}

// BenchmarkSnapshot gives the time and size of a snapshot by kept ids.
func BenchmarkSnapshot(b *testing.B) {
	for _, kept := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("kept=%d", kept), func(b *testing.B) {
			s := NewState()
			for i := range kept {
				s.claims.Append(claim.NewRecord(fmt.Sprint("request/caller-", i), "entry-1-1a2b3c4d-1", time.Unix(1, 0), true, 100, []byte(`[{"ok":true}]`)))
			}
			size := 0
			for b.Loop() {
				size = len(s.Encode())
			}
			b.ReportMetric(float64(size)/float64(kept), "bytes/id")
		})
	}
}
