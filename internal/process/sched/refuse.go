package sched

import (
	"time"

	"goldcrestwick/internal/request/ident"
)

// refuse sheds a bid that does not wait.
func (c *Cell) refuse(b *Bid, reason Reason) {
	c.decide(b, Answer{
		Outcome:    Shed,
		Reason:     reason,
		RetryAfter: c.retryAfter(b.Tier),
		Waited:     c.now().Sub(b.arrived),
	})
}

// trim sheds from the lowest waiting tier while the queue is over its bounds.
// When lower tiers may still be admitted elsewhere in the pool, the bids wait
// past the bound and the pool is asked to close those tiers.
func (c *Cell) trim() {
	for {
		tier := c.lowestWaiting()
		if !c.isOverfull() && !c.isHopeless(tier) {
			return
		}
		if !c.mayShed(tier) {
			c.press(tier)
			return
		}
		q := &c.queues[tier]
		b := q.latest()
		q.remove(b)
		c.refuse(b, ReasonOverload)
		c.press(tier)
	}
}

func (c *Cell) isOverfull() bool {
	requests, tokens := 0, ident.Tokens(0)
	for tier := range c.queues {
		requests += c.queues[tier].length
		tokens += c.queues[tier].tokens
	}
	if requests <= 1 {
		return false
	}
	return requests > c.Pool.QueueRequests || tokens > c.Pool.QueueTokens
}

// isHopeless reports whether the last bid of a tier would wait past its
// deadline at the rate at which the cell has lately served. Such a bid is
// refused now rather than at its deadline.
func (c *Cell) isHopeless(tier ident.Tier) bool {
	b := c.queues[tier].latest()
	if b == nil {
		return false
	}
	return c.waitOf(tier) > time.Duration(hopelessFactor*float64(b.Deadline.Sub(c.now())))
}

// waitOf estimates the time until what waits in a tier and above is granted:
// the tokens in flight leave once in a mean stay. It is 0 while the stay is
// unknown.
func (c *Cell) waitOf(tier ident.Tier) time.Duration {
	var ahead, used ident.Tokens
	for t := range int(tier) + 1 {
		ahead += c.queues[t].tokens
	}
	for _, e := range c.endpoints {
		used += e.used
	}
	if used == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(used) * float64(c.stay.mean()))
}

// stay is the mean time from a grant to its end, weighted by tokens, with older
// requests counting less and less.
type stay struct{ tokens, seconds float64 }

func (s *stay) add(charge ident.Tokens, took time.Duration) {
	s.tokens = stayDecay*s.tokens + float64(charge)
	s.seconds = stayDecay*s.seconds + float64(charge)*took.Seconds()
}

func (s *stay) mean() time.Duration {
	if s.tokens == 0 {
		return 0
	}
	return time.Duration(s.seconds / s.tokens * float64(time.Second))
}

func (c *Cell) lowestWaiting() ident.Tier {
	for tier := len(c.queues) - 1; tier > 0; tier-- {
		if c.queues[tier].length > 0 {
			return ident.Tier(tier)
		}
	}
	return 0
}

func (c *Cell) mayShed(tier ident.Tier) bool { return c.MayShed == nil || c.MayShed(tier) }

func (c *Cell) press(tier ident.Tier) {
	if c.Press != nil {
		c.Press(tier)
	}
}

// expire refuses the bids whose deadline passed or can no longer be met, at
// once, and puts pressure on lower tiers for those that have waited long.
func (c *Cell) expire(now time.Time) {
	var late []*Bid
	for tier := range c.queues {
		pressed := false
		c.queues[tier].each(func(b *Bid) bool {
			switch {
			case !now.Before(b.Deadline) || c.isUnreachable(b, now):
				late = append(late, b)
			case !pressed && isPressing(b, now):
				pressed = true
				c.press(b.Tier)
			}
			return true
		})
	}
	for _, b := range late {
		c.queues[b.lane].remove(b)
		reason := ReasonDeadlineUnreachable
		if !now.Before(b.Deadline) {
			reason = ReasonDeadlinePassed
		}
		c.refuse(b, reason)
	}
}

func isPressing(b *Bid, now time.Time) bool {
	waited := now.Sub(b.arrived)
	whole := b.Deadline.Sub(b.arrived)
	return waited >= pressAtLeast && float64(waited) > pressAfter*float64(whole)
}

// isUnreachable reports whether no endpoint could finish the request by its
// deadline even if it were idle.
func (c *Cell) isUnreachable(b *Bid, now time.Time) bool {
	if c.Pool.Kind == ident.ApplicationRunner {
		return false
	}
	left := b.Deadline.Sub(now)
	open := false
	for _, e := range c.endpoints {
		if !e.isOpen(now) {
			continue
		}
		open = true
		// Half of the expected time leaves room for estimates that are off; an
		// endpoint without samples has no estimate at all.
		if e.samples == 0 && e.Slots > 0 || time.Duration(b.Output)*e.between/2 < left {
			return false
		}
	}
	return open
}

// retryAfter estimates when the queue ahead of a tier will have been served.
func (c *Cell) retryAfter(tier ident.Tier) time.Duration {
	return min(max(c.waitOf(tier), minRetryAfter), maxRetryAfter)
}
