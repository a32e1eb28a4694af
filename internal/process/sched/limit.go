package sched

import (
	"time"

	"goldcrestwick/internal/process/ident"
)

// UpdateEndpoint records what an endpoint stated of itself when it began to answer the
// given granted request.
func (c *Cell) UpdateEndpoint(id ident.RequestID, s Statement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateEndpoint(c.inflight[id], s)
}

func (c *Cell) updateEndpoint(g *grant, s Statement) {
	if g == nil {
		return
	}
	e, now := g.endpoint, c.now()
	e.updateLimit(s.RateLimit, g.grantedAt, now)
	if s.Occupancy == nil {
		return
	}
	running := e.running
	c.releaseOrphans(e, *s.Occupancy, now)
	e.updateExternalLoad(*s.Occupancy, now)
	if e.running < running {
		c.grantWaiting(now)
	}
}

// LearnLimits applies the rate limits that an entry node knows of endpoints that have
// stated nothing to this cell yet, which may be new on this node.
func (c *Cell) LearnLimits(limits map[ident.Endpoint]ident.Rate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnLimits(limits)
}

func (c *Cell) learnLimits(limits map[ident.Endpoint]ident.Rate) {
	now := c.now()
	for id, limit := range limits {
		if e := c.byID[id]; e != nil && !e.hasStated {
			e.setLimit(limit, now)
		}
	}
}

// updateLimit applies the rate limit that the endpoint stated in its answer to a request
// granted at the given time. An answer to a request from before the limit was known may
// be older than the limit and does not end it.
func (e *endpoint) updateLimit(limit ident.Rate, grantedAt, now time.Time) {
	if limit == 0 && e.rateLimit > 0 && !grantedAt.After(e.limitedSince) {
		return
	}
	e.hasStated = true
	e.setLimit(limit, now)
}

func (e *endpoint) setLimit(limit ident.Rate, now time.Time) {
	if e.rateLimit == 0 {
		e.limitedSince = now
	}
	e.rateLimit = limit
}

// isWithinLimit reports whether the rate limit allows another grant.
func (e *endpoint) isWithinLimit(now time.Time) bool {
	return e.rateLimit == 0 || !now.Before(e.nextGrantAt)
}

// spaceGrants delays the next grant as the rate limit requires. Share is the part of the
// limit that the cell may use.
func (e *endpoint) spaceGrants(share float64, now time.Time) {
	if e.rateLimit > 0 {
		e.nextGrantAt = now.Add(time.Duration(float64(time.Second) / (float64(e.rateLimit) * share)))
	}
}
