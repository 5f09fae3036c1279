package gateway

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCollectionDue(t *testing.T) {
	const mb = 1 << 20
	tests := []struct {
		name                string
		objects, live, goal uint64
		due                 bool
	}{
		{"just collected", 2 * mb, 2 * mb, 4 * mb, false},
		{"one query since", 5 * mb / 2, 2 * mb, 4 * mb, false},
		{"two queries since", 3 * mb, 2 * mb, 4 * mb, true},
		{"at the goal", 4 * mb, 2 * mb, 4 * mb, true},
		{"no collection yet", mb, 0, 4 * mb, false},
		{"goal below the live heap, at a memory limit", 5 * mb, 4 * mb, 3 * mb, false},
		{"fewer objects than were live", mb, 2 * mb, 4 * mb, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, collectionDue(tt.objects, tt.live, tt.goal), tt.due) })
	}
}

// The names of the metrics must be those of the runtime that this is built with.
func TestHeapMetricsAreKnown(t *testing.T) {
	runtime.GC()
	c := newIdleCollector(nil)
	c.due()
	for _, s := range c.samples {
		assert.Assert(t, s.Value.Uint64() > 0, s.Name)
	}
}
