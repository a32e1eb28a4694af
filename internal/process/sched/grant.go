package sched

import (
	"slices"
	"time"

	"goldcrestwick/internal/process/prefix"
	"goldcrestwick/internal/request/ident"
)

type grant struct {
	node     ident.NodeID
	lane     ident.Tier
	endpoint *endpoint
	charge   ident.Tokens
	uncached ident.Tokens
	cached   ident.Tokens
	backlog  ident.Tokens
	granted  time.Time
	started  bool
	// adopted is set on requests that another cell granted: their ends may be
	// told elsewhere.
	adopted bool
	prefix  []ident.Fingerprint
}

type targets struct{ firstToken, betweenTokens time.Duration }

func (c *Cell) targets() targets { return targets{c.Pool.FirstTokenTarget, c.Pool.InterTokenTarget} }

func (c *Cell) start(g *grant) {
	if !g.started {
		g.started = true
		g.endpoint.backlog = max(g.endpoint.backlog-g.uncached, 0)
	}
}

// free ends a grant of which nothing more is known.
func (c *Cell) free(g *grant) {
	c.start(g)
	g.endpoint.release(g.charge)
}

func (c *Cell) learn(g *grant, end Completion, now time.Time) {
	slot := g.endpoint.slot
	isKnown := end.Cached+end.Uncached > 0
	switch {
	case end.Unused || end.Failed || end.Refused:
		c.prefixes.Trim(g.prefix, slot, 0)
	case !isKnown:
		// The endpoint does not tell its cache hits: what was expected counts.
		end.Cached, end.Uncached = g.cached, g.uncached
	case end.Cached+prefix.BlockTokens < g.cached:
		c.prefixes.Narrow(slot)
	case g.cached > 0:
		c.prefixes.Widen(slot)
	}
	if end.Unused || end.Cancelled || end.Refused && !end.Failed {
		return
	}
	g.endpoint.noteOutcome(end.Failed || end.Erred, now)
	g.endpoint.observe(end, g.backlog, c.targets(), now)
	c.judge(g.endpoint, now)
}

func (c *Cell) chargeOf(b *GrantRequest) ident.Tokens {
	if c.Pool.Kind == ident.ApplicationRunner {
		return callCharge
	}
	return b.Prompt + b.Output + requestCharge
}

// pump grants as long as a bid fits: tiers from the highest, accounts by their
// share. A first bid that finds no room reserves the endpoint that will have
// room for it soonest, so that shorter and lower ones cannot starve it.
func (c *Cell) pump(now time.Time) {
	if c.paused || c.closed {
		return
	}
	if c.Policy == FirstCome {
		c.pumpFirstCome(now)
	}
	if c.Policy != Fair {
		return
	}
	c.round++
	skipped := 0
	for first := ident.Tier(0); first < ident.MaxTiers; first = c.last[first] + 1 {
		if c.limited && first > c.lowest {
			return
		}
		for skipped < maxSkipped {
			lane, s, ok := c.next(first, c.last[first])
			if !ok {
				break
			}
			if c.tryGrant(s.heap[0], now) {
				c.queues[lane].take(s)
				c.service[lane].advance(now)
				c.service[lane].granted++
				continue
			}
			s.skipped = c.round
			skipped++
		}
	}
}

// tryGrant grants the bid when an endpoint has room, and else reserves one.
func (c *Cell) tryGrant(b *GrantRequest, now time.Time) bool {
	c.prefixes.Find(b.Prefix, &c.match)
	var best, soonest *endpoint
	var least time.Duration
	c.considered = c.considered[:0]
	left := b.Deadline.Sub(now)
	for _, e := range c.endpoints {
		if e.reserved == c.round || !e.isOpen(now) || slices.Contains(b.Avoid, e.ID) {
			continue
		}
		uncached := c.uncached(b, e)
		if !e.fits(b.charge, uncached, c.firstToken(b), now) {
			if soonest == nil || e.window-e.used > soonest.window-soonest.used {
				soonest = e
			}
			continue
		}
		c.considered = append(c.considered, e.ID)
		if t := e.cost(uncached, b.Output, left) + distance(b, e) + e.risk(now); best == nil || t < least {
			best, least = e, t
		}
	}
	if best == nil {
		if soonest != nil {
			soonest.reserved = c.round
		}
		return false
	}
	c.grant(b, best, now)
	return true
}

// distance is what an endpoint in another availability zone counts for more:
// its bytes cross a zone's border, which the platform prices, and its answers
// come a little later. A zone that is not known is not far.
func distance(b *GrantRequest, e *endpoint) time.Duration {
	if b.Zone == "" || e.Zone == "" || b.Zone == e.Zone {
		return 0
	}
	return zoneDistance
}

func (c *Cell) firstToken(b *GrantRequest) time.Duration {
	if b.FirstTokenTarget > 0 {
		return b.FirstTokenTarget
	}
	return c.Pool.FirstTokenTarget
}

func (c *Cell) uncached(b *GrantRequest, e *endpoint) ident.Tokens {
	return max(b.Prompt-c.cached(b, e), 0)
}

func (c *Cell) cached(b *GrantRequest, e *endpoint) ident.Tokens {
	if e.slot >= prefix.MaxSlots {
		return 0
	}
	return prefix.TokensOf(int(c.match[e.slot]), b.PartTokens)
}

func (c *Cell) grant(b *GrantRequest, e *endpoint, now time.Time) {
	reason := ReasonLeastCost
	cached := min(c.cached(b, e), b.Prompt)
	switch {
	case e.health != healthy:
		reason = ReasonProbe
	case c.Policy != Fair:
		reason = ReasonBaseline
	case cached > 0:
		reason = ReasonCachedPrefix
	}
	g := c.newGrant()
	*g = grant{
		node: b.Node, lane: b.lane, endpoint: e, charge: b.charge, uncached: b.Prompt - cached,
		cached: cached, granted: now, backlog: e.backlog, prefix: b.Prefix,
	}
	e.admit(g.charge, g.uncached)
	c.prefixes.Insert(b.Prefix, b.PartTokens, e.slot)
	c.hold(b.Request, g)
	c.sequence++
	c.decide(b, GrantResponse{
		Outcome: Granted, Reason: reason, Endpoint: e.ID, Address: e.Address,
		Sequence: c.sequence, TTL: GrantTTL, Cached: cached, Considered: len(c.considered),
		Waited: now.Sub(b.arrived),
	})
}

// hold keeps a grant until its end. A grant of before for the same request has
// lost its bidder, who bid again: nothing would tell its end.
func (c *Cell) hold(id ident.RequestID, g *grant) {
	if c.inflight == nil {
		c.inflight = map[ident.RequestID]*grant{}
	}
	if old := c.inflight[id]; old != nil {
		c.free(old)
	}
	c.inflight[id] = g
}

func (c *Cell) newGrant() *grant {
	if n := len(c.spare); n > 0 {
		g := c.spare[n-1]
		c.spare = c.spare[:n-1]
		return g
	}
	return &grant{}
}

func (c *Cell) decide(b *GrantRequest, answer GrantResponse) {
	b.Response = answer
	if c.Observe != nil {
		d := Decision{Cell: c.ID, Request: b, Queued: c.waiting()}
		if answer.Outcome == Granted {
			d.Considered = c.considered
		}
		c.Observe(d)
	}
	if b.Wake != nil {
		b.Wake()
	}
}

func (c *Cell) waiting() int {
	n := 0
	for tier := range c.queues {
		n += c.queues[tier].length
	}
	return n
}
