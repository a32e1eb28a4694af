package quota

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/seeds"
	"goldcrestwick/internal/version/config"
)

func TestMain(m *testing.M) { seeds.Main(m) }

var start = time.Unix(1000, 0)

// TestInitialBurst checks that an account's first requests can use one second's
// worth of its share at once, and no more.
func TestInitialBurst(t *testing.T) {
	limiter := &Limiter{EqualShare: func() float64 { return 0.25 }}
	a := &config.Account{ID: "team/a", RequestsPerSecond: 40, TokensPerSecond: 4000}
	for range 10 {
		_, result, _ := limiter.Admit(t.Context(), a, 100, start)
		qt.Assert(t, result, qt.Equals, Admitted)
	}
	_, result, retryAfter := limiter.Admit(t.Context(), a, 100, start)
	qt.Assert(t, result, qt.Equals, RequestsLimit)
	qt.Assert(t, retryAfter, qt.Equals, 100*time.Millisecond)
	_, result, _ = limiter.Admit(t.Context(), a, 100, start.Add(100*time.Millisecond))
	qt.Assert(t, result, qt.Equals, Admitted)
}

// TestRequestLargerThanBurst checks that a request larger than the bucket is
// admitted when the bucket is full, and leaves the bucket in debt.
func TestRequestLargerThanBurst(t *testing.T) {
	limiter := &Limiter{}
	a := &config.Account{ID: "team/a", TokensPerSecond: 1000}
	_, result, _ := limiter.Admit(t.Context(), a, 3000, start)
	qt.Assert(t, result, qt.Equals, Admitted)
	_, result, _ = limiter.Admit(t.Context(), a, 1, start.Add(1900*time.Millisecond))
	qt.Assert(t, result, qt.Equals, TokensLimit)
	_, result, _ = limiter.Admit(t.Context(), a, 1, start.Add(2100*time.Millisecond))
	qt.Assert(t, result, qt.Equals, Admitted)
}

// admitted returns how many requests of one token an account may start at once.
func admitted(t *testing.T, l *Limiter, a *config.Account, now time.Time) (n int) {
	for {
		if _, result, _ := l.Admit(t.Context(), a, 1, now); result != Admitted {
			return n
		}
		n++
	}
}

// TestClearShares replays a fleet that grows after shares were allocated: an account
// then gets the equal share again, not one of a small fleet.
func TestClearShares(t *testing.T) {
	nodes := 4.0
	limiter := &Limiter{EqualShare: func() float64 { return 1 / nodes }}
	a := &config.Account{ID: "team/a", TokensPerSecond: 400}
	qt.Check(t, admitted(t, limiter, a, start), qt.Equals, 100)
	limiter.SetShare(a.ID, 0.5)
	nodes = 40
	limiter.ClearShares()
	limiter.Admit(t.Context(), a, 1, start.Add(time.Second))
	qt.Check(t, admitted(t, limiter, a, start.Add(10*time.Second)), qt.Equals, 10)
}

// TestBurstChange checks that a change of the burst alone takes effect.
func TestBurstChange(t *testing.T) {
	limiter := &Limiter{}
	a := &config.Account{ID: "team/a", TokensPerSecond: 100, BurstTokens: 50}
	qt.Check(t, admitted(t, limiter, a, start), qt.Equals, 50)
	a.BurstTokens = 20
	limiter.Admit(t.Context(), a, 1, start.Add(time.Second))
	qt.Check(t, admitted(t, limiter, a, start.Add(10*time.Second)), qt.Equals, 20)
}

// TestConcurrentLimit checks the limit on requests in flight.
func TestConcurrentLimit(t *testing.T) {
	limiter := &Limiter{}
	a := &config.Account{ID: "team/a", ConcurrentRequests: 2}
	release, _, _ := limiter.Admit(t.Context(), a, 1, start)
	limiter.Admit(t.Context(), a, 1, start)
	_, result, _ := limiter.Admit(t.Context(), a, 1, start)
	qt.Assert(t, result, qt.Equals, ConcurrentLimit)
	release(true)
	release(false)
	_, result, _ = limiter.Admit(t.Context(), a, 1, start)
	qt.Assert(t, result, qt.Equals, Admitted)
	_, result, _ = limiter.Admit(t.Context(), a, 1, start)
	qt.Assert(t, result, qt.Equals, ConcurrentLimit)
}

// TestAllocatedShares checks, for any demand, that the shares of all nodes add up
// to at most the limit once each node has received a new share, and that a total
// demand below the limit is met.
func TestAllocatedShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := &Allocator{}
		demands := rapid.SliceOfN(rapid.Float64Range(0, 2), 1, 12).Draw(rt, "demands")
		nodes := len(demands) + rapid.IntRange(0, 3).Draw(rt, "idle")
		var shares []float64
		for range 2 {
			shares = shares[:0]
			for i, d := range demands {
				shares = append(shares, l.Allocate("team/a", ident.NodeID(fmt.Sprint(i)), d, nodes, start))
			}
		}
		sum, total := 0.0, 0.0
		for i := range shares {
			sum += shares[i]
			total += demands[i]
		}
		if sum > 1.000001 {
			rt.Fatalf("the shares add up to %v, more than 1", sum)
		}
		for i := range shares {
			if total <= 1 && shares[i] < demands[i]-0.000001 {
				rt.Fatalf("a demand of %v got a share of %v although the total demand is %v", demands[i], shares[i], total)
			}
		}
	})
}

// TestWindowLimitAcrossCoordinators checks, for any sequence of requests and one
// change of coordinator, that the tokens admitted in any 8 s window stay within
// the limit plus its tolerance of 10%.
func TestWindowLimitAcrossCoordinators(t *testing.T) {
	const window = 8 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		a := &config.Account{ID: "team/a", TokensPerSecond: 1000, BurstTokens: 1000}
		changeAt := time.Duration(rapid.IntRange(0, 16000).Draw(rt, "changeAt")) * time.Millisecond
		first := &Coordinator{Since: func() time.Time { return start.Add(-time.Hour) }}
		second := &Coordinator{Since: func() time.Time { return start.Add(changeAt) }}
		var at []time.Duration
		var tokens []float64
		now := time.Duration(0)
		for now < 16*time.Second {
			now += time.Duration(rapid.IntRange(1, 300).Draw(rt, "interval")) * time.Millisecond
			coordinator := first
			if now >= changeAt {
				coordinator = second
			}
			n := rapid.IntRange(1, 900).Draw(rt, "tokens")
			if result, _ := coordinator.Acquire(a, AcquireRequest{Tokens: ident.Tokens(n)}, start.Add(now)); result == Admitted {
				at, tokens = append(at, now), append(tokens, float64(n))
			}
		}
		for i, from := range at {
			sum := 0.0
			for j := i; j < len(at) && at[j] < from+window; j++ {
				sum += tokens[j]
			}
			if allowed := (a.TokensPerSecond*window.Seconds() + a.BurstTokens) * 1.1; sum > allowed {
				rt.Fatalf("%.0f tokens in 8 s from %s, allowed %.0f", sum, from, allowed)
			}
		}
	})
}

// TestFallbackToShare checks that the coordinator's result applies, and that the
// node's own share, which starts almost empty, is used only when the coordinator
// cannot be reached.
func TestFallbackToShare(t *testing.T) {
	a := &config.Account{ID: "team/a", TokensPerSecond: 1000}
	isReachable := true
	limiter := &Limiter{Acquire: func(context.Context, *config.Account, AcquireRequest) (Result, time.Duration, bool) {
		return TokensLimit, time.Second, isReachable
	}}
	_, result, retryAfter := limiter.Admit(t.Context(), a, 100, start)
	qt.Assert(t, result, qt.Equals, TokensLimit)
	qt.Assert(t, retryAfter, qt.Equals, time.Second)
	isReachable = false
	_, result, _ = limiter.Admit(t.Context(), a, 100, start)
	qt.Assert(t, result, qt.Equals, Admitted)
	_, result, _ = limiter.Admit(t.Context(), a, 100, start)
	qt.Assert(t, result, qt.Equals, TokensLimit)
	_, result, _ = limiter.Admit(t.Context(), a, 100, start.Add(200*time.Millisecond))
	qt.Assert(t, result, qt.Equals, Admitted)
}

// TestRefund checks that a request that did not run is refunded, whichever bucket
// it was charged to, and that one that ran is not.
func TestRefund(t *testing.T) {
	a := &config.Account{ID: "team/a", RequestsPerSecond: 100, TokensPerSecond: 1000, BurstTokens: 1000}
	coordinator := &Coordinator{Since: func() time.Time { return start }}
	for name, acquire := range map[string]func(context.Context, *config.Account, AcquireRequest) (Result, time.Duration, bool){
		"own share": nil,
		"coordinator": func(_ context.Context, a *config.Account, req AcquireRequest) (Result, time.Duration, bool) {
			result, retryAfter := coordinator.Acquire(a, req, time.Now())
			return result, retryAfter, true
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			limiter := &Limiter{Acquire: acquire}
			admit := func(tokens ident.Tokens) (Release, Result) {
				release, result, _ := limiter.Admit(t.Context(), a, tokens, time.Now())
				return release, result
			}
			for range 5 {
				release, result := admit(900)
				qt.Assert(t, result, qt.Equals, Admitted, qt.Commentf(name))
				_, result = admit(500)
				qt.Assert(t, result, qt.Equals, TokensLimit, qt.Commentf(name))
				release(false)
				release(false)
			}
			// A request that the second limit refuses is not charged to the first.
			release, _ := admit(900)
			for range 200 {
				_, result := admit(500)
				qt.Assert(t, result, qt.Equals, TokensLimit, qt.Commentf(name))
			}
			release(true)
			_, result := admit(500)
			qt.Assert(t, result, qt.Equals, TokensLimit, qt.Commentf(name))
			// Tokens acquired longer than refundTTL ago are not refunded: the bucket has refilled.
			time.Sleep(time.Minute)
			release, _ = admit(900)
			time.Sleep(time.Second)
			release(false)
			_, result = admit(1000)
			qt.Assert(t, result, qt.Equals, Admitted, qt.Commentf(name))
			_, result = admit(100)
			qt.Assert(t, result, qt.Equals, TokensLimit, qt.Commentf(name))
		})
	}
}

// TestWindowLimitWithRefunds checks, for any sequence of requests of which some
// don't run, that the tokens of those that run in any 8 s window stay within the
// limit plus its tolerance of 10%.
func TestWindowLimitWithRefunds(t *testing.T) {
	const window = 8 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		a := &config.Account{ID: "team/a", TokensPerSecond: 1000, BurstTokens: float64(rapid.IntRange(100, 4000).Draw(rt, "burst"))}
		coordinator := &Coordinator{Since: func() time.Time { return start.Add(-time.Hour) }}
		type pendingRequest struct {
			endsAt     time.Duration
			tokens     ident.Tokens
			acquiredAt time.Duration
		}
		var pendingRequests []pendingRequest
		var at []time.Duration
		var ran []float64
		now := time.Duration(0)
		for now < 20*time.Second {
			now += time.Duration(rapid.IntRange(1, 100).Draw(rt, "interval")) * time.Millisecond
			var refund Refund
			pendingRequests = slices.DeleteFunc(pendingRequests, func(p pendingRequest) bool {
				if p.endsAt > now {
					return false
				}
				if now-p.acquiredAt < refundTTL {
					refund.Requests++
					refund.Tokens += p.tokens
				}
				return true
			})
			n := ident.Tokens(rapid.IntRange(1, 900).Draw(rt, "tokens"))
			result, _ := coordinator.Acquire(a, AcquireRequest{Tokens: n, Refund: refund}, start.Add(now))
			switch {
			case result != Admitted:
			case rapid.Bool().Draw(rt, "runs"):
				at, ran = append(at, now), append(ran, float64(n))
			default:
				residence := time.Duration(rapid.IntRange(0, 800).Draw(rt, "residence")) * time.Millisecond
				pendingRequests = append(pendingRequests, pendingRequest{now + residence, n, now})
			}
		}
		for i, from := range at {
			sum := 0.0
			for j := i; j < len(at) && at[j] < from+window; j++ {
				sum += ran[j]
			}
			if allowed := (a.TokensPerSecond*window.Seconds() + a.BurstTokens) * 1.1; sum > allowed {
				rt.Fatalf("%.0f tokens in 8 s from %s, allowed %.0f", sum, from, allowed)
			}
		}
	})
}
