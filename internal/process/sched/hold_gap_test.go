package sched

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcrestwick/internal/process/ident"
)

// holdChecker observes a cell that holds prompts and records decisions that violate an invariant.
type holdChecker struct {
	decisionChecker
}

// observe runs with the cell's lock held, so it can read the cell's state.
func (h *holdChecker) observe(d Decision) {
	r := d.Request
	h.responses[r.Request]++
	switch {
	case r.Response.Outcome == Granted && d.WasHeldForGap && r.Release != nil:
		h.violation = fmt.Sprintf("%s is bound to a release and was held", r.Request)
	case r.Response.Outcome == Granted && d.PausesStreams && r.Release == nil:
		h.checkPasses(r)
	case r.Response.Reason == ReasonOverload:
		h.checkShed(r)
		if h.cell.isHeldForGap(r) {
			h.violation = fmt.Sprintf("%s was refused while it was held", r.Request)
		}
	}
}

// checkPasses records a violation if a request that pauses streams was granted while one of a higher
// tier is held in order not to pause them.
func (h *holdChecker) checkPasses(granted *GrantRequest) {
	for tier := range int(granted.class) {
		h.cell.queues[tier].each(func(r *GrantRequest) bool {
			if h.cell.isHeldForGap(r) {
				h.violation = fmt.Sprintf("%s of tier %d pauses streams and was granted before %s of tier %d", granted.Request, granted.class, r.Request, tier)
			}
			return true
		})
	}
}

// checkHolds fails the test if a request is held that may not be, or if an engine has room for a waiting
// request that would pause no streams there.
func (h *holdChecker) checkHolds(rt *rapid.T, requests []*GrantRequest) {
	c := h.cell
	now := c.now()
	// A refusal after the last pass over the queues can have made room, which the next pass uses.
	c.grantWaiting(now)
	if h.violation != "" {
		rt.Fatal(h.violation)
	}
	for _, r := range requests {
		if r.Response.Outcome != Waiting {
			continue
		}
		isHeld := c.isHeldForGap(r)
		if !isHeld && c.queues[r.class].accounts[r.queueAccount].first(c.round) != r {
			continue // it waits behind a request of its account that fits no engine.
		}
		if isHeld && (r.Release != nil || !now.Before(r.arrived.Add(c.firstTokenTarget(r)))) {
			rt.Fatalf("%s is held", r.Request)
		}
		awaits := false
		for _, e := range c.endpoints {
			isQuiet := e.prefillTime(r.Prompt) <= c.streamGapAllowance(e)
			awaits = awaits || e.isOpen(now) && isQuiet
			if e.reservedRound != c.round && e.isOpen(now) && r.mayRunAt(e) && e.fits(r.charge, r.Prompt, c.maxPrefillTime(r, e), now) && !c.wouldPause(e, r.Prompt) && !e.isAtLimit(now) {
				rt.Fatalf("%s waits (held %v) while %s has room for it and no streams would pause", r.Request, isHeld, e.ID)
			}
			if !isHeld && e.reservedRound != c.round && e.isOpen(now) && r.mayRunAt(e) && e.fits(r.charge, r.Prompt, c.maxPrefillTime(r, e), now) {
				rt.Fatalf("%s waits and is not held while %s has room for it", r.Request, e.ID)
			}
		}
		if isHeld && !awaits {
			rt.Fatalf("%s is held, and no open engine reads its prompt without pauses", r.Request)
		}
	}
}

// TestRandomOperationsWithHolds drives a cell of engines of different speeds with random prompts, ends,
// leaving engines and passing time. It guards against higher tiers that are shed before lower ones, held
// requests that are refused or overtaken by others that pause streams, free slots without need, holds of
// resumed streams and holds without an end or an engine.
func TestRandomOperationsWithHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		p := testPool()
		p.QueueRequests, p.EventGapTarget, p.TokensPerEvent = rapid.IntRange(1, 20).Draw(rt, "queue"), 300*time.Millisecond, 9
		cell := &Cell{ID: ident.CellID{Pool: p.ID}, Now: func() time.Time { return now }}
		checker := &holdChecker{decisionChecker{cell: cell, responses: map[ident.RequestID]int{}}}
		cell.Observe = checker.observe
		cell.CloseLower = func(tier ident.Tier, _ CloseCause) {
			waiting, held := 0, 0
			cell.queues[tier].each(func(r *GrantRequest) bool {
				waiting++
				if cell.isHeldForGap(r) {
					held++
				}
				return true
			})
			if waiting > 0 && waiting == held && !cell.isOverLimits() {
				checker.violation = fmt.Sprintf("tiers below %d are closed for held requests", tier)
			}
		}
		release := ident.Release("r1")
		specs := make([]EndpointSpec, rapid.IntRange(1, 4).Draw(rt, "endpoints"))
		for i := range specs {
			specs[i] = EndpointSpec{ID: ident.Endpoint(fmt.Sprint("e", i)), Slots: 2, Release: release}
		}
		cell.Configure(p, specs)
		for _, spec := range specs {
			cell.SetEstimate(EndpointEstimate{Endpoint: spec.ID, PrefillRate: float64(rapid.IntRange(5000, 100_000).Draw(rt, "rate")), InterTokenLatency: 5 * time.Millisecond})
		}
		var requests []*GrantRequest
		operations := map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				r := drawRequest(rt, len(requests), now)
				r.Prompt = ident.Tokens(rapid.IntRange(1, 20_000).Draw(rt, "prompt"))
				r.FirstTokenTarget = time.Duration(rapid.IntRange(100, 1500).Draw(rt, "target ms")) * time.Millisecond
				if rapid.IntRange(0, 9).Draw(rt, "is resumed") == 0 {
					r.Stream, r.Release = r.Request, &release
				}
				requests = append(requests, r)
				cell.Submit(r)
			},
			"first token": func(rt *rapid.T) {
				if len(requests) > 0 {
					cell.FirstToken(rapid.SampledFrom(requests).Draw(rt, "began").Request)
				}
			},
			"complete": func(rt *rapid.T) {
				if len(requests) > 0 {
					r := rapid.SampledFrom(requests).Draw(rt, "completed")
					cell.Complete(r.Request, Completion{Failed: rapid.IntRange(0, 3).Draw(rt, "failed") == 0, TimeToFirstToken: 50 * time.Millisecond, InterTokenLatency: 5 * time.Millisecond})
				}
			},
			"leave": func(rt *rapid.T) {
				i := rapid.IntRange(0, len(specs)-1).Draw(rt, "leaving")
				specs[i].Leaving = !specs[i].Leaving
				cell.Configure(p, specs)
			},
			"unreachable": func(rt *rapid.T) {
				cell.MarkUnreachable(rapid.SampledFrom(specs).Draw(rt, "unreachable").ID)
			},
			"tick": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(rt, "ms")) * time.Millisecond)
				cell.Tick()
			},
			// The empty name makes this the check after each operation.
			"": func(rt *rapid.T) {
				checkAccounting(rt, cell)
				checker.checkHolds(rt, requests)
			},
		}
		rt.Repeat(operations)
		now = now.Add(time.Hour)
		cell.Tick()
		for _, r := range requests {
			if checker.responses[r.Request] != 1 {
				rt.Fatalf("%s has %d responses at the end", r.Request, checker.responses[r.Request])
			}
		}
	})
}
