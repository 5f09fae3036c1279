package drain_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/drain"
)

var startTime = time.Unix(1_000_000, 0)

func TestPhases(t *testing.T) {
	tests := []struct {
		name    string
		after   time.Duration
		running int
		want    drain.Phase
	}{
		{"the balancer may still send requests", time.Second, 0, drain.Announcing},
		{"no request is running after the lag", 2 * time.Second, 0, drain.Stopped},
		{"running requests are completed", 2 * time.Second, 1, drain.Finishing},
		{"finishing times out", 2*time.Second + drain.FinishTimeout, 1, drain.Stopped},
	}
	for _, tt := range tests {
		s := drain.New(2 * time.Second).Start(startTime)
		assert.Equal(t, s.Phase(tt.running, startTime.Add(tt.after)), tt.want, tt.name)
	}
}

func ExampleState_Phase() {
	s := drain.New(2 * time.Second)
	fmt.Println(s.Phase(3, startTime) == drain.Serving)
	s = s.Start(startTime)
	fmt.Println(s.Phase(0, startTime.Add(time.Second)) == drain.Announcing)
	// Output:
	// true
	// true
}

func TestAdmission(t *testing.T) {
	const (
		lag    = 2 * time.Second
		finish = 5 * time.Second
	)
	serving := drain.New(lag).WithFinishAfter(finish)
	draining := serving.Start(startTime)
	tests := []struct {
		name       string
		state      drain.State
		after, end time.Duration
		want       bool
	}{
		{"not draining", serving, time.Second, time.Hour, true},
		{"during the lag, in time", draining, time.Second, 3 * time.Second, true},
		{"during the lag, perhaps not in time", draining, 1999 * time.Millisecond, time.Minute, true},
		{"after the lag, in time", draining, 2 * time.Second, 5 * time.Second, true},
		{"after the lag, perhaps not in time", draining, 2 * time.Second, 5001 * time.Millisecond, false},
		{"after all requests were answered", draining, 5100 * time.Millisecond, 5200 * time.Millisecond, false},
		{"the lag is longer than the shutdown", draining.WithFinishAfter(time.Second), 1500 * time.Millisecond, 3 * time.Second, false},
	}
	for _, tt := range tests {
		got := tt.state.Admits(startTime.Add(tt.end), startTime.Add(tt.after))
		assert.Equal(t, got, tt.want, tt.name)
	}
}
