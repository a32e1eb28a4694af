package sched

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestwick/internal/request/ident"
)

const (
	testTiers    = 4
	testAccounts = 3
)

// checker watches one cell and reports decisions that break a promise.
type checker struct {
	cell    *Cell
	answers map[ident.RequestID]int
	fault   string
}

// observe runs with the cell's lock held, so it can look at the cell.
func (k *checker) observe(d Decision) {
	id := d.Request.Request
	k.answers[id]++
	if k.answers[id] > 1 {
		k.fault = fmt.Sprintf("%s was answered twice", id)
	}
	switch {
	case d.Request.Response.Outcome == Granted:
		k.checkGrant(d.Request)
	case d.Request.Response.Reason == ReasonOverload:
		k.checkShed(d.Request)
	}
}

// checkGrant looks for a higher tier's first bid that fits an endpoint which
// no earlier bid reserved.
func (k *checker) checkGrant(granted *GrantRequest) {
	now := k.cell.now()
	for tier := range int(granted.lane) {
		for _, s := range k.cell.queues[tier].active {
			b := s.heap[0]
			for _, e := range k.cell.endpoints {
				if e.reserved != k.cell.round && e.isOpen(now) && e.fits(b.charge, b.Prompt, k.cell.Pool.FirstTokenTarget, now) {
					k.fault = fmt.Sprintf("%s of tier %d was granted while %s of tier %d fits %s", granted.Request, granted.Tier, b.Request, tier, e.ID)
				}
			}
		}
	}
}

func (k *checker) checkShed(shed *GrantRequest) {
	for tier := int(shed.lane) + 1; tier < len(k.cell.queues); tier++ {
		if k.cell.queues[tier].length > 0 {
			k.fault = fmt.Sprintf("%s of tier %d was shed while tier %d waits", shed.Request, shed.Tier, tier)
		}
	}
}

// TestRandomOrders drives a cell with random bids, ends, cancels, leaving
// endpoints and time, and checks every decision.
func TestRandomOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		p := pool()
		p.QueueRequests = rapid.IntRange(1, 8).Draw(rt, "queue")
		cell := &Cell{ID: ident.CellID{Pool: p.ID}, Now: func() time.Time { return now }}
		k := &checker{cell: cell, answers: map[ident.RequestID]int{}}
		cell.Observe = k.observe
		specs := make([]EndpointSpec, rapid.IntRange(1, 4).Draw(rt, "endpoints"))
		for i := range specs {
			specs[i] = EndpointSpec{ID: ident.Endpoint(fmt.Sprint("e", i))}
		}
		cell.Configure(p, specs)
		var bids []*GrantRequest
		steps := map[string]func(*rapid.T){
			"bid": func(rt *rapid.T) {
				b := drawBid(rt, len(bids), now)
				bids = append(bids, b)
				cell.Submit(b)
			},
			"end": func(rt *rapid.T) {
				if len(bids) > 0 {
					b := rapid.SampledFrom(bids).Draw(rt, "ended")
					cell.Done(b.Request, Completion{
						Failed: rapid.Bool().Draw(rt, "failed"), TimeToFirstToken: 50 * time.Millisecond,
						InterTokenLatency: time.Duration(rapid.IntRange(5, 200).Draw(rt, "between")) * time.Millisecond,
					})
				}
			},
			"cancel": func(rt *rapid.T) {
				if len(bids) > 0 {
					b := rapid.SampledFrom(bids).Draw(rt, "canceled")
					if cell.Cancel(b) {
						k.answers[b.Request]++
					}
				}
			},
			"leave": func(rt *rapid.T) {
				i := rapid.IntRange(0, len(specs)-1).Draw(rt, "left")
				specs[i].Leaving = !specs[i].Leaving
				cell.Configure(p, specs)
			},
			"time": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
				cell.Tick()
			},
			"": func(rt *rapid.T) {
				if k.fault != "" {
					rt.Fatal(k.fault)
				}
				checkBooks(rt, cell)
			},
		}
		rt.Repeat(steps)
		now = now.Add(time.Hour)
		cell.Tick()
		for _, b := range bids {
			if k.answers[b.Request] != 1 {
				rt.Fatalf("%s has %d answers at the end", b.Request, k.answers[b.Request])
			}
		}
	})
}

func drawBid(rt *rapid.T, n int, now time.Time) *GrantRequest {
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

// checkBooks compares what the endpoints have in use with what is in flight.
func checkBooks(rt *rapid.T, c *Cell) {
	used := map[*endpoint]ident.Tokens{}
	running := map[*endpoint]int{}
	for _, g := range c.inflight {
		used[g.endpoint] += g.charge
		running[g.endpoint]++
	}
	for _, e := range c.endpoints {
		if e.used != used[e] || e.running != running[e] || e.backlog < 0 {
			rt.Fatalf("%s has %d tokens of %d requests in its books, %d of %d in flight, backlog %d", e.ID, e.used, e.running, used[e], running[e], e.backlog)
		}
	}
}

// TestTwoOwners shows that two nodes which both run a cell admit too much and
// do no other harm: each grant has one holder.
func TestTwoOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		granted := 0
		for range 2 {
			c := &Cell{ID: ident.CellID{Pool: "team/pool"}}
			c.Configure(pool(), []EndpointSpec{{ID: "a"}})
			b := &GrantRequest{Request: "same", Prompt: 10, Output: 4000, Deadline: time.Now().Add(time.Hour)}
			if c.Submit(b) && b.Response.Outcome == Granted {
				granted++
			}
			qt.Assert(t, b.Response.TTL, qt.Equals, GrantTTL)
		}
		qt.Assert(t, granted, qt.Equals, 2)
	})
}

func benchmarkGrant(b *testing.B, endpoints, waiters, accounts int) {
	c := &Cell{ID: ident.CellID{Pool: "team/pool"}}
	p := pool()
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
	prints := make([]ident.Fingerprint, 8)
	for i := range prints {
		prints[i] = ident.Fingerprint(i + 1)
	}
	bid := &GrantRequest{Account: "a0", Prompt: 600, Output: 100, Prefix: prints, Deadline: time.Now().Add(24 * time.Hour)}
	ids := make([]ident.RequestID, 64)
	for i := range ids {
		ids[i] = ident.RequestID(fmt.Sprint("r", i))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		bid.Request = ids[i%len(ids)]
		if !c.Submit(bid) {
			b.Fatal("the bid waits")
		}
		c.Done(bid.Request, Completion{TimeToFirstToken: 50 * time.Millisecond, InterTokenLatency: 20 * time.Millisecond, Uncached: 600})
	}
}

// BenchmarkGrant measures one bid, its grant and its end.
func BenchmarkGrant(b *testing.B) {
	for _, endpoints := range []int{4, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) { benchmarkGrant(b, endpoints, 0, 1) })
	}
}

// BenchmarkGrantWaiting measures the same while bids that do not fit wait.
func BenchmarkGrantWaiting(b *testing.B) {
	for _, waiters := range []int{100, 1000} {
		b.Run(fmt.Sprintf("waiters=%d", waiters), func(b *testing.B) { benchmarkGrant(b, 32, waiters, 5) })
	}
	for _, accounts := range []int{5, 50, 210} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) { benchmarkGrant(b, 32, 500, accounts) })
	}
}

// BenchmarkGrantCells measures 2,300 endpoints in 72 cells with 8 threads.
func BenchmarkGrantCells(b *testing.B) {
	cells := make([]*Cell, 72)
	for i := range cells {
		cells[i] = &Cell{ID: ident.CellID{Pool: "team/pool", Index: i}}
		specs := make([]EndpointSpec, 32)
		for j := range specs {
			specs[j] = EndpointSpec{ID: ident.Endpoint(fmt.Sprintf("e%d-%d", i, j)), Address: "http://e"}
		}
		cells[i].Configure(pool(), specs)
	}
	b.SetParallelism(1)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		own := new(int)
		id := ident.RequestID(fmt.Sprintf("r-%p", own))
		bid := &GrantRequest{Request: id, Account: "a0", Prompt: 600, Output: 100, Deadline: time.Now().Add(time.Hour)}
		for i := 0; pb.Next(); i++ {
			c := cells[i%len(cells)]
			if c.Submit(bid) {
				c.Done(id, Completion{TimeToFirstToken: 50 * time.Millisecond, InterTokenLatency: 20 * time.Millisecond, Uncached: 600})
			}
		}
	})
}

// TestBaselines checks that the policies to measure against serve what they
// queue.
func TestBaselines(t *testing.T) {
	for name, policy := range Policies {
		t.Run(name, func(t *testing.T) {
			c := &Cell{ID: ident.CellID{Pool: "team/pool"}, Policy: policy}
			c.Configure(pool(), []EndpointSpec{{ID: "a"}})
			served, bids := 0, make([]*GrantRequest, 3*baselineConcurrent)
			for i := range bids {
				bids[i] = &GrantRequest{
					Request: ident.RequestID(fmt.Sprint("r", i)), Tier: ident.Tier(i % testTiers), Prompt: 10, Output: 10,
					Account: ident.ClientAccount(fmt.Sprint("a", i%testAccounts)), Deadline: time.Now().Add(time.Hour),
				}
				c.Submit(bids[i])
			}
			for _, b := range bids {
				c.Done(b.Request, Completion{TimeToFirstToken: time.Millisecond, InterTokenLatency: time.Millisecond})
			}
			for _, b := range bids {
				if b.Response.Outcome == Granted {
					served++
				}
			}
			qt.Assert(t, served, qt.Equals, len(bids))
			qt.Assert(t, c.Load().Waiting, qt.Equals, 0)
		})
	}
}
