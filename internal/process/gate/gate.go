// Package gate limits the open requests of one entry node and the total size of
// their bodies.
//
// A request over the limits is queued before its body is read, and the highest
// tier is admitted first. When the queue is too long, the lowest tier is shed
// first. As in the cells, a tier is shed only if all lower tiers are closed in
// the whole fleet.
//
// # Usage
//
//	g := &gate.Gate{Limits: limits}
//	release, admitted := g.Acquire(ctx, tier, bodyBytes)
//	if admitted {
//		defer release()
//	}
package gate

import (
	"context"
	"sync"

	"goldcrestwick/internal/process/ident"
)

// maxWaitingDivisor is the limit of open requests divided by the limit of waiting
// requests.
const maxWaitingDivisor = 4

// Limits holds the limits of a node: the number of open requests and the total
// size of their bodies in bytes.
type Limits struct {
	OpenRequests int
	BodyBytes    int64
}

// Gate admits requests to one node. Limits must be set before use. It is safe for
// concurrent use.
type Gate struct {
	Limits func() Limits
	// CanShed reports whether all lower tiers are closed in the whole fleet;
	// nil means that every tier can be shed.
	CanShed func(ident.Tier) bool
	// CloseLower requests to close the tiers below the given one; nil does
	// nothing.
	CloseLower func(ident.Tier)

	mu           sync.Mutex
	open         int
	openBytes    int64
	waiting      [ident.MaxTiers][]*waiter
	waitingCount int
}

type waiter struct {
	bytes    int64
	decided  chan struct{}
	admitted bool
}

// Acquire waits until a request is admitted. It returns false if the request is
// shed or ctx is done first. The caller must call release when an admitted
// request ends.
func (g *Gate) Acquire(ctx context.Context, tier ident.Tier, bytes int64) (release func(), admitted bool) {
	w := &waiter{bytes: max(bytes, 0), decided: make(chan struct{})}
	g.mu.Lock()
	g.waiting[tier] = append(g.waiting[tier], w)
	g.waitingCount++
	g.admitWaiting()
	g.shedExcess()
	g.mu.Unlock()
	select {
	case <-w.decided:
	case <-ctx.Done():
		g.removeWaiter(tier, w)
	}
	if !w.admitted {
		return nil, false
	}
	var once sync.Once
	return func() { once.Do(func() { g.release(w) }) }, true
}

// admitWaiting admits waiting requests, the highest tier first. A request that
// alone exceeds the byte limit is admitted when no other request is open.
func (g *Gate) admitWaiting() {
	l := g.Limits()
	for tier := range g.waiting {
		for len(g.waiting[tier]) > 0 {
			w := g.waiting[tier][0]
			if g.open >= l.OpenRequests || g.open > 0 && g.openBytes+w.bytes > l.BodyBytes {
				return
			}
			g.waiting[tier] = g.waiting[tier][1:]
			g.waitingCount--
			g.open++
			g.openBytes += w.bytes
			w.admitted = true
			close(w.decided)
		}
	}
}

// shedExcess sheds the latest request of the lowest waiting tier while too many
// requests wait and that tier can be shed. It requests to close lower tiers first.
// It runs on each Acquire only, so the excess stays queued until then.
func (g *Gate) shedExcess() {
	for g.waitingCount > max(g.Limits().OpenRequests/maxWaitingDivisor, 1) {
		tier := g.lowestWaitingTier()
		if g.CloseLower != nil {
			g.CloseLower(tier)
		}
		if g.CanShed != nil && !g.CanShed(tier) {
			return
		}
		last := len(g.waiting[tier]) - 1
		w := g.waiting[tier][last]
		g.waiting[tier] = g.waiting[tier][:last]
		g.waitingCount--
		close(w.decided)
	}
}

func (g *Gate) lowestWaitingTier() ident.Tier {
	for tier := len(g.waiting) - 1; tier > 0; tier-- {
		if len(g.waiting[tier]) > 0 {
			return ident.Tier(tier)
		}
	}
	return 0
}

// removeWaiter removes a request whose context is done from the queue, unless it
// was admitted or shed meanwhile. Requests that it blocked are admitted on the next
// Acquire or release.
func (g *Gate) removeWaiter(tier ident.Tier, w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.waiting[tier] {
		if other == w {
			g.waiting[tier] = append(g.waiting[tier][:i], g.waiting[tier][i+1:]...)
			g.waitingCount--
			return
		}
	}
}

func (g *Gate) release(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.openBytes -= w.bytes
	g.admitWaiting()
}

// OpenRequests returns the number of open requests.
func (g *Gate) OpenRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}
