// Package skew returns times as a process reads them after its wall clock was
// stepped: the wall clock has moved, the monotonic clock has not.
//
// # Usage
//
//	now := func() time.Time { return skew.ShiftWallClock(time.Now(), -time.Minute) }
package skew

import (
	"time"
	"unsafe"
)

// The first word of a time.Time with a monotonic clock reading: a flag bit, 33
// bits of seconds and 30 bits of nanoseconds.
const (
	hasMonotonic = 1 << 63
	secondsShift = 30
)

// ShiftWallClock returns t with its wall clock reading moved by the whole seconds of
// d, and its monotonic clock reading unchanged. It panics if t has no
// monotonic clock reading.
func ShiftWallClock(t time.Time, d time.Duration) time.Time {
	wall := (*uint64)(unsafe.Pointer(&t))
	if *wall&hasMonotonic == 0 {
		panic("skew: time has no monotonic clock reading")
	}
	*wall += uint64(int64(d/time.Second)) << secondsShift
	return t
}
