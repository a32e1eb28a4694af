package sched

import (
	"time"

	"goldcrestwick/internal/process/ident"
)

const (
	// holdFraction is the fraction of its useful wait for which a request may have waited and still
	// be held for an engine at which it pauses no streams.
	holdFraction = 0.5
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

// addAwaited adds an open endpoint without room below its limit.
func (w *gapRoom) addAwaited(c *Cell, e *endpoint, r *GrantRequest, uncached ident.Tokens, now time.Time) {
	allowance := c.streamGapAllowance(e)
	if allowance == 0 || e.health != healthy || e.prefillTime(uncached) > allowance {
		return
	}
	w.hasAwaited = true
	if e.hasCapacity(r.charge, e.externalLoadAt(now)) && !e.isAtLimit(now) && (w.toReserve == nil || e.prefillTime(e.backlog) < w.toReserve.prefillTime(w.toReserve.backlog)) {
		w.toReserve = e
	}
}

// mayHoldForGap reports whether a request waits for an endpoint at which its prompt pauses no
// streams, rather than be granted at best.
func (c *Cell) mayHoldForGap(r *GrantRequest, best *endpoint, uncached ident.Tokens, w *gapRoom, now time.Time) bool {
	if w.hasQuiet || !w.hasAwaited || r.Release != nil || r == c.mustGrantPausing || c.heldForGap >= maxHeldForGap || !c.wouldPause(best, uncached) {
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

// maxHold returns the wait after which a request is not held for an engine at which it pauses no
// streams.
func (c *Cell) maxHold(r *GrantRequest) time.Duration {
	target := c.firstTokenTarget(r)
	return time.Duration(holdFraction * float64(max(target-c.classStats[r.class].timeToFirstToken, time.Duration(minWaitFraction*float64(target)))))
}

// isHeldForGap reports whether the request was held in the last round for an engine at which it
// pauses no streams.
func (c *Cell) isHeldForGap(r *GrantRequest) bool { return r.gapRound == c.round && c.round > 0 }

// first returns the account's first request in order that was not held for an engine in this round,
// or nil.
func (a *accountQueue) first(round uint64) *GrantRequest {
	if len(a.heap) == 0 || a.heap[0].gapRound != round {
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

// grantHeldForGap grants a request that is held for an engine at which it pauses no streams, and
// reports whether it did. The cell calls it before it sheds that request.
func (c *Cell) grantHeldForGap(r *GrantRequest, now time.Time) bool {
	if r == nil || !c.isHeldForGap(r) {
		return false
	}
	c.mustGrantPausing = r
	c.grantWaiting(now)
	c.mustGrantPausing = nil
	return r.Response.Outcome == Granted
}
