package sched

import (
	"cmp"
	"slices"
	"time"

	"goldcrestwick/internal/process/ident"
)

// arrivalTime is how long a grant may take until its endpoint counts the call: it covers the
// delay until the entry node has the grant and the endpoint has the call. Grants of this age
// may be missing from the endpoint's count although they have not ended.
const arrivalTime = 200 * time.Millisecond

// SetOrphaned records whether the entry node of the grant fails to respond. While it does, the
// endpoint's own count decides whether a call still occupies capacity.
//
// The load pattern behind it is the loss of many entry nodes at once under load. Until the
// other nodes declare them dead, which is some seconds later, their calls of some milliseconds
// would occupy the slots of a small service that is idle.
func (t Tracker) SetOrphaned(isOrphaned bool) {
	t.cell.mu.Lock()
	defer t.cell.mu.Unlock()
	if g := t.find(); g != nil && g.isOrphaned != isOrphaned {
		g.setOrphaned(isOrphaned)
	}
}

func (g *grant) setOrphaned(isOrphaned bool) {
	g.isOrphaned = isOrphaned
	if isOrphaned {
		g.endpoint.orphans++
	} else {
		g.endpoint.orphans--
	}
}

// Release frees the capacity of the grant if it is in flight, without a completion that would
// say something of its endpoint.
func (t Tracker) Release() {
	t.cell.mu.Lock()
	defer t.cell.mu.Unlock()
	if g := t.find(); g != nil {
		t.cell.releaseGrant(g, nil)
		delete(t.cell.inflight, t.id)
		t.cell.grantWaiting(t.cell.now())
	}
}

// releaseOrphans releases the oldest orphaned calls of an endpoint, up to the number by which
// the cell's count exceeds the endpoint's. Calls that may not have arrived there, and those
// whose end may not have reached the cell, do not count. Requests of engines last for seconds,
// and stay until their deadline.
func (c *Cell) releaseOrphans(e *endpoint, o Occupancy, now time.Time) {
	if e.orphans == 0 || e.Kind != ident.ApplicationRunner {
		return
	}
	excess := e.running - o.Running - o.Waiting - e.transit.of(e.running)
	var orphans []ident.RequestID
	for id, g := range c.inflight {
		switch {
		case g.endpoint != e:
		case now.Sub(g.grantedAt) < arrivalTime:
			excess--
		case g.isOrphaned:
			orphans = append(orphans, id)
		}
	}
	slices.SortFunc(orphans, func(a, b ident.RequestID) int {
		return cmp.Or(c.inflight[a].grantedAt.Compare(c.inflight[b].grantedAt), cmp.Compare(a, b))
	})
	for _, id := range orphans[:min(max(excess, 0), len(orphans))] {
		c.releaseGrant(c.inflight[id], nil)
		delete(c.inflight, id)
	}
}
