package health

import (
	"sort"
	"time"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

// maxSlownessAge is the age at which a slowness says next to nothing of a target any more.
const maxSlownessAge = 1200 * time.Millisecond

// SlownessTable holds the latest slowness of each target that VMs reported and that was
// not passed on yet. It is not safe for concurrent use.
type SlownessTable struct {
	latest map[string]observedSlowness
	// passedAt is when the slowness that was passed on last was observed, by target.
	passedAt map[string]time.Time
}

type observedSlowness struct {
	factor float64
	at     time.Time
}

// NewSlownessTable returns an empty table.
func NewSlownessTable() *SlownessTable {
	return &SlownessTable{latest: make(map[string]observedSlowness), passedAt: make(map[string]time.Time)}
}

// Add adds what a VM reports. A slowness that is too old, or not later than one that was
// added before, is ignored.
func (t *SlownessTable) Add(reports []discovery.Slowness, now time.Time) {
	for _, r := range reports {
		at := now.Add(-r.Age())
		if r.Age() > maxSlownessAge || !at.After(t.passedAt[r.ID()]) || !at.After(t.latest[r.ID()].at) {
			continue
		}
		t.latest[r.ID()] = observedSlowness{factor: r.Factor(), at: at}
	}
}

// Take returns what was added since the last call, sorted by id, without what has become
// too old.
func (t *SlownessTable) Take(now time.Time) []discovery.Slowness {
	var out []discovery.Slowness
	for id, at := range t.passedAt {
		if now.Sub(at) > maxSlownessAge {
			delete(t.passedAt, id)
		}
	}
	for id, o := range t.latest {
		if age := now.Sub(o.at); age <= maxSlownessAge {
			out = append(out, discovery.NewSlowness(id, o.factor, age))
			t.passedAt[id] = o.at
		}
	}
	clear(t.latest)
	sort.Slice(out, func(i, j int) bool { return out[i].ID() < out[j].ID() })
	return out
}
