package sched

import (
	"time"

	"goldcrestwick/internal/process/ident"
)

const (
	// holdFraction is the fraction of its useful wait for which a request may have waited and still
	// be held for an engine at which it pauses no streams. The rest leaves time to find a place
	// before the request is refused; the useful wait is that of a prompt of the class's usual
	// length. docs/design/23-holding-long-prompts.md compares other fractions.
	holdFraction = 0.75
	// maxHeldForGap bounds, for each round, the requests that are held for such an engine. Each
	// costs a pass over the endpoints.
	maxHeldForGap = 32
)

// gapRoom is what a request finds whose prompt may pause streams.
type gapRoom struct {
	// hasQuiet is set if an endpoint below its limit has room, and the prompt pauses no streams
	// there.
	hasQuiet bool
	// hasAwaited is set if the prompt would pause none at another open endpoint once that one has a
	// place for it, and toReserve is the one of these with a free slot and the least backlog.
	hasAwaited bool
	toReserve  *endpoint
}

// wouldPause reports whether an engine's streams would pause for longer than their event gap
// target allows if it got the prompt now.
func (c *Cell) wouldPause(e *endpoint, uncached ident.Tokens) bool {
	allowance := c.eventGapAllowance(e)
	return allowance > 0 && e.prefillTime(e.backlog+uncached) > allowance
}

// addAwaited adds an open endpoint that has no room below its limit, or is reserved.
func (w *gapRoom) addAwaited(c *Cell, e *endpoint, r *GrantRequest, now time.Time) {
	allowance := c.streamGapAllowance(e)
	if allowance == 0 || e.health != healthy || e.prefillTime(c.uncachedTokens(r, e)) > allowance {
		return
	}
	w.hasAwaited = true
	if e.reservedRound == c.round {
		return
	}
	if e.hasCapacity(r.charge, e.externalLoadAt(now)) && !e.isAtLimit(now) && (w.toReserve == nil || e.prefillTime(e.backlog) < w.toReserve.prefillTime(w.toReserve.backlog)) {
		w.toReserve = e
	}
}

// mayHoldForGap reports whether a request waits for an endpoint at which its prompt pauses no
// streams, rather than be granted at best.
func (c *Cell) mayHoldForGap(r *GrantRequest, best *endpoint, uncached ident.Tokens, w *gapRoom, now time.Time) bool {
	if w.hasQuiet || !w.hasAwaited || r.Release != nil || r.isHoldOver || c.heldForGap >= maxHeldForGap || !c.wouldPause(best, uncached) {
		return false
	}
	until := r.arrived.Add(c.maxHold(r))
	if !now.Before(until) {
		return false
	}
	if c.gapUntil.IsZero() || until.Before(c.gapUntil) {
		c.gapUntil = until
	}
	return true
}

// mustYieldToHeld reports whether a request that would pause streams at best has to let one go first
// that is held, which comes before it in order. That one then uses the place, since streams pause in
// any case.
func (c *Cell) mustYieldToHeld(r *GrantRequest, best *endpoint, uncached ident.Tokens) bool {
	return c.heldForGap > 0 && r.Release == nil && c.wouldPause(best, uncached)
}

// maxHold returns the wait after which a request is not held for an engine at which it pauses no
// streams.
func (c *Cell) maxHold(r *GrantRequest) time.Duration {
	target := c.firstTokenTarget(r)
	return time.Duration(holdFraction * float64(max(target-c.classStats[r.class].timeToFirstToken, time.Duration(minWaitFraction*float64(target)))))
}

// addHeldForGap records that a request is held in this round.
func (c *Cell) addHeldForGap(r *GrantRequest) {
	if c.heldForGap == 0 {
		c.firstHeldForGap = r
	}
	c.heldForGap++
	r.gapRound, r.wasHeldForGap = c.round, true
}

// isHeldForGap reports whether the request was held in the last round for an engine at which it
// pauses no streams.
func (c *Cell) isHeldForGap(r *GrantRequest) bool { return r.gapRound == c.round && c.round > 0 }

// first returns the account's first request in order that was not held for an engine in this round,
// or nil. There must be one that waits.
func (a *accountQueue) first(round uint64) *GrantRequest {
	if a.heap[0].gapRound != round {
		return a.heap[0]
	}
	var first *GrantRequest
	for _, r := range a.heap {
		if r.gapRound != round && (first == nil || r.precedes(first)) {
			first = r
		}
	}
	return first
}

// grantHeldForGap grants a request that is held for an engine at which it pauses no streams, or others
// that are held before it, and reports whether it granted one. The cell calls it before it sheds the
// request, which has no room anywhere if it is neither granted nor held afterwards.
func (c *Cell) grantHeldForGap(r *GrantRequest, now time.Time) bool {
	if r == nil || !c.isHeldForGap(r) {
		return false
	}
	sequence := c.grantSequence
	r.isHoldOver = true
	c.grantWaiting(now)
	return c.grantSequence > sequence
}

// recheckHeldForGap looks again at the requests that are held for engines, one of which may not
// be open any more.
func (c *Cell) recheckHeldForGap() {
	if c.heldForGap > 0 {
		c.grantWaiting(c.now())
	}
}
