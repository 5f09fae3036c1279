package discovery_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
)

var startTime = time.Unix(1_000_000, 0)

// newInstance returns an instance that differs from others only by its id.
func newInstance(id string) discovery.Instance {
	return discovery.NewInstance(id, "s-1", "10.0.0.1:80", "dc-1", 2)
}

func TestApplyOfCompareYieldsNewList(t *testing.T) {
	instances := rapid.Custom(func(rt *rapid.T) []discovery.Instance {
		var out []discovery.Instance
		for id := range 8 {
			// The value 0 leaves the instance out. The value 4 adds an entry of another
			// writer to it.
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 1:
				out = append(out, newInstance(fmt.Sprint(id)))
			case 2:
				out = append(out, newInstance(fmt.Sprint(id)).WithLeaving(true))
			case 3:
				out = append(out, discovery.NewInstance(fmt.Sprint(id), "s-2", "10.0.0.2:80", "dc-2", 4))
			case 4:
				foreign := discovery.NewInstance(fmt.Sprint(id), "s-0", "10.0.0.1:80", "dc-1", 2)
				out = append(out, newInstance(fmt.Sprint(id)), foreign.WithLeaving(rapid.Bool().Draw(rt, "leaving")))
			}
		}
		return out
	})
	rapid.Check(t, func(rt *rapid.T) {
		from := discovery.NewList(instances.Draw(rt, "from"), 1, startTime)
		to := discovery.NewList(instances.Draw(rt, "to"), 2, startTime.Add(time.Second))
		got := from.Apply(discovery.Compare(from, to), to.SequenceNumber(), to.ReadAt())
		assert.Equal(rt, fmt.Sprint(got), fmt.Sprint(to))
		assert.Assert(rt, discovery.Compare(to, to).Empty())
	})
}

// An entry of another writer may have the id of a target. Taken in turns, the two would
// be a new target without history at each read.
func TestFirstOfTwoEntriesWithOneIDIsKept(t *testing.T) {
	odd := discovery.NewInstance("i-1", "s-1", "10.0.0.9:80", "dc-1", 2)
	entries := []discovery.Instance{newInstance("i-2"), newInstance("i-1"), odd}
	list := discovery.NewList(entries, 1, startTime)
	assert.Equal(t, fmt.Sprint(list.Instances()), fmt.Sprint([]discovery.Instance{newInstance("i-1"), newInstance("i-2")}))
	assert.Equal(t, entries[2], odd, "the entries that were passed in have changed")
	update := discovery.NewDifference([]discovery.Instance{odd}, nil)
	assert.Equal(t, list.Apply(update, 2, startTime).Instances()[0], odd)
}

// Of several entries with one id the same must be used in whatever order they come, or the
// target would be replaced at each read; one of a declared service, or an entry of another
// writer would hide the target; and of these one that is leaving, or requests would go to a
// target until it ends.
func TestEntriesWithOneIDInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		isDeclared := map[string]bool{"s-1": rapid.Bool().Draw(rt, "s-1 is declared"), "s-2": rapid.Bool().Draw(rt, "s-2 is declared")}
		declared := func(service string) bool { return isDeclared[service] }
		entries := []discovery.Instance{newInstance("i-2")}
		leaving := make(map[bool]bool)
		anyDeclared := false
		for range rapid.IntRange(1, 4).Draw(rt, "entries") {
			e := discovery.NewInstance("i-1", rapid.SampledFrom([]string{"s-1", "s-2"}).Draw(rt, "service"), rapid.SampledFrom([]string{"10.0.0.1:80", "10.0.0.9:80"}).Draw(rt, "address"), "dc-1", 2).
				WithLeaving(rapid.Bool().Draw(rt, "leaving"))
			leaving[declared(e.Service())] = leaving[declared(e.Service())] || e.Leaving()
			anyDeclared = anyDeclared || declared(e.Service())
			entries = append(entries, e)
		}
		list := discovery.NewList(entries, 1, startTime)
		selected := list.Select(declared)
		assert.Equal(rt, len(selected), 2)
		assert.Equal(rt, declared(selected[0].Service()), anyDeclared)
		assert.Equal(rt, selected[0].Leaving(), leaving[anyDeclared])
		shuffled := rapid.Permutation(entries).Draw(rt, "order")
		assert.Equal(rt, fmt.Sprint(discovery.NewList(shuffled, 1, startTime)), fmt.Sprint(list))
		if ambiguous := list.SelectAmbiguous(declared); len(ambiguous) > 0 {
			assert.DeepEqual(rt, fmt.Sprint(ambiguous), fmt.Sprint(selected[:1]))
		}
	})
}

func TestCompareIgnoresRemainingColdTime(t *testing.T) {
	a := discovery.NewList([]discovery.Instance{newInstance("i-1").WithColdFor(2 * time.Second)}, 1, startTime)
	b := discovery.NewList([]discovery.Instance{newInstance("i-1").WithColdFor(time.Second)}, 2, startTime)
	c := discovery.NewList([]discovery.Instance{newInstance("i-1")}, 3, startTime)
	assert.Assert(t, discovery.Compare(a, b).Empty())
	assert.Assert(t, !discovery.Compare(b, c).Empty())
}

// The clock from which a VM takes the time of a read stops while the VM is
// suspended. A VM that was suspended during a read therefore underestimates the
// age of its result, which can have a later time than that of a newer read. The
// sequence number shows that other VMs have read the list since.
func TestListReadBeforeSuspensionIsNotNewer(t *testing.T) {
	old := discovery.NewList(nil, 4, startTime.Add(time.Hour))
	current := discovery.NewList([]discovery.Instance{newInstance("i-1")}, 9, startTime)
	assert.Assert(t, !old.Newer(current))
	assert.Assert(t, current.Newer(old))
}

func ExampleCompare() {
	from := discovery.NewList([]discovery.Instance{newInstance("i-1"), newInstance("i-2")}, 1, startTime)
	to := discovery.NewList([]discovery.Instance{newInstance("i-2").WithLeaving(true)}, 2, startTime)
	d := discovery.Compare(from, to)
	fmt.Println(len(d.Changed()), d.Removed())
	// Output: 1 [i-1]
}
