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

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/stand/cloud"
)

const seedCount = 200

var errLost = eris.New("response lost")

// table is the platform's table service with faults: a transaction can fail
// without effect, or be applied although its response is lost.
type table struct {
	mu            sync.Mutex
	platform      cloud.Platform
	isDown        bool
	loseResponses bool
	writes        int
}

func (tbl *table) transact(_ context.Context, checks []store.Check, writes []store.Write) (store.Result, error) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	if tbl.isDown {
		return store.Result{}, errLost
	}
	tbl.writes++
	var t cloud.Transaction
	for _, c := range checks {
		t.Checks = append(t.Checks, cloud.Check(c))
	}
	for _, w := range writes {
		t.Writes = append(t.Writes, cloud.Write{Table: w.Table, Key: w.Key, Value: w.Value})
	}
	r := tbl.platform.Apply(t)
	if tbl.loseResponses {
		return store.Result{}, errLost
	}
	result := store.Result{Applied: r.Applied}
	for _, c := range r.Conflicts {
		result.Conflicts = append(result.Conflicts, store.Row{Key: c.Key, Version: c.Version, Value: c.Value})
	}
	return result, nil
}

func (tbl *table) setFaults(isDown, loseResponses bool) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	tbl.isDown, tbl.loseResponses = isDown, loseResponses
}

func newClaim(n int, key string) Claim {
	return Claim{
		Key: Key{"team/a", key}, Request: ident.RequestID(fmt.Sprint("r", n)), Node: "n1",
		Token: fmt.Sprint("t", n), Digest: 7,
	}
}

// runWithCoordinators runs the given number of coordinators on one table, under
// fake time.
func runWithCoordinators(t *testing.T, coordinators int, run func(*testing.T, *table, []*Coordinator)) {
	synctest.Test(t, func(t *testing.T) {
		tbl := &table{}
		ctx, cancel := context.WithCancel(t.Context())
		var all []*Coordinator
		for range coordinators {
			c := &Coordinator{Transact: tbl.transact}
			all = append(all, c)
			go c.Run(ctx)
		}
		run(t, tbl, all)
		tbl.setFaults(false, false)
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
	})
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// TestSingleWinner checks that at most one claim of a key is won when several
// nodes all act as its coordinator while the table fails at random.
func TestSingleWinner(t *testing.T) {
	fmt.Println("seeds 1 to", seedCount)
	for seed := range uint64(seedCount) {
		runWithCoordinators(t, 3, func(t *testing.T, tbl *table, coordinators []*Coordinator) {
			random := rand.New(rand.NewPCG(seed+1, 0)) //nolint:gosec // tests must be reproducible.
			won := make([]int, 4)
			var mu sync.Mutex
			var running sync.WaitGroup
			for n := range 24 {
				key, coordinator := random.IntN(len(won)), coordinators[random.IntN(len(coordinators))]
				delay := time.Duration(random.IntN(2000)) * time.Millisecond
				running.Go(func() {
					time.Sleep(delay)
					if result := coordinator.Claim(withTimeout(t, 3*time.Second), newClaim(n, fmt.Sprint("k", key))); result.Outcome == Won {
						mu.Lock()
						defer mu.Unlock()
						won[key]++
					}
				})
			}
			for range 6 {
				time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
				tbl.setFaults(random.IntN(3) == 0, random.IntN(3) == 0)
			}
			running.Wait()
			for key, n := range won {
				qt.Assert(t, n <= 1, qt.IsTrue, qt.Commentf("seed %d: key %d was won %d times", seed+1, key, n))
			}
		})
	}
}

// TestLostResponse checks that a claim whose write was applied although the
// response was lost is recognized by its token.
func TestLostResponse(t *testing.T) {
	runWithCoordinators(t, 2, func(t *testing.T, tbl *table, coordinators []*Coordinator) {
		tbl.setFaults(false, true)
		go func() {
			time.Sleep(time.Second)
			tbl.setFaults(false, false)
		}()
		qt.Assert(t, coordinators[0].Claim(withTimeout(t, 5*time.Second), newClaim(1, "k")).Outcome, qt.Equals, Won)
		result := coordinators[1].Claim(withTimeout(t, 5*time.Second), newClaim(2, "k"))
		qt.Assert(t, result.Outcome, qt.Equals, Taken)
		qt.Assert(t, result.Request, qt.Equals, ident.RequestID("r1"))
	})
}

// TestStoreUnavailable checks that no claim is won while the table is down,
// except for an idempotent request whose key was created more than
// coordinatorAgeMargin after the node became coordinator.
func TestStoreUnavailable(t *testing.T) {
	runWithCoordinators(t, 1, func(t *testing.T, tbl *table, coordinators []*Coordinator) {
		coordinator := coordinators[0]
		since := time.Now()
		coordinator.Since = func() time.Time { return since }
		tbl.setFaults(true, false)
		time.Sleep(time.Minute)
		c := newClaim(1, "booking")
		c.Created = time.Now()
		qt.Assert(t, coordinator.Claim(withTimeout(t, 2*time.Second), c).Outcome, qt.Equals, Unknown)
		c = newClaim(2, "chat")
		c.Idempotent = true
		qt.Assert(t, coordinator.Claim(withTimeout(t, 2*time.Second), c).Outcome, qt.Equals, Unknown)
		c.Created = since.Add(-time.Second)
		qt.Assert(t, coordinator.Claim(withTimeout(t, 2*time.Second), c).Outcome, qt.Equals, Unknown)
		c.Created = time.Now()
		qt.Assert(t, coordinator.Claim(withTimeout(t, 2*time.Second), c).Outcome, qt.Equals, Won)
		retry := newClaim(3, "chat")
		retry.Idempotent, retry.Created = true, time.Now()
		qt.Assert(t, coordinator.Claim(withTimeout(t, 2*time.Second), retry).Outcome, qt.Equals, Taken)
	})
}

// TestOutcomes checks the outcomes of claims of one key: after a release, a new
// run and its stored answer, and for a request with another digest.
func TestOutcomes(t *testing.T) {
	runWithCoordinators(t, 2, func(t *testing.T, _ *table, coordinators []*Coordinator) {
		ctx := withTimeout(t, time.Minute)
		first := newClaim(1, "k")
		qt.Assert(t, coordinators[0].Claim(ctx, first).Outcome, qt.Equals, Won)
		qt.Assert(t, coordinators[0].Claim(ctx, first).Outcome, qt.Equals, Won, qt.Commentf("the same attempt claims again"))
		coordinators[0].Release(ctx, first.Key, first.Token)
		second := newClaim(2, "k")
		qt.Assert(t, coordinators[1].Claim(ctx, second).Outcome, qt.Equals, Won)
		coordinators[1].Settle(ctx, second.Key, second.Token, &Stored{Status: 201, Body: []byte("booked")})
		restarted := &Coordinator{Transact: coordinators[1].Transact}
		go restarted.Run(ctx)
		for _, c := range []*Coordinator{coordinators[1], restarted} {
			result := c.Claim(ctx, newClaim(3, "k"))
			qt.Assert(t, result.Outcome, qt.Equals, Settled)
			qt.Assert(t, string(result.Stored.Body), qt.Equals, "booked")
		}
		other := newClaim(4, "k")
		other.Digest = 8
		qt.Assert(t, coordinators[1].Claim(ctx, other).Outcome, qt.Equals, Reused)
	})
}

// TestBatching checks that 100 claims made at the same time need at most two
// transactions.
func TestBatching(t *testing.T) {
	runWithCoordinators(t, 1, func(t *testing.T, tbl *table, coordinators []*Coordinator) {
		var running sync.WaitGroup
		for n := range 100 {
			running.Go(func() {
				result := coordinators[0].Claim(withTimeout(t, time.Second), newClaim(n, fmt.Sprint("k", n)))
				qt.Check(t, result.Outcome, qt.Equals, Won)
			})
		}
		running.Wait()
		tbl.mu.Lock()
		defer tbl.mu.Unlock()
		qt.Assert(t, tbl.writes <= 2, qt.IsTrue, qt.Commentf("%d transactions", tbl.writes))
	})
}
