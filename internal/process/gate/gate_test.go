package gate

import (
	"context"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
)

// attempt is a call of Acquire in the background and its result.
type attempt struct {
	release  func()
	admitted bool
	returned bool
}

func startAcquire(ctx context.Context, g *Gate, tier ident.Tier, bytes int64) *attempt {
	a := &attempt{}
	go func() {
		a.release, a.admitted = g.Acquire(ctx, tier, bytes)
		a.returned = true
	}()
	synctest.Wait()
	return a
}

// TestShedsLowestTierFirst checks that the highest tier is admitted first and
// the lowest is shed first.
func TestShedsLowestTierFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gate{Limits: func() Limits { return Limits{OpenRequests: 4, BodyBytes: 100} }}
		var open []*attempt
		for range 4 {
			open = append(open, startAcquire(t.Context(), g, 1, 10))
		}
		low := startAcquire(t.Context(), g, 2, 10)
		qt.Assert(t, low.returned, qt.IsFalse)
		top := startAcquire(t.Context(), g, 0, 10)
		qt.Assert(t, low.returned && !low.admitted, qt.IsTrue)
		open[0].release()
		synctest.Wait()
		qt.Assert(t, top.admitted, qt.IsTrue)
		qt.Assert(t, g.OpenRequests(), qt.Equals, 4)
	})
}

// TestAdmitsHighestTierFirst checks that the highest waiting tier is admitted
// next.
func TestAdmitsHighestTierFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gate{Limits: func() Limits { return Limits{OpenRequests: 8, BodyBytes: 100} }}
		var open []*attempt
		for range 8 {
			open = append(open, startAcquire(t.Context(), g, 1, 1))
		}
		low, top := startAcquire(t.Context(), g, 2, 1), startAcquire(t.Context(), g, 0, 1)
		qt.Assert(t, low.returned || top.returned, qt.IsFalse)
		open[0].release()
		synctest.Wait()
		qt.Assert(t, top.admitted && !low.returned, qt.IsTrue)
		open[1].release()
		synctest.Wait()
		qt.Assert(t, low.admitted, qt.IsTrue)
	})
}

// TestShedsOnlyAfterLowerTiersClosed checks that a tier is not shed while lower
// tiers are open elsewhere.
func TestShedsOnlyAfterLowerTiersClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		canShed := false
		var closedBelow []ident.Tier
		g := &Gate{
			Limits:     func() Limits { return Limits{OpenRequests: 1, BodyBytes: 100} },
			CanShed:    func(ident.Tier) bool { return canShed },
			CloseLower: func(tier ident.Tier) { closedBelow = append(closedBelow, tier) },
		}
		startAcquire(t.Context(), g, 0, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		first, second := startAcquire(ctx, g, 0, 1), startAcquire(ctx, g, 0, 1)
		qt.Assert(t, first.returned || second.returned, qt.IsFalse)
		qt.Assert(t, closedBelow, qt.DeepEquals, []ident.Tier{0})
		canShed = true
		third := startAcquire(ctx, g, 0, 1)
		qt.Assert(t, third.returned && second.returned && !first.returned, qt.IsTrue)
	})
}

// TestBodyBytesLimit checks the limit on body bytes, and that a body over the
// limit is admitted when no other request is open.
func TestBodyBytesLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gate{Limits: func() Limits { return Limits{OpenRequests: 9, BodyBytes: 100} }}
		large := startAcquire(t.Context(), g, 0, 500)
		qt.Assert(t, large.admitted, qt.IsTrue)
		ctx, cancel := context.WithCancel(t.Context())
		small, other := startAcquire(ctx, g, 0, 1), startAcquire(t.Context(), g, 0, 2)
		qt.Assert(t, small.returned, qt.IsFalse)
		cancel()
		synctest.Wait()
		qt.Assert(t, small.returned && !small.admitted, qt.IsTrue)
		large.release()
		synctest.Wait()
		qt.Assert(t, other.admitted, qt.IsTrue)
	})
}
