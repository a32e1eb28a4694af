package admit

import (
	"time"

	"goldcrestwick/internal/process/ident"
)

// requester identifies a process that requests closures. Those of a restarted node are
// another one's.
type requester struct {
	node ident.NodeID
	run  uint64
}

// closure holds what one requester has closed in its latest known epoch.
type closure struct {
	epoch     uint64
	updatedAt time.Time
	levels    levelExpiries
}

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

// Close applies a close request of another node: it closes the tiers below the requested level
// on this node for CloseTTL, and opens those that the node closed in earlier epochs. It
// returns false, and does nothing, if the requesting node has given up the request's epoch; the
// request must not be acknowledged then. Otherwise the caller must shed the queued requests of
// the closed tiers before it acknowledges.
func (c *Controller) Close(from ident.NodeID, request CloseRequest, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(request.Pool)
	p.dropOld(now)
	by := requester{from, request.Run}
	latest := p.closures[by]
	switch {
	case latest == nil || request.Epoch > latest.epoch:
		latest = &closure{epoch: request.Epoch}
		p.closures[by] = latest
	case request.Epoch < latest.epoch:
		return false
	}
	latest.updatedAt = now
	if request.Level < AdmitAll {
		latest.levels.add(request.Level, now.Add(CloseTTL))
	}
	p.closed = levelExpiries{}
	for _, of := range p.closures {
		for level, expiresAt := range of.levels {
			p.closed.add(ident.Tier(level), expiresAt)
		}
	}
	return true
}

// dropOld drops closures that have expired. A request of an earlier epoch that arrives after
// that closes tiers for CloseTTL, but its acknowledgement does not count.
func (p *poolState) dropOld(now time.Time) {
	for by, held := range p.closures {
		if now.Sub(held.updatedAt) > 2*CloseTTL {
			delete(p.closures, by)
		}
	}
}
