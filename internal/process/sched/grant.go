package sched

import (
	"cmp"
	"slices"
	"time"

	"goldcrestwick/internal/process/prefix"
	"goldcrestwick/internal/request/ident"
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
}

// targets are a pool's latency targets.
type targets struct{ firstToken, interToken time.Duration }

func (c *Cell) targets() targets { return targets{c.Pool.FirstTokenTarget, c.Pool.InterTokenTarget} }

func (c *Cell) finishPrefill(g *grant) {
	if !g.isPrefillDone {
		g.isPrefillDone = true
		g.endpoint.backlog = max(g.endpoint.backlog-g.uncached, 0)
	}
}

// releaseGrant releases the capacity of a grant whose completion is not known.
func (c *Cell) releaseGrant(g *grant) {
	c.finishPrefill(g)
	g.endpoint.removeGrant(g.charge)
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
	if c.isPaused || c.isClosed {
		return
	}
	if c.Policy == FirstComeFirstServed {
		c.grantWaitingFCFS(now)
	}
	if c.Policy != Fair {
		return
	}
	c.round++
	skipped := 0
	for first := ident.Tier(0); first < ident.MaxTiers; first = c.groupEnd[first] + 1 {
		if c.hasTierLimit && first > c.tierLimit {
			return
		}
		for skipped < maxSkippedAccounts {
			class, account, ok := c.nextInGroup(first, c.groupEnd[first])
			if !ok {
				break
			}
			if c.tryGrant(account.heap[0], now) {
				c.queues[class].dequeue(account)
				c.classStats[class].decay(now)
				c.classStats[class].grants++
				continue
			}
			account.skippedRound = c.round
			skipped++
		}
	}
}

// tryGrant grants the request if an endpoint has capacity for it. Otherwise it
// reserves an endpoint for this round and returns false.
func (c *Cell) tryGrant(r *GrantRequest, now time.Time) bool {
	c.prefixes.Find(r.Prefix, &c.prefixMatch)
	var best, toReserve *endpoint
	var bestCost time.Duration
	c.considered = c.considered[:0]
	remaining := r.Deadline.Sub(now)
	for _, e := range c.endpoints {
		if e.reservedRound == c.round || !e.isOpen(now) || !e.isWithinLimit(now) || slices.Contains(r.Avoid, e.ID) || !r.mayRunAt(e) || !c.mayRisk(e, now) {
			continue
		}
		uncached := c.uncachedTokens(r, e)
		if !e.fits(r.charge, uncached, c.firstTokenTarget(r), now) {
			if toReserve == nil || e.window-e.used > toReserve.window-toReserve.used {
				toReserve = e
			}
			continue
		}
		c.considered = append(c.considered, e.ID)
		if cost := e.cost(uncached, r.Output, remaining) + zonePenalty(r, e) + e.failurePenalty(now) + c.fragileJitter(now); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		if toReserve != nil {
			toReserve.reservedRound = c.round
		}
		return false
	}
	c.grant(r, best, now)
	return true
}

// mayRunAt reports whether the endpoint has the release that the request needs.
func (r *GrantRequest) mayRunAt(e *endpoint) bool { return r.Release == nil || *r.Release == e.Release }

// isReleaseGone reports whether the request needs a release that only leaving endpoints
// have, or none.
func (c *Cell) isReleaseGone(r *GrantRequest) bool {
	return r.Release != nil && !slices.ContainsFunc(c.endpoints, func(e *endpoint) bool {
		return r.mayRunAt(e) && !e.isLeaving()
	})
}

// zonePenalty returns the cost added for an endpoint in another availability
// zone: traffic between zones is charged by the platform and adds latency. An
// unknown zone has no penalty.
func zonePenalty(r *GrantRequest, e *endpoint) time.Duration {
	if r.Zone == "" || e.Zone == "" || r.Zone == e.Zone {
		return 0
	}
	return crossZonePenalty
}

func (c *Cell) firstTokenTarget(r *GrantRequest) time.Duration {
	if r.FirstTokenTarget > 0 {
		return r.FirstTokenTarget
	}
	return c.Pool.FirstTokenTarget
}

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
	case cached > 0:
		reason = ReasonCachedPrefix
	}
	g := c.newGrant()
	*g = grant{
		node: r.Node, class: r.class, endpoint: e, charge: r.charge, uncached: r.Prompt - cached,
		cached: cached, grantedAt: now, backlogAhead: e.backlog, prefix: r.Prefix, traits: r.Traits,
		stream: r.Stream, release: e.Release,
	}
	e.addGrant(g.charge, g.uncached)
	e.spaceGrants(cmp.Or(c.LimitShare, 1), now)
	c.recordGrant(e, now)
	c.prefixes.Insert(r.Prefix, r.BlockTokens, e.prefixSlot)
	c.addInFlight(r.Request, g)
	c.grantSequence++
	c.respond(r, GrantResponse{
		Outcome: Granted, Reason: reason, Endpoint: e.ID, Release: e.Release, Address: e.Address,
		Sequence: c.grantSequence, TTL: GrantTTL, Cached: cached, Considered: len(c.considered),
		Waited: now.Sub(r.arrived),
	})
}

// addInFlight records a grant until the request ends. An earlier grant for the
// same request is released: its requester lost the response and requested
// again, so its completion will never be reported.
func (c *Cell) addInFlight(id ident.RequestID, g *grant) {
	if c.inflight == nil {
		c.inflight = map[ident.RequestID]*grant{}
	}
	if previous := c.inflight[id]; previous != nil {
		c.releaseGrant(previous)
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
			c.releaseGrant(g)
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

func (c *Cell) respond(r *GrantRequest, response GrantResponse) {
	r.Response = response
	if c.Observe != nil {
		d := Decision{Cell: c.ID, Request: r, Queued: c.waitingCount()}
		if response.Outcome == Granted {
			d.Considered = c.considered
		}
		c.Observe(d)
	}
	if r.Wake != nil {
		r.Wake()
	}
}

func (c *Cell) waitingCount() int {
	n := 0
	for class := range c.queues {
		n += c.queues[class].length
	}
	return n
}
