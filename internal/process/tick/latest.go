package tick

import (
	"sync/atomic"
	"time"
)

// Latest is the latest of the times that it was told of. It keeps their
// monotonic readings, so that steps of the time of day don't disturb it. The
// zero value was told of none; it is safe for concurrent use.
type Latest struct{ at atomic.Pointer[time.Time] }

// Time returns the latest time; the zero time is none.
func (l *Latest) Time() time.Time {
	if at := l.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Tell adds a time.
func (l *Latest) Tell(at time.Time) {
	for {
		known := l.at.Load()
		if known != nil && !at.After(*known) || l.at.CompareAndSwap(known, &at) {
			return
		}
	}
}
