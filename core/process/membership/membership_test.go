package membership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/membership"
)

var startTime = time.Unix(1_000_000, 0)

// newHeartbeat returns a heartbeat of a VM that runs the configuration version
// and whose last contact with a quorum, at the same version, was age ago.
func newHeartbeat(version uint64, age time.Duration) peer.Heartbeat {
	return peer.NewHeartbeat("s", "dc-1", version, false).WithQuorum(age, version)
}

// tickBetween ticks a view every 100 ms between two times, given as offsets
// from startTime, as the loop of a running process does.
func tickBetween(v *membership.View, from, to time.Duration) {
	for at := from; at <= to; at += 100 * time.Millisecond {
		v.Tick(startTime.Add(at))
	}
}

func TestFreshness(t *testing.T) {
	tests := []struct {
		name  string
		setup func(v *membership.View)
		at    time.Duration
		want  membership.Freshness
	}{
		{"never confirmed, just started", func(*membership.View) {}, 0, membership.Stale},
		{"never confirmed, running for 3 s", func(v *membership.View) { tickBetween(v, 0, 3*time.Second) }, 3 * time.Second, membership.Isolated},
		{"confirmed", func(v *membership.View) { v.RecordHeartbeat("vm-2", "dc-1", newHeartbeat(5, time.Second), startTime) }, time.Second, membership.Fresh},
		{"confirmed at a newer version", func(v *membership.View) { v.RecordHeartbeat("vm-2", "dc-1", newHeartbeat(6, 0), startTime) }, 0, membership.Stale},
		{"age of the reported quorum is added", func(v *membership.View) { v.RecordHeartbeat("vm-2", "dc-1", newHeartbeat(5, 2*time.Second), startTime) }, time.Second, membership.Stale},
		{"lease expired, isolation delay passed", func(v *membership.View) {
			v.RecordHeartbeat("vm-2", "dc-1", newHeartbeat(5, 0), startTime)
			tickBetween(v, 0, 6*time.Second)
		}, 6 * time.Second, membership.Isolated},
		{"lease expired, isolation delay not passed", func(v *membership.View) {
			v.RecordHeartbeat("vm-2", "dc-1", newHeartbeat(5, 0), startTime)
			tickBetween(v, 0, 4*time.Second)
		}, 4 * time.Second, membership.Stale},
		{"suspended, not ticked since", func(v *membership.View) {
			v.RecordHeartbeat("vm-2", "dc-1", newHeartbeat(5, 0), startTime)
			tickBetween(v, 0, time.Second)
		}, 30 * time.Second, membership.Stale},
		{"suspended, ticked once since", func(v *membership.View) {
			v.RecordHeartbeat("vm-2", "dc-1", newHeartbeat(5, 0), startTime)
			tickBetween(v, 0, time.Second)
			v.Tick(startTime.Add(30 * time.Second))
		}, 30*time.Second + time.Millisecond, membership.Stale},
		{"confirmed after a suspension", func(v *membership.View) {
			v.Tick(startTime.Add(30 * time.Second))
			v.RecordHeartbeat("vm-2", "dc-1", newHeartbeat(5, 0), startTime.Add(30*time.Second))
		}, 30*time.Second + time.Millisecond, membership.Fresh},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := membership.NewView([]string{"vm-2"}, startTime)
			tt.setup(v)
			assert.Equal(t, v.Freshness(5, startTime.Add(tt.at)), tt.want)
		})
	}
}

func TestOlderQuorumReportDoesNotShortenLease(t *testing.T) {
	v := membership.NewView(nil, startTime)
	v.RecordQuorum(0, 5, startTime)
	v.RecordHeartbeat("vm-2", "dc-1", newHeartbeat(4, 10*time.Second), startTime)
	assert.Equal(t, v.Freshness(5, startTime.Add(time.Second)), membership.Fresh)
	assert.Assert(t, v.ReachableDataCentres(startTime)["dc-1"])
	assert.Equal(t, len(v.ReachableDataCentres(startTime.Add(time.Minute))), 0)
}

func ExampleView_Freshness() {
	v := membership.NewView([]string{"entry-2"}, startTime)
	fmt.Println(v.Freshness(5, startTime))
	v.RecordHeartbeat("entry-2", "oulu-2", newHeartbeat(5, 0), startTime)
	fmt.Println(v.Freshness(5, startTime.Add(time.Second)))
	// Output:
	// stale
	// fresh
}
