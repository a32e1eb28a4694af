package gate

import (
	"context"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/request/ident"
)

// try enters in the background and reports how it ended.
type try struct {
	leave   func()
	entered bool
	ended   bool
}

func enter(ctx context.Context, g *Gate, tier ident.Tier, bytes int64) *try {
	t := &try{}
	go func() {
		t.leave, t.entered = g.Enter(ctx, tier, bytes)
		t.ended = true
	}()
	synctest.Wait()
	return t
}

// TestOrder checks that the highest tier enters first and the lowest is
// refused first.
func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gate{Limits: func() Limits { return Limits{Open: 4, Bytes: 100} }}
		var inside []*try
		for range 4 {
			inside = append(inside, enter(t.Context(), g, 1, 10))
		}
		low := enter(t.Context(), g, 2, 10)
		qt.Assert(t, low.ended, qt.IsFalse)
		top := enter(t.Context(), g, 0, 10)
		qt.Assert(t, low.ended && !low.entered, qt.IsTrue)
		inside[0].leave()
		synctest.Wait()
		qt.Assert(t, top.entered, qt.IsTrue)
		qt.Assert(t, g.Open(), qt.Equals, 4)
	})
}

// TestHighestFirst checks that of those who wait the highest tier enters next.
func TestHighestFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gate{Limits: func() Limits { return Limits{Open: 8, Bytes: 100} }}
		var inside []*try
		for range 8 {
			inside = append(inside, enter(t.Context(), g, 1, 1))
		}
		low, top := enter(t.Context(), g, 2, 1), enter(t.Context(), g, 0, 1)
		qt.Assert(t, low.ended || top.ended, qt.IsFalse)
		inside[0].leave()
		synctest.Wait()
		qt.Assert(t, top.entered && !low.ended, qt.IsTrue)
		inside[1].leave()
		synctest.Wait()
		qt.Assert(t, low.entered, qt.IsTrue)
	})
}

// TestFloor checks that a tier is not refused while lower ones are open
// elsewhere.
func TestFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		may := false
		var pressed []ident.Tier
		g := &Gate{
			Limits:     func() Limits { return Limits{Open: 1, Bytes: 100} },
			CanShed:    func(ident.Tier) bool { return may },
			CloseLower: func(tier ident.Tier) { pressed = append(pressed, tier) },
		}
		enter(t.Context(), g, 0, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		first, second := enter(ctx, g, 0, 1), enter(ctx, g, 0, 1)
		qt.Assert(t, first.ended || second.ended, qt.IsFalse)
		qt.Assert(t, pressed, qt.DeepEquals, []ident.Tier{0})
		may = true
		third := enter(ctx, g, 0, 1)
		qt.Assert(t, third.ended && second.ended && !first.ended, qt.IsTrue)
	})
}

// TestBytes checks the bound on bodies, and that a body larger than it enters
// an empty node.
func TestBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gate{Limits: func() Limits { return Limits{Open: 9, Bytes: 100} }}
		large := enter(t.Context(), g, 0, 500)
		qt.Assert(t, large.entered, qt.IsTrue)
		ctx, cancel := context.WithCancel(t.Context())
		small, other := enter(ctx, g, 0, 1), enter(t.Context(), g, 0, 2)
		qt.Assert(t, small.ended, qt.IsFalse)
		cancel()
		synctest.Wait()
		qt.Assert(t, small.ended && !small.entered, qt.IsTrue)
		large.leave()
		synctest.Wait()
		qt.Assert(t, other.entered, qt.IsTrue)
	})
}
