package sched

import (
	"goldcrestwick/internal/process/ident"
)

// ShedClosedTiers sheds the waiting requests of all tiers that are no longer
// admitted. When it returns, none of them is waiting.
func (c *Cell) ShedClosedTiers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Admits == nil {
		return
	}
	for tier := range c.queues {
		if c.queues[tier].length > 0 && !c.Admits(ident.Tier(tier)) {
			c.drain(&c.queues[tier], GrantResponse{Outcome: Shed, Reason: ReasonTierClosed})
		}
	}
}

// Close ends the cell on this node. All waiting requests, and all later ones,
// get the outcome Moved. Granted requests continue.
func (c *Cell) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
	for class := range c.queues {
		c.drain(&c.queues[class], GrantResponse{Outcome: Moved, Reason: ReasonCellMoved})
	}
}

// Pause stops granting until Resume. It is used while the node collects the
// requests that are in flight in the cell.
func (c *Cell) Pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isPaused = true
}

// Resume resumes granting for the tier limit, all higher ones, and the tiers that
// share a group with one of them.
func (c *Cell) Resume(limit ident.Tier) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.grantingTime(now) == 0 {
		c.grantsAllSince = now
	}
	c.isPaused = false
	c.hasTierLimit = true
	c.tierLimit = limit
	c.grantWaiting(now)
}

// IsHeldUp reports whether the requests of a tier wait for a Resume, whatever room there is.
func (c *Cell) IsHeldUp(tier ident.Tier) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := ident.Tier(0)
	for first < tier && c.groupEnd[first] < tier {
		first = c.groupEnd[first] + 1
	}
	return c.isPaused || c.hasTierLimit && first > c.tierLimit
}

func (c *Cell) drain(q *queue, response GrantResponse) {
	for q.length > 0 {
		r := q.shedCandidate(c.maxProtected())
		q.remove(r)
		response.RetryAfter = c.retryAfter(r.Tier)
		response.Waited = c.now().Sub(r.arrived)
		c.respond(r, response)
	}
}
