package claims

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"goldcrestwick/internal/process/store"
)

// write adds a row to the next batch and waits for its outcome.
func (c *Coordinator) write(ctx context.Context, r row, version int64) writeResult {
	p := &pendingRow{row: r, version: version, done: make(chan writeResult, 1)}
	select {
	case c.pending <- p:
	case <-ctx.Done():
		return writeResult{err: ctx.Err()}
	case <-c.stopped:
		return writeResult{err: errStopped}
	}
	select {
	case w := <-p.done:
		return w
	case <-ctx.Done():
		return writeResult{err: ctx.Err()}
	case <-c.stopped:
		return writeResult{err: errStopped}
	}
}

// Run writes pending rows in batches until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	c.setUp()
	defer close(c.stopped)
	limiter := rate.NewLimiter(rate.Inf, 1)
	for {
		batch := c.nextBatch(ctx)
		if len(batch) == 0 {
			return
		}
		if c.WriteRate != nil {
			limiter.SetLimit(rate.Limit(c.WriteRate()))
		}
		if limiter.Wait(ctx) != nil {
			return
		}
		c.commit(ctx, batch)
	}
}

// nextBatch waits for a row and collects those that follow within maxBatchDelay,
// up to maxBatchRows. It returns nil when the context ends.
func (c *Coordinator) nextBatch(ctx context.Context) []*pendingRow {
	var batch []*pendingRow
	select {
	case p := <-c.pending:
		batch = append(batch, p)
	case <-ctx.Done():
		return nil
	}
	end := time.NewTimer(maxBatchDelay)
	defer end.Stop()
	for len(batch) < maxBatchRows {
		select {
		case p := <-c.pending:
			batch = append(batch, p)
		case <-end.C:
			return batch
		}
	}
	return batch
}

// commit writes a batch in one transaction. If the checks of some rows fail, their
// writes end with the conflicting rows of the table, and the remaining rows are
// written in another transaction.
func (c *Coordinator) commit(ctx context.Context, batch []*pendingRow) {
	for len(batch) > 0 {
		checks := make([]store.Check, len(batch))
		writes := make([]store.Write, len(batch))
		for i, p := range batch {
			checks[i] = store.Check{Table: Table, Key: p.row.Key, Version: p.version}
			writes[i] = store.Write{Table: Table, Key: p.row.Key, Value: p.row.encode()}
		}
		result, err := c.Transact(ctx, checks, writes)
		if err != nil || result.Applied {
			for _, p := range batch {
				p.done <- writeResult{err: err, applied: result.Applied}
			}
			return
		}
		batch = completeConflicts(batch, result.Conflicts)
	}
}

// completeConflicts ends the writes of the rows that have a conflict and returns
// the remaining rows. If no row has one, it ends all writes with errNoConflict.
func completeConflicts(batch []*pendingRow, conflicts []store.Row) []*pendingRow {
	conflictByKey := map[string]store.Row{}
	for _, c := range conflicts {
		conflictByKey[c.Key] = c
	}
	var remaining []*pendingRow
	for _, p := range batch {
		if c, ok := conflictByKey[p.row.Key]; ok {
			p.done <- writeResult{conflict: c}
			continue
		}
		remaining = append(remaining, p)
	}
	if len(remaining) == len(batch) {
		for _, p := range remaining {
			p.done <- writeResult{err: errNoConflict}
		}
		return nil
	}
	return remaining
}
