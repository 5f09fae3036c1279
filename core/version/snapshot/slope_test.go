package snapshot_test

import (
	"fmt"
	"testing"

	"github.com/mulberrydale/mulberrydale/core/version/snapshot"
)

// BenchmarkChoose gives the time of one choice by the number of services, of
// three leafs each with two snapshots.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{1, 15, 89} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			var services []snapshot.ServiceSnapshots
			for range n {
				services = append(services, snapshot.NewServiceSnapshots([][]string{{"snapshot-0001", "snapshot-0002"}, {"snapshot-0001", "snapshot-0002"}, {"snapshot-0001"}}))
			}
			b.ReportAllocs()
			for b.Loop() {
				snapshot.Choose(services)
			}
		})
	}
}
