package sched

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestwick/internal/process/adapt"
	"goldcrestwick/internal/process/ident"
)

// checkAboveLimit records a violation if a request is granted above an endpoint's limit while
// the first request of an account in a higher tier fits an endpoint.
func (c *decisionChecker) checkAboveLimit(granted *GrantRequest) {
	now := c.cell.now()
	for tier := range int(granted.class) {
		for _, account := range c.cell.queues[tier].active {
			r := account.heap[0]
			for _, e := range c.cell.endpoints {
				if e.reservedRound != c.cell.round && e.isOpen(now) && e.fits(r.charge, 0, c.cell.firstTokenTarget(r), now) {
					c.violation = fmt.Sprintf("%s of tier %d was granted above a limit while %s of tier %d fits %s", granted.Request, granted.Tier, r.Request, tier, e.ID)
				}
			}
		}
	}
}

// TestRandomOperationsAtLimits drives a cell of application runners with learned limits with
// random calls, completions and passing time. It guards against calls of a higher tier that
// are passed over when one of a lower tier is granted above a limit, calls that get no
// response or two, calls that are held when no time is left, and wrong totals.
func TestRandomOperationsAtLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		p := testPool()
		p.Kind, p.QueueRequests = ident.ApplicationRunner, 1000
		cell := &Cell{ID: ident.CellID{Pool: p.ID}, Now: func() time.Time { return now }}
		checker := &decisionChecker{cell: cell, responses: map[ident.RequestID]int{}}
		cell.Observe = func(d Decision) {
			checker.responses[d.Request.Request]++
			if d.Request.Response.Reason == ReasonAboveLimit {
				checker.checkAboveLimit(d.Request)
			}
		}
		specs := make([]EndpointSpec, rapid.IntRange(1, 4).Draw(rt, "endpoints"))
		for i := range specs {
			specs[i] = EndpointSpec{ID: ident.Endpoint(fmt.Sprint("e", i)), Kind: p.Kind, Slots: 4}
		}
		cell.Configure(p, specs)
		for _, spec := range specs {
			load := adapt.Estimate{Slots: 4, Limit: rapid.IntRange(1, 4).Draw(rt, "limit")}
			at := time.Duration(0)
			for range 4 {
				at += time.Duration(rapid.IntRange(1, 60).Draw(rt, "slower")) * time.Millisecond
				load.PerUnit = append(load.PerUnit, at)
			}
			cell.SetEstimate(EndpointEstimate{Endpoint: spec.ID, PrefillRate: 1, InterTokenLatency: 1, Load: load})
		}
		var requests []*GrantRequest
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				r := drawRequest(rt, len(requests), now)
				r.Prompt, r.Output = 0, 0
				r.FirstTokenTarget = time.Duration(rapid.IntRange(10, 300).Draw(rt, "target ms")) * time.Millisecond
				requests = append(requests, r)
				cell.Submit(r)
			},
			"complete": func(rt *rapid.T) {
				if len(requests) > 0 {
					r := rapid.SampledFrom(requests).Draw(rt, "completed")
					cell.Complete(r.Request, Completion{TimeToFirstToken: time.Duration(rapid.IntRange(5, 200).Draw(rt, "ms")) * time.Millisecond})
				}
			},
			"tick": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(rt, "ms")) * time.Millisecond)
				cell.Tick()
			},
			// The empty name makes this the check after each operation.
			"": func(rt *rapid.T) {
				if checker.violation != "" {
					rt.Fatal(checker.violation)
				}
				checkAccounting(rt, cell)
				for _, r := range requests {
					if r.Response.Outcome == Waiting && r.heldRound == cell.round && !now.Before(r.arrived.Add(r.FirstTokenTarget)) {
						rt.Fatalf("%s is held beyond its target", r.Request)
					}
				}
			},
		})
		now = now.Add(time.Hour)
		cell.Tick()
		for _, r := range requests {
			if checker.responses[r.Request] != 1 {
				rt.Fatalf("%s has %d responses at the end", r.Request, checker.responses[r.Request])
			}
		}
	})
}

// TestLimitReports guards against a flood of log lines about learned limits, and against lines
// about limits that were not learned.
func TestLimitReports(t *testing.T) {
	now := time.Unix(1000, 0)
	var reports []EndpointLoad
	cell := &Cell{
		ID: ident.CellID{Pool: "team/pool"}, Now: func() time.Time { return now },
		LimitLearned: func(l EndpointLoad) { reports = append(reports, l) },
	}
	cell.Configure(testPool(), []EndpointSpec{{ID: "a", Kind: ident.ApplicationRunner, Slots: 2}, {ID: "b"}})
	tick := func(limit int, after time.Duration) int {
		now = now.Add(after)
		reports = nil
		if limit > 0 {
			load := adapt.Estimate{Slots: 2, Limit: limit, PerUnit: []time.Duration{20e6, 30e6}}
			cell.SetLoads([]EndpointEstimate{{Endpoint: "a", Load: load}, {Endpoint: "b", Load: load}, {Endpoint: "gone", Load: load}})
		}
		cell.Tick()
		return len(reports)
	}
	qt.Check(t, tick(0, 0), qt.Equals, 0)
	qt.Check(t, cell.EndpointLoads(), qt.HasLen, 0)
	qt.Check(t, tick(1, 0), qt.Equals, 1)
	qt.Check(t, cell.EndpointLoads(), qt.DeepEquals, []EndpointLoad{{Endpoint: "a", Limit: 1, Slots: 2, Expected: 20 * time.Millisecond}})
	qt.Check(t, tick(2, 6*time.Second), qt.Equals, 0)
	qt.Check(t, tick(1, 3*time.Second), qt.Equals, 0)
	qt.Check(t, tick(2, 6*time.Second), qt.Equals, 1)
}
