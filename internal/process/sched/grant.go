package sched

import (
	"cmp"
	"slices"
	"time"

	"goldcrestwick/internal/process/adapt"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/prefix"
)

// grant is a granted request that has not ended.
type grant struct {
	node     ident.NodeID
	class    ident.Tier
	endpoint *endpoint
	charge   ident.Tokens
	// uncached and cached are the prompt tokens expected to be computed and to
	// be found in the endpoint's cache.
	uncached ident.Tokens
	cached   ident.Tokens
	// backlogAhead is the endpoint's backlog when the request was granted.
	backlogAhead ident.Tokens
	grantedAt    time.Time
	// span is the start of the request for the endpoint's load.
	span adapt.Span
	// isPrefillDone is set when the first token has come; the request then no
	// longer counts in the endpoint's backlog.
	isPrefillDone bool
	firstTokenAt  time.Time
	// isAdopted is set on requests that another node's cell granted; their
	// completions may be reported to that node.
	isAdopted bool
	prefix    []ident.Fingerprint
	traits    []ident.Trait
	// stream is that of the grant request, and release that of the endpoint when the
	// request was granted.
	stream  ident.RequestID
	release ident.Release
	route   string
	// deadline is that of the grant request.
	deadline time.Time
	// isOrphaned is set while the entry node does not respond.
	isOrphaned bool
	// isAnswerReported is set when the answer was reported to Cell.Answered.
	isAnswerReported bool
	// number is the grant's number within the cell, 0 if isAdopted is set. A request has
	// several grants one after the other if its attempts fail.
	number uint64
}

// targets are a pool's latency targets.
type targets struct{ firstToken, interToken time.Duration }

func (c *Cell) targets() targets { return targets{c.Pool.FirstTokenTarget, c.Pool.InterTokenTarget} }

func (c *Cell) finishPrefill(g *grant) {
	if !g.isPrefillDone {
		g.isPrefillDone = true
		g.endpoint.backlog = max(g.endpoint.backlog-g.uncached, 0)
		g.endpoint.generating++
	}
}

// releaseGrant releases the capacity of a grant that has ended. Completion is nil if it is
// not known how.
func (c *Cell) releaseGrant(g *grant, completion *Completion) {
	c.finishPrefill(g)
	if g.isOrphaned {
		g.setOrphaned(false)
	}
	g.endpoint.generating = max(g.endpoint.generating-1, 0)
	g.endpoint.removeGrant(g.charge)
	g.endpoint.recordTransit(g, completion, c.now())
	g.endpoint.endLoad(g.span, completion, c.now())
}

// recordCompletion updates the prefix index and the estimates of the endpoint
// from a completed request.
func (c *Cell) recordCompletion(g *grant, completion Completion, now time.Time) {
	slot := g.endpoint.prefixSlot
	isCacheUseKnown := completion.Cached+completion.Uncached > 0
	switch {
	case completion.Unused || completion.Failed || completion.Refused:
		c.prefixes.Trim(g.prefix, slot, 0)
	case !isCacheUseKnown:
		// The endpoint does not report its cache hits; use the estimate.
		completion.Cached, completion.Uncached = g.cached, g.uncached
	case completion.Cached+prefix.BlockTokens < g.cached:
		c.prefixes.ShrinkCapacity(slot)
	case g.cached > 0:
		c.prefixes.GrowCapacity(slot)
	}
	if completion.Unused || completion.Cancelled || completion.Refused && !completion.Failed {
		return
	}
	g.endpoint.updateErrorRate(completion.Failed || completion.Erred, now)
	if completion.Failed && !slices.Contains(g.endpoint.failedAt, g.node) {
		g.endpoint.failedAt = append(g.endpoint.failedAt, g.node)
	}
	wasSuspended := g.endpoint.health == suspended
	g.endpoint.updateEstimates(completion, g.backlogAhead, c.targets(), now)
	if e := g.endpoint; e.health == suspended && !wasSuspended && c.Suspended != nil {
		c.Suspended(Suspended{e.EndpointSpec, e.suspension, e.consecutiveFailures, e.failedAt})
	}
	c.detectStraggler(g.endpoint, now)
}

func (c *Cell) chargeOf(r *GrantRequest) ident.Tokens {
	if c.Pool.Kind == ident.ApplicationRunner {
		return callCharge
	}
	return r.Prompt + r.Output + requestCharge
}

// grantWaiting grants requests while any fits an endpoint: class groups from
// the highest, and accounts by their share. If the first request of an account
// fits no endpoint, it reserves the one with the most free window, so that
// smaller requests and those of lower classes cannot starve it.
func (c *Cell) grantWaiting(now time.Time) {
	c.round++
	c.held, c.heldForGap = 0, 0
	if c.isPaused || c.isClosed {
		return
	}
	if c.Policy == FirstComeFirstServed {
		c.grantWaitingFCFS(now)
	}
	if c.Policy != Fair {
		return
	}
	c.limitsFrom = 0
	for c.grantRound(now) {
	}
	c.scheduleCheck(now)
}

// grantRound grants what fits. It returns true if a request must exceed an endpoint's
// limit while requests of a higher group are held back at the limits. These then go first:
// it has set limitsFrom so that the limits do not apply to them in the next round. It returns true as
// well if a request must pause streams while one before it is held for that reason.
func (c *Cell) grantRound(now time.Time) bool {
	c.round++
	c.held, c.holdUntil = 0, time.Time{}
	c.heldForGap, c.gapUntil = 0, time.Time{}
	skipped := 0
	for first := ident.Tier(0); first < ident.MaxTiers; first = c.groupEnd[first] + 1 {
		if c.hasTierLimit && first > c.tierLimit {
			return false
		}
		heldAbove := c.held
		for skipped < maxSkippedAccounts {
			class, account, ok := c.nextInGroup(first, c.groupEnd[first])
			if !ok {
				break
			}
			r := account.first(c.round)
			if r == nil {
				account.skippedRound = c.round
				continue
			}
			result := c.tryGrant(r, heldAbove > 0, now)
			switch result {
			case isHeldForGap:
				c.addHeldForGap(r)
				continue
			case yieldsToHeld:
				c.firstHeldForGap.isHoldOver = true
				return true
			case exceedsLimit:
				c.limitsFrom = first
				return true
			default:
			}
			if result == granted {
				c.queues[class].serve(c.served, account)
				c.classStats[class].decay(now)
				c.classStats[class].grants++
				c.classStats[class].granted++
				continue
			}
			account.skippedRound = c.round
			if result == isHeld {
				r.heldRound = c.round
				c.held++
				continue
			}
			if account.isResumption {
				c.skipRelease(*account.heap[0].Release)
				continue
			}
			skipped++
		}
	}
	return false
}

// attemptResult is the result of the attempt to grant a request.
type attemptResult uint8

const (
	// fitsNone: no endpoint has capacity.
	fitsNone attemptResult = iota
	granted
	// isHeld: the endpoints with capacity are at their limits, and the request can wait.
	isHeld
	// exceedsLimit: they are, and the request cannot wait, but others have to go first.
	exceedsLimit
	// isHeldForGap: its prompt would pause streams at the endpoints with capacity, and the request
	// can wait for another one.
	isHeldForGap
	// yieldsToHeld: it would pause streams, and a request before it is held for the same reason.
	yieldsToHeld
)

// tryGrant grants the request if an endpoint has capacity for it. If none has, it
// reserves an endpoint for this round. Endpoints at their limits are used if no other one
// has capacity and the request cannot wait; hasHeldAbove says that requests of a higher
// group wait for a place below a limit.
func (c *Cell) tryGrant(r *GrantRequest, hasHeldAbove bool, now time.Time) attemptResult {
	c.prefixes.Find(r.Prefix, &c.prefixMatch)
	if r.Release != nil {
		if c.rollout.isSealedFor(*r.Release) {
			return fitsNone
		}
		return c.tryGrantAt(anyRelease, r, hasHeldAbove, now)
	}
	// A request that has no room at the target in its turn is not held up there.
	if c.rollout.isTargetsTurn() && c.tryGrantAt(targetRelease, r, hasHeldAbove, now) == granted {
		return granted
	}
	return c.tryGrantAt(c.rollout.mainSide(), r, hasHeldAbove, now)
}

// tryGrantAt is tryGrant for the endpoints of one side of the pool's rollout. It does not
// reserve an endpoint of a side that the request need not wait for.
func (c *Cell) tryGrantAt(at side, r *GrantRequest, hasHeldAbove bool, now time.Time) attemptResult {
	var best, far, toReserve *endpoint
	var bestCost, farCost time.Duration
	var crowded crowd
	var room gapRoom
	c.considered = c.considered[:0]
	remaining := r.Deadline.Sub(now)
	for _, e := range c.endpoints {
		if !e.isOpen(now) || slices.Contains(r.Avoid, e.ID) || !r.mayRunAt(e) || !c.rollout.allows(e, at) || !c.mayRisk(e, now) {
			continue
		}
		if e.reservedRound == c.round || !e.isWithinLimit(now) {
			room.addAwaited(c, e, r, now)
			continue
		}
		uncached := c.uncachedTokens(r, e)
		if !e.fits(r.charge, uncached, c.maxPrefillTime(r, e), now) {
			if toReserve == nil || e.window-e.used > toReserve.window-toReserve.used {
				toReserve = e
			}
			room.addAwaited(c, e, r, now)
			continue
		}
		c.considered = append(c.considered, e.ID)
		penalty := zonePenalty(r, e)
		cost := e.cost(uncached, r.Output, remaining, now) + penalty + e.failurePenalty(now) + c.fragileJitter(now) + c.costOfPauses(e, uncached)
		switch {
		case e.isAtLimit(now):
			c.addCrowded(&crowded, e, uncached, cost, now)
			room.addAwaited(c, e, r, now)
		case best == nil || cost < bestCost:
			best, bestCost = e, cost
		}
		room.hasQuiet = room.hasQuiet || !e.isAtLimit(now) && !c.wouldPause(e, uncached)
		if penalty > 0 && !e.isAtLimit(now) && (far == nil || cost < farCost) {
			far, farCost = e, cost
		}
	}
	best = c.preferInTime(best, far, bestCost, farCost, r, now)
	switch {
	case best != nil && (crowded.best == nil || c.mustGrantHeld || !c.isTooSlow(best, r, now)):
	case best != nil && c.mayHold(r, &crowded, now):
		return isHeld
	case best != nil && c.isTooSlow(crowded.best, r, now):
		// It would miss its target everywhere; the endpoint with room costs others least.
	case crowded.best == nil:
		if toReserve != nil && (r.Release != nil || at == c.rollout.mainSide()) {
			toReserve.reservedRound = c.round
		}
		return fitsNone
	case c.mayHold(r, &crowded, now):
		return isHeld
	case hasHeldAbove:
		return exceedsLimit
	default:
		best = crowded.best
	}
	uncached := c.uncachedTokens(r, best)
	if c.mayHoldForGap(r, best, uncached, &room, now) {
		if room.toReserve != nil && at == c.rollout.mainSide() {
			room.toReserve.reservedRound = c.round
		}
		return isHeldForGap
	}
	if c.mustYieldToHeld(r, best, uncached) {
		return yieldsToHeld
	}
	c.mustGrantHeld = false
	r = c.preferOwnZone(r, best, now)
	if r.Release == nil {
		c.rollout.record(best.Release)
	}
	c.grant(r, best, now)
	c.served = r
	return granted
}

// skipRelease skips the requests of all classes that take up streams of a release in this round,
// after one of them fitted no endpoint and has reserved one. It says nothing of the endpoints of
// other releases, so that it does not count as a skipped account.
func (c *Cell) skipRelease(release ident.Release) {
	for class := range c.queues {
		c.queues[class].skipRelease(release, c.round)
	}
}

// isResumption reports whether the request takes up a stream, which is bound to the release that
// began it.
func (r *GrantRequest) isResumption() bool { return r.Release != nil }

func (c *Cell) uncachedTokens(r *GrantRequest, e *endpoint) ident.Tokens {
	return max(r.Prompt-c.cachedTokens(r, e), 0)
}

func (c *Cell) cachedTokens(r *GrantRequest, e *endpoint) ident.Tokens {
	if e.prefixSlot >= prefix.MaxSlots {
		return 0
	}
	return prefix.TokensOf(int(c.prefixMatch[e.prefixSlot]), r.BlockTokens)
}

func (c *Cell) grant(r *GrantRequest, e *endpoint, now time.Time) {
	reason := ReasonLeastCost
	cached := min(c.cachedTokens(r, e), r.Prompt)
	switch {
	case e.health != healthy:
		reason = ReasonProbe
	case c.Policy != Fair:
		reason = ReasonBaseline
	case e.isAtLimit(now):
		reason = ReasonAboveLimit
	case r.wasHeldForGap:
		reason = ReasonHeldForGap
	case cached > 0:
		reason = ReasonCachedPrefix
	}
	r.pausesStreams = c.wouldPause(e, r.Prompt-cached)
	g := c.newGrant()
	c.grantSequence++
	*g = grant{
		node: r.Node, class: r.class, endpoint: e, charge: r.charge, uncached: r.Prompt - cached,
		cached: cached, grantedAt: now, backlogAhead: e.backlog, prefix: r.Prefix, traits: r.Traits,
		stream: r.Stream, release: e.Release, route: r.Route, deadline: r.Deadline,
		number: c.grantSequence,
	}
	e.addGrant(g.charge, g.uncached)
	g.span = e.startLoad(now)
	e.spaceGrants(cmp.Or(c.LimitShare, 1), now)
	c.recordGrant(e, now)
	c.prefixes.Insert(r.Prefix, r.BlockTokens, e.prefixSlot)
	c.addInFlight(r.Request, g)
	c.respond(r, GrantResponse{
		Outcome: Granted, Reason: reason, Endpoint: e.ID, Release: e.Release, Address: e.Address,
		Sequence: c.grantSequence, TTL: GrantTTL, Cached: cached, Considered: len(c.considered),
		Waited: now.Sub(r.arrived),
	})
}

// addInFlight records a grant until the request ends. An earlier grant for the
// same request is released: its requester lost the response and requested
// again, or the completion is late and is applied to that grant when it arrives.
func (c *Cell) addInFlight(id ident.RequestID, g *grant) {
	if c.inflight == nil {
		c.inflight = map[ident.RequestID]*grant{}
	}
	if previous := c.inflight[id]; previous != nil {
		c.supersede(previous)
	}
	c.inflight[id] = g
}

// releaseEarlier releases the earlier grants of the stream that a request takes up. Its
// caller has lost the connection, and so has the endpoint; the entry node that would report
// it may have been killed. A stream in a cell that another node ran before is known by the
// identifier of the request that began it.
func (c *Cell) releaseEarlier(r *GrantRequest) {
	if r.Release == nil || r.Stream == "" {
		return
	}
	for id, g := range c.inflight {
		if g.stream == r.Stream || id == r.Stream {
			c.releaseGrant(g, nil)
			delete(c.inflight, id)
		}
	}
}

func (c *Cell) newGrant() *grant {
	if n := len(c.freeGrants); n > 0 {
		g := c.freeGrants[n-1]
		c.freeGrants = c.freeGrants[:n-1]
		return g
	}
	return &grant{}
}
