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

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/stand/seeds"
	"goldcrestwick/internal/version/config"
)

func TestMain(m *testing.M) { seeds.Main(m) }

var start = time.Unix(1000, 0)

// TestFirstRequests checks that an account can use a second of its share at
// once from the first request on, and no more.
func TestFirstRequests(t *testing.T) {
	k := &Limiter{EqualShare: func() float64 { return 0.25 }}
	a := &config.Account{ID: "team/a", Requests: 40, Tokens: 4000}
	for range 10 {
		_, verdict, _ := k.Admit(t.Context(), a, 100, start)
		qt.Assert(t, verdict, qt.Equals, Admitted)
	}
	_, verdict, retry := k.Admit(t.Context(), a, 100, start)
	qt.Assert(t, verdict, qt.Equals, RequestsLimit)
	qt.Assert(t, retry, qt.Equals, 100*time.Millisecond)
	_, verdict, _ = k.Admit(t.Context(), a, 100, start.Add(100*time.Millisecond))
	qt.Assert(t, verdict, qt.Equals, Admitted)
}

// TestLargeRequest checks that a request larger than the bucket passes when
// the bucket is full and leaves a debt.
func TestLargeRequest(t *testing.T) {
	k := &Limiter{}
	a := &config.Account{ID: "team/a", Tokens: 1000}
	_, verdict, _ := k.Admit(t.Context(), a, 3000, start)
	qt.Assert(t, verdict, qt.Equals, Admitted)
	_, verdict, _ = k.Admit(t.Context(), a, 1, start.Add(1900*time.Millisecond))
	qt.Assert(t, verdict, qt.Equals, TokensLimit)
	_, verdict, _ = k.Admit(t.Context(), a, 1, start.Add(2100*time.Millisecond))
	qt.Assert(t, verdict, qt.Equals, Admitted)
}

// TestConcurrent checks the limit on requests in flight.
func TestConcurrent(t *testing.T) {
	k := &Limiter{}
	a := &config.Account{ID: "team/a", Concurrent: 2}
	leave, _, _ := k.Admit(t.Context(), a, 1, start)
	k.Admit(t.Context(), a, 1, start)
	_, verdict, _ := k.Admit(t.Context(), a, 1, start)
	qt.Assert(t, verdict, qt.Equals, ConcurrentLimit)
	leave(true)
	leave(false)
	_, verdict, _ = k.Admit(t.Context(), a, 1, start)
	qt.Assert(t, verdict, qt.Equals, Admitted)
	_, verdict, _ = k.Admit(t.Context(), a, 1, start)
	qt.Assert(t, verdict, qt.Equals, ConcurrentLimit)
}

// TestShares checks, for any demand, that the shares of all nodes add up to at
// most the limit once each was told anew, and that demand below it is met.
func TestShares(t *testing.T) {
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
		sum, asked := 0.0, 0.0
		for i := range shares {
			sum += shares[i]
			asked += demands[i]
		}
		if sum > 1.000001 {
			rt.Fatalf("the shares add up to %v", sum)
		}
		for i := range shares {
			if asked <= 1 && shares[i] < demands[i]-0.000001 {
				rt.Fatalf("a demand of %v got %v although all ask for %v", demands[i], shares[i], asked)
			}
		}
	})
}

// TestCentralWindow checks, for any course of requests at homes that follow
// each other, that no window holds more than the limit and its tolerance of a
// tenth allow for one change of home.
func TestCentralWindow(t *testing.T) {
	const window = 8 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		a := &config.Account{ID: "team/a", Tokens: 1000, BurstTokens: 1000}
		move := time.Duration(rapid.IntRange(0, 16000).Draw(rt, "move")) * time.Millisecond
		first := &Coordinator{Since: func() time.Time { return start.Add(-time.Hour) }}
		second := &Coordinator{Since: func() time.Time { return start.Add(move) }}
		var at []time.Duration
		var tokens []float64
		now := time.Duration(0)
		for now < 16*time.Second {
			now += time.Duration(rapid.IntRange(1, 300).Draw(rt, "pause")) * time.Millisecond
			home := first
			if now >= move {
				home = second
			}
			n := rapid.IntRange(1, 900).Draw(rt, "tokens")
			if verdict, _ := home.Take(a, AcquireRequest{Tokens: ident.Tokens(n)}, start.Add(now)); verdict == Admitted {
				at, tokens = append(at, now), append(tokens, float64(n))
			}
		}
		for i, from := range at {
			sum := 0.0
			for j := i; j < len(at) && at[j] < from+window; j++ {
				sum += tokens[j]
			}
			if allowed := (a.Tokens*window.Seconds() + a.BurstTokens) * 1.1; sum > allowed {
				rt.Fatalf("%.0f tokens in 8 s from %s, allowed %.0f", sum, from, allowed)
			}
		}
	})
}

// TestDraw checks that the home decides, and the node's own share, which starts
// almost empty, only where the home cannot be asked.
func TestDraw(t *testing.T) {
	a := &config.Account{ID: "team/a", Tokens: 1000}
	known := true
	k := &Limiter{Acquire: func(context.Context, *config.Account, AcquireRequest) (Result, time.Duration, bool) {
		return TokensLimit, time.Second, known
	}}
	_, verdict, retry := k.Admit(t.Context(), a, 100, start)
	qt.Assert(t, verdict, qt.Equals, TokensLimit)
	qt.Assert(t, retry, qt.Equals, time.Second)
	known = false
	_, verdict, _ = k.Admit(t.Context(), a, 100, start)
	qt.Assert(t, verdict, qt.Equals, Admitted)
	_, verdict, _ = k.Admit(t.Context(), a, 100, start)
	qt.Assert(t, verdict, qt.Equals, TokensLimit)
	_, verdict, _ = k.Admit(t.Context(), a, 100, start.Add(200*time.Millisecond))
	qt.Assert(t, verdict, qt.Equals, Admitted)
}

// TestGiveBack checks that a request that did not run costs the account
// nothing, whichever bucket it was drawn from, and one that ran does.
func TestGiveBack(t *testing.T) {
	a := &config.Account{ID: "team/a", Requests: 100, Tokens: 1000, BurstTokens: 1000}
	home := &Coordinator{Since: func() time.Time { return start }}
	for name, draw := range map[string]func(context.Context, *config.Account, AcquireRequest) (Result, time.Duration, bool){
		"own share": nil,
		"home": func(_ context.Context, a *config.Account, ask AcquireRequest) (Result, time.Duration, bool) {
			verdict, retry := home.Take(a, ask, time.Now())
			return verdict, retry, true
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			k := &Limiter{Acquire: draw}
			admit := func(tokens ident.Tokens) (Release, Result) {
				release, verdict, _ := k.Admit(t.Context(), a, tokens, time.Now())
				return release, verdict
			}
			for range 5 {
				release, verdict := admit(900)
				qt.Assert(t, verdict, qt.Equals, Admitted, qt.Commentf(name))
				_, verdict = admit(500)
				qt.Assert(t, verdict, qt.Equals, TokensLimit, qt.Commentf(name))
				release(false)
				release(false)
			}
			// Nor does one that a second limit refuses count for the first.
			release, _ := admit(900)
			for range 200 {
				_, verdict := admit(500)
				qt.Assert(t, verdict, qt.Equals, TokensLimit, qt.Commentf(name))
			}
			release(true)
			_, verdict := admit(500)
			qt.Assert(t, verdict, qt.Equals, TokensLimit, qt.Commentf(name))
			// What was taken long ago is not given back: the bucket has filled.
			time.Sleep(time.Minute)
			release, _ = admit(900)
			time.Sleep(time.Second)
			release(false)
			_, verdict = admit(1000)
			qt.Assert(t, verdict, qt.Equals, Admitted, qt.Commentf(name))
			_, verdict = admit(100)
			qt.Assert(t, verdict, qt.Equals, TokensLimit, qt.Commentf(name))
		})
	}
}

// TestWindowWithUnused checks, for any course of requests of which some don't
// run, that what runs in any window stays within the limit and its tolerance
// of a tenth.
func TestWindowWithUnused(t *testing.T) {
	const window = 8 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		a := &config.Account{ID: "team/a", Tokens: 1000, BurstTokens: float64(rapid.IntRange(100, 4000).Draw(rt, "burst"))}
		home := &Coordinator{Since: func() time.Time { return start.Add(-time.Hour) }}
		type pending struct {
			until  time.Duration
			tokens ident.Tokens
			drawn  time.Duration
		}
		var waiting []pending
		var at []time.Duration
		var ran []float64
		now := time.Duration(0)
		for now < 20*time.Second {
			now += time.Duration(rapid.IntRange(1, 100).Draw(rt, "pause")) * time.Millisecond
			var back Refund
			waiting = slices.DeleteFunc(waiting, func(p pending) bool {
				if p.until > now {
					return false
				}
				if now-p.drawn < backLife {
					back.Requests++
					back.Tokens += p.tokens
				}
				return true
			})
			n := ident.Tokens(rapid.IntRange(1, 900).Draw(rt, "tokens"))
			verdict, _ := home.Take(a, AcquireRequest{Tokens: n, Refund: back}, start.Add(now))
			switch {
			case verdict != Admitted:
			case rapid.Bool().Draw(rt, "runs"):
				at, ran = append(at, now), append(ran, float64(n))
			default:
				stays := time.Duration(rapid.IntRange(0, 800).Draw(rt, "stays")) * time.Millisecond
				waiting = append(waiting, pending{now + stays, n, now})
			}
		}
		for i, from := range at {
			sum := 0.0
			for j := i; j < len(at) && at[j] < from+window; j++ {
				sum += ran[j]
			}
			if allowed := (a.Tokens*window.Seconds() + a.BurstTokens) * 1.1; sum > allowed {
				rt.Fatalf("%.0f tokens in 8 s from %s, allowed %.0f", sum, from, allowed)
			}
		}
	})
}
