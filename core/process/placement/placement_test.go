package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

var start = time.Unix(1_000_000, 0)

var limits = placement.NewLimits(0.2, 0, 10*time.Second, 1.5, 5)

// fleet returns a fleet of a service s-1 with targets i-0, i-1 and so on, one
// in each of the data centres.
func fleet(declared routing.Service, centres ...string) *placement.Fleet {
	f := placement.NewFleet("vm-1", "dc-1", limits, start)
	f.SetServices(routing.NewTable(1, []routing.Route{routing.NewRoute("r", "h", "/").WithSplit(
		[]routing.Share{routing.NewShare("s-1", 1)})}, []routing.Service{declared}, routing.Limits{}))
	f.SetTargets(list(1, centres...), start)
	return f
}

func list(number uint64, centres ...string) discovery.List {
	var out []discovery.Instance
	for n, centre := range centres {
		out = append(out, discovery.NewInstance(fmt.Sprintf("i-%d", n), "s-1", fmt.Sprintf("10.0.0.%d:80", n), centre, 2))
	}
	return discovery.NewList(out, number, start)
}

func service() routing.Service { return routing.NewService("s-1", "").WithMaxConnections(25) }

// answer sends a request and lets it be answered after a time.
func answer(t *testing.T, f *placement.Fleet, now time.Time, took func(id string) time.Duration) string {
	t.Helper()
	l, ok := f.Acquire(placement.NewAsk("s-1", "k"), now)
	assert.Assert(t, ok)
	id := l.Target().Instance().ID()
	l.Succeeded(now.Add(took(id)))
	return id
}

func TestTheOwnDataCentreComesFirst(t *testing.T) {
	f := fleet(service(), "dc-2", "dc-1", "dc-3")
	counts := make(map[string]int)
	now := start
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		counts[answer(t, f, now, func(string) time.Duration { return 5 * time.Millisecond })]++
	}
	assert.Assert(t, counts["i-1"] > 80, "%v", counts)
}

// The load: responses take 6 to 18 ms, whichever target gives them. What a few
// of them show must not send requests through other data centres.
func TestTheOwnDataCentreComesFirstWhereTimesVary(t *testing.T) {
	f := fleet(service(), "dc-2", "dc-1", "dc-3")
	rng := rand.New(rand.NewPCG(1, 2))
	counts := make(map[string]int)
	now := start
	for range 400 {
		now = now.Add(30 * time.Millisecond)
		counts[answer(t, f, now, func(string) time.Duration {
			return 6*time.Millisecond + time.Duration(rng.Int64N(int64(12*time.Millisecond)))
		})]++
	}
	assert.Assert(t, counts["i-1"] > 300, "%v", counts)
}

// The load: one of three targets answers eight times as slowly as the others.
func TestASlowTargetGetsOnlyTrials(t *testing.T) {
	f := fleet(service(), "dc-1", "dc-1", "dc-1")
	took := func(id string) time.Duration {
		if id == "i-0" {
			return 80 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	counts := make(map[string]int)
	now := start
	for n := range 1000 {
		now = now.Add(10 * time.Millisecond)
		id := answer(t, f, now, took)
		if n >= 100 {
			counts[id]++
		}
	}
	assert.Assert(t, counts["i-0"] <= 15, "%v", counts)
	assert.Assert(t, counts["i-0"] >= 5, "it must be tried again: %v", counts)
}

// The load: callers read long responses slowly. Their target is not slow.
func TestASlowReaderDoesNotMakeItsTargetSlow(t *testing.T) {
	f := fleet(service(), "dc-1", "dc-1")
	now := start
	for range 60 {
		now = now.Add(10 * time.Millisecond)
		answer(t, f, now, func(string) time.Duration { return 10 * time.Millisecond })
	}
	for range 6 {
		l, ok := f.Acquire(placement.NewAsk("s-1", "k"), now)
		assert.Assert(t, ok)
		l.Begun(now.Add(10 * time.Millisecond))
		now = now.Add(time.Second)
		for _, finding := range f.Findings(now) {
			assert.Assert(t, !finding.Unhealthy())
		}
		l.Succeeded(now)
		for _, finding := range f.Findings(now) {
			assert.Assert(t, !finding.Unhealthy())
		}
	}
}

// The load: a target pauses, with requests from here on their way.
func TestAPausingTargetGetsNothingNew(t *testing.T) {
	f := fleet(service(), "dc-1", "dc-1", "dc-1")
	now := start
	for range 60 {
		now = now.Add(10 * time.Millisecond)
		answer(t, f, now, func(string) time.Duration { return 10 * time.Millisecond })
	}
	stuck, ok := f.Acquire(placement.NewAsk("s-1", "k"), now)
	assert.Assert(t, ok)
	now = now.Add(40 * time.Millisecond)
	for range 20 {
		now = now.Add(4 * time.Millisecond)
		id := answer(t, f, now, func(string) time.Duration { return 3 * time.Millisecond })
		assert.Assert(t, id != stuck.Target().Instance().ID())
	}
}

// The load: a service sheds more than half of what two of its targets get.
func TestASheddingTargetGetsLess(t *testing.T) {
	f := fleet(service(), "dc-1", "dc-1", "dc-1")
	counts := make(map[string]int)
	now := start
	for n := range 600 {
		now = now.Add(10 * time.Millisecond)
		l, ok := f.Acquire(placement.NewAsk("s-1", "k"), now)
		assert.Assert(t, ok)
		id := l.Target().Instance().ID()
		counts[id]++
		if id != "i-2" && n%5 < 3 {
			l.Refused(false, now.Add(time.Millisecond))
		} else {
			l.Succeeded(now.Add(5 * time.Millisecond))
		}
	}
	assert.Assert(t, counts["i-2"] > 450, "%v", counts)
}

func TestTargetsThatLeaveGetNothing(t *testing.T) {
	tests := []struct {
		name string
		make func(f *placement.Fleet)
	}{
		{"the list says so", func(f *placement.Fleet) {
			i := list(2, "dc-1", "dc-1").Instances()
			i[0] = i[0].WithLeaving(true)
			f.SetTargets(discovery.NewList(i, 2, start), start)
			// An older list must not bring it back.
			f.SetTargets(list(3, "dc-1", "dc-1"), start)
		}},
		{"it is gone from the list", func(f *placement.Fleet) {
			f.SetTargets(discovery.NewList(list(2, "dc-1", "dc-1").Instances()[1:], 2, start), start)
		}},
		{"another one answers at its address", func(f *placement.Fleet) {
			for range 50 {
				l, _ := f.Acquire(placement.NewAsk("s-1", "k"), start)
				if l.Target().Instance().ID() == "i-0" {
					l.Refused(true, start)
					return
				}
				l.Unsent(start)
			}
		}},
		{"its data centre is out of service", func(f *placement.Fleet) {
			f.SetTargets(list(2, "dc-2", "dc-1"), start)
			f.SetOut([]string{"dc-2"}, start)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := fleet(service(), "dc-1", "dc-1")
			tt.make(f)
			for n := range 50 {
				now := start.Add(time.Duration(n) * 50 * time.Millisecond)
				assert.Equal(t, answer(t, f, now, func(string) time.Duration { return time.Millisecond }), "i-1")
			}
		})
	}
}

func TestAColdTargetIsSpared(t *testing.T) {
	const rate, vms = 40, 4
	declared := service().WithMaxConnections(0).WithCold(3*time.Second, rate)
	f := fleet(declared, "dc-1")
	f.SetTargets(discovery.NewList([]discovery.Instance{
		discovery.NewInstance("i-9", "s-1", "10.0.0.9:80", "dc-1", 100).WithColdFor(3 * time.Second)}, 2, start), start)
	f.SetEntryVMs(vms, start)
	var sent []time.Time
	for n := range 2000 {
		now := start.Add(time.Duration(n) * time.Millisecond)
		if l, ok := f.Acquire(placement.NewAsk("s-1", "k"), now); ok {
			sent = append(sent, now)
			l.Succeeded(now)
		}
	}
	assert.Assert(t, len(sent) > 0)
	for i := range sent {
		most := 0
		for j := i; j < len(sent) && sent[j].Sub(sent[i]) < time.Second; j++ {
			most++
		}
		assert.Assert(t, most*vms <= rate*3/2+5, "%d in a second from one of %d VMs", most, vms)
	}
}

// Whatever requests come and fail, the further sends of all VMs together stay
// within the ratio of what was asked.
func TestFurtherSendsStayWithinTheirRatio(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const vms = 3
		var firsts, extras []time.Time
		fleets := make([]*placement.Fleet, vms)
		for i := range fleets {
			fleets[i] = fleet(service().WithMaxConnections(0), "dc-1", "dc-1", "dc-1")
			fleets[i].SetEntryVMs(vms, start)
		}
		now := start
		for range rapid.IntRange(50, 400).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(rt, "gap")) * time.Millisecond)
			f := fleets[rapid.IntRange(0, vms-1).Draw(rt, "vm")]
			l, ok := f.Acquire(placement.NewAsk("s-1", "k"), now)
			if !ok {
				continue
			}
			firsts = append(firsts, now)
			l.Failed(now)
			if again, ok := f.Acquire(placement.NewAsk("s-1", "k").Again([]*placement.Target{l.Target()}, false), now); ok {
				extras = append(extras, now)
				again.Failed(now)
			}
		}
		for _, from := range extras {
			asked, more := within(firsts, from, 10*time.Second), within(extras, from, 10*time.Second)
			before := within(firsts, from.Add(-10*time.Second), 10*time.Second)
			assert.Assert(rt, float64(more) <= 0.2*float64(max(asked, before))+3, "%d further of %d or %d", more, asked, before)
		}
	})
}

func within(times []time.Time, from time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(span)) {
			n++
		}
	}
	return n
}

func TestThoseThatWaitAreServedByRank(t *testing.T) {
	f := fleet(service(), "dc-1")
	var held []*placement.Lease
	for {
		l, ok := f.Acquire(placement.NewAsk("s-1", "k"), start)
		if !ok {
			break
		}
		held = append(held, l)
	}
	ranks := []struct {
		priority int
		deadline time.Duration
	}{{2, time.Second}, {1, 2 * time.Second}, {1, time.Second}}
	rooms := make([]chan *placement.Lease, len(ranks))
	for n, r := range ranks {
		rooms[n] = make(chan *placement.Lease, 1)
		f.Wait(placement.NewAsk("s-1", "k"), r.priority, start.Add(r.deadline), rooms[n], start)
	}
	for _, want := range []int{2, 1, 0} {
		held[0].Succeeded(start)
		select {
		case l := <-rooms[want]:
			held = append(held[1:], l)
		default:
			t.Fatalf("waiter %d got no room", want)
		}
	}
}

func TestADataCentreThatIsCutOffIsPassedOver(t *testing.T) {
	f := fleet(service(), "dc-1", "dc-2")
	f.SetHeard(map[string]bool{"dc-2": true}, start)
	silence := func() {
		for range 40 {
			l, ok := f.Acquire(placement.NewAsk("s-1", "k"), start)
			if !ok {
				return
			}
			if l.Target().Instance().DataCentre() == "dc-2" {
				l.Silent(start)
				continue
			}
			defer l.Unsent(start)
		}
	}
	silence()
	assert.Equal(t, f.Usable("s-1"), 2, "its VMs are still heard")
	f.SetHeard(nil, start)
	assert.Equal(t, f.Usable("s-1"), 2-len(f.Cut()))
	assert.DeepEqual(t, f.Cut(), []string{"dc-2"})
	f.SetHeard(map[string]bool{"dc-2": true}, start)
	assert.Equal(t, f.Usable("s-1"), 2)
}

func ExampleFleet_Acquire() {
	f := fleet(service(), "dc-1")
	l, ok := f.Acquire(placement.NewAsk("s-1", "search"), start)
	fmt.Println(l.Target().Instance().ID(), ok)
	l.Succeeded(start.Add(8 * time.Millisecond))
	// Output: i-0 true
}
