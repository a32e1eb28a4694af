package sched

import (
	"time"

	"goldcrestwick/internal/process/ident"
)

// FirstToken records that a granted request has completed its prefill phase.
func (c *Cell) FirstToken(id ident.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstToken(c.inflight[id])
}

func (c *Cell) firstToken(g *grant) {
	if g == nil {
		return
	}
	now := c.now()
	if !g.isPrefillDone && !g.isAdopted {
		c.classStats[g.class].addFirstToken(now.Sub(g.grantedAt))
	}
	if !g.isPrefillDone {
		g.firstTokenAt = now
		c.reportAnswerBegun(g)
		if g.stream != "" && c.Started != nil {
			c.Started(g.stream, g.release)
		}
	}
	c.finishPrefill(g)
	c.grantWaiting(now)
}

// Progress records the recent mean inter-token latency of a running request.
func (c *Cell) Progress(id ident.RequestID, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress(c.inflight[id], latency)
}

func (c *Cell) progress(g *grant, latency time.Duration) {
	if g == nil || latency <= 0 {
		return
	}
	now := c.now()
	g.endpoint.updateInterTokenLatency(latency, c.targets(), now)
	g.endpoint.observeLoad(latency, now)
	c.grantWaiting(now)
}

// Complete ends a granted request, whatever the number of its grant, and frees its capacity.
// Tracker.Complete ends a certain grant. Requests that the cell does not know are ignored; they occur after a cell has moved to another node.
func (c *Cell) Complete(id ident.RequestID, completion Completion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.inflight[id]; g != nil {
		delete(c.inflight, id)
		c.complete(g, completion, false)
	}
}

// complete ends a grant that is not in flight any more. IsReleased says that its capacity is
// free already.
func (c *Cell) complete(g *grant, completion Completion, isReleased bool) {
	now := c.now()
	if !completion.Unused && !completion.Failed {
		c.residenceTime.add(g.charge, now.Sub(g.grantedAt), completion.Refused, now)
	}
	if completion.Leaving {
		g.endpoint.hasAnnouncedLeaving = true
	}
	if completion.Refused && !completion.Failed {
		c.recordRejection(g.endpoint, completion.Statement, now)
	}
	if completion.Statement != nil {
		g.endpoint.updateLimit(completion.Statement.RateLimit, g.grantedAt, now)
	}
	if c.Ended != nil && !g.isAdopted {
		ended := Ended{
			Pool: c.Pool.ID, Endpoint: g.endpoint.EndpointSpec, GrantedAt: g.grantedAt, Traits: g.traits,
			IsAnswered: g.isPrefillDone || completion.Erred, Completion: completion,
		}
		if g.isPrefillDone {
			ended.RanFor = now.Sub(g.firstTokenAt)
		}
		c.Ended(ended)
	}
	c.reportAnswerEnded(g, completion, now)
	if !isReleased {
		c.finishPrefill(g)
	}
	c.recordCompletion(g, completion, now)
	if !isReleased {
		c.releaseGrant(g, &completion)
	}
	*g = grant{}
	c.freeGrants = append(c.freeGrants, g)
	c.grantWaiting(now)
}
