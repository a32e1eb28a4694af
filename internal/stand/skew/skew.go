// Package skew makes times as a process reads them whose time of day was
// stepped: the wall clock has moved, the monotonic clock has not.
//
// # Usage
//
//	now := func() time.Time { return skew.Wall(time.Now(), -time.Minute) }
package skew

import (
	"time"
	"unsafe"
)

// The layout of time.Time with a monotonic reading: a flag, 33 bits of seconds
// and 30 bits of nanoseconds.
const (
	hasMonotonic = 1 << 63
	secondsShift = 30
)

// Wall returns t with its wall clock moved by whole seconds.
func Wall(t time.Time, by time.Duration) time.Time {
	word := (*uint64)(unsafe.Pointer(&t))
	if *word&hasMonotonic == 0 {
		panic("skew: the time has no monotonic reading")
	}
	*word += uint64(int64(by/time.Second)) << secondsShift
	return t
}
