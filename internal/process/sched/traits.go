package sched

import (
	"slices"
	"time"

	"goldcrestwick/internal/process/ident"
)

// RunningFor returns those of the traits that belong to requests which had
// their first token at least a time ago.
func (c *Cell) RunningFor(traits []ident.Trait, atLeast time.Duration) []ident.Trait {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	running := map[ident.Trait]bool{}
	for _, g := range c.inflight {
		if g.isPrefillDone && !g.isAdopted && now.Sub(g.firstTokenAt) >= atLeast {
			for _, trait := range g.traits {
				running[trait] = true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(traits), func(p ident.Trait) bool { return !running[p] })
}

// ShedQuarantined sheds the waiting requests that have a quarantined trait. Find
// returns the end of the quarantine.
func (c *Cell) ShedQuarantined(find func([]ident.Trait) (until time.Time, ok bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for class := range c.queues {
		var quarantined []*GrantRequest
		c.queues[class].each(func(r *GrantRequest) bool {
			if _, ok := find(r.Traits); ok {
				quarantined = append(quarantined, r)
			}
			return true
		})
		for _, r := range quarantined {
			until, _ := find(r.Traits)
			c.queues[class].remove(r)
			c.respond(r, GrantResponse{
				Outcome: Shed, Reason: ReasonQuarantined, RetryAfter: until.Sub(now), Waited: now.Sub(r.arrived),
			})
		}
	}
}
