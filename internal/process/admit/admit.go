// Package admit controls the admission level of each pool, and ensures that a
// tier is shed only after all lower tiers are closed in the whole pool.
//
// A node whose cells exceed their limits lowers the admission level of the pool
// to the lowest tier that it still wants admitted. It requests every other
// member to close the tiers below. A member sheds its queued requests of those
// tiers, admits none for the duration of the closure, and only then
// acknowledges. The requesting node counts the lifetime of an acknowledgement
// from when it sent the request, so an unexpired acknowledgement is always
// covered by an unexpired closure. A tier may be shed while the
// acknowledgements of all members are unexpired.
//
// A node that needs a closure no longer drops the acknowledgements that it holds, begins a
// new epoch and tells the members the level that is left. A close request or an
// acknowledgement of an earlier epoch has no effect, whenever it arrives.
//
// # Usage
//
//	c := &admit.Controller{}
//	c.CloseLower(pool, tier, now)            // a queue of this tier is full
//	for len(c.Wanted()) > 0 {                // every StepInterval
//		c.KeepClosed(pool, needs, now)   // the tiers whose requests wait for long
//		for _, opening := range c.Step(now) {
//			send(members, opening.Request) // each member calls Close
//		}
//		for _, request := range c.Due(now) {
//			sent := time.Now()
//			send(node, request) // the member calls Close, sheds and replies if Close returned true
//			c.Acknowledge(node, request, sent)
//		}
//	}
//	if c.CanShed(pool, tier, lowest, members, now) { ... }
package admit

import (
	"math/rand/v2"
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
)

const (
	// CloseTTL is how long a member keeps tiers closed after a close request.
	CloseTTL = 3 * time.Second
	// ResendInterval is the time between close requests.
	ResendInterval = 500 * time.Millisecond
	// StepInterval is the time between calls of Step and Due.
	StepInterval = 50 * time.Millisecond
	// GateTTL is how long CloseLowerFor is to keep a closure for a node's own limits, which
	// are checked only when requests arrive.
	GateTTL = 2 * time.Second
	// minKeepTime and maxKeepTime bound the time for which a closure is kept without need.
	// It doubles when a closure is wanted again within reopenWindow after one has ended, and
	// halves after each keepHalvingTime without one, so that tiers do not open and close
	// several times a second in an overload that goes on.
	minKeepTime     = 200 * time.Millisecond
	maxKeepTime     = 2 * time.Second
	reopenWindow    = time.Second
	keepHalvingTime = 2 * time.Second
	// maxClockDrift is the fraction of CloseTTL by which clocks may drift apart.
	maxClockDrift = 0.1
	// EarlierAckTTL is the time from the start of a process after which no acknowledgement of
	// the node's earlier process counts any more. It is the lifetime of an acknowledgement by a
	// clock that runs slower by half of maxClockDrift.
	EarlierAckTTL = time.Duration(float64(CloseTTL) * (1 - maxClockDrift) * (1 + maxClockDrift/2))
)

// AdmitAll is the level of a pool in which every tier is admitted.
const AdmitAll = ident.Tier(ident.MaxTiers - 1)

// CloseRequest is a request to close the tiers of a pool below Level. Tier 0 is
// the highest, so a stricter level is a lower number. A request with a higher Epoch
// replaces all closures of the same node and run with lower ones; with AdmitAll it opens
// them.
type CloseRequest struct {
	Pool  ident.PoolID
	Level ident.Tier
	// Run identifies the requesting process. It is 0 in requests of nodes of the release
	// without epochs, which only expire.
	Run   uint64
	Epoch uint64
}

// Opening is the end of a closure that this node does not need any more.
type Opening struct {
	// Request is to be sent to every member. Its level is the one still wanted, which members
	// acknowledge like that of other close requests, or AdmitAll.
	Request CloseRequest
	// Level is the one that has ended, and Lasted for how long it was wanted.
	Level  ident.Tier
	Lasted time.Duration
}

// Total is a number of closures and the sum of their times.
type Total struct {
	Closures int
	Lasted   time.Duration
}

// Controller holds the admission levels of all pools on one node. The zero value
// is ready for use and safe for concurrent use.
type Controller struct {
	mu    sync.Mutex
	run   uint64
	pools map[ident.PoolID]*poolState
}

type poolState struct {
	// wanted holds the levels that this node wants.
	wanted [ident.MaxTiers]want
	// epoch rises whenever the wanted level becomes less strict.
	epoch uint64
	// acks holds the acknowledgements of this epoch, and closures what other nodes requested.
	// Both track each level separately, since messages can be reordered: a late, less strict
	// message must not undo a stricter one.
	acks     map[ident.NodeID]*levelExpiries
	closures map[requester]*closure
	// closed holds the latest expiry time of each level in closures. Level reads it for each
	// submitted request, under the cell's lock.
	closed levelExpiries
	// sentAt is when close requests for the wanted level were last due.
	sentAt time.Time
	// keepTime is 0 until the first closure is wanted. endedAt is when the wanted level
	// last became less strict, unless it has become stricter since.
	keepTime time.Duration
	endedAt  time.Time
	// closedSince is when this node began to want the present closure, whose time total does
	// not have yet.
	closedSince time.Time
	total       Total
}

// want is the demand for one level. The zero value is none.
type want struct {
	since, neededAt time.Time
	// until is the earliest end, whatever the need.
	until time.Time
}

func (c *Controller) pool(id ident.PoolID) *poolState {
	if c.pools == nil {
		c.pools = map[ident.PoolID]*poolState{}
		c.run = rand.Uint64() | 1 // 0 has another meaning.
	}
	p := c.pools[id]
	if p == nil {
		p = &poolState{acks: map[ident.NodeID]*levelExpiries{}, closures: map[requester]*closure{}}
		c.pools[id] = p
	}
	return p
}

// wantedLevel returns the strictest wanted level, or AdmitAll if none is wanted.
func (p *poolState) wantedLevel() ident.Tier {
	for level := range p.wanted {
		if !p.wanted[level].since.IsZero() {
			return ident.Tier(level)
		}
	}
	return AdmitAll
}

// CloseLower makes this node want the tiers of a pool below the given one closed, for as long
// as KeepClosed or later calls show a need. It reports whether the wanted level was not as
// strict before.
func (c *Controller) CloseLower(id ident.PoolID, tier ident.Tier, now time.Time) (isNew bool) {
	return c.CloseLowerFor(id, tier, 0, now)
}

// CloseLowerFor is CloseLower with a minimum time for which the tiers are wanted closed.
func (c *Controller) CloseLowerFor(id ident.PoolID, tier ident.Tier, atLeast time.Duration, now time.Time) (isNew bool) {
	if tier >= AdmitAll {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(id)
	before := p.wantedLevel()
	w := &p.wanted[tier]
	if w.since.IsZero() {
		w.since = now
	}
	w.neededAt = now
	if until := now.Add(atLeast); until.After(w.until) {
		w.until = until
	}
	if tier >= before {
		return false
	}
	if before == AdmitAll {
		p.closedSince = now
		p.total.Closures++
	}
	p.adaptKeepTime(now)
	p.sentAt = time.Time{}
	return true
}

// adaptKeepTime adapts the time for which a closure is kept without need when the wanted
// level becomes stricter.
func (p *poolState) adaptKeepTime(now time.Time) {
	p.keepTime = max(p.keepTime, minKeepTime)
	if p.endedAt.IsZero() {
		return
	}
	since := now.Sub(p.endedAt)
	p.endedAt = time.Time{}
	if since <= reopenWindow {
		p.keepTime = min(2*p.keepTime, maxKeepTime)
		return
	}
	for ; since >= keepHalvingTime && p.keepTime > minKeepTime; since -= keepHalvingTime {
		p.keepTime = max(p.keepTime/2, minKeepTime)
	}
}

// KeepClosed records which tiers need the lower ones closed now. It shows the need for the
// wanted levels of these tiers and of the tiers below.
func (c *Controller) KeepClosed(id ident.PoolID, needs [ident.MaxTiers]bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(id)
	isNeeded := false
	for level := range p.wanted {
		isNeeded = isNeeded || needs[level]
		if w := &p.wanted[level]; isNeeded && !w.since.IsZero() {
			w.neededAt = now
		}
	}
}

// Wanted returns the pools of which this node wants tiers closed.
func (c *Controller) Wanted() []ident.PoolID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var wanted []ident.PoolID
	for id, p := range c.pools {
		if p.wantedLevel() < AdmitAll {
			wanted = append(wanted, id)
		}
	}
	return wanted
}

// Step ends the closures that this node has not needed for their keep time, and returns them.
// Their acknowledgements do not count any more when it returns.
func (c *Controller) Step(now time.Time) []Opening {
	c.mu.Lock()
	defer c.mu.Unlock()
	var openings []Opening
	for id, p := range c.pools {
		level := p.wantedLevel()
		since := p.wanted[level].since
		for i := range p.wanted {
			if w := &p.wanted[i]; now.Sub(w.neededAt) >= p.keepTime && !now.Before(w.until) {
				*w = want{}
			}
		}
		left := p.wantedLevel()
		if left == level {
			continue
		}
		if left == AdmitAll {
			p.total.Lasted += now.Sub(p.closedSince)
		}
		p.epoch++
		clear(p.acks)
		p.endedAt, p.sentAt = now, now
		openings = append(openings, Opening{c.request(id, p), level, now.Sub(since)})
	}
	return openings
}

func (c *Controller) request(id ident.PoolID, p *poolState) CloseRequest {
	return CloseRequest{id, p.wantedLevel(), c.run, p.epoch}
}

// Pending returns the close requests that are in force.
func (c *Controller) Pending() []CloseRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var requests []CloseRequest
	for id, p := range c.pools {
		if p.wantedLevel() < AdmitAll {
			requests = append(requests, c.request(id, p))
		}
	}
	return requests
}

// Due returns the close requests to send to every member now: those that have become
// stricter, and the others once per ResendInterval.
func (c *Controller) Due(now time.Time) []CloseRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var requests []CloseRequest
	for id, p := range c.pools {
		if p.wantedLevel() < AdmitAll && now.Sub(p.sentAt) >= ResendInterval {
			p.sentAt = now
			requests = append(requests, c.request(id, p))
		}
	}
	return requests
}

// IsCurrent reports whether a request of this node is of the pool's present epoch.
func (c *Controller) IsCurrent(request CloseRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isCurrent(request, c.pool(request.Pool))
}

func (c *Controller) isCurrent(request CloseRequest, p *poolState) bool {
	return request.Run == c.run && request.Epoch == p.epoch
}

// Acknowledge records that a member acknowledged a close request that was sent at
// the given time. The acknowledgement expires CloseTTL after that time, less
// maxClockDrift. One of an earlier epoch is ignored.
func (c *Controller) Acknowledge(from ident.NodeID, request CloseRequest, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(request.Pool)
	if !c.isCurrent(request, p) {
		return
	}
	ttl := time.Duration(float64(CloseTTL) * (1 - maxClockDrift))
	if p.acks[from] == nil {
		p.acks[from] = &levelExpiries{}
	}
	p.acks[from].add(request.Level, sent.Add(ttl))
}

// Level returns the lowest tier that is admitted on this node.
func (c *Controller) Level(id ident.PoolID, now time.Time) ident.Tier {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[id]
	if p == nil {
		return AdmitAll
	}
	return min(p.wantedLevel(), p.closed.lowest(now))
}

// Admits reports whether a tier is admitted on this node.
func (c *Controller) Admits(id ident.PoolID, tier ident.Tier, now time.Time) bool {
	return tier <= c.Level(id, now)
}

// CanShed reports whether a tier may be shed: it is the lowest tier of the pool,
// or this node wants all lower tiers closed and every given member acknowledged
// that they are.
func (c *Controller) CanShed(id ident.PoolID, tier, lowest ident.Tier, members []ident.NodeID, now time.Time) bool {
	if tier >= lowest {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(id)
	if p.wantedLevel() > tier {
		return false
	}
	for _, node := range members {
		acks := p.acks[node]
		if acks == nil || acks.lowest(now) > tier {
			return false
		}
	}
	return true
}

// Totals returns the closures of each pool that this node has wanted, with how long it did.
func (c *Controller) Totals(now time.Time) map[ident.PoolID]Total {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[ident.PoolID]Total{}
	for id, p := range c.pools {
		total := p.total
		if p.wantedLevel() < AdmitAll {
			total.Lasted += now.Sub(p.closedSince)
		}
		if total.Closures > 0 {
			all[id] = total
		}
	}
	return all
}
