package membership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/peer"
	"github.com/mulberrydale/mulberrydale/core/process/membership"
)

var began = time.Unix(1_000_000, 0)

func beat(version uint64, age time.Duration) peer.Heartbeat {
	return peer.NewHeartbeat("s", "dc-1", version, false).WithQuorum(age, version)
}

// awake ticks a view until a time, as the loop of a running process does.
func awake(v *membership.View, from, to time.Duration) {
	for at := from; at <= to; at += 100 * time.Millisecond {
		v.Tick(began.Add(at))
	}
}

func TestFreshness(t *testing.T) {
	tests := []struct {
		name string
		play func(v *membership.View)
		at   time.Duration
		want membership.Freshness
	}{
		{"never confirmed, just started", func(*membership.View) {}, 0, membership.Stale},
		{"never confirmed for long", func(v *membership.View) { awake(v, 0, 3*time.Second) }, 3 * time.Second, membership.Isolated},
		{"confirmed", func(v *membership.View) { v.Hear("vm-2", "dc-1", beat(5, time.Second), began) }, time.Second, membership.Fresh},
		{"confirmed at a newer version", func(v *membership.View) { v.Hear("vm-2", "dc-1", beat(6, 0), began) }, 0, membership.Stale},
		{"the age of the word counts", func(v *membership.View) { v.Hear("vm-2", "dc-1", beat(5, 2*time.Second), began) }, time.Second, membership.Stale},
		{"lapsed and awake", func(v *membership.View) {
			v.Hear("vm-2", "dc-1", beat(5, 0), began)
			awake(v, 0, 6*time.Second)
		}, 6 * time.Second, membership.Isolated},
		{"lapsed lately", func(v *membership.View) {
			v.Hear("vm-2", "dc-1", beat(5, 0), began)
			awake(v, 0, 4*time.Second)
		}, 4 * time.Second, membership.Stale},
		{"frozen for long, the loop has not run yet", func(v *membership.View) {
			v.Hear("vm-2", "dc-1", beat(5, 0), began)
			awake(v, 0, time.Second)
		}, 30 * time.Second, membership.Stale},
		{"frozen for long, the loop has run once", func(v *membership.View) {
			v.Hear("vm-2", "dc-1", beat(5, 0), began)
			awake(v, 0, time.Second)
			v.Tick(began.Add(30 * time.Second))
		}, 30*time.Second + time.Millisecond, membership.Stale},
		{"refreshed after a freeze", func(v *membership.View) {
			v.Tick(began.Add(30 * time.Second))
			v.Hear("vm-2", "dc-1", beat(5, 0), began.Add(30*time.Second))
		}, 30*time.Second + time.Millisecond, membership.Fresh},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := membership.NewView([]string{"vm-2"}, began)
			tt.play(v)
			assert.Equal(t, v.Freshness(5, began.Add(tt.at)), tt.want)
		})
	}
}

func TestOldWordDoesNotShortenTheLease(t *testing.T) {
	v := membership.NewView(nil, began)
	v.Confirm(0, 5, began)
	v.Hear("vm-2", "dc-1", beat(4, 10*time.Second), began)
	assert.Equal(t, v.Freshness(5, began.Add(time.Second)), membership.Fresh)
	assert.Assert(t, v.Centres(began)["dc-1"])
	assert.Equal(t, len(v.Centres(began.Add(time.Minute))), 0)
}

func ExampleView_Freshness() {
	v := membership.NewView([]string{"entry-2"}, began)
	fmt.Println(v.Freshness(5, began))
	v.Hear("entry-2", "oulu-2", beat(5, 0), began)
	fmt.Println(v.Freshness(5, began.Add(time.Second)))
	// Output:
	// stale
	// fresh
}
