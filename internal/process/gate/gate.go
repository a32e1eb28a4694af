// Package gate bounds what one entry node holds for its callers: open requests
// and the bytes of their bodies.
//
// A request that does not fit waits before its body is read, and the highest
// tier enters first. When too many wait, the lowest tier is refused first, and
// a tier is refused only when the lower ones are closed in the whole fleet, as
// in the cells.
//
// # Usage
//
//	g := &gate.Gate{Limits: limits}
//	leave, entered := g.Enter(ctx, tier, bodyBytes)
//	if entered {
//		defer leave()
//	}
package gate

import (
	"context"
	"sync"

	"goldcrestwick/internal/request/ident"
)

// waitingShare of the open requests may wait at the gate.
const waitingShare = 4

// Limits bounds a node.
type Limits struct {
	Open  int
	Bytes int64
}

// Gate admits requests to one node. Limits must be set; it is safe for
// concurrent use.
type Gate struct {
	Limits func() Limits
	// CanShed reports whether the tiers below are closed in the whole fleet;
	// nil allows it.
	CanShed func(ident.Tier) bool
	// CloseLower asks to close the tiers below the given one; nil asks nobody.
	CloseLower func(ident.Tier)

	mu      sync.Mutex
	open    int
	bytes   int64
	waiting [ident.MaxTiers][]*waiter
	queued  int
}

type waiter struct {
	bytes   int64
	decided chan struct{}
	entered bool
}

// Enter admits a request, at once or after a wait. It reports false when the
// request is refused or the context ended first.
func (g *Gate) Enter(ctx context.Context, tier ident.Tier, bytes int64) (leave func(), entered bool) {
	w := &waiter{bytes: max(bytes, 0), decided: make(chan struct{})}
	g.mu.Lock()
	g.waiting[tier] = append(g.waiting[tier], w)
	g.queued++
	g.admit()
	g.refuse()
	g.mu.Unlock()
	select {
	case <-w.decided:
	case <-ctx.Done():
		g.withdraw(tier, w)
	}
	if !w.entered {
		return nil, false
	}
	var once sync.Once
	return func() { once.Do(func() { g.leave(w) }) }, true
}

// admit lets waiting requests in, the highest tier first. A request that alone
// is larger than the limit enters an empty node.
func (g *Gate) admit() {
	l := g.Limits()
	for tier := range g.waiting {
		for len(g.waiting[tier]) > 0 {
			w := g.waiting[tier][0]
			if g.open >= l.Open || g.open > 0 && g.bytes+w.bytes > l.Bytes {
				return
			}
			g.waiting[tier] = g.waiting[tier][1:]
			g.queued--
			g.open++
			g.bytes += w.bytes
			w.entered = true
			close(w.decided)
		}
	}
}

// refuse turns the latest of the lowest waiting tier away while too many wait.
func (g *Gate) refuse() {
	for g.queued > max(g.Limits().Open/waitingShare, 1) {
		tier := g.lowest()
		if g.CloseLower != nil {
			g.CloseLower(tier)
		}
		if g.CanShed != nil && !g.CanShed(tier) {
			return
		}
		last := len(g.waiting[tier]) - 1
		w := g.waiting[tier][last]
		g.waiting[tier] = g.waiting[tier][:last]
		g.queued--
		close(w.decided)
	}
}

func (g *Gate) lowest() ident.Tier {
	for tier := len(g.waiting) - 1; tier > 0; tier-- {
		if len(g.waiting[tier]) > 0 {
			return ident.Tier(tier)
		}
	}
	return 0
}

// withdraw takes a request out whose context ended, unless it was decided
// meanwhile.
func (g *Gate) withdraw(tier ident.Tier, w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.waiting[tier] {
		if other == w {
			g.waiting[tier] = append(g.waiting[tier][:i], g.waiting[tier][i+1:]...)
			g.queued--
			return
		}
	}
}

func (g *Gate) leave(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.bytes -= w.bytes
	g.admit()
}

// Open returns the number of requests inside.
func (g *Gate) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}
