package sched

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestwick/internal/process/ident"
)

const (
	testTiers    = 4
	testAccounts = 3
)

// decisionChecker observes one cell and records decisions that violate an
// invariant.
type decisionChecker struct {
	cell      *Cell
	responses map[ident.RequestID]int
	violation string
}

// observe runs with the cell's lock held, so it can read the cell's state.
func (c *decisionChecker) observe(d Decision) {
	id := d.Request.Request
	c.responses[id]++
	if c.responses[id] > 1 {
		c.violation = fmt.Sprintf("%s got two responses", id)
	}
	switch {
	case d.Request.Response.Outcome == Granted:
		c.checkGrant(d.Request)
	case d.Request.Response.Reason == ReasonOverload:
		c.checkShed(d.Request)
	}
}

// checkGrant records a violation if the first request of an account in a higher
// tier fits an endpoint that no earlier request has reserved.
func (c *decisionChecker) checkGrant(granted *GrantRequest) {
	now := c.cell.now()
	for tier := range int(granted.class) {
		for _, account := range c.cell.queues[tier].active {
			r := account.heap[0]
			for _, e := range c.cell.endpoints {
				if e.reservedRound != c.cell.round && e.isOpen(now) && e.fits(r.charge, r.Prompt, c.cell.Pool.FirstTokenTarget, now) {
					c.violation = fmt.Sprintf("%s of tier %d was granted while %s of tier %d fits %s", granted.Request, granted.Tier, r.Request, tier, e.ID)
				}
			}
		}
	}
}

// checkShed records a violation if a lower tier has waiting requests.
func (c *decisionChecker) checkShed(shed *GrantRequest) {
	for tier := int(shed.class) + 1; tier < len(c.cell.queues); tier++ {
		if c.cell.queues[tier].length > 0 {
			c.violation = fmt.Sprintf("%s of tier %d was shed while requests of tier %d wait", shed.Request, shed.Tier, tier)
		}
	}
}

// TestRandomOperations drives a cell with random requests, completions,
// cancellations, leaving endpoints and passing time, and checks every decision.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		p := testPool()
		p.QueueRequests = rapid.IntRange(1, 8).Draw(rt, "queue")
		cell := &Cell{ID: ident.CellID{Pool: p.ID}, Now: func() time.Time { return now }}
		checker := &decisionChecker{cell: cell, responses: map[ident.RequestID]int{}}
		cell.Observe = checker.observe
		specs := make([]EndpointSpec, rapid.IntRange(1, 4).Draw(rt, "endpoints"))
		for i := range specs {
			specs[i] = EndpointSpec{ID: ident.Endpoint(fmt.Sprint("e", i))}
		}
		cell.Configure(p, specs)
		var requests []*GrantRequest
		operations := map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				r := drawRequest(rt, len(requests), now)
				requests = append(requests, r)
				cell.Submit(r)
			},
			"complete": func(rt *rapid.T) {
				if len(requests) > 0 {
					r := rapid.SampledFrom(requests).Draw(rt, "completed")
					cell.Complete(r.Request, Completion{
						Failed: rapid.Bool().Draw(rt, "failed"), TimeToFirstToken: 50 * time.Millisecond,
						InterTokenLatency: time.Duration(rapid.IntRange(5, 200).Draw(rt, "inter-token ms")) * time.Millisecond,
					})
				}
			},
			"cancel": func(rt *rapid.T) {
				if len(requests) > 0 {
					r := rapid.SampledFrom(requests).Draw(rt, "canceled")
					if cell.Cancel(r) {
						checker.responses[r.Request]++
					}
				}
			},
			"leave": func(rt *rapid.T) {
				i := rapid.IntRange(0, len(specs)-1).Draw(rt, "leaving")
				specs[i].Leaving = !specs[i].Leaving
				cell.Configure(p, specs)
			},
			"tick": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
				cell.Tick()
			},
			// The empty name makes this the check after each operation.
			"": func(rt *rapid.T) {
				if checker.violation != "" {
					rt.Fatal(checker.violation)
				}
				checkAccounting(rt, cell)
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

func drawRequest(rt *rapid.T, n int, now time.Time) *GrantRequest {
	return &GrantRequest{
		Request: ident.RequestID(fmt.Sprint("r", n)),
		Tier:    ident.Tier(rapid.IntRange(0, testTiers-1).Draw(rt, "tier")),
		Account: ident.ClientAccount(fmt.Sprint("a", rapid.IntRange(0, testAccounts-1).Draw(rt, "account"))),
		Prompt:  ident.Tokens(rapid.IntRange(1, 5000).Draw(rt, "prompt")),
		Output:  ident.Tokens(rapid.IntRange(1, 2000).Draw(rt, "output")),
		Weight:  rapid.IntRange(1, 5).Draw(rt, "weight"),

		Deadline: now.Add(time.Duration(rapid.IntRange(1, 600).Draw(rt, "seconds")) * time.Second),
	}
}

// checkAccounting compares the endpoints' totals with the requests in flight.
func checkAccounting(rt *rapid.T, c *Cell) {
	used := map[*endpoint]ident.Tokens{}
	running := map[*endpoint]int{}
	for _, g := range c.inflight {
		used[g.endpoint] += g.charge
		running[g.endpoint]++
	}
	for _, e := range c.endpoints {
		if e.used != used[e] || e.running != running[e] || e.backlog < 0 {
			rt.Fatalf("%s counts %d tokens of %d requests, but %d of %d are in flight; backlog %d", e.ID, e.used, e.running, used[e], running[e], e.backlog)
		}
	}
}

// TestTwoCellsGrantSameRequest checks that two nodes that both run the same
// cell exceed the endpoint's window. This has no other effect, since each grant
// goes to one entry node and expires after GrantTTL.
func TestTwoCellsGrantSameRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		granted := 0
		for range 2 {
			c := &Cell{ID: ident.CellID{Pool: "team/pool"}}
			c.Configure(testPool(), []EndpointSpec{{ID: "a"}})
			r := &GrantRequest{Request: "same", Prompt: 10, Output: 4000, Deadline: time.Now().Add(time.Hour)}
			if c.Submit(r) && r.Response.Outcome == Granted {
				granted++
			}
			qt.Assert(t, r.Response.TTL, qt.Equals, GrantTTL)
		}
		qt.Assert(t, granted, qt.Equals, 2)
	})
}

func benchmarkGrant(b *testing.B, endpoints, waiters, accounts int) {
	c := &Cell{ID: ident.CellID{Pool: "team/pool"}}
	p := testPool()
	p.QueueRequests = 1 << 30
	specs := make([]EndpointSpec, endpoints)
	for i := range specs {
		specs[i] = EndpointSpec{ID: ident.Endpoint(fmt.Sprint("e", i)), Address: "http://e"}
	}
	c.Configure(p, specs)
	for i := range waiters {
		c.Submit(&GrantRequest{
			Request: ident.RequestID(fmt.Sprint("w", i)), Tier: 3, Prompt: 100, Output: 1 << 29,
			Account: ident.ClientAccount(fmt.Sprint("a", i%accounts)), Deadline: time.Now().Add(24 * time.Hour),
		})
	}
	fingerprints := make([]ident.Fingerprint, 8)
	for i := range fingerprints {
		fingerprints[i] = ident.Fingerprint(i + 1)
	}
	request := &GrantRequest{Account: "a0", Prompt: 600, Output: 100, Prefix: fingerprints, Deadline: time.Now().Add(24 * time.Hour)}
	ids := make([]ident.RequestID, 64)
	for i := range ids {
		ids[i] = ident.RequestID(fmt.Sprint("r", i))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		request.Request = ids[i%len(ids)]
		if !c.Submit(request) {
			b.Fatal("the request waits")
		}
		c.Complete(request.Request, Completion{TimeToFirstToken: 50 * time.Millisecond, InterTokenLatency: 20 * time.Millisecond, Uncached: 600})
	}
}

// BenchmarkGrant measures one grant request, its grant and its completion.
func BenchmarkGrant(b *testing.B) {
	for _, endpoints := range []int{4, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) { benchmarkGrant(b, endpoints, 0, 1) })
	}
}

// BenchmarkGrantWaiting measures the same while requests that fit no endpoint
// wait.
func BenchmarkGrantWaiting(b *testing.B) {
	for _, waiters := range []int{100, 1000} {
		b.Run(fmt.Sprintf("waiters=%d", waiters), func(b *testing.B) { benchmarkGrant(b, 32, waiters, 5) })
	}
	for _, accounts := range []int{5, 50, 210} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) { benchmarkGrant(b, 32, 500, accounts) })
	}
}

// BenchmarkGrantCells measures 2,300 endpoints in 72 cells with GOMAXPROCS
// threads; -cpu 8 sets 8.
func BenchmarkGrantCells(b *testing.B) {
	cells := make([]*Cell, 72)
	for i := range cells {
		cells[i] = &Cell{ID: ident.CellID{Pool: "team/pool", Index: i}}
		specs := make([]EndpointSpec, 32)
		for j := range specs {
			specs[j] = EndpointSpec{ID: ident.Endpoint(fmt.Sprintf("e%d-%d", i, j)), Address: "http://e"}
		}
		cells[i].Configure(testPool(), specs)
	}
	b.SetParallelism(1)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		unique := new(int)
		id := ident.RequestID(fmt.Sprintf("r-%p", unique))
		request := &GrantRequest{Request: id, Account: "a0", Prompt: 600, Output: 100, Deadline: time.Now().Add(time.Hour)}
		for i := 0; pb.Next(); i++ {
			c := cells[i%len(cells)]
			if c.Submit(request) {
				c.Complete(id, Completion{TimeToFirstToken: 50 * time.Millisecond, InterTokenLatency: 20 * time.Millisecond, Uncached: 600})
			}
		}
	})
}

// TestBaselines checks that every policy grants all requests that it queues.
func TestBaselines(t *testing.T) {
	for name, policy := range Policies {
		t.Run(name, func(t *testing.T) {
			c := &Cell{ID: ident.CellID{Pool: "team/pool"}, Policy: policy}
			c.Configure(testPool(), []EndpointSpec{{ID: "a"}})
			served, requests := 0, make([]*GrantRequest, 3*fcfsConcurrency)
			for i := range requests {
				requests[i] = &GrantRequest{
					Request: ident.RequestID(fmt.Sprint("r", i)), Tier: ident.Tier(i % testTiers), Prompt: 10, Output: 10,
					Account: ident.ClientAccount(fmt.Sprint("a", i%testAccounts)), Deadline: time.Now().Add(time.Hour),
				}
				c.Submit(requests[i])
			}
			for _, r := range requests {
				c.Complete(r.Request, Completion{TimeToFirstToken: time.Millisecond, InterTokenLatency: time.Millisecond})
			}
			for _, r := range requests {
				if r.Response.Outcome == Granted {
					served++
				}
			}
			qt.Assert(t, served, qt.Equals, len(requests))
			qt.Assert(t, c.Load().Waiting, qt.Equals, 0)
		})
	}
}
