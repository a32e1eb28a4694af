// Package budget implements a retry budget, which limits how many requests are
// sent to a second endpoint.
//
// The limit applies to the whole fleet: in any window, the number of retries is
// at most a fraction of the requests plus a fixed number. Each node uses the
// fraction of its own requests and an equal share of the fixed number, so nodes
// need no coordination.
//
// # Usage
//
//	b := &budget.Budget{Limit: limit, NodeCount: nodeCount}
//	b.RecordRequest(pool, now)
//	if b.TakeRetry(pool, now) {
//		// retry the request
//	}
package budget

import (
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
)

const (
	// bucketCount is the number of buckets of a sliding window.
	bucketCount = 20
	// usableShare is the fraction of the limit that is used. The rest is a margin
	// for two errors: each node's window has its own boundaries, so a request and
	// its retry can fall into different windows of the fleet, and a restarted node
	// has lost its count of retries.
	usableShare = 0.7
)

// Budget counts the requests and retries of one node. The exported fields must be
// set before use. It is safe for concurrent use.
type Budget struct {
	// Limit is the limit of the whole fleet.
	Limit config.RetryBudget
	// NodeCount returns the number of nodes that share the limit.
	NodeCount func() int

	mu sync.Mutex
	// start is the origin of the bucket numbers. The wall clock is not used,
	// because it may be stepped.
	start time.Time
	pools map[ident.PoolID]*poolCounts
}

type poolCounts struct {
	requests, retries slidingWindow
}

// slidingWindow counts the events of the last Limit.Window.
type slidingWindow struct {
	counts [bucketCount]int
	newest int64
}

func (w *slidingWindow) advance(bucket int64) {
	if bucket-w.newest >= bucketCount {
		*w = slidingWindow{newest: bucket}
		return
	}
	for w.newest < bucket {
		w.newest++
		w.counts[w.newest%bucketCount] = 0
	}
}

func (w *slidingWindow) sum() int {
	n := 0
	for _, c := range w.counts {
		n += c
	}
	return n
}

// SetLimit changes the limit except for its window, since existing counts are
// bucketed by the current window.
func (b *Budget) SetLimit(l config.RetryBudget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Limit.Ratio, b.Limit.Extra = l.Ratio, l.Extra
}

func (b *Budget) counts(pool ident.PoolID, now time.Time) (c *poolCounts, bucket int64) {
	if b.pools == nil {
		b.pools = map[ident.PoolID]*poolCounts{}
		b.start = now
	}
	c = b.pools[pool]
	if c == nil {
		c = &poolCounts{}
		b.pools[pool] = c
	}
	bucket = int64(now.Sub(b.start) / max(b.Limit.Window/bucketCount, time.Millisecond))
	c.requests.advance(bucket)
	c.retries.advance(bucket)
	return c, bucket
}

// RecordRequest counts a request of a caller.
func (b *Budget) RecordRequest(pool ident.PoolID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, bucket := b.counts(pool, now)
	c.requests.counts[bucket%bucketCount]++
}

// TakeRetry takes one retry from the budget and reports whether one was
// available.
func (b *Budget) TakeRetry(pool ident.PoolID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, bucket := b.counts(pool, now)
	allowed := usableShare * (b.Limit.Ratio*float64(c.requests.sum()) + b.Limit.Extra/float64(max(b.NodeCount(), 1)))
	if float64(c.retries.sum()+1) > allowed {
		return false
	}
	c.retries.counts[bucket%bucketCount]++
	return true
}
