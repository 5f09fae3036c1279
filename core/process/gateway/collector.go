package gateway

import (
	"context"
	"runtime"
	"runtime/metrics"
	"time"
)

const (
	// collectInterval is the time between two checks whether to collect garbage.
	collectInterval = 100 * time.Millisecond
	// collectAfterIdle is how long no request may have run before garbage is collected.
	// VMs with many requests a second are never idle for so long and leave the time of a
	// collection to the runtime.
	collectAfterIdle = 150 * time.Millisecond
	// collectShare is the part of the growth after which the runtime would collect that
	// makes a collection worthwhile while the VM is idle. A query to hundreds of shards
	// allocates about half a megabyte, a fifth of that growth for a small heap.
	collectShare = 0.4
	// recheckInterval is the time between two checks of the heap of a VM that stays
	// idle, which allocates little.
	recheckInterval = 5 * time.Second
)

// Names of the runtime's metrics: the bytes of live and dead objects, those that were
// live after the last collection, and the heap size at which the next one starts.
const (
	heapObjectsMetric = "/memory/classes/heap/objects:bytes"
	heapLiveMetric    = "/gc/heap/live:bytes"
	heapGoalMetric    = "/gc/heap/goal:bytes"
)

// idleCollector collects garbage while no request runs. Otherwise the runtime would
// collect it during a query: on a fraction of a core this delays the responses that
// arrive meanwhile by tens of milliseconds.
type idleCollector struct {
	entry   *Entry
	samples []metrics.Sample
}

// newIdleCollector returns the collector of an entry VM.
func newIdleCollector(e *Entry) *idleCollector {
	return &idleCollector{entry: e, samples: []metrics.Sample{{Name: heapObjectsMetric}, {Name: heapLiveMetric}, {Name: heapGoalMetric}}}
}

func (c *idleCollector) run(ctx context.Context) {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	idleSince := time.Now()
	nextCheck := idleSince.Add(collectAfterIdle)
	for {
		select {
		case now := <-ticker.C:
			if c.entry.Running() > 0 || c.entry.dispatcher.LastArrival().After(idleSince) {
				idleSince = now
				nextCheck = now.Add(collectAfterIdle)
				continue
			}
			if now.Before(nextCheck) {
				continue
			}
			nextCheck = now.Add(recheckInterval)
			if c.due() {
				runtime.GC()
			}
		case <-ctx.Done():
			return
		}
	}
}

// due reports whether the heap has grown enough for a collection.
func (c *idleCollector) due() bool {
	metrics.Read(c.samples)
	return collectionDue(c.samples[0].Value.Uint64(), c.samples[1].Value.Uint64(), c.samples[2].Value.Uint64())
}

// collectionDue reports whether a heap, of which live bytes were in use after the last
// collection, has grown by collectShare of the way to the goal.
func collectionDue(objects, live, goal uint64) bool {
	if goal <= live || objects <= live {
		return false
	}
	return float64(objects-live) >= collectShare*float64(goal-live)
}
