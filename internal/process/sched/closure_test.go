package sched

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
)

// TestShortQueueKeepsTiersClosed replays calls of two tiers to the last endpoint of a small
// service, whose higher tier sends in bursts. It needs a fifth of the endpoint, but a surge
// of two seconds has the lower tier closed. Taking the rate of the higher tier alone
// for that of the endpoint keeps the lower tier closed for each of the short queues that
// follow, with the endpoint idle most of the time.
func TestShortQueueKeepsTiersClosed(t *testing.T) {
	const (
		seed      = 20261204
		slots     = 6
		work      = 20 * time.Millisecond // 300 calls a second
		burst     = 20
		usualRate = 60.0
		surgeRate = 600.0
		surge     = 2 * time.Second
		lowRate   = 260.0
		target    = 120 * time.Millisecond
		deadline  = 1500 * time.Millisecond
		closeTime = 3 * time.Second
		duration  = 20 * time.Second
	)
	t.Logf("seed %d", seed)
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 0))
		var closedUntil time.Time
		isClosed := func() bool { return time.Now().Before(closedUntil) }
		cell := &Cell{
			CanShed: func(tier ident.Tier) bool { return tier > 0 || isClosed() },
			Admits:  func(tier ident.Tier) bool { return tier == 0 || !isClosed() },
			CloseLower: func(tier ident.Tier, _ CloseCause) {
				if tier == 0 {
					closedUntil = time.Now().Add(closeTime)
				}
			},
		}
		pool := &config.Pool{Kind: ident.ApplicationRunner, QueueRequests: 1000, QueueTokens: 1 << 30}
		cell.Configure(pool, []EndpointSpec{{ID: "a", Kind: ident.ApplicationRunner, Slots: slots}})
		var served [2]atomic.Int32
		offered, sequence := [2]int{}, 0
		submit := func(tier ident.Tier) {
			sequence++
			offered[tier]++
			took := time.Duration((0.5 + random.Float64()) * float64(work))
			r := &GrantRequest{
				Request: ident.RequestID(string(rune('a'+int(tier))) + time.Now().String() + string(rune(sequence))),
				Tier:    tier, Account: "team/a", Weight: 1, Deadline: time.Now().Add(deadline), FirstTokenTarget: target,
			}
			run := func() {
				if r.Response.Outcome != Granted {
					return
				}
				served[tier].Add(1)
				time.AfterFunc(took, func() {
					cell.FirstToken(r.Request)
					cell.Complete(r.Request, Completion{IsWhole: true, TimeToFirstToken: work})
				})
			}
			r.Wake = run
			if cell.Submit(r) {
				run()
			}
		}
		start := time.Now()
		nextHigh, nextLow := start, start
		highRate := func() float64 {
			if time.Since(start) < surge {
				return surgeRate
			}
			return usualRate
		}
		for tick := start; time.Since(start) < duration; {
			next := nextHigh
			if nextLow.Before(next) {
				next = nextLow
			}
			if tick.Before(next) {
				next = tick
			}
			time.Sleep(time.Until(next))
			switch next {
			case nextHigh:
				for range burst {
					submit(0)
				}
				nextHigh = next.Add(time.Duration(random.ExpFloat64() * burst / highRate() * float64(time.Second)))
			case nextLow:
				submit(1)
				nextLow = next.Add(time.Duration(random.ExpFloat64() / lowRate * float64(time.Second)))
			default:
				cell.Tick()
				tick = next.Add(100 * time.Millisecond)
			}
		}
		time.Sleep(deadline)
		t.Logf("served %d of %d of the higher tier, %d of %d of the lower one", served[0].Load(), offered[0], served[1].Load(), offered[1])
		// After the surge and one closure the endpoint has room for 200 calls a second of the
		// lower tier.
		room := 200 * (duration - surge - closeTime).Seconds()
		qt.Check(t, float64(served[1].Load()) >= 0.8*room, qt.IsTrue, qt.Commentf("room for %.0f", room))
	})
}

// TestNeedsClosed checks which waiting requests keep the lower tiers closed: those that have
// waited for a part of their whole target or, if they have none, of the time to their deadline. One
// that no open endpoint may run keeps none: a closure would stay without use.
func TestNeedsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := &Cell{}
		pool := testPool()
		release := ident.Release("2")
		cell.Configure(pool, []EndpointSpec{{ID: "a", Slots: 1}, {ID: "b", Slots: 1, Release: release}})
		suspendedEndpoint := cell.byID["b"]
		suspendedEndpoint.health, suspendedEndpoint.probeAt = suspended, time.Now().Add(time.Hour)
		submit := func(name ident.RequestID, tier ident.Tier, target time.Duration) {
			cell.Submit(&GrantRequest{Request: name, Tier: tier, Deadline: time.Now().Add(2 * pool.FirstTokenTarget), FirstTokenTarget: target, FullTarget: 4 * target})
		}
		submit("running", 0, 0)
		submit("without target", 0, 0)
		submit("late", 2, pool.FirstTokenTarget/2)
		cell.Submit(&GrantRequest{Request: "bound", Tier: 1, Deadline: time.Now().Add(2 * pool.FirstTokenTarget), FirstTokenTarget: pool.FirstTokenTarget, Release: &release})
		cell.Submit(&GrantRequest{Request: "avoids all", Tier: 1, Deadline: time.Now().Add(2 * pool.FirstTokenTarget), FirstTokenTarget: pool.FirstTokenTarget, Avoid: []ident.Endpoint{"a"}})
		start := time.Now()
		for _, test := range []struct {
			after time.Duration
			want  [3]bool
		}{
			{pool.FirstTokenTarget / 5, [3]bool{}},
			{pool.FirstTokenTarget * 3 / 10, [3]bool{}},
			{pool.FirstTokenTarget * 11 / 20, [3]bool{0: true, 2: true}},
		} {
			time.Sleep(time.Until(start.Add(test.after)))
			needs := cell.NeedsClosed()
			qt.Check(t, [3]bool(needs[:3]), qt.Equals, test.want, qt.Commentf("after %v", test.after))
		}
	})
}

// TestGroupChangeBeginsBacklogAnew guards against an underflow of the grants since a backlog began:
// when the settings add a lower class to the class's group, its grants no longer count.
func TestGroupChangeBeginsBacklogAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := &Cell{}
		pool := testPool()
		endpoints := []EndpointSpec{{ID: "a", Slots: 1}}
		cell.Configure(pool, endpoints)
		for _, tier := range []ident.Tier{1, 0} {
			cell.Submit(&GrantRequest{Request: ident.RequestID(string(rune('a' + tier))), Tier: tier, Deadline: time.Now().Add(time.Hour)})
		}
		qt.Assert(t, cell.classStats[0].grantedBefore, qt.Equals, uint64(1))
		grouped := *pool
		grouped.Team = &config.Team{Tiers: []*config.Tier{{GroupEnd: 1}, {Rank: 1}}}
		time.Sleep(time.Second)
		cell.Configure(&grouped, endpoints)
		qt.Check(t, cell.grantedFrom(0)-cell.classStats[0].grantedBefore, qt.Equals, uint64(0))
		qt.Check(t, cell.classStats[0].backlogSince, qt.Equals, time.Now())
	})
}
