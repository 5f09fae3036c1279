package configuration_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// encodedConfiguration returns a document with the given number of leafs, which
// must be a multiple of ten. Each service has ten leafs.
func encodedConfiguration(leafs int) []byte {
	limits := configuration.NewLimits(2, 25, 30, 6*time.Millisecond, 10*time.Second)
	var services []configuration.Service
	var names []string
	for s := range leafs / 10 {
		var serviceLeafs []configuration.Leaf
		for l := range 10 {
			n := s*10 + l
			serviceLeafs = append(serviceLeafs, configuration.NewLeaf(fmt.Sprintf("service-%05d-%02d", s, l), "dc-1", fmt.Sprintf("10.%d.%d.%d:8080", n>>16, n>>8&255, n&255)))
		}
		services = append(services, configuration.NewService(fmt.Sprintf("service-%05d", s), limits, true, serviceLeafs))
		names = append(names, fmt.Sprintf("service-%05d", s))
	}
	return configuration.Encode(configuration.New("size", 6400,
		[]configuration.DataCentre{configuration.NewDataCentre("dc-1", "r", true)}, services,
		[]configuration.Query{configuration.NewQuery("q", time.Second, names[:min(89, len(names))])}, nil), configuration.Notes{})
}

// heapBytes returns the size of the allocated heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkDecode measures the time to decode a document, the size of the
// document, and the heap memory that the configuration occupies. Each figure is
// divided by the number of leafs.
func BenchmarkDecode(b *testing.B) {
	for _, leafs := range []int{1_000, 10_000, 110_000} {
		b.Run(fmt.Sprintf("leafs=%d", leafs), func(b *testing.B) {
			text := encodedConfiguration(leafs)
			before := heapBytes()
			var cfg configuration.Configuration
			for b.Loop() {
				var err error
				if cfg, err = configuration.Decode(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric((heapBytes()-before)/float64(leafs), "heap-bytes/leaf")
			b.ReportMetric(float64(len(text))/float64(leafs), "document-bytes/leaf")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(leafs), "ns/leaf")
			runtime.KeepAlive(cfg)
			runtime.KeepAlive(text)
		})
	}
}

// BenchmarkDiff measures the time to compare two configurations that differ in
// one data centre, divided by the number of leafs.
func BenchmarkDiff(b *testing.B) {
	for _, leafs := range []int{1_000, 10_000, 110_000} {
		b.Run(fmt.Sprintf("leafs=%d", leafs), func(b *testing.B) {
			cfg, err := configuration.Decode(encodedConfiguration(leafs))
			if err != nil {
				b.Fatal(err)
			}
			changed, _ := cfg.WithDataCentre("dc-1", false)
			for b.Loop() {
				configuration.Diff(cfg, changed)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(leafs), "ns/leaf")
		})
	}
}
