package sched

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
)

// TestCallsStayInZone checks that a call goes to another zone if it is faster there by more than
// the penalty, or if it would be late in its own zone and in time there. It guards against calls
// that miss their target for the sake of bytes between zones.
func TestCallsStayInZone(t *testing.T) {
	const target = 120 * time.Millisecond
	for _, test := range []struct {
		near, far time.Duration
		want      ident.Endpoint
	}{
		{35 * time.Millisecond, 35 * time.Millisecond, "near"},
		{70 * time.Millisecond, 35 * time.Millisecond, "near"},
		{80 * time.Millisecond, 35 * time.Millisecond, "far"},
		{119 * time.Millisecond, 90 * time.Millisecond, "near"},
		{125 * time.Millisecond, 90 * time.Millisecond, "far"},
		{150 * time.Millisecond, 125 * time.Millisecond, "near"},
	} {
		pool := testPool()
		pool.Kind = ident.ApplicationRunner
		c := &Cell{ID: ident.CellID{Pool: pool.ID}, Pool: pool}
		c.Configure(pool, []EndpointSpec{
			{ID: "near", Kind: ident.ApplicationRunner, Slots: 6, Zone: "a"}, {ID: "far", Kind: ident.ApplicationRunner, Slots: 6, Zone: "b"},
		})
		c.SetEstimate(EndpointEstimate{Endpoint: "near", PrefillRate: 1, InterTokenLatency: test.near})
		c.SetEstimate(EndpointEstimate{Endpoint: "far", PrefillRate: 1, InterTokenLatency: test.far})
		r := &GrantRequest{Request: "r", Zone: "a", FirstTokenTarget: target, Deadline: time.Now().Add(time.Minute)}
		qt.Assert(t, c.Submit(r), qt.IsTrue)
		qt.Check(t, r.Response.Endpoint, qt.Equals, test.want, qt.Commentf(fmt.Sprint(test)))
	}
}

// TestPassedOverAccountGetsShare guards against an account that falls behind since its callers are
// in a zone without endpoints: while calls of the endpoints' zone are granted before them, it still
// gets its share, also if it has one call waiting at a time, so that its queue empties.
func TestPassedOverAccountGetsShare(t *testing.T) {
	for _, test := range []struct {
		far, near int
		empties   bool
	}{{1, 1, false}, {3, 1, false}, {1, 3, false}, {1, 1, true}, {3, 1, true}, {1, 3, true}} {
		now := time.Now()
		pool := testPool()
		pool.Kind, pool.QueueRequests = ident.ApplicationRunner, 1<<20
		c := &Cell{ID: ident.CellID{Pool: pool.ID}, Pool: pool, Now: func() time.Time { return now }}
		c.Configure(pool, []EndpointSpec{{ID: "e", Kind: ident.ApplicationRunner, Slots: 1, Zone: "a"}})
		var running *GrantRequest
		grants := map[ident.ClientAccount]int{}
		sent := 0
		submit := func(account ident.ClientAccount, zone ident.AvailabilityZone, weight int) {
			sent++
			r := &GrantRequest{Request: ident.RequestID(fmt.Sprint(account, sent)), Account: account, Zone: zone, Weight: weight}
			r.FirstTokenTarget, r.Deadline = time.Hour, now.Add(time.Hour)
			r.Wake = func() { running, grants[account] = r, grants[account]+1 }
			if c.Submit(r) {
				running = r
			}
		}
		for i := range 200 {
			submit("near", "a", test.near)
			if i == 0 || !test.empties {
				submit("far", "b", test.far)
			}
		}
		for range 100 {
			now = now.Add(time.Millisecond)
			c.Complete(running.Request, Completion{TimeToFirstToken: time.Millisecond, IsWhole: true})
			if test.empties && running.Account == "far" {
				submit("far", "b", test.far)
			}
		}
		share := 100 * test.far / (test.far + test.near)
		qt.Check(t, grants["far"] >= share-2*maxPassedCalls && grants["far"] <= share+2, qt.IsTrue, qt.Commentf("%+v: %v", test, grants))
	}
}

// zoneCell returns a cell with one application runner, in zone a, and a function that submits a
// call.
func zoneCell(slots int) (c *Cell, submit func(name string, account ident.ClientAccount, zone ident.AvailabilityZone) *GrantRequest) {
	now := time.Now()
	pool := testPool()
	pool.Kind, pool.QueueRequests = ident.ApplicationRunner, 1<<20
	c = &Cell{ID: ident.CellID{Pool: pool.ID}, Pool: pool, Now: func() time.Time { return now }}
	c.Configure(pool, []EndpointSpec{{ID: "e", Kind: ident.ApplicationRunner, Slots: slots, Zone: "a"}})
	return c, func(name string, account ident.ClientAccount, zone ident.AvailabilityZone) *GrantRequest {
		r := &GrantRequest{
			Request: ident.RequestID(name), Account: account, Zone: zone, Wake: func() {},
			FirstTokenTarget: time.Hour, Deadline: now.Add(time.Hour),
		}
		c.Submit(r)
		now = now.Add(time.Microsecond)
		return r
	}
}

// TestBusyAccountHidesNone guards against calls of the zone of a free place that are not found
// behind an account with many calls of other zones.
func TestBusyAccountHidesNone(t *testing.T) {
	c, submit := zoneCell(1)
	submit("running", "far", "b")
	submit("first", "far", "b")
	for i := range 2 * maxZoneCandidates {
		submit(fmt.Sprint("busy", i), "busy", "b")
	}
	near := submit("near", "near", "a")
	c.Complete("running", Completion{TimeToFirstToken: time.Millisecond, IsWhole: true})
	qt.Check(t, near.Response.Outcome, qt.Equals, Granted)
}

// TestPlaceAboveLimit guards against a call that is passed over for a place above the learned
// limit, which it gets because it cannot wait, and against calls of accounts that were skipped in
// the same round, whose calls do not fit or wait for a place below the limit.
func TestPlaceAboveLimit(t *testing.T) {
	c, submit := zoneCell(4)
	for i := range 4 {
		submit(fmt.Sprint("running", i), "far", "b")
	}
	far, near := submit("far", "far", "b"), submit("near", "near", "a")
	e := c.endpoints[0]
	c.round++ // as in a new round of grants.
	e.Slots++ // one place is free.
	now := c.now()
	qt.Check(t, c.preferOwnZone(far, e, now).Request, qt.Equals, near.Request)
	c.queues[near.class].accounts["near"].skippedRound = c.round
	qt.Check(t, c.preferOwnZone(far, e, now).Request, qt.Equals, far.Request)
	c.queues[near.class].accounts["near"].skippedRound = 0
	e.Slots--
	qt.Assert(t, e.isAtLimit(now), qt.IsTrue)
	qt.Check(t, c.preferOwnZone(far, e, now).Request, qt.Equals, far.Request)
}

// TestFailingEndpointInOtherZone guards against calls that leave a slow endpoint of their zone for
// one of another zone that fails.
func TestFailingEndpointInOtherZone(t *testing.T) {
	for _, test := range []struct {
		errorRate float64
		want      ident.Endpoint
	}{{0, "far"}, {0.5, "near"}} {
		pool := testPool()
		pool.Kind = ident.ApplicationRunner
		c := &Cell{ID: ident.CellID{Pool: pool.ID}, Pool: pool}
		c.Configure(pool, []EndpointSpec{
			{ID: "near", Kind: ident.ApplicationRunner, Slots: 6, Zone: "a"}, {ID: "far", Kind: ident.ApplicationRunner, Slots: 6, Zone: "b"},
		})
		c.SetEstimate(EndpointEstimate{Endpoint: "near", PrefillRate: 1, InterTokenLatency: 125 * time.Millisecond})
		c.SetEstimate(EndpointEstimate{Endpoint: "far", PrefillRate: 1, InterTokenLatency: 90 * time.Millisecond})
		for _, e := range c.endpoints {
			if e.ID == "far" {
				e.errorRate, e.errorRateUpdated = test.errorRate, time.Now()
			}
		}
		r := &GrantRequest{Request: "r", Zone: "a", FirstTokenTarget: 120 * time.Millisecond, Deadline: time.Now().Add(time.Minute)}
		qt.Assert(t, c.Submit(r), qt.IsTrue)
		qt.Check(t, r.Response.Endpoint, qt.Equals, test.want, qt.Commentf(fmt.Sprint(test)))
	}
}

// TestCallIsPassedOverBriefly checks that a call which is next in order waits for a place in its
// own zone while calls of the other zone can be granted, but no longer than maxPassedTime, and that
// a call of a lower tier is not granted before it.
func TestCallIsPassedOverBriefly(t *testing.T) {
	now := time.Now()
	pool := testPool()
	pool.Kind, pool.QueueRequests = ident.ApplicationRunner, 1<<20
	c := &Cell{ID: ident.CellID{Pool: pool.ID}, Pool: pool, Now: func() time.Time { return now }}
	c.Configure(pool, []EndpointSpec{{ID: "e", Kind: ident.ApplicationRunner, Slots: 1, Zone: "a"}})
	var granted []ident.RequestID
	submit := func(name ident.RequestID, tier ident.Tier, zone ident.AvailabilityZone) {
		r := &GrantRequest{Request: name, Tier: tier, Account: "x", Zone: zone, FirstTokenTarget: time.Hour, Deadline: now.Add(time.Hour)}
		r.Wake = func() { granted = append(granted, name) }
		if c.Submit(r) {
			granted = append(granted, name)
		}
		now = now.Add(time.Microsecond)
	}
	submit("first", 0, "a")
	submit("low", 1, "a")
	submit("far", 0, "b")
	for i := range 6 {
		submit(ident.RequestID(fmt.Sprint("near", i)), 0, "a")
	}
	for range 5 {
		c.Complete(granted[len(granted)-1], Completion{TimeToFirstToken: time.Millisecond, IsWhole: true})
		now = now.Add(maxPassedTime / 2)
	}
	qt.Check(t, granted, qt.DeepEquals, []ident.RequestID{"first", "near0", "near1", "far", "near2", "near3"})
}
