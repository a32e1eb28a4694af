package sched

import (
	"math/rand/v2"
	"time"
)

// Policy selects how a cell decides. All but Fair are baselines to measure
// against.
type Policy uint8

// The policies.
const (
	// Fair is the scheduler's own way.
	Fair Policy = iota
	// Random dispatches at once to any endpoint.
	Random
	// LeastReported dispatches at once to the endpoint with the least load by
	// its own, stale report.
	LeastReported
	// FirstCome keeps one first-come-first-served queue for each node, with a
	// fixed number of requests for each endpoint.
	FirstCome
)

// baselineConcurrent is FirstCome's number of requests for each endpoint.
const baselineConcurrent = 8

// noRound is a round in which no account was skipped.
const noRound = ^uint64(0)

// Policies maps the names used on the command line.
var Policies = map[string]Policy{
	"fair": Fair, "random": Random, "least_reported": LeastReported, "first_come": FirstCome,
}

func (c *Cell) submitBaseline(b *GrantRequest, now time.Time) {
	if c.Policy == FirstCome {
		c.submitFirstCome(b, now)
		return
	}
	if e := c.pickBaseline(); e != nil {
		c.grant(b, e, now)
		return
	}
	c.refuse(b, ReasonOverload)
}

func (c *Cell) pickBaseline() *endpoint {
	var open []*endpoint
	for _, e := range c.endpoints {
		if !e.Leaving {
			open = append(open, e)
		}
	}
	if len(open) == 0 {
		return nil
	}
	if c.Policy == Random {
		return open[rand.IntN(len(open))]
	}
	best := open[rand.IntN(len(open))]
	for _, e := range open {
		if e.report.Running+e.report.Waiting < best.report.Running+best.report.Waiting {
			best = e
		}
	}
	return best
}

// submitFirstCome queues in the order of arrival: one lane, one share.
func (c *Cell) submitFirstCome(b *GrantRequest, now time.Time) {
	b.lane, b.sharer, b.order = 0, "", now
	q := &c.queues[b.lane]
	q.push(b)
	c.pumpFirstCome(now)
	if q.length > c.Pool.QueueRequests {
		last := q.latest()
		q.remove(last)
		c.refuse(last, ReasonOverload)
	}
}

func (c *Cell) pumpFirstCome(now time.Time) {
	q := &c.queues[0]
	for q.length > 0 {
		var best *endpoint
		for _, e := range c.endpoints {
			if !e.Leaving && e.running < baselineConcurrent && (best == nil || e.running < best.running) {
				best = e
			}
		}
		if best == nil {
			return
		}
		s := q.first(noRound)
		c.grant(q.take(s), best, now)
	}
}
