// Package tick provides periodic calls, also only while there is demand for them,
// sleeps that a context can end, and the latest of several times.
//
// # Usage
//
//	tick.Every(ctx, time.Second, func(ctx context.Context) { ... })
package tick

import (
	"context"
	"sync"
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

// Signal wakes a waiting goroutine. Signals that nobody waits for are merged into
// one. The zero value is ready for use. It is safe for concurrent use.
type Signal struct {
	once sync.Once
	c    chan struct{}
}

// C returns the channel that receives a value after Set.
func (s *Signal) C() <-chan struct{} {
	s.setUp()
	return s.c
}

// Set wakes the goroutine that receives from C, or the next one that does.
func (s *Signal) Set() {
	s.setUp()
	select {
	case s.c <- struct{}{}:
	default:
	}
}

func (s *Signal) setUp() { s.once.Do(func() { s.c = make(chan struct{}, 1) }) }

// OnDemand calls do once per interval from each Set of demand on until do returns
// false, which ends the demand, or the context ends. The first call is after the
// first interval. A process that is idle is not woken.
func OnDemand(ctx context.Context, interval time.Duration, demand *Signal, do func(context.Context) bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-demand.C():
		}
		hasDemand := true
		for hasDemand && Sleep(ctx, interval) {
			hasDemand = do(ctx)
		}
	}
}
