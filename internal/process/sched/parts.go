package sched

import (
	"slices"
	"time"

	"goldcrestwick/internal/request/ident"
)

// RunningFor returns those of the parts that are in the prompts of requests which had
// their first token at least a time ago.
func (c *Cell) RunningFor(parts []ident.PromptPart, atLeast time.Duration) []ident.PromptPart {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	running := map[ident.PromptPart]bool{}
	for _, g := range c.inflight {
		if g.isPrefillDone && !g.isAdopted && now.Sub(g.firstTokenAt) >= atLeast {
			for _, part := range g.parts {
				running[part] = true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(parts), func(p ident.PromptPart) bool { return !running[p] })
}

// ShedQuarantined sheds the waiting requests whose prompts have a quarantined part. Find
// returns the end of the quarantine.
func (c *Cell) ShedQuarantined(find func([]ident.PromptPart) (until time.Time, ok bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for class := range c.queues {
		var quarantined []*GrantRequest
		c.queues[class].each(func(r *GrantRequest) bool {
			if _, ok := find(r.PromptParts); ok {
				quarantined = append(quarantined, r)
			}
			return true
		})
		for _, r := range quarantined {
			until, _ := find(r.PromptParts)
			c.queues[class].remove(r)
			c.respond(r, GrantResponse{
				Outcome: Shed, Reason: ReasonPromptQuarantined, RetryAfter: until.Sub(now), Waited: now.Sub(r.arrived),
			})
		}
	}
}
