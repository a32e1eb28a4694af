// Package admit keeps the promise that a tier is shed only after all lower
// tiers are closed in the whole pool.
//
// A node whose cells are over their bounds presses the floor of the pool to
// the lowest tier that it still wants admitted. It asks every other member to
// close the tiers below; a member sheds what waits there in those tiers,
// admits none for the time of the hold, and only then acknowledges. The asking
// node counts the time of an acknowledgement from when it sent the question,
// so an acknowledgement that still counts is always covered by a hold that
// still stands. A tier may be shed while every member's acknowledgement counts.
//
// # Usage
//
//	k := &admit.Controller{}
//	k.CloseLower(pool, tier, now)                // a cell is full of this tier
//	for _, request := range k.Pending(now) {     // send to each member
//		peer.Close(request, now)
//		k.Acknowledge(peer, request, sentAt)
//	}
//	if k.CanShed(pool, tier, lowest, members, now) { ... }
package admit

import (
	"sync"
	"time"

	"goldcrestwick/internal/request/ident"
)

const (
	// CloseTTL is how long a member keeps tiers closed after a question.
	CloseTTL = 3 * time.Second
	// ResendInterval is the time between questions.
	ResendInterval = 500 * time.Millisecond
	// wishTime keeps a floor pressed for a while, so that lower tiers do not
	// open and close with every short queue.
	wishTime = 2 * time.Second
	// drift is the share of a hold that clocks may differ by.
	drift = 0.1
)

// AdmitAll is the level of a pool in which every tier is admitted.
const AdmitAll = ident.Tier(ident.MaxTiers - 1)

// CloseRequest asks a node to close the tiers below Level.
type CloseRequest struct {
	Pool  ident.PoolID
	Level ident.Tier
}

// Controller keeps the floors of all pools on one node. The zero value is ready
// for use and safe for concurrent use.
type Controller struct {
	mu    sync.Mutex
	pools map[ident.PoolID]*pool
}

type pool struct {
	wish limit
	// holds and acks keep each level apart, since messages overtake each
	// other: a looser one that comes late must not undo a stricter one.
	holds limits
	acks  map[ident.NodeID]*limits
}

// limit is a level that counts until a time.
type limit struct {
	level ident.Tier
	until time.Time
}

func (l limit) counts(now time.Time) bool { return now.Before(l.until) }

// limits is, for each level, until when it counts.
type limits [ident.MaxTiers]time.Time

func (l *limits) add(level ident.Tier, until time.Time) {
	if level < ident.MaxTiers && until.After(l[level]) {
		l[level] = until
	}
}

// lowest returns the strictest level that counts.
func (l *limits) lowest(now time.Time) ident.Tier {
	for level, until := range l {
		if now.Before(until) {
			return ident.Tier(level)
		}
	}
	return AdmitAll
}

func (k *Controller) pool(id ident.PoolID) *pool {
	if k.pools == nil {
		k.pools = map[ident.PoolID]*pool{}
	}
	p := k.pools[id]
	if p == nil {
		p = &pool{acks: map[ident.NodeID]*limits{}}
		k.pools[id] = p
	}
	return p
}

// CloseLower wishes the tiers below the given one closed for a while.
func (k *Controller) CloseLower(id ident.PoolID, tier ident.Tier, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.pool(id)
	if p.wish.counts(now) && p.wish.level < tier {
		return
	}
	p.wish = limit{tier, now.Add(wishTime)}
}

// Pending returns the questions to send to every member now.
func (k *Controller) Pending(now time.Time) []CloseRequest {
	k.mu.Lock()
	defer k.mu.Unlock()
	var requests []CloseRequest
	for id, p := range k.pools {
		if p.wish.counts(now) && p.wish.level < AdmitAll {
			requests = append(requests, CloseRequest{id, p.wish.level})
		}
	}
	return requests
}

// Close closes the tiers below the requested level on this node for CloseTTL. The
// caller must shed what waits in those tiers before it acknowledges.
func (k *Controller) Close(request CloseRequest, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pool(request.Pool).holds.add(request.Level, now.Add(CloseTTL))
}

// Acknowledge records that a member acknowledged a question sent at a time.
func (k *Controller) Acknowledge(from ident.NodeID, request CloseRequest, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ttl := time.Duration(float64(CloseTTL) * (1 - drift))
	acks := k.pool(request.Pool).acks
	if acks[from] == nil {
		acks[from] = &limits{}
	}
	acks[from].add(request.Level, sent.Add(ttl))
}

// Level returns the lowest tier that is admitted on this node.
func (k *Controller) Level(id ident.PoolID, now time.Time) ident.Tier {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.level(id, now)
}

func (k *Controller) level(id ident.PoolID, now time.Time) ident.Tier {
	p := k.pools[id]
	if p == nil {
		return AdmitAll
	}
	level := p.holds.lowest(now)
	if p.wish.counts(now) {
		level = min(level, p.wish.level)
	}
	return level
}

// Admits reports whether a tier is admitted on this node.
func (k *Controller) Admits(id ident.PoolID, tier ident.Tier, now time.Time) bool {
	return tier <= k.Level(id, now)
}

// CanShed reports whether a tier may be shed: it is the lowest that the pool
// has, or the lower ones are closed here and at every other member.
func (k *Controller) CanShed(id ident.PoolID, tier, lowest ident.Tier, others []ident.NodeID, now time.Time) bool {
	if tier >= lowest {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.level(id, now) > tier {
		return false
	}
	p := k.pool(id)
	for _, node := range others {
		acks := p.acks[node]
		if acks == nil || acks.lowest(now) > tier {
			return false
		}
	}
	return true
}
