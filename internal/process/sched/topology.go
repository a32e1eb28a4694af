package sched

import (
	"slices"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
)

// Configure replaces the cell's pool and endpoints. The state of endpoints that
// remain is kept. Removed endpoints get no new grants; requests in flight there
// end as usual.
func (c *Cell) Configure(pool *config.Pool, specs []EndpointSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Pool = pool
	c.setClassGroups()
	if c.byID == nil {
		c.byID = map[ident.Endpoint]*endpoint{}
		c.grantsAllSince = c.now()
	}
	kept := make([]*endpoint, 0, len(specs))
	previous := c.byID
	c.byID = map[ident.Endpoint]*endpoint{}
	for _, spec := range specs {
		e := previous[spec.ID]
		if e == nil {
			e = newEndpoint(spec, -1, c.Pool.InitialWindow)
		}
		if e.prefixSlot >= 0 && (e.Address != spec.Address || e.StartedUnixMilli != spec.StartedUnixMilli) {
			c.prefixes.ClearSlot(e.prefixSlot)
		}
		if e.StartedUnixMilli != spec.StartedUnixMilli {
			e.hasAnnouncedLeaving = false
			e.rateLimit, e.hasStated = 0, false
		}
		e.EndpointSpec = spec
		c.byID[spec.ID] = e
		kept = append(kept, e)
	}
	c.endpoints = kept
	c.assignPrefixSlots()
	c.grantWaiting(c.now())
}

// assignPrefixSlots assigns the lowest free slot of the prefix index to each
// endpoint that has none. The index ignores slots from prefix.MaxSlots on.
func (c *Cell) assignPrefixSlots() {
	used := map[int]bool{}
	for _, e := range c.endpoints {
		used[e.prefixSlot] = true
	}
	free := 0
	for _, e := range c.endpoints {
		if e.prefixSlot >= 0 {
			continue
		}
		for used[free] {
			free++
		}
		e.prefixSlot = free
		used[free] = true
		c.prefixes.ClearSlot(free)
		c.prefixes.SetCapacity(free, e.cacheBlocks())
	}
}

// SetLoadReport records an endpoint's load report.
func (c *Cell) SetLoadReport(r LoadReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byID[r.Endpoint]
	if e == nil {
		return
	}
	e.report = r
	e.reportedAt = c.now()
	e.grantsSinceReport = 0
	if r.Draining {
		c.recheckHeldForGap()
	}
}

// MarkUnreachable records that an endpoint refused a connection outside of a
// granted request, for example when its load was polled. It counts as a failure if
// the endpoint is healthy, and is ignored otherwise.
func (c *Cell) MarkUnreachable(id ident.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.byID[id]; e != nil && e.health == healthy {
		e.recordFailure(c.now())
		c.recheckHeldForGap()
	}
}

// Adopt adds a request in flight that another node's cell granted. It ignores
// requests that are already in flight here or whose endpoint is not in the cell.
func (c *Cell) Adopt(f InFlight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byID[f.Endpoint]
	if e == nil || c.inflight[f.Request] != nil {
		return
	}
	e.addGrant(f.Charge, 0)
	e.generating++
	now := c.now()
	c.addInFlight(f.Request, &grant{
		node: f.Node, endpoint: e, charge: f.Charge, grantedAt: now, isPrefillDone: true, isAdopted: true, span: e.startLoad(now),
		release: e.Release,
	})
}

// NodesWithAdopted returns the entry nodes of this cell's adopted requests.
func (c *Cell) NodesWithAdopted() []ident.NodeID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []ident.NodeID
	for _, g := range c.inflight {
		if g.isAdopted && !slices.Contains(nodes, g.node) {
			nodes = append(nodes, g.node)
		}
	}
	return nodes
}

// ReconcileAdopted releases the adopted requests of an entry node that are not
// in inFlight, the requests that are still in flight there.
func (c *Cell) ReconcileAdopted(node ident.NodeID, inFlight map[ident.RequestID]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, g := range c.inflight {
		if g.isAdopted && g.node == node && !inFlight[id] {
			c.releaseGrant(g, nil)
			delete(c.inflight, id)
		}
	}
	c.grantWaiting(c.now())
}

// IsInFlight reports whether a request has been granted and has not ended.
func (c *Cell) IsInFlight(id ident.RequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inflight[id] != nil
}

// DropNode ends all requests of an entry node that failed. Its connections to
// the endpoints are closed, so the endpoints abort these requests. Its waiting
// requests get the outcome Moved.
func (c *Cell) DropNode(node ident.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, g := range c.inflight {
		if g.node != node {
			continue
		}
		c.releaseGrant(g, nil)
		delete(c.inflight, id)
	}
	for class := range c.queues {
		c.dropRequests(&c.queues[class], node)
	}
	c.grantWaiting(c.now())
}

// dropRequests removes the waiting requests of a node and responds with Moved,
// so that a node that was falsely considered dead requests again.
func (c *Cell) dropRequests(q *queue, node ident.NodeID) {
	var dropped []*GrantRequest
	q.each(func(r *GrantRequest) bool {
		if r.Node == node {
			dropped = append(dropped, r)
		}
		return true
	})
	for _, r := range dropped {
		q.remove(r)
		c.respond(r, GrantResponse{Outcome: Moved, Reason: ReasonCellMoved})
	}
}

// Estimates returns the estimates of all endpoints, for the cell's next node.
func (c *Cell) Estimates() []EndpointEstimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]EndpointEstimate, len(c.endpoints))
	for i, e := range c.endpoints {
		all[i] = EndpointEstimate{Endpoint: e.ID, Window: e.window, PrefillRate: e.prefillRate, InterTokenLatency: e.interTokenLatency, Load: e.load.Estimate()}
	}
	return all
}

// SetEstimate sets the estimate of an endpoint that the cell's previous node
// reported. It ignores unknown endpoints, and estimates without a positive prefill
// rate and latency.
func (c *Cell) SetEstimate(estimate EndpointEstimate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byID[estimate.Endpoint]
	if e == nil || estimate.PrefillRate <= 0 || estimate.InterTokenLatency <= 0 {
		return
	}
	e.window = min(max(estimate.Window, minWindow), maxWindow)
	e.prefillRate = estimate.PrefillRate
	e.interTokenLatency = estimate.InterTokenLatency
	e.load.Set(estimate.Load, c.now())
}

// Load summarizes the load of a cell, for the choice between cells and for
// logs.
type Load struct {
	// Waiting and InFlight are numbers of requests.
	Waiting int
	// WaitingTokens and UsedTokens are the charges of the waiting requests and
	// of those in flight; WindowTokens is the sum of the open endpoints'
	// windows.
	WaitingTokens ident.Tokens
	UsedTokens    ident.Tokens
	WindowTokens  ident.Tokens
	InFlight      int
	// OpenEndpoints is the number of endpoints that may get new requests.
	OpenEndpoints int
}

// Load returns the current load of the cell.
func (c *Cell) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := Load{Waiting: c.waitingCount(), InFlight: len(c.inflight)}
	for class := range c.queues {
		l.WaitingTokens += c.queues[class].tokens
	}
	now := c.now()
	for _, e := range c.endpoints {
		l.UsedTokens += e.used
		if e.isOpen(now) {
			l.WindowTokens += e.window
			l.OpenEndpoints++
		}
	}
	return l
}

// prefillFreeFraction is the fraction of the first-token target up to which an engine
// may be busy with prompts that it has been granted and still count as free, and
// maxFreePerEngine the most requests for which one counts: it reads one prompt after
// the other.
const (
	prefillFreeFraction = 0.25
	maxFreePerEngine    = 2
)

// FreeSlots returns the number of requests that the endpoints could start at once, or
// 0 while requests wait or the cell does not grant any. Endpoints without known slots
// count for none.
func (c *Cell) FreeSlots() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed || c.isPaused || c.waitingCount() > 0 {
		return 0
	}
	now := c.now()
	free := 0
	for _, e := range c.endpoints {
		slots := max(e.Slots-e.inFlightAt(now), 0)
		switch {
		case e.health != healthy || !e.isOpen(now) || !e.isWithinLimit(now) || !c.rollout.allows(e, c.rollout.mainSide()):
		case e.Kind == ident.ApplicationRunner:
			free += slots
		case c.isPrefillFree(e):
			free += min(slots, maxFreePerEngine)
		}
	}
	return free
}

// isPrefillFree reports whether an engine could begin another prompt at once: it is busy with
// others for a short time only, and its streams would get their next event in time.
func (c *Cell) isPrefillFree(e *endpoint) bool {
	busy := e.prefillTime(e.backlog)
	allowance := c.eventGapAllowance(e)
	return busy <= time.Duration(prefillFreeFraction*float64(c.Pool.FirstTokenTarget)) && (allowance == 0 || busy < allowance)
}

// detectStraggler compares an endpoint with the median of its generation and
// suspends it if it is much slower. The threshold for suspension is higher than
// the one for recovery, so that noise does not make an endpoint alternate
// between the two states.
func (c *Cell) detectStraggler(e *endpoint, now time.Time) {
	if e.Kind == ident.ApplicationRunner || e.Slots > 0 {
		// The platform does not report generations for endpoints with slots.
		// Endpoints of one pool may differ in speed by design, and their cost
		// accounts for it.
		if e.health == probing {
			e.recover()
		}
		return
	}
	if e.health == healthy && e.latencySamples%stragglerMinSamples != 0 {
		return
	}
	median, peers := c.medianInterTokenLatency(e)
	if peers < stragglerMinPeers {
		if e.health == probing {
			e.recover()
		}
		return
	}
	ratio := float64(e.interTokenLatency) / float64(median)
	switch {
	case e.health == probing && ratio <= stragglerRecoveryFactor:
		e.recover()
	case e.health == probing:
		e.suspend(now)
	case e.health == healthy && e.latencySamples >= stragglerMinSamples && ratio > stragglerFactor && c.canSuspendStraggler():
		e.isStraggler = true
		e.suspend(now)
	}
}

// medianInterTokenLatency returns the median over the other healthy endpoints
// of target's generation, and their number.
func (c *Cell) medianInterTokenLatency(target *endpoint) (time.Duration, int) {
	latencies := c.latencies[:0]
	for _, e := range c.endpoints {
		if e != target && e.Generation == target.Generation && e.health == healthy {
			latencies = append(latencies, e.interTokenLatency)
		}
	}
	c.latencies = latencies
	if len(latencies) == 0 {
		return 0, 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2], len(latencies)
}

// canSuspendStraggler reports whether one more endpoint may be suspended as a
// straggler: if many endpoints are slow, suspending them would only remove
// capacity.
func (c *Cell) canSuspendStraggler() bool {
	stragglers := 0
	for _, e := range c.endpoints {
		if e.isStraggler {
			stragglers++
		}
	}
	return float64(stragglers+1) <= maxStragglerFraction*float64(len(c.endpoints))
}
