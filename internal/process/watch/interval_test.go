package watch

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/store"
)

// TestIntervalExtended guards against a second call right after the first one of a node that
// learns the size of its fleet, and thereby the interval, after its first read.
func TestIntervalExtended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		var interval atomic.Int64
		interval.Store(int64(100 * time.Millisecond))
		var calls []time.Duration
		record := func() { calls = append(calls, time.Since(started)) }
		table := &Table{
			Name: "things", Log: log.New(io.Discard), Changed: func([]store.Row) {},
			Wait: func() time.Duration { return 0 }, Interval: func() time.Duration { return time.Duration(interval.Load()) },
			Store: &store.Client{Service: store.Service{
				Scan: func(context.Context, string) ([]store.Row, store.Position, error) {
					record()
					return nil, store.Position{Version: 1}, nil
				},
				Feed: func(context.Context, string, store.Position, time.Duration) ([]store.Row, store.Position, error) {
					record()
					return nil, store.Position{Version: 1}, nil
				},
			}},
		}
		ctx, cancel := context.WithCancel(context.Background())
		go table.Run(ctx)
		time.Sleep(50 * time.Millisecond)
		interval.Store(int64(800 * time.Millisecond))
		time.Sleep(900 * time.Millisecond)
		cancel()
		synctest.Wait()
		qt.Check(t, calls, qt.DeepEquals, []time.Duration{0, 800 * time.Millisecond})
	})
}
