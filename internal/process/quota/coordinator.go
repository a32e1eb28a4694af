package quota

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
)

// initialFill is the fill level of a new bucket, as a fraction of its burst: the
// previous coordinator, or this node before a restart, may have just granted
// the whole burst.
const initialFill = 0.1

// Coordinator holds the token buckets of the accounts that this node
// coordinates. All requests of an account in the fleet are charged to the same
// buckets. The zero value is ready for use and safe for concurrent use.
type Coordinator struct {
	// Fraction returns the fraction of the limits that this node may grant,
	// which is less than 1 while it cannot reach the whole fleet; nil is 1.
	Fraction func() float64
	// Since returns the time from which this node is coordinator. Nil treats
	// every new bucket as just taken over.
	Since func() time.Time
	// OnTakeover, if not nil, is called for each account whose buckets are created, with the
	// coordinator's lock held. It must not block or call the coordinator.
	OnTakeover func(Takeover)
	// OnRefusedAfterTakeover, if not nil, is called in the same way with the tokens of each
	// request that was refused within takeoverWindow after its account's buckets were created.
	OnRefusedAfterTakeover func(ident.Tokens)

	mu      sync.Mutex
	buckets map[ident.ClientAccount]*buckets
	// beat is when the process was last seen to run; it is zero before the first Beat.
	beat time.Time
}

type buckets struct {
	requests, tokens *rate.Limiter
	refused          refusedSize
	created          time.Time
}

// Acquire applies the refund in req. Unless req.RefundOnly is set, it then charges
// one request of req.Tokens tokens to the account's buckets. If a limit refuses it,
// nothing is charged and retryAfter is the time until that limit has capacity.
func (c *Coordinator) Acquire(a *config.Account, req AcquireRequest, now time.Time) (result Result, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.beat.IsZero() {
		c.lowerAfterStall(now)
	}
	b := c.bucketsOf(a, now)
	credit(b.requests, req.Refund.Requests, now)
	credit(b.tokens, int(req.Refund.Tokens), now)
	if req.RefundOnly {
		return Admitted, 0
	}
	if retryAfter, ok := exceedsLimit(a, req.Tokens); ok {
		return TokensLimit, retryAfter
	}
	result, retryAfter = acquireBoth(b.requests, b.tokens, &b.refused, req, now)
	if result != Admitted {
		c.countRefused(b, req.Tokens, now)
	}
	return result, retryAfter
}

// bucketsOf returns an account's buckets, set to the current limits. New ones start at
// initialFill.
func (c *Coordinator) bucketsOf(a *config.Account, now time.Time) *buckets {
	_, isKnown := c.buckets[a.ID]
	b := c.limitersOf(a, now)
	if !isKnown {
		var age time.Duration
		if c.Since != nil {
			age = now.Sub(c.Since())
		}
		drain(b.requests, age, now)
		drain(b.tokens, age, now)
		c.takeOver(a.ID, b, InitialFill, now)
	}
	return b
}

// limitersOf returns an account's buckets, set to the current limits. New ones are full.
func (c *Coordinator) limitersOf(a *config.Account, now time.Time) *buckets {
	fraction := 1.0
	if c.Fraction != nil {
		fraction = c.Fraction()
	}
	if c.buckets == nil {
		c.buckets = map[ident.ClientAccount]*buckets{}
	}
	b := c.buckets[a.ID]
	if b == nil {
		b = &buckets{}
		c.buckets[a.ID] = b
	}
	b.requests = updateLimiter(b.requests, a.RequestsPerSecond, a.RequestsPerSecond*burstPeriod.Seconds(), fraction, now)
	b.tokens = updateLimiter(b.tokens, a.TokensPerSecond, burstOf(a), fraction, now)
	return b
}

// drain lowers a new bucket to initialFill plus what the rate has added in age.
func drain(l *rate.Limiter, age time.Duration, now time.Time) {
	if l.Limit() == rate.Inf {
		return
	}
	filled := initialFill*float64(l.Burst()) + float64(l.Limit())*age.Seconds()
	if missing := float64(l.Burst()) - filled; missing >= 1 {
		l.AllowN(now, int(missing))
	}
}
