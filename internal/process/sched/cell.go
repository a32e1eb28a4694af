// Package sched decides, for one cell of a pool, which request is dispatched
// next and to which endpoint.
//
// Entry nodes send bids; the cell answers each with a grant or a refusal. A
// grant names one endpoint and lives for a short time, and only the entry node
// that holds the request dispatches it, so a cell that dies, or two nodes that
// both hold a cell, cannot make a request run twice.
//
// Engines queue blindly. The cell therefore keeps the waiting requests itself
// and fills each endpoint only up to a window in tokens, which moves with the
// measured first-token and between-token times. A bid is decided by tier
// first, then by the account's share, then by deadline; among the endpoints
// with room the one with the least expected time wins, in which a cached
// prefix counts as prefill time saved.
//
// # Usage
//
//	cell := &sched.Cell{ID: id}
//	cell.Configure(pool, specs)
//	if !cell.Submit(request) {
//		<-woken // request.Wake was called
//	}
//	switch request.Response.Outcome { ... }
//	cell.FirstToken(request.Request)
//	cell.Done(request.Request, completion)
package sched

import (
	"sync"
	"time"

	"goldcrestwick/internal/process/prefix"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
)

const (
	// GrantTTL is how long an entry node may use a grant after it arrived.
	GrantTTL = 500 * time.Millisecond
	// maxSkipped bounds the accounts whose first bid found no room and that
	// hold a reservation in one round.
	maxSkipped = 8
	// pressAfter is the share of its time that a bid may wait before lower
	// tiers are asked to close.
	pressAfter = 0.5
	// pressAtLeast keeps short waits from closing lower tiers.
	pressAtLeast = time.Second
	// maxSlowShare bounds the endpoints suspended as stragglers.
	maxSlowShare = 1.0 / 3

	// hopelessFactor is how far past its deadline a bid's expected wait must
	// be before the bid counts as lost; the estimate is rough.
	hopelessFactor = 1.2
	// stayDecay is what a request still counts after the next one ended.
	stayDecay = 0.99

	// overloadGap is the time without a refusal after which an overload is over.
	overloadGap = 2 * time.Second
	// maxReturn bounds the time to come back: callers honour up to a third of
	// the time that they have left, about 5 s of the longest deadlines.
	maxReturn = 5 * time.Second
	// returnSpread is the part by which times to come back differ.
	returnSpread = 0.25

	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Decision is one routing decision, for the log and for explain.
type Decision struct {
	Cell    ident.CellID
	Request *GrantRequest
	// Considered lists the endpoints that had room; it is valid until the
	// call returns.
	Considered []ident.Endpoint
	// Queued is the number of bids that still wait in the cell.
	Queued int
}

// Cell schedules the endpoints of one cell. The zero value with an ID and a
// Pool is ready for use; the function fields are optional. All methods are
// safe for concurrent use.
type Cell struct {
	ID   ident.CellID
	Pool *config.Pool
	// Policy is the way to decide; the zero value is the full one.
	Policy Policy
	// Now is the clock; nil takes time.Now.
	Now func() time.Time
	// Observe is called with each decision, with the cell's lock held.
	Observe func(Decision)
	// Admits reports whether a tier is open; nil admits all.
	Admits func(ident.Tier) bool
	// CanShed reports whether all lower tiers are closed in the whole pool;
	// nil allows it.
	CanShed func(ident.Tier) bool
	// CloseLower asks to close the tiers below the given one in the whole pool.
	CloseLower func(ident.Tier)

	mu        sync.Mutex
	endpoints []*endpoint
	byID      map[ident.Endpoint]*endpoint
	queues    [ident.MaxTiers]queue
	inflight  map[ident.RequestID]*grant
	spare     []*grant
	prefixes  prefix.Index
	match     prefix.Match
	// considered is the room that the last look for an endpoint found.
	considered []ident.Endpoint
	// times is room for the medians.
	times    []time.Duration
	sequence uint64
	arrivals uint64
	round    uint64
	closed   bool
	paused   bool
	stay     stay
	// overloadSince is when the present overload began, lastShed the latest
	// refusal.
	overloadSince, lastShed time.Time

	service [ident.MaxTiers]service
	// last holds, for each lane, the last lane that shares its service.
	last [ident.MaxTiers]ident.Tier
	// lowest is the lowest tier granted; Pause and Resume set it.
	lowest ident.Tier
	// limited is set while lowest counts.
	limited bool
}

func (c *Cell) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}

// Submit brings a bid. It returns true when the answer is there already, and
// false when the bid waits; then its Wake is called once.
func (c *Cell) Submit(b *GrantRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	b.arrived = now
	b.charge = c.chargeOf(b)
	c.arrivals++
	b.lane, b.sharer, b.order, b.number = b.Tier, b.Account, b.Deadline, c.arrivals
	if b.FirstTokenTarget > 0 {
		b.order = now.Add(b.FirstTokenTarget)
	}
	c.service[b.lane].advance(now)
	c.service[b.lane].arrived++
	b.Response = GrantResponse{}
	// An answer that is there on return is not announced as well.
	wake := b.Wake
	b.Wake = nil
	c.submit(b, now)
	b.Wake = wake
	return b.Response.Outcome != Waiting
}

func (c *Cell) submit(b *GrantRequest, now time.Time) {
	switch {
	case c.closed:
		c.decide(b, GrantResponse{Outcome: Moved, Reason: ReasonCellMoved})
	case c.Policy != Fair:
		c.submitBaseline(b, now)
	case c.Admits != nil && !c.Admits(b.Tier):
		c.refuse(b, ReasonTierClosed)
	case !now.Before(b.Deadline):
		c.refuse(b, ReasonDeadlinePassed)
	case c.isUnreachable(b, now):
		c.refuse(b, ReasonDeadlineUnreachable)
	default:
		c.queues[b.lane].push(b)
		c.pump(now)
		c.trim()
	}
}

// Cancel withdraws a waiting bid. It reports whether the bid still waited; a
// bid that was granted meanwhile is ended with Done.
func (c *Cell) Cancel(b *GrantRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queues[b.lane].remove(b)
}

// FirstToken records that a granted request left the prefill phase.
func (c *Cell) FirstToken(id ident.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.inflight[id]; g != nil {
		now := c.now()
		if !g.started && !g.adopted {
			s := &c.service[g.lane]
			s.first = blend(s.first, now.Sub(g.granted))
		}
		c.start(g)
		c.pump(now)
	}
}

// Occupied records an endpoint's own count of its requests, told in the answer
// to a granted one.
func (c *Cell) Occupied(id ident.RequestID, o Occupancy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.inflight[id]; g != nil {
		g.endpoint.occupied(o, c.now())
	}
}

// Progress records the mean time between the tokens of a running request of
// late.
func (c *Cell) Progress(id ident.RequestID, between time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.inflight[id]
	if g == nil || between <= 0 {
		return
	}
	now := c.now()
	g.endpoint.pace(between, c.targets(), now)
	c.pump(now)
}

// Done ends a granted request and frees its room. Requests that the cell does
// not know are ignored, as after a move.
func (c *Cell) Done(id ident.RequestID, end Completion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.inflight[id]
	if g == nil {
		return
	}
	now := c.now()
	delete(c.inflight, id)
	if !end.Unused && !end.Failed {
		c.stay.add(g.charge, now.Sub(g.granted))
	}
	c.start(g)
	c.learn(g, end, now)
	g.endpoint.release(g.charge)
	*g = grant{}
	c.spare = append(c.spare, g)
	c.pump(now)
}

// Evicted records an endpoint's own word that only the first keep tokens of a
// prefix are still cached.
func (c *Cell) Evicted(id ident.Endpoint, prints []ident.Fingerprint, keep ident.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.byID[id]; e != nil {
		c.prefixes.Trim(prints, e.slot, int(keep/prefix.BlockTokens))
	}
}

// Tick does what time alone brings about: deadlines, pressure on lower tiers,
// probes. Call it several times a second.
func (c *Cell) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.pump(now)
	c.expire(now)
	c.trim()
}

// Enforce sheds the waiting bids of tiers that are no longer admitted. When it
// returns, none of them waits here.
func (c *Cell) Enforce() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Admits == nil {
		return
	}
	for tier := range c.queues {
		if c.queues[tier].length > 0 && !c.Admits(ident.Tier(tier)) {
			c.drain(&c.queues[tier], GrantResponse{Outcome: Shed, Reason: ReasonTierClosed})
		}
	}
}

// Close ends the cell on this node: all waiting bids are told to move, and so
// is every later one. Granted requests go on.
func (c *Cell) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for tier := range c.queues {
		c.drain(&c.queues[tier], GrantResponse{Outcome: Moved, Reason: ReasonCellMoved})
	}
}

// Pause keeps the cell from granting until Resume, while the node learns what
// is in flight.
func (c *Cell) Pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = true
}

// Resume lets a paused cell grant the tiers down to a lowest one.
func (c *Cell) Resume(lowest ident.Tier) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = false
	c.limited = true
	c.lowest = lowest
	c.pump(c.now())
}

func (c *Cell) drain(q *queue, answer GrantResponse) {
	for q.length > 0 {
		b := q.latest()
		q.remove(b)
		answer.RetryAfter = c.retryAfter(b.Tier)
		answer.Waited = c.now().Sub(b.arrived)
		c.decide(b, answer)
	}
}
