package intake

// Counts holds the numbers of events at a listener.
type Counts struct {
	refusedMemory, refusedConnections, evicted, headOverLimit, tooSlow int64
}

// Count is the number of events of one kind.
type Count struct {
	name  string
	value int64
}

// Name returns the kind of the events in the log and the metrics.
func (c Count) Name() string { return c.name }

// Value returns the number of events.
func (c Count) Value() int64 { return c.value }

// Zero reports whether nothing was counted.
func (c Counts) Zero() bool { return c == Counts{} }

// List returns the number of events of each kind: requests and frames refused for lack of
// memory, connections refused, connections closed to make room for others, heads with too
// many bytes or lines, and connections whose head or body took too long.
func (c Counts) List() []Count {
	return []Count{
		{"refused-memory", c.refusedMemory},
		{"refused-connections", c.refusedConnections},
		{"evicted", c.evicted},
		{"head-over-limit", c.headOverLimit},
		{"too-slow", c.tooSlow},
	}
}
