package sched

import (
	"math/rand/v2"
	"time"
)

// Policy selects the scheduling algorithm of a cell. All but Fair are baselines
// for comparison.
type Policy uint8

// The policies.
const (
	// Fair is the full scheduler: tiers, account shares, deadlines and endpoint
	// windows.
	Fair Policy = iota
	// Random grants every request at once, at a random endpoint, without regard
	// to its capacity.
	Random
	// LeastReportedLoad grants every request at once, at the endpoint with the
	// lowest load in its last report, which may be stale.
	LeastReportedLoad
	// FirstComeFirstServed keeps one queue in order of arrival for each cell,
	// with a fixed maximum of concurrent requests for each endpoint.
	FirstComeFirstServed
)

// fcfsConcurrency is the maximum number of concurrent requests for each
// endpoint under FirstComeFirstServed.
const fcfsConcurrency = 8

// noRound differs from every round in which an account was skipped.
const noRound = ^uint64(0)

// Policies maps the values of the command-line flag to policies.
var Policies = map[string]Policy{
	"fair": Fair, "random": Random, "least_reported": LeastReportedLoad, "first_come": FirstComeFirstServed,
}

func (c *Cell) submitBaseline(r *GrantRequest, now time.Time) {
	if c.Policy == FirstComeFirstServed {
		c.submitFCFS(r, now)
		return
	}
	if e := c.pickBaselineEndpoint(); e != nil {
		c.grant(r, e, now)
		return
	}
	c.refuse(r, ReasonOverload)
}

// pickBaselineEndpoint returns the endpoint for Random and LeastReportedLoad, or
// nil if all endpoints are leaving.
func (c *Cell) pickBaselineEndpoint() *endpoint {
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

// submitFCFS queues all requests in one class and under one account, ordered by
// arrival, and sheds one request if the queue is over its limit of requests.
func (c *Cell) submitFCFS(r *GrantRequest, now time.Time) {
	r.class, r.queueAccount, r.sortTime = 0, "", now
	q := &c.queues[r.class]
	q.push(r)
	c.grantWaitingFCFS(now)
	if q.length > c.Pool.QueueRequests {
		excess := q.shedCandidate(c.maxProtected())
		q.remove(excess)
		c.refuse(excess, ReasonOverload)
	}
}

func (c *Cell) grantWaitingFCFS(now time.Time) {
	q := &c.queues[0]
	for q.length > 0 {
		var best *endpoint
		for _, e := range c.endpoints {
			if !e.Leaving && e.running < fcfsConcurrency && (best == nil || e.running < best.running) {
				best = e
			}
		}
		if best == nil {
			return
		}
		account := q.nextAccount(noRound)
		c.grant(q.dequeue(account), best, now)
	}
}
