package node

import (
	"context"
	"time"

	"goldcrestwick/internal/process/canary"
)

// nextRow returns the row that says what was decided.
func (c *conductor) nextRow(now time.Time) rolloutRow {
	return rolloutRow{
		OrderVersion: c.order.Version, Target: string(c.order.Target), RampMs: c.order.Ramp.Milliseconds(), IsWithdrawn: c.isWithdrawn,
		Fencing: c.fencing, Conductor: string(c.Process.Name), Write: c.writes, ClockMs: c.clock(now).Milliseconds(),
		WrittenUnixMilli: now.UnixMilli(), State: c.decision.State.String(), Share: c.decision.Share,
		Endpoints: c.decision.Endpoints, Reason: c.decision.Reason, Machine: c.machine.Encode(),
	}
}

// save writes the row in the background if it differs from the confirmed one in more than
// time, or is old.
func (c *conductor) save(ctx context.Context) {
	now := time.Now()
	c.rollouts.mu.Lock()
	restores := c.rollouts.restores
	c.rollouts.mu.Unlock()
	if !c.isLeading || c.results != nil || now.Sub(c.lastWrite) < rolloutWriteInterval {
		return
	}
	state, share, endpoints := c.confirmedState()
	isSame := c.isConfirmed && c.row.Target == string(c.order.Target) && c.row.RampMs == c.order.Ramp.Milliseconds() &&
		c.row.IsWithdrawn == c.isWithdrawn && state == c.decision.State && share == c.decision.Share && endpoints == c.decision.Endpoints
	isSaved := c.decision.State >= canary.Done || now.Sub(c.lastWrite) < rolloutSaveInterval
	if isSame && isSaved && restores == c.restores {
		return
	}
	if restores != c.restores {
		c.restores, c.rowVersion = restores, unknownVersion
	}
	c.writes++
	c.lastWrite = now
	row, version := c.nextRow(now), c.rowVersion
	results := make(chan writeResult, 1)
	c.results = results
	c.tasks.Go(func() {
		outcome, version := c.writeRollout(ctx, c.pool, row, version)
		results <- writeResult{outcome, row, version}
	})
}

// awaitRaise waits for the write of a share that rises, so that it is told in the same step,
// and reports whether it is confirmed.
func (c *conductor) awaitRaise(ctx context.Context) bool {
	if _, share, _ := c.confirmedState(); c.results == nil || c.decision.Share <= share {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, raiseWait)
	defer cancel()
	select {
	case <-ctx.Done():
		return false
	case r := <-c.results:
		c.applyResult(r)
		_, share, _ := c.confirmedState()
		return c.isLeading && c.decision.Share <= share
	}
}

// takeResult takes the outcome of a write if there is one.
func (c *conductor) takeResult() {
	select {
	case r := <-c.results:
		c.applyResult(r)
	default:
	}
}

// applyResult takes the outcome of a write.
func (c *conductor) applyResult(r writeResult) {
	c.results = nil
	if r.row.Fencing != c.fencing || !c.isLeading {
		return
	}
	switch r.outcome {
	case written:
		if r.row.State != c.row.State {
			c.Log.Info("rollout_written", "pool", c.pool, "state", r.row.State, "share", r.row.Share, "fencing", r.row.Fencing)
		}
		c.row, c.rowVersion, c.isConfirmed = r.row, r.version, true
	case outdated:
		c.stop("the row is of a later conductor")
	case notWritten:
		c.rowVersion = r.version
	}
}
