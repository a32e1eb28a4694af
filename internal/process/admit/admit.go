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
// # Usage
//
//	c := &admit.Controller{}
//	c.CloseLower(pool, tier, now)            // a queue of this tier is full
//	for _, request := range c.Pending(now) {
//		for _, node := range members {
//			sent := time.Now()
//			send(node, request) // the member calls Close, sheds and replies
//			c.Acknowledge(node, request, sent)
//		}
//	}
//	if c.CanShed(pool, tier, lowest, members, now) { ... }
package admit

import (
	"sync"
	"time"

	"goldcrestwick/internal/request/ident"
)

const (
	// CloseTTL is how long a member keeps tiers closed after a close request.
	CloseTTL = 3 * time.Second
	// ResendInterval is the time between close requests.
	ResendInterval = 500 * time.Millisecond
	// levelTTL is how long a wanted level lasts after the last call of
	// CloseLower for it, so that lower tiers do not open and close with every
	// short queue.
	levelTTL = 2 * time.Second
	// maxClockDrift is the fraction of CloseTTL by which clocks may drift apart.
	maxClockDrift = 0.1
)

// AdmitAll is the level of a pool in which every tier is admitted.
const AdmitAll = ident.Tier(ident.MaxTiers - 1)

// CloseRequest is a request to close the tiers of a pool below Level. Tier 0 is
// the highest, so a stricter level is a lower number.
type CloseRequest struct {
	Pool  ident.PoolID
	Level ident.Tier
}

// Controller holds the admission levels of all pools on one node. The zero value
// is ready for use and safe for concurrent use.
type Controller struct {
	mu    sync.Mutex
	pools map[ident.PoolID]*poolState
}

type poolState struct {
	wanted expiringLevel
	// closures and acks track each level separately, since messages can be
	// reordered: a late, less strict message must not undo a stricter one.
	closures levelExpiries
	acks     map[ident.NodeID]*levelExpiries
}

// expiringLevel is a level that is active until expiresAt.
type expiringLevel struct {
	level     ident.Tier
	expiresAt time.Time
}

func (l expiringLevel) isActive(now time.Time) bool { return now.Before(l.expiresAt) }

// levelExpiries holds the expiry time of each level.
type levelExpiries [ident.MaxTiers]time.Time

func (l *levelExpiries) add(level ident.Tier, expiresAt time.Time) {
	if level < ident.MaxTiers && expiresAt.After(l[level]) {
		l[level] = expiresAt
	}
}

// lowest returns the strictest unexpired level, or AdmitAll if there is none.
func (l *levelExpiries) lowest(now time.Time) ident.Tier {
	for level, expiresAt := range l {
		if now.Before(expiresAt) {
			return ident.Tier(level)
		}
	}
	return AdmitAll
}

func (c *Controller) pool(id ident.PoolID) *poolState {
	if c.pools == nil {
		c.pools = map[ident.PoolID]*poolState{}
	}
	p := c.pools[id]
	if p == nil {
		p = &poolState{acks: map[ident.NodeID]*levelExpiries{}}
		c.pools[id] = p
	}
	return p
}

// CloseLower sets this node's wanted level of a pool to the given tier for
// levelTTL, unless a stricter level is active. It reports whether the level was not
// as strict before.
func (c *Controller) CloseLower(id ident.PoolID, tier ident.Tier, now time.Time) (isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(id)
	if p.wanted.isActive(now) && p.wanted.level < tier {
		return false
	}
	isNew = !p.wanted.isActive(now) || p.wanted.level > tier
	p.wanted = expiringLevel{tier, now.Add(levelTTL)}
	return isNew
}

// Pending returns the close requests to send to every member now.
func (c *Controller) Pending(now time.Time) []CloseRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var requests []CloseRequest
	for id, p := range c.pools {
		if p.wanted.isActive(now) && p.wanted.level < AdmitAll {
			requests = append(requests, CloseRequest{id, p.wanted.level})
		}
	}
	return requests
}

// Close closes the tiers below the requested level on this node for CloseTTL. The
// caller must shed the queued requests of those tiers before it acknowledges.
func (c *Controller) Close(request CloseRequest, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(request.Pool).closures.add(request.Level, now.Add(CloseTTL))
}

// Acknowledge records that a member acknowledged a close request that was sent at
// the given time. The acknowledgement expires CloseTTL after that time, less
// maxClockDrift.
func (c *Controller) Acknowledge(from ident.NodeID, request CloseRequest, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ttl := time.Duration(float64(CloseTTL) * (1 - maxClockDrift))
	acks := c.pool(request.Pool).acks
	if acks[from] == nil {
		acks[from] = &levelExpiries{}
	}
	acks[from].add(request.Level, sent.Add(ttl))
}

// Level returns the lowest tier that is admitted on this node.
func (c *Controller) Level(id ident.PoolID, now time.Time) ident.Tier {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.level(id, now)
}

func (c *Controller) level(id ident.PoolID, now time.Time) ident.Tier {
	p := c.pools[id]
	if p == nil {
		return AdmitAll
	}
	level := p.closures.lowest(now)
	if p.wanted.isActive(now) {
		level = min(level, p.wanted.level)
	}
	return level
}

// Admits reports whether a tier is admitted on this node.
func (c *Controller) Admits(id ident.PoolID, tier ident.Tier, now time.Time) bool {
	return tier <= c.Level(id, now)
}

// CanShed reports whether a tier may be shed: it is the lowest tier of the pool,
// or all lower tiers are closed on this node and every given member acknowledged
// that they are.
func (c *Controller) CanShed(id ident.PoolID, tier, lowest ident.Tier, members []ident.NodeID, now time.Time) bool {
	if tier >= lowest {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.level(id, now) > tier {
		return false
	}
	p := c.pool(id)
	for _, node := range members {
		acks := p.acks[node]
		if acks == nil || acks.lowest(now) > tier {
			return false
		}
	}
	return true
}
