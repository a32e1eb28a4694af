package quota

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
)

// firstFill is the part of a bucket that counts as full when it is new: the
// home before, or this node before a restart, may have just given out the
// whole.
const firstFill = 0.1

// Coordinator holds the buckets of the accounts whose home is this node: each
// request of the whole fleet is taken from one bucket. The zero value is ready
// for use and safe for concurrent use.
type Coordinator struct {
	// Fraction is the part of the limits that this node may give out, less than 1
	// while it cannot reach the whole fleet; nil is 1.
	Fraction func() float64
	// Since is since when this node has been home; nil is always.
	Since func() time.Time

	mu      sync.Mutex
	buckets map[ident.ClientAccount]*buckets
}

type buckets struct{ requests, tokens *rate.Limiter }

// Take takes one request from an account's buckets, after what others give
// back, and says which limit stopped it and when there will be room.
func (c *Coordinator) Take(a *config.Account, ask AcquireRequest, now time.Time) (verdict Result, retry time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.of(a, now)
	giveBack(b.requests, ask.Refund.Requests, now)
	giveBack(b.tokens, int(ask.Refund.Tokens), now)
	if ask.RefundOnly {
		return Admitted, 0
	}
	if retry, ok := take(b.requests, now, 1); !ok {
		return RequestsLimit, retry
	}
	if retry, ok := take(b.tokens, now, int(ask.Tokens)); !ok {
		giveBack(b.requests, 1, now)
		return TokensLimit, retry
	}
	return Admitted, 0
}

// of returns an account's buckets with the limits in force.
func (c *Coordinator) of(a *config.Account, now time.Time) *buckets {
	part := 1.0
	if c.Fraction != nil {
		part = c.Fraction()
	}
	if c.buckets == nil {
		c.buckets = map[ident.ClientAccount]*buckets{}
	}
	b := c.buckets[a.ID]
	isNew := b == nil
	if isNew {
		b = &buckets{}
		c.buckets[a.ID] = b
	}
	b.requests = limited(b.requests, a.Requests, a.Requests*burstTime.Seconds(), part, now)
	b.tokens = limited(b.tokens, a.Tokens, burstOf(a), part, now)
	if isNew {
		var age time.Duration
		if c.Since != nil {
			age = now.Sub(c.Since())
		}
		drain(b.requests, age, now)
		drain(b.tokens, age, now)
	}
	return b
}

// drain empties a new bucket to what has surely come in at an age.
func drain(l *rate.Limiter, age time.Duration, now time.Time) {
	if l.Limit() == rate.Inf {
		return
	}
	filled := firstFill*float64(l.Burst()) + float64(l.Limit())*age.Seconds()
	if missing := float64(l.Burst()) - filled; missing >= 1 {
		l.AllowN(now, int(missing))
	}
}
