package bootclock_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

// A clock that went back, or that did not count while a process sleeps, would extend
// permissions that have an end.
func TestClockAdvances(t *testing.T) {
	before := bootclock.Now()
	time.Sleep(5 * time.Millisecond)
	after := bootclock.Now()
	assert.Assert(t, before.Before(after))
	assert.Assert(t, after.Sub(before) >= 5*time.Millisecond, "%v", after.Sub(before))
	assert.Equal(t, before.Add(after.Sub(before)), after)
}
