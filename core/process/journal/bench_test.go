package journal_test

import (
	"fmt"
	"testing"

	"github.com/mulberrydale/mulberrydale/core/process/journal"
)

// BenchmarkAppend measures the time per record of a synced append, for several
// numbers of records in one append.
func BenchmarkAppend(b *testing.B) {
	for _, n := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			j, _, err := journal.Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer j.Close()
			batch := make([][]byte, n)
			for i := range batch {
				batch[i] = make([]byte, 120)
			}
			for b.Loop() {
				if err := j.Append(batch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/record")
		})
	}
}
