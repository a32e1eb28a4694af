package budget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestwick/internal/stand/seeds"
	"goldcrestwick/internal/stand/skew"
	"goldcrestwick/internal/version/config"
)

func TestMain(m *testing.M) { seeds.Main(m) }

// TestFleetLimit checks that the retries of the whole fleet stay within the limit
// in every window, for random requests and failures on one to nine nodes.
func TestFleetLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := config.RetryBudget{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}
		nodes := rapid.IntRange(1, 9).Draw(rt, "nodes")
		budgets := make([]Budget, nodes)
		for i := range budgets {
			budgets[i] = Budget{Limit: limit, NodeCount: func() int { return nodes }}
		}
		start := time.Unix(1_000_000, 0)
		var requests, retries []time.Duration
		at := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(rt, "requests") {
			at += time.Duration(rapid.IntRange(0, 200).Draw(rt, "pause")) * time.Millisecond
			b := &budgets[rapid.IntRange(0, nodes-1).Draw(rt, "node")]
			b.RecordRequest("p", start.Add(at))
			requests = append(requests, at)
			if rapid.Bool().Draw(rt, "fails") && b.TakeRetry("p", start.Add(at)) {
				retries = append(retries, at)
			}
		}
		within := func(all []time.Duration, from, to time.Duration) int {
			n := 0
			for _, d := range all {
				if d >= from && d < to {
					n++
				}
			}
			return n
		}
		for _, from := range retries {
			to := from + limit.Window
			most := max(within(requests, from, to), within(requests, from-limit.Window, from))
			allowed := limit.Ratio*float64(most) + limit.Extra
			if n := within(retries, from, to); float64(n) > allowed {
				rt.Fatalf("%d retries in the window from %s, allowed %.0f", n, from, allowed)
			}
		}
	})
}

// TestExtraWithoutRequests checks that the fixed number alone allows its usable
// share of retries and no more.
func TestExtraWithoutRequests(t *testing.T) {
	b := Budget{Limit: config.RetryBudget{Extra: 10, Window: 10 * time.Second}, NodeCount: func() int { return 1 }}
	now := time.Unix(1_000_000, 0)
	allowed := 0
	for range 100 {
		if b.TakeRetry("p", now) {
			allowed++
		}
	}
	qt.Assert(t, allowed, qt.Equals, int(usableShare*10))
	qt.Assert(t, b.TakeRetry("p", now.Add(11*time.Second)), qt.IsTrue)
}

// TestWallClockStep checks that a step of the wall clock neither adds nor removes
// retries.
func TestWallClockStep(t *testing.T) {
	for _, step := range []time.Duration{-time.Minute, -3 * time.Second, 3 * time.Second, time.Minute} {
		b := Budget{Limit: config.RetryBudget{Extra: 100, Window: 10 * time.Second}, NodeCount: func() int { return 1 }}
		now := time.Now()
		for range 50 {
			qt.Assert(t, b.TakeRetry("p", now), qt.IsTrue)
		}
		allowed := 50
		for b.TakeRetry("p", skew.ShiftWallClock(now.Add(time.Second), step)) {
			allowed++
		}
		qt.Check(t, allowed, qt.Equals, int(usableShare*100), qt.Commentf("step %s", step))
		qt.Check(t, b.TakeRetry("p", skew.ShiftWallClock(now.Add(11*time.Second), step)), qt.IsTrue, qt.Commentf("step %s", step))
	}
}

// TestSetLimitKeepsCounts checks that retries taken before SetLimit count towards
// the new limit.
func TestSetLimitKeepsCounts(t *testing.T) {
	b := Budget{Limit: config.RetryBudget{Extra: 100, Window: 10 * time.Second}, NodeCount: func() int { return 1 }}
	now := time.Now()
	for range 30 {
		qt.Assert(t, b.TakeRetry("p", now), qt.IsTrue)
	}
	b.SetLimit(config.RetryBudget{Extra: 40, Window: time.Second})
	qt.Assert(t, b.TakeRetry("p", now.Add(2*time.Second)), qt.IsFalse)
	b.SetLimit(config.RetryBudget{Extra: 60})
	qt.Assert(t, b.TakeRetry("p", now.Add(2*time.Second)), qt.IsTrue)
}
