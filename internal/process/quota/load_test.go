package quota

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
)

// TestLargeRequestsStarvedOverLimit replays an account that asks for several times its
// limit, with sizes that differ a hundredfold. The largest tenth of its requests must be
// admitted at least half as often as all of them, and the account must get its limit.
func TestLargeRequestsStarvedOverLimit(t *testing.T) {
	const seed, perSecond, duration = 20261204, 100_000, 30 * time.Second
	const meanTokens, spread, maxTokens = 1800, 1.3, 6870
	type request struct {
		tokens   ident.Tokens
		admitted bool
	}
	for _, load := range []float64{1.5, 2, 4} {
		random := rand.New(rand.NewPCG(seed, 0))
		c := &Coordinator{}
		a := &config.Account{ID: "a", TokensPerSecond: perSecond, BurstTokens: 2 * perSecond}
		start := time.Unix(1000, 0)
		var requests []request
		var used ident.Tokens
		for now := start; now.Sub(start) < duration; {
			now = now.Add(time.Duration(random.ExpFloat64() * meanTokens / perSecond / load * float64(time.Second)))
			size := min(max(meanTokens*math.Exp(spread*random.NormFloat64()-spread*spread/2), 1), maxTokens)
			r := request{tokens: ident.Tokens(size)}
			result, _ := c.Acquire(a, AcquireRequest{Tokens: r.tokens}, now)
			if r.admitted = result == Admitted; r.admitted {
				used += r.tokens
			}
			requests = append(requests, r)
		}
		slices.SortFunc(requests, func(a, b request) int { return int(a.tokens - b.tokens) })
		share := func(part []request) float64 {
			admitted := len(slices.DeleteFunc(slices.Clone(part), func(r request) bool { return !r.admitted }))
			return float64(admitted) / float64(len(part))
		}
		all, largest := share(requests), share(requests[len(requests)*9/10:])
		t.Logf("seed %d, %.1f times the limit: %.2f admitted, of the largest tenth %.2f, %d tokens", seed, load, all, largest, used)
		qt.Check(t, largest >= all/2, qt.IsTrue, qt.Commentf("%.1f times the limit", load))
		qt.Check(t, float64(used) >= 0.95*perSecond*duration.Seconds(), qt.IsTrue, qt.Commentf("%d tokens", used))
	}
}

// TestSlowCoordinatorDoublesLimit replays a coordinator that answers every second request in
// time. An account that asks for several times its limit must get no more than the limit and
// the tolerated tenth, whichever bucket its requests are charged to.
func TestSlowCoordinatorDoublesLimit(t *testing.T) {
	const seed, perSecond, nodes, window = 20261204, 100_000, 6, 8 * time.Second
	random := rand.New(rand.NewPCG(seed, 0))
	coordinator := &Coordinator{}
	a := &config.Account{ID: "a", TokensPerSecond: perSecond, BurstTokens: perSecond}
	now := time.Unix(1000, 0)
	var limiters []*Limiter
	for range nodes {
		limiters = append(limiters, &Limiter{
			EqualShare: func() float64 { return 1.0 / nodes },
			Acquire: func(_ context.Context, a *config.Account, req AcquireRequest) (Result, time.Duration, bool) {
				if random.IntN(2) == 0 {
					return "", 0, false
				}
				result, retryAfter := coordinator.Acquire(a, req, now)
				return result, retryAfter, true
			},
		})
	}
	var used ident.Tokens
	for start := now; now.Sub(start) < window; now = now.Add(time.Millisecond) {
		tokens := ident.Tokens(100 + random.IntN(800))
		if _, result, _ := limiters[random.IntN(nodes)].Admit(t.Context(), a, tokens, now); result == Admitted {
			used += tokens
		}
	}
	t.Logf("seed %d: %d tokens", seed, used)
	qt.Check(t, float64(used) <= 1.1*perSecond*(window.Seconds()+1), qt.IsTrue, qt.Commentf("%d tokens", used))
}
