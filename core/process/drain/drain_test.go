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
