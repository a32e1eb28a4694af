package sched

import (
	"math/rand/v2"
	"time"

	"goldcrestwick/internal/request/ident"
)

// refuse sheds a bid that does not wait.
func (c *Cell) refuse(b *GrantRequest, reason Reason) {
	c.decide(b, GrantResponse{
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
		tier, ok := c.toShed()
		if !ok {
			return
		}
		if !c.canShed(tier) {
			c.closeLower(tier)
			return
		}
		q := &c.queues[tier]
		b := q.latest()
		q.remove(b)
		c.refuse(b, ReasonOverload)
		c.closeLower(tier)
	}
}

// toShed returns the lane that has to shed a bid: among the lowest ones that
// share service, the lowest that is hopeless or, when the queue is over its
// bounds, the lowest with a bid.
func (c *Cell) toShed() (lane ident.Tier, ok bool) {
	lowest := c.lowestWaiting()
	if c.isOverfull() {
		return lowest, true
	}
	for lane := int(lowest); lane >= 0 && c.last[lane] == c.last[lowest]; lane-- {
		if c.isHopeless(ident.Tier(lane)) {
			return ident.Tier(lane), true
		}
	}
	return 0, false
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
	if b.FirstTokenTarget > 0 {
		return c.laneWait(tier, c.now()) > c.patience(b)
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

func (c *Cell) knowsSlots() bool { return len(c.endpoints) > 0 && c.endpoints[0].Slots > 0 }

func (c *Cell) lowestWaiting() ident.Tier {
	for tier := len(c.queues) - 1; tier > 0; tier-- {
		if c.queues[tier].length > 0 {
			return ident.Tier(tier)
		}
	}
	return 0
}

// canShed and closeLower ask about the last lane that shares service with a lane:
// lanes of one group are not closed in favour of each other.
func (c *Cell) canShed(lane ident.Tier) bool { return c.CanShed == nil || c.CanShed(c.last[lane]) }

func (c *Cell) closeLower(lane ident.Tier) {
	if c.CloseLower != nil {
		c.CloseLower(c.last[lane])
	}
}

// expire refuses the bids whose deadline passed or can no longer be met, at
// once, and puts pressure on lower tiers for those that have waited long.
func (c *Cell) expire(now time.Time) {
	var late []*GrantRequest
	for tier := range c.queues {
		pressed := false
		c.queues[tier].each(func(b *GrantRequest) bool {
			switch {
			case !now.Before(b.Deadline) || c.isUnreachable(b, now) || c.isPastPatience(b, now):
				late = append(late, b)
			case !pressed && isPressing(b, now):
				pressed = true
				c.closeLower(b.Tier)
			}
			return true
		})
	}
	for _, b := range late {
		c.queues[b.lane].remove(b)
		c.refuse(b, c.lateReason(b, now))
	}
}

func (c *Cell) lateReason(b *GrantRequest, now time.Time) Reason {
	switch {
	case !now.Before(b.Deadline):
		return ReasonDeadlinePassed
	case c.isPastPatience(b, now):
		return ReasonOverload
	}
	return ReasonDeadlineUnreachable
}

// isPastPatience reports whether a bid has waited for as long as it is worth,
// and no lower lane waits that would have to go first.
func (c *Cell) isPastPatience(b *GrantRequest, now time.Time) bool {
	return b.FirstTokenTarget > 0 && now.Sub(b.arrived) > c.patience(b) && c.last[b.lane] >= c.last[c.lowestWaiting()]
}

func isPressing(b *GrantRequest, now time.Time) bool {
	waited := now.Sub(b.arrived)
	whole := b.Deadline.Sub(b.arrived)
	return waited >= pressAtLeast && float64(waited) > pressAfter*float64(whole)
}

// isUnreachable reports whether no endpoint could finish the request by its
// deadline even if it were idle.
func (c *Cell) isUnreachable(b *GrantRequest, now time.Time) bool {
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

// retryAfter estimates when a refused request is worth another try: when the
// queue ahead of its tier will have been served, or, where bids wait for their
// targets only, when the overload will be over. One that has lasted for a time
// is expected to last for about as long again. Times are spread, so that those
// who come back do not come at once.
func (c *Cell) retryAfter(tier ident.Tier) time.Duration {
	if !c.knowsSlots() {
		return min(max(c.waitOf(tier), minRetryAfter), maxRetryAfter)
	}
	now := c.now()
	if now.Sub(c.lastShed) > overloadGap {
		c.overloadSince = now
	}
	c.lastShed = now
	expected := min(max(now.Sub(c.overloadSince), minRetryAfter), maxReturn)
	return time.Duration(float64(expected) * (1 + returnSpread*(2*rand.Float64()-1)))
}
