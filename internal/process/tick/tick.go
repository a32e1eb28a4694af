// Package tick provides periodic calls, sleeps that a context can end, and the
// latest of several times.
//
// # Usage
//
//	tick.Every(ctx, time.Second, func(ctx context.Context) { ... })
package tick

import (
	"context"
	"time"
)

// Every calls do once per interval until the context ends. The first call is
// after the first interval. If a call lasts longer than the interval, the next one
// follows at once, and the other missed ones are skipped.
func Every(ctx context.Context, interval time.Duration, do func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do(ctx)
		}
	}
}

// Sleep waits for d or until the context ends, and reports whether d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
