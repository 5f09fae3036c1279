package clockstep_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/clockstep"
)

// Another layout of times in a later version of Go must not make the tests that use this
// package pass for nothing.
func TestStepChangesOnlyTheTimeOfDay(t *testing.T) {
	now := time.Now()
	for _, seconds := range []int64{-7200, -1, 1, 7200} {
		stepped := clockstep.Step(now, seconds)
		assert.Equal(t, stepped.Sub(now), time.Duration(0))
		assert.Equal(t, stepped.Unix()-now.Unix(), seconds)
		assert.Equal(t, stepped.Add(time.Second).Sub(now), time.Second)
	}
}
