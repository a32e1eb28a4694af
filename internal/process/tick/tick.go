// Package tick does something again and again.
//
// # Usage
//
//	tick.Every(ctx, time.Second, func(ctx context.Context) { ... })
package tick

import (
	"context"
	"time"
)

// Every calls do after each interval until the context ends.
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

// Sleep waits and reports whether the context is still alive.
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
