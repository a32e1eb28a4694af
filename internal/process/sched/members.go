package sched

import (
	"slices"
	"time"

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
)

// Configure replaces the cell's pool and endpoints. What is known of those that stay
// is kept; those that are gone get no new grant, and requests in flight there
// end as they do.
func (c *Cell) Configure(pool *config.Pool, specs []EndpointSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Pool = pool
	c.setLanes()
	if c.byID == nil {
		c.byID = map[ident.Endpoint]*endpoint{}
	}
	kept := make([]*endpoint, 0, len(specs))
	gone := c.byID
	c.byID = map[ident.Endpoint]*endpoint{}
	for _, spec := range specs {
		e := gone[spec.ID]
		if e == nil {
			e = newEndpoint(spec, -1, c.Pool.Window)
		}
		if e.slot >= 0 && (e.Address != spec.Address || e.Started != spec.Started) {
			c.prefixes.Forget(e.slot)
		}
		e.EndpointSpec = spec
		c.byID[spec.ID] = e
		kept = append(kept, e)
	}
	c.endpoints = kept
	c.assignSlots()
	c.pump(c.now())
}

// assignSlots gives every endpoint without one the lowest free slot of the
// prefix index.
func (c *Cell) assignSlots() {
	taken := map[int]bool{}
	for _, e := range c.endpoints {
		taken[e.slot] = true
	}
	next := 0
	for _, e := range c.endpoints {
		if e.slot >= 0 {
			continue
		}
		for taken[next] {
			next++
		}
		e.slot = next
		taken[next] = true
		c.prefixes.Forget(next)
		c.prefixes.SetCapacity(next, e.cacheBlocks())
	}
}

// Report takes an endpoint's load report.
func (c *Cell) Report(r LoadReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byID[r.Endpoint]
	if e == nil {
		return
	}
	e.report = r
	e.reported = c.now()
	e.sinceReport = 0
}

// Unreachable records that an endpoint refused a connection outside any
// request, as when its load report was asked for.
func (c *Cell) Unreachable(id ident.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.byID[id]; e != nil && e.health == healthy {
		e.fail(c.now())
	}
}

// Adopt takes over a request that another node's cell granted.
func (c *Cell) Adopt(h InFlight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byID[h.Endpoint]
	if e == nil || c.inflight[h.Request] != nil {
		return
	}
	e.admit(h.Charge, 0)
	c.hold(h.Request, &grant{node: h.Node, endpoint: e, charge: h.Charge, granted: c.now(), started: true, adopted: true})
}

// Adopters returns the nodes that hold requests which this cell adopted.
func (c *Cell) Adopters() []ident.NodeID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []ident.NodeID
	for _, g := range c.inflight {
		if g.adopted && !slices.Contains(nodes, g.node) {
			nodes = append(nodes, g.node)
		}
	}
	return nodes
}

// KeepAdopted ends the adopted requests of a node that it no longer holds.
func (c *Cell) KeepAdopted(node ident.NodeID, held map[ident.RequestID]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, g := range c.inflight {
		if g.adopted && g.node == node && !held[id] {
			c.free(g)
			delete(c.inflight, id)
		}
	}
	c.pump(c.now())
}

// IsInFlight reports whether a request was granted and has not ended.
func (c *Cell) IsInFlight(id ident.RequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inflight[id] != nil
}

// DropNode ends all requests of an entry node that died. Its connections to
// the endpoints are gone, so the endpoints stop these requests.
func (c *Cell) DropNode(node ident.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, g := range c.inflight {
		if g.node != node {
			continue
		}
		c.free(g)
		delete(c.inflight, id)
	}
	for tier := range c.queues {
		c.dropBids(&c.queues[tier], node)
	}
	c.pump(c.now())
}

// dropBids answers the waiting bids of a node: a node that only seemed dead
// bids again.
func (c *Cell) dropBids(q *queue, node ident.NodeID) {
	var gone []*GrantRequest
	q.each(func(b *GrantRequest) bool {
		if b.Node == node {
			gone = append(gone, b)
		}
		return true
	})
	for _, b := range gone {
		q.remove(b)
		c.decide(b, GrantResponse{Outcome: Moved, Reason: ReasonCellMoved})
	}
}

// Estimates returns what the cell knows of its endpoints, for its next node.
func (c *Cell) Estimates() []EndpointEstimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]EndpointEstimate, len(c.endpoints))
	for i, e := range c.endpoints {
		all[i] = EndpointEstimate{Endpoint: e.ID, Window: e.window, PrefillRate: e.prefillRate, InterTokenLatency: e.between}
	}
	return all
}

// SetEstimate sets what the cell's last node knew of an endpoint.
func (c *Cell) SetEstimate(l EndpointEstimate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byID[l.Endpoint]
	if e == nil || l.PrefillRate <= 0 || l.InterTokenLatency <= 0 {
		return
	}
	e.window = min(max(l.Window, minWindow), maxWindow)
	e.prefillRate = l.PrefillRate
	e.between = l.InterTokenLatency
}

// Load sums up a cell for the choice between cells and for the logs.
type Load struct {
	Waiting int
	// WaitingTokens, UsedTokens and WindowTokens compare the queue and the
	// requests in flight with what the endpoints can take.
	WaitingTokens ident.Tokens
	UsedTokens    ident.Tokens
	WindowTokens  ident.Tokens
	InFlight      int
	Open          int
}

// Load returns the cell's present load.
func (c *Cell) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := Load{Waiting: c.waiting(), InFlight: len(c.inflight)}
	for tier := range c.queues {
		l.WaitingTokens += c.queues[tier].tokens
	}
	now := c.now()
	for _, e := range c.endpoints {
		l.UsedTokens += e.used
		if e.isOpen(now) {
			l.WindowTokens += e.window
			l.Open++
		}
	}
	return l
}

// judge compares an endpoint with the median of its generation. Suspension
// needs a large gap and return a small one, so that an endpoint does not swing
// in and out on noise.
func (c *Cell) judge(e *endpoint, now time.Time) {
	if e.Kind == ident.ApplicationRunner || e.Slots > 0 {
		// The platform says nothing of generations: endpoints of one pool may
		// differ in speed by design, and their cost tells them apart.
		if e.health == probing {
			e.recover()
		}
		return
	}
	if e.health == healthy && e.samples%slowSamples != 0 {
		return
	}
	median, peers := c.medianBetween(e)
	if peers < minPeers {
		if e.health == probing {
			e.recover()
		}
		return
	}
	ratio := float64(e.between) / float64(median)
	switch {
	case e.health == probing && ratio <= recoveredFactor:
		e.recover()
	case e.health == probing:
		e.suspend(now)
	case e.health == healthy && e.samples >= slowSamples && ratio > slowFactor && c.mayJudgeSlow():
		e.slow = true
		e.suspend(now)
	}
}

func (c *Cell) medianBetween(of *endpoint) (time.Duration, int) {
	times := c.times[:0]
	for _, e := range c.endpoints {
		if e != of && e.Generation == of.Generation && e.health == healthy {
			times = append(times, e.between)
		}
	}
	c.times = times
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], len(times)
}

// mayJudgeSlow bounds the stragglers taken out at once: when many are slow,
// the pool is what it is.
func (c *Cell) mayJudgeSlow() bool {
	slow := 0
	for _, e := range c.endpoints {
		if e.slow {
			slow++
		}
	}
	return float64(slow+1) <= maxSlowShare*float64(len(c.endpoints))
}
