package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/stand/cloud"
)

const seeds = 200

var errLost = eris.New("no answer")

// table is the platform's table with faults: a transaction may be refused, or
// take effect although its answer is lost.
type table struct {
	mu       sync.Mutex
	platform cloud.Platform
	down     bool
	lose     bool
	writes   int
}

func (b *table) transact(_ context.Context, checks []store.Check, writes []store.Write) (store.Result, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return store.Result{}, errLost
	}
	b.writes++
	var t cloud.Transaction
	for _, c := range checks {
		t.Checks = append(t.Checks, cloud.Check(c))
	}
	for _, w := range writes {
		t.Writes = append(t.Writes, cloud.Write{Table: w.Table, Key: w.Key, Value: w.Value})
	}
	r := b.platform.Apply(t)
	if b.lose {
		return store.Result{}, errLost
	}
	result := store.Result{Applied: r.Applied}
	for _, c := range r.Conflicts {
		result.Conflicts = append(result.Conflicts, store.Row{Key: c.Key, Version: c.Version, Value: c.Value})
	}
	return result, nil
}

func (b *table) set(down, lose bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down, b.lose = down, lose
}

func claimOf(n int, key string) Claim {
	return Claim{
		Key: Key{"team/a", key}, Request: ident.RequestID(fmt.Sprint("r", n)), Node: "n1",
		Token: fmt.Sprint("t", n), Digest: 7,
	}
}

// inBubble runs homes over one table under fake time.
func inBubble(t *testing.T, homes int, run func(*testing.T, *table, []*Coordinator)) {
	synctest.Test(t, func(t *testing.T) {
		b := &table{}
		ctx, cancel := context.WithCancel(t.Context())
		var all []*Coordinator
		for range homes {
			h := &Coordinator{Transact: b.transact}
			all = append(all, h)
			go h.Run(ctx)
		}
		run(t, b, all)
		b.set(false, false)
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
	})
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// TestOneWinner lets several homes, which all believe to be home, decide
// claims of the same keys while the table fails at random.
func TestOneWinner(t *testing.T) {
	fmt.Println("seeds 1 to", seeds)
	for seed := range uint64(seeds) {
		inBubble(t, 3, func(t *testing.T, b *table, homes []*Coordinator) {
			random := rand.New(rand.NewPCG(seed+1, 0)) //nolint:gosec // a test must be repeatable.
			won := make([]int, 4)
			var mu sync.Mutex
			var running sync.WaitGroup
			for n := range 24 {
				key, home := random.IntN(len(won)), homes[random.IntN(len(homes))]
				wait := time.Duration(random.IntN(2000)) * time.Millisecond
				running.Go(func() {
					time.Sleep(wait)
					if v := home.Claim(within(t, 3*time.Second), claimOf(n, fmt.Sprint("k", key))); v.Outcome == Won {
						mu.Lock()
						defer mu.Unlock()
						won[key]++
					}
				})
			}
			for range 6 {
				time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
				b.set(random.IntN(3) == 0, random.IntN(3) == 0)
			}
			running.Wait()
			for key, n := range won {
				qt.Assert(t, n <= 1, qt.IsTrue, qt.Commentf("seed %d: key %d was won %d times", seed+1, key, n))
			}
		})
	}
}

// TestLostAnswer checks that a claim whose write took effect is found again by
// its token.
func TestLostAnswer(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, b *table, homes []*Coordinator) {
		b.set(false, true)
		go func() {
			time.Sleep(time.Second)
			b.set(false, false)
		}()
		qt.Assert(t, homes[0].Claim(within(t, 5*time.Second), claimOf(1, "k")).Outcome, qt.Equals, Won)
		v := homes[1].Claim(within(t, 5*time.Second), claimOf(2, "k"))
		qt.Assert(t, v.Outcome, qt.Equals, Taken)
		qt.Assert(t, v.Request, qt.Equals, ident.RequestID("r1"))
	})
}

// TestStoreDown checks that without the table nothing is won, but for an
// idempotent request whose key is younger than the home's tenure.
func TestStoreDown(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, b *table, homes []*Coordinator) {
		home := homes[0]
		since := time.Now()
		home.Tenure = func() time.Time { return since }
		b.set(true, false)
		time.Sleep(time.Minute)
		c := claimOf(1, "booking")
		c.Created = time.Now()
		qt.Assert(t, home.Claim(within(t, 2*time.Second), c).Outcome, qt.Equals, Unsure)
		c = claimOf(2, "chat")
		c.Idempotent = true
		qt.Assert(t, home.Claim(within(t, 2*time.Second), c).Outcome, qt.Equals, Unsure)
		c.Created = since.Add(-time.Second)
		qt.Assert(t, home.Claim(within(t, 2*time.Second), c).Outcome, qt.Equals, Unsure)
		c.Created = time.Now()
		qt.Assert(t, home.Claim(within(t, 2*time.Second), c).Outcome, qt.Equals, Won)
		again := claimOf(3, "chat")
		again.Idempotent, again.Created = true, time.Now()
		qt.Assert(t, home.Claim(within(t, 2*time.Second), again).Outcome, qt.Equals, Taken)
	})
}

// TestOutcomes walks a key through release, a new run, its stored answer and a
// request for something else.
func TestOutcomes(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, _ *table, homes []*Coordinator) {
		ctx := within(t, time.Minute)
		first := claimOf(1, "k")
		qt.Assert(t, homes[0].Claim(ctx, first).Outcome, qt.Equals, Won)
		qt.Assert(t, homes[0].Claim(ctx, first).Outcome, qt.Equals, Won, qt.Commentf("the same attempt asks again"))
		homes[0].Release(ctx, first.Key, first.Token)
		second := claimOf(2, "k")
		qt.Assert(t, homes[1].Claim(ctx, second).Outcome, qt.Equals, Won)
		homes[1].Settle(ctx, second.Key, second.Token, &Stored{Status: 201, Body: []byte("booked")})
		fresh := &Coordinator{Transact: homes[1].Transact}
		go fresh.Run(ctx)
		for _, h := range []*Coordinator{homes[1], fresh} {
			v := h.Claim(ctx, claimOf(3, "k"))
			qt.Assert(t, v.Outcome, qt.Equals, Settled)
			qt.Assert(t, string(v.Stored.Body), qt.Equals, "booked")
		}
		other := claimOf(4, "k")
		other.Digest = 8
		qt.Assert(t, homes[1].Claim(ctx, other).Outcome, qt.Equals, Reused)
	})
}

// TestGrouping checks that the claims of a short while share a transaction.
func TestGrouping(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, b *table, homes []*Coordinator) {
		var running sync.WaitGroup
		for n := range 100 {
			running.Go(func() {
				v := homes[0].Claim(within(t, time.Second), claimOf(n, fmt.Sprint("k", n)))
				qt.Check(t, v.Outcome, qt.Equals, Won)
			})
		}
		running.Wait()
		b.mu.Lock()
		defer b.mu.Unlock()
		qt.Assert(t, b.writes <= 2, qt.IsTrue, qt.Commentf("%d transactions", b.writes))
	})
}
