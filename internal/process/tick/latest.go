package tick

import (
	"sync/atomic"
	"time"
)

// Latest holds the latest of the times that it has observed. It keeps their
// monotonic clock readings, so that steps of the time of day don't affect it. The
// zero value has observed none. It is safe for concurrent use.
type Latest struct{ at atomic.Pointer[time.Time] }

// Time returns the latest time, or the zero time if there is none.
func (l *Latest) Time() time.Time {
	if at := l.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Observe records a time, unless it is not after the latest one.
func (l *Latest) Observe(at time.Time) {
	for {
		current := l.at.Load()
		if current != nil && !at.After(*current) || l.at.CompareAndSwap(current, &at) {
			return
		}
	}
}
