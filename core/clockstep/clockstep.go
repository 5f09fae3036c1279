// Package clockstep makes times as they are after a step of the time of day, for tests. What
// measures elapsed time must give the same with them.
package clockstep

import (
	"time"
	"unsafe"
)

// Layout of a time with a monotonic reading: its first word holds a flag, 33 bits of seconds
// and 30 bits of nanoseconds of the time of day.
const (
	monotonicFlag = 1 << 63
	secondShift   = 30
)

// Step returns a time with the same monotonic reading and another time of day. It panics for
// a time without a monotonic reading, which Step could not make differ from its time of day.
func Step(t time.Time, seconds int64) time.Time {
	word := (*uint64)(unsafe.Pointer(&t))
	if *word&monotonicFlag == 0 {
		panic("clockstep: the time has no monotonic reading")
	}
	*word += uint64(seconds) << secondShift
	return t
}
