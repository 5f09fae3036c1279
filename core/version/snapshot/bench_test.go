package snapshot_test

import (
	"fmt"
	"testing"

	"github.com/mulberrydale/mulberrydale/core/version/snapshot"
)

// BenchmarkChoose measures one call of Choose for different numbers of
// services. Each service has three leafs: two with two snapshots and one with
// one.
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
