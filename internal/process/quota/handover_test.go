package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
)

func isNotCoordinator(ident.ClientAccount) bool { return false }

// TestHandover checks that the next coordinator starts at the level that it was handed, so that
// an account within its limit is not refused at a change of coordinator, and that the previous
// one cannot grant the same tokens again.
func TestHandover(t *testing.T) {
	a := &config.Account{ID: "team/a", RequestsPerSecond: 10, TokensPerSecond: 1000, BurstTokens: 2000}
	var taken []Takeover
	first := &Coordinator{Since: func() time.Time { return start.Add(-time.Hour) }}
	second := &Coordinator{OnTakeover: func(t Takeover) { taken = append(taken, t) }}
	first.Acquire(a, AcquireRequest{Tokens: 500}, start)
	levels := first.Remove(isNotCoordinator, start)[a.ID]
	qt.Assert(t, levels, qt.Equals, Levels{Requests: Level{9, 10}, Tokens: Level{1500, 2000}})
	qt.Assert(t, first.Remove(isNotCoordinator, start), qt.HasLen, 0)
	second.Accept(a, levels, start)
	qt.Assert(t, taken, qt.DeepEquals, []Takeover{{"team/a", HandedOver, Level{1500, 2000}}})
	result, _ := second.Acquire(a, AcquireRequest{Tokens: 1500}, start)
	qt.Assert(t, result, qt.Equals, Admitted)
	result, _ = second.Acquire(a, AcquireRequest{Tokens: 1}, start)
	qt.Assert(t, result, qt.Equals, TokensLimit)

	// The account comes back to the first one without a message: its old bucket must be gone.
	first.Since = func() time.Time { return start }
	result, _ = first.Acquire(a, AcquireRequest{Tokens: 201}, start)
	qt.Assert(t, result, qt.Equals, TokensLimit)
}

// TestDebtIsHandedOver checks that a change of coordinator does not forgive the debt that a
// request larger than the burst left.
func TestDebtIsHandedOver(t *testing.T) {
	a := &config.Account{ID: "team/a", TokensPerSecond: 1000}
	first, second := &Coordinator{Since: func() time.Time { return start.Add(-time.Hour) }}, &Coordinator{}
	first.Acquire(a, AcquireRequest{Tokens: 5000}, start)
	second.Accept(a, first.Remove(isNotCoordinator, start)[a.ID], start)
	result, _ := second.Acquire(a, AcquireRequest{Tokens: 1}, start.Add(3900*time.Millisecond))
	qt.Assert(t, result, qt.Equals, TokensLimit)
	result, _ = second.Acquire(a, AcquireRequest{Tokens: 1}, start.Add(4100*time.Millisecond))
	qt.Assert(t, result, qt.Equals, Admitted)
}

// TestLateHandoverOnlyLowers checks that a level which comes after the first grant lowers the
// bucket to it and never raises it. The tokens may have been granted already.
func TestLateHandoverOnlyLowers(t *testing.T) {
	a := &config.Account{ID: "team/a", TokensPerSecond: 1000}
	for _, c := range []struct {
		level Level
		want  float64
	}{
		{Level{900, 1000}, 100},
		{Level{40, 1000}, 40},
		{Level{-70, 1000}, -70},
		// A node that reached a tenth of the fleet had a tenth of the limit.
		{Level{30, 100}, 100},
		{Level{-950, 100}, -50},
		{Level{math.NaN(), 1000}, 100},
		{Level{math.Inf(-1), 1000}, 100},
		{Level{}, 100},
	} {
		coordinator := &Coordinator{}
		coordinator.Acquire(a, AcquireRequest{}, start)
		coordinator.Accept(a, Levels{Tokens: c.level}, start)
		got := coordinator.Remove(isNotCoordinator, start)[a.ID]
		qt.Check(t, got.Tokens, qt.Equals, Level{c.want, 1000}, qt.Commentf("%v", c.level))
	}
	// A message without a valid level leaves a new bucket at the initial fill.
	coordinator := &Coordinator{}
	coordinator.Accept(a, Levels{Tokens: Level{math.NaN(), 1000}}, start)
	qt.Check(t, coordinator.Remove(isNotCoordinator, start)[a.ID].Tokens, qt.Equals, Level{100, 1000})
}

// TestRepeatedHandover checks that a message counts once, and not after a later one of its
// sender: the level in it may have been granted since.
func TestRepeatedHandover(t *testing.T) {
	var s Sequences
	qt.Check(t, s.IsNew("n", 5, 1), qt.IsTrue)
	qt.Check(t, s.IsNew("n", 5, 1), qt.IsFalse)
	qt.Check(t, s.IsNew("n", 5, 3), qt.IsTrue)
	qt.Check(t, s.IsNew("n", 5, 2), qt.IsFalse)
	qt.Check(t, s.IsNew("n", 6, 1), qt.IsTrue)
	qt.Check(t, s.IsNew("n", 5, 4), qt.IsFalse)
	qt.Check(t, s.IsNew("m", 1, 1), qt.IsTrue)
}

// TestStalledCoordinator checks that a bucket which filled up while its process was stalled does
// not grant its burst: another node may have coordinated the account meanwhile.
func TestStalledCoordinator(t *testing.T) {
	a := &config.Account{ID: "team/a", RequestsPerSecond: 100, TokensPerSecond: 1000}
	for _, c := range []struct {
		stall time.Duration
		want  float64
	}{{stallTime - time.Millisecond, 1000}, {stallTime, 100}} {
		for name, resume := range map[string]func(*Coordinator, time.Time){
			"beat":    (*Coordinator).Beat,
			"request": func(c *Coordinator, now time.Time) { c.Acquire(a, AcquireRequest{}, now) },
		} {
			coordinator := &Coordinator{Since: func() time.Time { return start.Add(-time.Hour) }}
			coordinator.Beat(start)
			coordinator.Acquire(a, AcquireRequest{Tokens: 100}, start)
			resume(coordinator, start.Add(c.stall))
			got := coordinator.Remove(isNotCoordinator, start.Add(c.stall))[a.ID]
			qt.Check(t, got.Tokens, qt.Equals, Level{c.want, 1000}, qt.Commentf("%s after %s", name, c.stall))
		}
	}
}

// TestRefusedAfterTakeover checks that tokens refused within two seconds after a takeover are
// counted, and later ones are not.
func TestRefusedAfterTakeover(t *testing.T) {
	a := &config.Account{ID: "team/a", TokensPerSecond: 1000}
	counted := ident.Tokens(0)
	coordinator := &Coordinator{OnRefusedAfterTakeover: func(n ident.Tokens) { counted += n }}
	coordinator.Acquire(a, AcquireRequest{Tokens: 400}, start)
	qt.Check(t, counted, qt.Equals, ident.Tokens(400))
	coordinator.Acquire(a, AcquireRequest{Tokens: 100, IsResumption: true}, start)
	coordinator.Acquire(a, AcquireRequest{Tokens: 4000}, start.Add(2*time.Second))
	qt.Check(t, counted, qt.Equals, ident.Tokens(400))
}

// TestHandoversKeepLimit replays an account that asks for several times its limit and whose
// coordinator changes again and again between four nodes. Messages are lost, late and
// repeated. What is admitted must not exceed the limit, but for the initial fill and what the rate adds to it
// at each change whose message did not come before the first request.
func TestHandoversKeepLimit(t *testing.T) {
	const perSecond, burst, seeds = 100_000.0, 200_000.0, 50
	a := &config.Account{ID: "a", TokensPerSecond: perSecond, BurstTokens: burst}
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 2))
		var nodes [4]*Coordinator
		var received [4]Sequences
		since, now := start, start
		isAccepting, initial := false, 0
		for i := range nodes {
			nodes[i] = &Coordinator{Since: func() time.Time { return since }, OnTakeover: func(t Takeover) {
				if t.Origin == InitialFill && !isAccepting {
					initial++
				}
			}}
		}
		type message struct {
			at       time.Time
			to       int
			sequence uint64
			levels   Levels
		}
		var messages []message
		current, used, sequence := 0, 0.0, uint64(0)
		change := func() {
			sequence++
			to := (current + 1 + random.IntN(3)) % len(nodes)
			levels, ok := nodes[current].Remove(isNotCoordinator, now)[a.ID]
			delay := time.Duration(random.IntN(30)) * time.Millisecond
			for range random.IntN(4) { // 0 is a lost message
				if ok {
					messages = append(messages, message{now.Add(delay), to, sequence, levels})
				}
				delay += time.Duration(random.IntN(3000)) * time.Millisecond
			}
			current, since = to, now
		}
		for ; now.Sub(start) < 30*time.Second; now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond) {
			if random.IntN(100) == 0 {
				change()
			}
			for _, m := range messages {
				if !m.at.After(now) && m.to == current && received[m.to].IsNew("n", 1, m.sequence) {
					isAccepting = true
					nodes[m.to].Accept(a, m.levels, now)
					isAccepting = false
				}
			}
			tokens := ident.Tokens(100 + random.IntN(8000))
			if result, _ := nodes[current].Acquire(a, AcquireRequest{Tokens: tokens}, now); result == Admitted {
				used += float64(tokens)
			}
		}
		// One token of rounding for each change.
		most := burst + perSecond*now.Sub(start).Seconds() + float64(initial)*(initialFill*burst+1) + float64(sequence)
		qt.Check(t, used <= most, qt.IsTrue, qt.Commentf("seed %d: %.0f tokens, %.0f allowed, %d of %d changes without a message", seed, used, most, initial, sequence))
	}
	t.Logf("seeds 0 to %d", seeds-1)
}
