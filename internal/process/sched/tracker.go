package sched

import (
	"time"

	"goldcrestwick/internal/process/ident"
)

// supersededTime is how long the completion of a grant is awaited after its request was
// granted again. It comes on a connection of its own, delayed by the network only.
const supersededTime = 10 * time.Second

// Tracker applies the reports on one grant. A request that is granted again, after its first
// attempt failed, has the same identifier, and reports on the two grants may arrive in any
// order.
type Tracker struct {
	cell   *Cell
	id     ident.RequestID
	number uint64
}

// Track returns the tracker of a request's grant, which r.Response holds.
func (c *Cell) Track(r *GrantRequest) Tracker { return Tracker{c, r.Request, r.Response.Sequence} }

// supersededGrant is a grant that was released when its request was granted again.
type supersededGrant struct {
	*grant
	at time.Time
}

// supersede releases a grant whose request is granted again, and keeps it for its completion.
func (c *Cell) supersede(g *grant) {
	now := c.now()
	isPrefillDone := g.isPrefillDone
	c.releaseGrant(g, nil)
	// The completion tells from this whether the request was answered.
	g.isPrefillDone = isPrefillDone
	for number, old := range c.superseded {
		if now.Sub(old.at) > supersededTime {
			delete(c.superseded, number)
		}
	}
	if g.number == 0 {
		return
	}
	if c.superseded == nil {
		c.superseded = map[uint64]supersededGrant{}
	}
	c.superseded[g.number] = supersededGrant{g, now}
}

// find returns the grant if it is in flight, or nil.
func (t Tracker) find() *grant {
	if g := t.cell.inflight[t.id]; g != nil && g.number == t.number {
		return g
	}
	return nil
}

// IsInFlight reports whether the grant has not ended.
func (t Tracker) IsInFlight() bool {
	t.cell.mu.Lock()
	defer t.cell.mu.Unlock()
	return t.find() != nil
}

// UpdateEndpoint is Cell.UpdateEndpoint for the grant.
func (t Tracker) UpdateEndpoint(s Statement) {
	t.cell.mu.Lock()
	defer t.cell.mu.Unlock()
	t.cell.updateEndpoint(t.find(), s)
}

// FirstToken is Cell.FirstToken for the grant.
func (t Tracker) FirstToken() {
	t.cell.mu.Lock()
	defer t.cell.mu.Unlock()
	t.cell.firstToken(t.find())
}

// Progress is Cell.Progress for the grant.
func (t Tracker) Progress(latency time.Duration) {
	t.cell.mu.Lock()
	defer t.cell.mu.Unlock()
	t.cell.progress(t.find(), latency)
}

// Complete is Cell.Complete for the grant. If the request was granted again meanwhile, the
// grant's capacity is free already; what the completion says of the endpoint is recorded.
func (t Tracker) Complete(completion Completion) {
	c := t.cell
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := t.find(); g != nil {
		delete(c.inflight, t.id)
		c.complete(g, completion, false)
		return
	}
	if old, ok := c.superseded[t.number]; ok {
		delete(c.superseded, t.number)
		c.complete(old.grant, completion, true)
	}
}
