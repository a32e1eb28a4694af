package quota

import (
	"fmt"
	"testing"
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
	k := &Keeper{Even: func() float64 { return 0.25 }}
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
	k := &Keeper{}
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
	k := &Keeper{}
	a := &config.Account{ID: "team/a", Concurrent: 2}
	leave, _, _ := k.Admit(t.Context(), a, 1, start)
	k.Admit(t.Context(), a, 1, start)
	_, verdict, _ := k.Admit(t.Context(), a, 1, start)
	qt.Assert(t, verdict, qt.Equals, ConcurrentLimit)
	leave()
	leave()
	_, verdict, _ = k.Admit(t.Context(), a, 1, start)
	qt.Assert(t, verdict, qt.Equals, Admitted)
	_, verdict, _ = k.Admit(t.Context(), a, 1, start)
	qt.Assert(t, verdict, qt.Equals, ConcurrentLimit)
}

// TestShares checks, for any demand, that the shares of all nodes add up to at
// most the limit once each was told anew, and that demand below it is met.
func TestShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := &Lender{}
		demands := rapid.SliceOfN(rapid.Float64Range(0, 2), 1, 12).Draw(rt, "demands")
		nodes := len(demands) + rapid.IntRange(0, 3).Draw(rt, "idle")
		var shares []float64
		for range 2 {
			shares = shares[:0]
			for i, d := range demands {
				shares = append(shares, l.Lend("team/a", ident.NodeID(fmt.Sprint(i)), d, nodes, start))
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
