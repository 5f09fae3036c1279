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

// newTestFleet returns the fleet of a VM in dc-1 with a service s-1 and one
// target in each of the given data centres, named i-0, i-1 and so on.
func newTestFleet(declared routing.Service, centres ...string) *placement.Fleet {
	f := placement.NewFleet("vm-1", "dc-1", limits, start)
	f.SetServices(routing.NewTable(1, []routing.Route{routing.NewRoute("r", "h", "/").WithSplit(
		[]routing.WeightedService{routing.NewWeightedService("s-1", 1)})}, []routing.Service{declared}, routing.Limits{}))
	f.SetTargets(newList(1, centres...), start)
	return f
}

// newList returns a list with one target of s-1, with two slots, in each of the
// given data centres.
func newList(number uint64, centres ...string) discovery.List {
	var out []discovery.Instance
	for n, centre := range centres {
		out = append(out, discovery.NewInstance(fmt.Sprintf("i-%d", n), "s-1", fmt.Sprintf("10.0.0.%d:80", n), centre, 2))
	}
	return discovery.NewList(out, number, start)
}

func newService() routing.Service { return routing.NewService("s-1", "").WithMaxConnections(25) }

// sendAnswered sends a request whose response takes responseTime(id) and
// returns the id of the target.
func sendAnswered(t *testing.T, f *placement.Fleet, now time.Time, responseTime func(id string) time.Duration) string {
	t.Helper()
	l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), now)
	assert.Assert(t, ok)
	id := l.Instance().ID()
	l.Succeeded(now.Add(responseTime(id)))
	return id
}

func TestOwnDataCentreIsPreferred(t *testing.T) {
	f := newTestFleet(newService(), "dc-2", "dc-1", "dc-3")
	counts := make(map[string]int)
	now := start
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		counts[sendAnswered(t, f, now, func(string) time.Duration { return 5 * time.Millisecond })]++
	}
	assert.Assert(t, counts["i-1"] > 80, "%v", counts)
}

// Guards against sending requests to targets in other data centres because of
// random variation: response times are 6 to 18 ms at every target, so a few
// samples may favour a remote one.
func TestOwnDataCentreIsPreferredWhenResponseTimesVary(t *testing.T) {
	f := newTestFleet(newService(), "dc-2", "dc-1", "dc-3")
	rng := rand.New(rand.NewPCG(1, 2))
	counts := make(map[string]int)
	now := start
	for range 400 {
		now = now.Add(30 * time.Millisecond)
		counts[sendAnswered(t, f, now, func(string) time.Duration {
			return 6*time.Millisecond + time.Duration(rng.Int64N(int64(12*time.Millisecond)))
		})]++
	}
	assert.Assert(t, counts["i-1"] > 300, "%v", counts)
}

// Guards against sending more than trial requests to a target whose responses
// take eight times as long as those of the other two.
func TestSlowTargetGetsOnlyTrialRequests(t *testing.T) {
	f := newTestFleet(newService(), "dc-1", "dc-1", "dc-1")
	responseTime := func(id string) time.Duration {
		if id == "i-0" {
			return 80 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	counts := make(map[string]int)
	now := start
	for n := range 1000 {
		now = now.Add(10 * time.Millisecond)
		id := sendAnswered(t, f, now, responseTime)
		if n >= 100 {
			counts[id]++
		}
	}
	assert.Assert(t, counts["i-0"] <= 15, "%v", counts)
	assert.Assert(t, counts["i-0"] >= 5, "the slow target must get trial requests: %v", counts)
}

// Guards against a target being reported unhealthy because callers read long
// responses slowly.
func TestSlowReaderDoesNotMarkTargetSlow(t *testing.T) {
	f := newTestFleet(newService(), "dc-1", "dc-1")
	now := start
	for range 60 {
		now = now.Add(10 * time.Millisecond)
		sendAnswered(t, f, now, func(string) time.Duration { return 10 * time.Millisecond })
	}
	for range 6 {
		l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), now)
		assert.Assert(t, ok)
		l.StreamingStarted(now.Add(10 * time.Millisecond))
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

// Guards against sending new requests to a target that pauses while a request
// of this VM is in flight there.
func TestPausedTargetGetsNoNewRequests(t *testing.T) {
	f := newTestFleet(newService(), "dc-1", "dc-1", "dc-1")
	now := start
	for range 60 {
		now = now.Add(10 * time.Millisecond)
		sendAnswered(t, f, now, func(string) time.Duration { return 10 * time.Millisecond })
	}
	pending, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), now)
	assert.Assert(t, ok)
	now = now.Add(40 * time.Millisecond)
	for range 20 {
		now = now.Add(4 * time.Millisecond)
		id := sendAnswered(t, f, now, func(string) time.Duration { return 3 * time.Millisecond })
		assert.Assert(t, id != pending.Instance().ID())
	}
}

// Guards against sending an equal share to targets that refuse many requests:
// two of three targets refuse more than half of what they get.
func TestSheddingTargetsGetFewerRequests(t *testing.T) {
	f := newTestFleet(newService(), "dc-1", "dc-1", "dc-1")
	counts := make(map[string]int)
	now := start
	for n := range 600 {
		now = now.Add(10 * time.Millisecond)
		l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), now)
		assert.Assert(t, ok)
		id := l.Instance().ID()
		counts[id]++
		if id != "i-2" && n%5 < 3 {
			l.Refused(false, now.Add(time.Millisecond))
		} else {
			l.Succeeded(now.Add(5 * time.Millisecond))
		}
	}
	assert.Assert(t, counts["i-2"] > 450, "%v", counts)
}

func TestRemovedAndLeavingTargetsGetNoRequests(t *testing.T) {
	tests := []struct {
		name   string
		remove func(f *placement.Fleet)
	}{
		{"listed as leaving", func(f *placement.Fleet) {
			i := newList(2, "dc-1", "dc-1").Instances()
			i[0] = i[0].WithLeaving(true)
			f.SetTargets(discovery.NewList(i, 2, start), start)
			// A list that does not contain the leaving state yet must not undo
			// it.
			f.SetTargets(newList(3, "dc-1", "dc-1"), start)
		}},
		{"removed from the list", func(f *placement.Fleet) {
			f.SetTargets(discovery.NewList(newList(2, "dc-1", "dc-1").Instances()[1:], 2, start), start)
		}},
		{"refuses a request because another instance has its address", func(f *placement.Fleet) {
			for range 50 {
				l, _ := f.Acquire(placement.NewLeaseRequest("s-1", "k"), start)
				if l.Instance().ID() == "i-0" {
					l.Refused(true, start)
					return
				}
				l.Unsent(start)
			}
		}},
		{"its data centre is out of service", func(f *placement.Fleet) {
			f.SetTargets(newList(2, "dc-2", "dc-1"), start)
			f.SetOutOfService([]string{"dc-2"}, start)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newTestFleet(newService(), "dc-1", "dc-1")
			tt.remove(f)
			for n := range 50 {
				now := start.Add(time.Duration(n) * 50 * time.Millisecond)
				assert.Equal(t, sendAnswered(t, f, now, func(string) time.Duration { return time.Millisecond }), "i-1")
			}
		})
	}
}

// Checks that the requests to a cold target stay within the limit in any
// second: 1.5 times the declared rate plus 5, as set in limits, for all VMs
// together.
func TestColdTargetRateIsLimited(t *testing.T) {
	const rate, vms = 40, 4
	declared := newService().WithMaxConnections(0).WithWarmUp(3*time.Second, rate)
	f := newTestFleet(declared, "dc-1")
	f.SetTargets(discovery.NewList([]discovery.Instance{
		discovery.NewInstance("i-9", "s-1", "10.0.0.9:80", "dc-1", 100).WithColdFor(3 * time.Second)}, 2, start), start)
	f.SetEntryVMs(vms, start)
	var sent []time.Time
	for n := range 2000 {
		now := start.Add(time.Duration(n) * time.Millisecond)
		if l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), now); ok {
			sent = append(sent, now)
			l.Succeeded(now)
		}
	}
	assert.Assert(t, len(sent) > 0)
	for i := range sent {
		count := 0
		for j := i; j < len(sent) && sent[j].Sub(sent[i]) < time.Second; j++ {
			count++
		}
		assert.Assert(t, count*vms <= rate*3/2+5, "%d requests in one second from one of %d VMs", count, vms)
	}
}

// Checks that the extra attempts of all VMs together stay within the ratio of
// the first attempts, whichever requests arrive and fail. Each of the three VMs
// may exceed its share by one attempt because of its random rounding offset.
func TestExtraAttemptsStayWithinRatio(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const vms = 3
		var firsts, extras []time.Time
		fleets := make([]*placement.Fleet, vms)
		for i := range fleets {
			fleets[i] = newTestFleet(newService().WithMaxConnections(0), "dc-1", "dc-1", "dc-1")
			fleets[i].SetEntryVMs(vms, start)
		}
		now := start
		for range rapid.IntRange(50, 400).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(rt, "gap")) * time.Millisecond)
			f := fleets[rapid.IntRange(0, vms-1).Draw(rt, "vm")]
			l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), now)
			if !ok {
				continue
			}
			firsts = append(firsts, now)
			l.Failed(now)
			if extra, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k").ExtraAttempt([]*placement.Target{l.Target()}, false), now); ok {
				extras = append(extras, now)
				extra.Failed(now)
			}
		}
		for _, from := range extras {
			firstCount, extraCount := countWithin(firsts, from, 10*time.Second), countWithin(extras, from, 10*time.Second)
			firstCountBefore := countWithin(firsts, from.Add(-10*time.Second), 10*time.Second)
			assert.Assert(rt, float64(extraCount) <= 0.2*float64(max(firstCount, firstCountBefore))+3, "%d extra attempts for %d or %d first attempts", extraCount, firstCount, firstCountBefore)
		}
	})
}

// countWithin returns how many of the times lie in the span that begins at
// from.
func countWithin(times []time.Time, from time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(span)) {
			n++
		}
	}
	return n
}

func TestUnreachableDataCentreIsSkipped(t *testing.T) {
	f := newTestFleet(newService(), "dc-1", "dc-2")
	f.SetLiveCentres(map[string]bool{"dc-2": true}, start)
	failRemoteSends := func() {
		for range 40 {
			l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), start)
			if !ok {
				return
			}
			if l.Instance().DataCentre() == "dc-2" {
				l.NoResponse(start)
				continue
			}
			defer l.Unsent(start)
		}
	}
	failRemoteSends()
	assert.Equal(t, f.UsableTargets("s-1", start), 2, "messages from VMs of dc-2 still arrive")
	f.SetLiveCentres(nil, start)
	assert.Equal(t, f.UsableTargets("s-1", start), 2-len(f.UnreachableCentres()))
	assert.DeepEqual(t, f.UnreachableCentres(), []string{"dc-2"})
	f.SetLiveCentres(map[string]bool{"dc-2": true}, start)
	assert.Equal(t, f.UsableTargets("s-1", start), 2)
}

func ExampleFleet_Acquire() {
	f := newTestFleet(newService(), "dc-1")
	l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "search"), start)
	fmt.Println(l.Instance().ID(), ok)
	l.Succeeded(start.Add(8 * time.Millisecond))
	// Output: i-0 true
}
