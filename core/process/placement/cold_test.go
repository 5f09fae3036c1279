package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// Guards against many VMs that each send a cold target one request a second, which
// together are more than it bears. Each VM sends whatever it may, at its own times.
func TestManyVMsStayWithinTheLimitOfAColdTarget(t *testing.T) {
	const coldFor = 6 * time.Second
	tests := []struct {
		vms  int
		rate float64
		// least is the number of requests that must be sent in the mean, in a second.
		least float64
	}{
		{1, 10, 6}, {4, 40, 10}, {9, 12, 2}, {30, 10, 2}, {30, 100, 30}, {300, 10, 2}, {300, 2, 0.2}, {300, 100, 40}, {1000, 400, 150},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d VMs, %g a second", tt.vms, tt.rate), func(t *testing.T) {
			limit := int(tt.rate*1.5 + 5)
			var sent, worst int
			const targets = 6
			for target := range targets {
				times := sendToColdTarget(tt.vms, fmt.Sprintf("i-%d", target), tt.rate, coldFor)
				sent += len(times)
				worst = max(worst, mostWithinASecond(times))
			}
			assert.Assert(t, worst <= limit, "%d requests in a second, %d allowed", worst, limit)
			mean := float64(sent) / targets / coldFor.Seconds()
			assert.Assert(t, mean >= tt.least, "%.2f requests a second", mean)
		})
	}
}

// sendToColdTarget returns the times at which VMs send requests to a target while it is
// cold. Each VM has another offset to the full second.
func sendToColdTarget(vms int, id string, rate float64, coldFor time.Duration) []time.Duration {
	rng := rand.New(rand.NewPCG(1, uint64(len(id))))
	declared := routing.NewService("s-1", "").WithWarmUp(coldFor, rate)
	table := routing.NewTable(1, []routing.Route{routing.NewRoute("r", "h", "/").WithSplit(
		[]routing.WeightedService{routing.NewWeightedService("s-1", 1)})}, []routing.Service{declared}, routing.Limits{})
	var out []time.Duration
	for vm := range vms {
		offset := time.Duration(rng.Int64N(int64(time.Second)))
		from := start.Add(offset)
		f := placement.NewFleet(fmt.Sprintf("vm-%d", vm), "dc-1", limits, from)
		f.SetServices(table)
		f.SetEntryVMs(vms, from)
		f.SetTargets(discovery.NewList([]discovery.Instance{
			discovery.NewInstance(id, "s-1", "10.0.0.9:80", "dc-1", 100).WithColdFor(coldFor)}, 2, from), from)
		for at := time.Duration(0); at < coldFor; at += 20 * time.Millisecond {
			if l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), from.Add(at)); ok {
				out = append(out, at)
				l.Succeeded(from.Add(at))
			}
		}
	}
	return out
}

// mostWithinASecond returns the largest number of the times that lie within a second.
func mostWithinASecond(times []time.Duration) int {
	perStep := make(map[time.Duration]int)
	for _, at := range times {
		perStep[at.Truncate(20*time.Millisecond)]++
	}
	most := 0
	for from := range perStep {
		n := 0
		for at := from; at < from+time.Second; at += 20 * time.Millisecond {
			n += perStep[at]
		}
		most = max(most, n)
	}
	return most
}

// A VM that does not know how many there are leaves cold targets to the others.
func TestColdTargetGetsNothingWhileTheNumberOfVMsIsNotKnown(t *testing.T) {
	f := newTestFleet(newService().WithMaxConnections(0).WithWarmUp(3*time.Second, 10), "dc-1")
	f.SetTargets(discovery.NewList([]discovery.Instance{
		discovery.NewInstance("i-9", "s-1", "10.0.0.9:80", "dc-1", 100).WithColdFor(3 * time.Second)}, 2, start), start)
	_, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), start)
	assert.Assert(t, !ok)
	f.SetEntryVMs(1, start)
	_, ok = f.Acquire(placement.NewLeaseRequest("s-1", "k"), start)
	assert.Assert(t, ok)
}
