package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
)

// A leader that was suspended would take its contact with a quorum for recent, although
// another one may have been elected meanwhile.
func TestContactBeforeASuspensionDoesNotCount(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	boot := func(d time.Duration) bootclock.Time { return bootclock.Time(time.Hour + d) }
	var d suspensionDetector
	_, known := d.toBootTime(start)
	assert.Assert(t, !known)
	d.observe(at(0), boot(0))
	d.observe(at(time.Second), boot(time.Second+time.Millisecond))
	contact, known := d.toBootTime(at(900 * time.Millisecond))
	assert.Assert(t, known)
	assert.Equal(t, contact, boot(900*time.Millisecond-maxClockDifference))

	d.observe(at(2*time.Second), boot(12*time.Second))
	_, known = d.toBootTime(at(1900 * time.Millisecond))
	assert.Assert(t, !known)
	contact, known = d.toBootTime(at(2100 * time.Millisecond))
	assert.Assert(t, known)
	assert.Equal(t, contact, boot(12100*time.Millisecond-maxClockDifference))
}
