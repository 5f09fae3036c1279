package target

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/leaf"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkTargetMemory measures the memory per target, with its connection
// pool but without open connections.
func BenchmarkTargetMemory(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 110_000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			var leafs []configuration.Leaf
			for i := range n {
				leafs = append(leafs, configuration.NewLeaf(fmt.Sprintf("leaf-%06d", i), "dc-1", "127.0.0.1:1"))
			}
			cfg := configuration.New("size", 9, []configuration.DataCentre{configuration.NewDataCentre("dc-1", "r", true)},
				[]configuration.Service{configuration.NewService("s", configuration.NewLimits(2, 25, 30, 0, 0), true, leafs)}, nil, nil)
			before := heapBytes()
			var table *Table
			for b.Loop() {
				table = NewTable("dc-1")
				for i, t := range table.Apply(cfg, startTime)["s"] {
					t.RecordProbe(leaf.NewReport(fmt.Sprintf("life-%d", i), leaf.ReportedWarm, []string{"snapshot-0001"}, 0, true), nil, startTime)
				}
			}
			b.ReportMetric((heapBytes()-before)/float64(n), "heap-bytes/target")
			runtime.KeepAlive(table)
		})
	}
}

// BenchmarkChoose measures how long it takes to choose among the leafs of a
// service.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{3, 21, 100} {
		b.Run(fmt.Sprintf("leafs=%d", n), func(b *testing.B) {
			_, targets := newTestTable()
			// The three targets of the table are repeated up to n entries.
			for len(targets) < n {
				targets = append(targets, targets[len(targets)%3])
			}
			for _, t := range targets {
				t.RecordProbe(newReport("life-1", leaf.ReportedWarm), nil, startTime)
				t.PeerReportedWarm("life-1", startTime)
			}
			now := startTime
			for b.Loop() {
				now = now.Add(time.Microsecond)
				if c, ok := Choose(targets, "s1", nil, func(int) int { return 0 }, now).(Chosen); ok {
					c.Target().RecordOutcome(leaf.Withheld{}, 0, now)
				}
			}
		})
	}
}
