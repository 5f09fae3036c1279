package target

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkWatch gives the memory that a VM needs for each target it watches,
// with its pool but without open connections.
func BenchmarkWatch(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 110_000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			var leafs []configuration.Leaf
			for i := range n {
				leafs = append(leafs, configuration.NewLeaf(fmt.Sprintf("leaf-%06d", i), "dc-1", "127.0.0.1:1"))
			}
			cfg := configuration.New("size", 9, []configuration.DataCentre{configuration.NewDataCentre("dc-1", "r", true)},
				[]configuration.Service{configuration.NewService("s", configuration.NewLimits(2, 25, 30, 0, 0), true, leafs)}, nil, nil)
			before := heap()
			var table *Table
			for b.Loop() {
				table = NewTable("dc-1")
				for i, t := range table.Apply(cfg, began)["s"] {
					t.Probed(leaf.NewReport(fmt.Sprintf("life-%d", i), leaf.ReportedWarm, []string{"snapshot-0001"}, 0, true), nil, began)
				}
			}
			b.ReportMetric((heap()-before)/float64(n), "heap-bytes/target")
			runtime.KeepAlive(table)
		})
	}
}

// BenchmarkChoose gives the time of one choice among the leafs of a service.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{3, 21, 100} {
		b.Run(fmt.Sprintf("leafs=%d", n), func(b *testing.B) {
			_, targets := newTestTable()
			for len(targets) < n {
				targets = append(targets, targets[len(targets)%3])
			}
			for _, t := range targets {
				t.Probed(report("life-1", leaf.ReportedWarm), nil, began)
				t.Warmed("life-1", began)
			}
			now := began
			for b.Loop() {
				now = now.Add(time.Microsecond)
				if c, ok := Choose(targets, "s1", nil, func(int) int { return 0 }, now).(Chosen); ok {
					c.Target().Settle(leaf.Withheld{}, 0, now)
				}
			}
		})
	}
}
