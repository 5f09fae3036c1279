package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/process/placement"
	"github.com/mulberrydale/mulberrydale/core/process/rollout"
	"github.com/mulberrydale/mulberrydale/core/version/routing"
)

// newVersionList returns a list with two targets of s-1 of each version, named by the
// version.
func newVersionList(number uint64, versions ...string) discovery.List {
	var out []discovery.Instance
	for n, version := range versions {
		for m := range 2 {
			out = append(out, discovery.NewInstance(fmt.Sprintf("%s-%d", version, m), "s-1", fmt.Sprintf("10.0.%d.%d:80", n, m), "dc-1", 20).WithVersion(version))
		}
	}
	return discovery.NewList(out, number, start)
}

// sentTo sends requests that are answered at once and returns how many went to each
// version.
func sentTo(t *testing.T, f *placement.Fleet, requests int) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for range requests {
		l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), start)
		assert.Assert(t, ok)
		counts[l.Instance().Version()]++
		l.Succeeded(start.Add(5 * time.Millisecond))
	}
	return counts
}

func runningRecord() rollout.Record {
	return rollout.NewRecord("s-1", []string{"v1"}).Started(5, "v2", time.Minute)
}

// newRolloutFleet returns the fleet of a VM with targets of two versions and a grant.
func newRolloutFleet(stage rollout.Stage, allowance uint64) *placement.Fleet {
	f := newTestFleet(newService())
	f.EnforceVersions()
	f.SetRollouts([]rollout.Record{runningRecord()}, start)
	f.SetTargets(newVersionList(2, "v1", "v2", "v3"), start)
	f.TakeRolloutGrant(rollout.NewGrant("s-1", 5, stage, allowance), bootclock.Now().Add(time.Hour), start)
	return f
}

// Guards against an installation without bounds or orders that leaves targets out because
// of their version.
func TestVersionsAreIgnoredWithoutBoundsAndOrders(t *testing.T) {
	f := newTestFleet(newService())
	f.SetTargets(newVersionList(2, "v1", "v2"), start)
	counts := sentTo(t, f, 100)
	assert.Assert(t, counts["v1"] > 0 && counts["v2"] > 0, "%v", counts)
}

// Targets of versions that were never ordered must get nothing: with bounds from the start,
// also before the versions in use are known, and otherwise from the first order on.
func TestVersionsWithoutOrderGetNothing(t *testing.T) {
	f := newTestFleet(newService())
	f.EnforceVersions()
	f.SetTargets(newVersionList(2, "v1", "v2"), start)
	assert.Equal(t, f.UsableTargets("s-1", start), 0)
	_, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), start)
	assert.Assert(t, !ok)
	f.SetRollouts([]rollout.Record{rollout.NewRecord("s-1", []string{"v1"})}, start)
	assert.DeepEqual(t, sentTo(t, f, 50), map[string]int{"v1": 50})

	f = newTestFleet(newService())
	f.SetTargets(newVersionList(2, "v1", "v2", "v3"), start)
	f.SetRollouts([]rollout.Record{runningRecord().Ended(false)}, start)
	assert.DeepEqual(t, sentTo(t, f, 50), map[string]int{"v1": 50})
	f.SetRollouts([]rollout.Record{runningRecord().Ended(true)}, start)
	assert.DeepEqual(t, sentTo(t, f, 50), map[string]int{"v2": 50})
	f.SetTargets(newVersionList(3, "v1", "v3"), start)
	assert.Equal(t, f.UsableTargets("s-1", start), 0, "no target of the version in use is left")
	// A VM that can't reach the control VMs may have missed the rollout that replaced it.
	f.SetOutOfTouch(true)
	assert.Equal(t, f.UsableTargets("s-1", start), 4)
	f.SetTargets(newVersionList(4, "v2", "v3"), start)
	assert.Equal(t, f.UsableTargets("s-1", start), 2)
	f.SetRollouts([]rollout.Record{runningRecord()}, start)
	f.SetTargets(newVersionList(5, "v3"), start)
	assert.Equal(t, f.UsableTargets("s-1", start), 0, "the old targets may have crashed")
}

// Guards against requests to the new version beyond the allowance, and in stages that allow
// none or all.
func TestStagesChooseTheVersion(t *testing.T) {
	assert.DeepEqual(t, sentTo(t, newRolloutFleet(rollout.Hold, 9), 50), map[string]int{"v1": 50})
	assert.DeepEqual(t, sentTo(t, newRolloutFleet(rollout.Test, 3), 50), map[string]int{"v1": 47, "v2": 3})
	assert.DeepEqual(t, sentTo(t, newRolloutFleet(rollout.Full, 0), 50), map[string]int{"v2": 50})
	shifted := sentTo(t, newRolloutFleet(rollout.Shift, 0), 200)["v2"]
	assert.Assert(t, shifted >= 49 && shifted <= 51, "%d", shifted)
	f := newRolloutFleet(rollout.Closed, 0)
	assert.DeepEqual(t, sentTo(t, f, 50), map[string]int{"v2": 50})
	f.SetTargets(newVersionList(3, "v1"), start)
	assert.DeepEqual(t, sentTo(t, f, 50), map[string]int{"v1": 50})
}

// A retry or hedge of a request must go to the old version, whichever it went to first, as
// long as the old version gets requests at all.
func TestExtraAttemptsGoToTheOldVersion(t *testing.T) {
	for _, stage := range []rollout.Stage{rollout.Test, rollout.Shift, rollout.Full} {
		f := newRolloutFleet(stage, 100)
		for range 20 {
			l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), start)
			assert.Assert(t, ok)
			r := placement.NewLeaseRequest("s-1", "k").ExtraAttempt([]*placement.Target{l.Target()}, true)
			extra, ok := f.Acquire(r, start)
			assert.Assert(t, ok)
			assert.Equal(t, extra.Instance().Version(), "v1", "%s", stage)
			l.Succeeded(start)
			extra.Succeeded(start)
		}
	}
	f := newRolloutFleet(rollout.Closed, 0)
	l, _ := f.Acquire(placement.NewLeaseRequest("s-1", "k"), start)
	extra, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k").ExtraAttempt([]*placement.Target{l.Target()}, true), start)
	assert.Assert(t, ok)
	assert.Equal(t, extra.Instance().Version(), "v2")
}

// Guards against requests that are counted twice, for the wrong version, or not at all, of
// which the leader's verdict and the share depend.
func TestRolloutReportsCountRequests(t *testing.T) {
	f := newRolloutFleet(rollout.Test, 4)
	waiting := make(chan *placement.Lease, 1)
	f.Enqueue(placement.NewLeaseRequest("s-1", "k"), placement.NewPriority(0, 0), start.Add(time.Second), waiting, start)
	(<-waiting).Failed(start)
	for range 5 {
		l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), start)
		assert.Assert(t, ok)
		l.Succeeded(start.Add(5 * time.Millisecond))
	}
	l, _ := f.Acquire(placement.NewLeaseRequest("s-1", "k"), start)
	reports := f.RolloutReports(start)
	assert.Equal(t, len(reports), 1)
	all, sent := reports[0].Requests()
	assert.Equal(t, all, uint64(7))
	assert.Equal(t, sent, uint64(4))
	assert.Equal(t, reports[0].OldInFlight(), uint64(1))
	l.Succeeded(start)
	assert.Equal(t, f.RolloutReports(start)[0].OldInFlight(), uint64(0))
	f.SetRollouts([]rollout.Record{runningRecord().Ended(true)}, start)
	assert.Equal(t, len(f.RolloutReports(start)), 0)
}

// Guards against a good version that seems slow because its targets are in another data
// centre or each request to them opens a connection.
func TestNetworkTimeIsNoSignOfASlowVersion(t *testing.T) {
	f := newTestFleet(newService())
	f.SetRollouts([]rollout.Record{runningRecord()}, start)
	remote := discovery.NewInstance("v2-0", "s-1", "10.0.1.0:80", "dc-2", 20).WithVersion("v2")
	f.SetTargets(discovery.NewList([]discovery.Instance{remote}, 2, start), start)
	f.TakeRolloutGrant(rollout.NewGrant("s-1", 5, rollout.Test, 9), bootclock.Now().Add(time.Hour), start)
	// The link takes 6 ms there and back, and so does the handshake; a new connection
	// costs the target 6 ms more.
	const link = 6 * time.Millisecond
	for _, took := range []time.Duration{26 * time.Millisecond, 14 * time.Millisecond} {
		l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), start)
		assert.Assert(t, ok)
		if took > 20*time.Millisecond {
			l.Connected(link, start.Add(link))
		}
		l.Succeeded(start.Add(took))
	}
	median, ok := f.RolloutReports(start)[0].MedianTime("k", true)
	assert.Assert(t, ok)
	assert.Assert(t, median >= 7*time.Millisecond && median <= 9*time.Millisecond, "%s", median)
}

// A rollout belongs to the service: neither a new configuration nor a data centre out of
// service may end it, and targets of that data centre must get nothing in any stage.
func TestRolloutGoesOnWithOtherChanges(t *testing.T) {
	f := newRolloutFleet(rollout.Closed, 0)
	old := discovery.NewInstance("v1-9", "s-1", "10.0.9.9:80", "dc-2", 20).WithVersion("v1")
	f.SetTargets(newVersionList(2, "v1", "v2").Apply(discovery.NewDifference([]discovery.Instance{old}, nil), 3, start), start)
	f.SetServices(routing.NewTable(2, nil, nil, routing.Limits{}))
	assert.DeepEqual(t, sentTo(t, f, 10), map[string]int{"v2": 10})
	f.SetOutOfService([]string{"dc-1"}, start)
	l, ok := f.Acquire(placement.NewLeaseRequest("s-1", "k"), start)
	assert.Assert(t, ok)
	assert.Equal(t, l.Instance().ID(), "v1-9", "no target of the new version is in service")
	f.SetOutOfService(nil, start)
	l.Succeeded(start)
	assert.DeepEqual(t, sentTo(t, f, 10), map[string]int{"v2": 10})
	all, sent := f.RolloutReports(start)[0].Requests()
	assert.Equal(t, all, uint64(21))
	assert.Equal(t, sent, uint64(20))
}
