// Package bootclock measures time that includes the suspension of the machine. Go's
// monotonic clock stands still while the machine is suspended, so that a permission which
// ended meanwhile would still look valid after it.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is the time since the machine was started, including the time for which it was
// suspended. It is not affected by changes of the time of day and must not be compared
// with that of another machine. The zero value can stand for a time that is not known.
type Time time.Duration

// Now returns the present time. If the kernel does not provide the clock, the result is
// the time of the monotonic clock.
func Now() Time {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil && unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts) != nil {
		return 0
	}
	return Time(ts.Nano())
}

// Sub returns the time that has passed from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Add returns the time d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t > u }

// IsZero reports whether t is the zero value.
func (t Time) IsZero() bool { return t == 0 }
