// Package budget bounds how many requests are sent to a second endpoint.
//
// The bound holds over the whole fleet: in any window, repeats may be a share
// of the requests plus a fixed number. Each node keeps to its own requests'
// share and its part of the fixed number, so that nodes need not ask each
// other.
//
// # Usage
//
//	b := &budget.Budget{Limit: limit, Nodes: nodes}
//	b.RecordRequest(pool, now)
//	if b.TakeRetry(pool, now) {
//		// send it once more
//	}
package budget

import (
	"sync"
	"time"

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
)

const (
	// buckets divide the window, so that it slides.
	buckets = 20
	// margin is the part of the limit in use: nodes count the same request at
	// different moments, and a restarted node has forgotten its repeats.
	margin = 0.7
)

// Budget counts one node's requests and repeats. Set the exported fields
// before use; it is safe for concurrent use.
type Budget struct {
	// Limit is the bound of the fleet.
	Limit config.RetryBudget
	// Nodes returns the number of nodes that share the limit.
	Nodes func() int

	mu sync.Mutex
	// begin is when counting began. Windows are counted from it and not by the
	// time of day, which may be stepped.
	begin time.Time
	pools map[ident.PoolID]*counts
}

type counts struct {
	requests, repeats window
}

// window counts events of the last Limit.Window.
type window struct {
	counts [buckets]int
	last   int64
}

func (w *window) advance(now int64) {
	if now-w.last >= buckets {
		*w = window{last: now}
		return
	}
	for w.last < now {
		w.last++
		w.counts[w.last%buckets] = 0
	}
}

func (w *window) sum() int {
	n := 0
	for _, c := range w.counts {
		n += c
	}
	return n
}

// SetLimit changes the limit, except for its window: what was counted holds for
// the one in use.
func (b *Budget) SetLimit(l config.RetryBudget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Limit.Ratio, b.Limit.Extra = l.Ratio, l.Extra
}

func (b *Budget) counts(pool ident.PoolID, now time.Time) (c *counts, at int64) {
	if b.pools == nil {
		b.pools = map[ident.PoolID]*counts{}
		b.begin = now
	}
	c = b.pools[pool]
	if c == nil {
		c = &counts{}
		b.pools[pool] = c
	}
	at = int64(now.Sub(b.begin) / max(b.Limit.Window/buckets, time.Millisecond))
	c.requests.advance(at)
	c.repeats.advance(at)
	return c, at
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(pool ident.PoolID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, at := b.counts(pool, now)
	c.requests.counts[at%buckets]++
}

// TakeRetry takes one repeat from the budget and reports whether there was one.
func (b *Budget) TakeRetry(pool ident.PoolID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, at := b.counts(pool, now)
	allowed := margin * (b.Limit.Ratio*float64(c.requests.sum()) + b.Limit.Extra/float64(max(b.Nodes(), 1)))
	if float64(c.repeats.sum()+1) > allowed {
		return false
	}
	c.repeats.counts[at%buckets]++
	return true
}
