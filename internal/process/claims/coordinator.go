package claims

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
)

const (
	// maxBatchDelay is how long the first row of a batch waits for others, and
	// maxBatchRows limits the rows of a batch, which is one transaction.
	maxBatchDelay = 10 * time.Millisecond
	maxBatchRows  = 128
	// maxRecords is the number of claims in memory above which settled ones are
	// evicted; the table holds all claims.
	maxRecords = 50_000
	// retryInterval is the wait after a failed write while a claim is decided,
	// settled or released. The write of a provisional claim, for which no caller
	// waits, is retried after provisionalRetryInterval.
	retryInterval = 200 * time.Millisecond
	// coordinatorAgeMargin is how long before a key's creation this node must
	// have become coordinator for the key to be won without the store.
	coordinatorAgeMargin = 10 * time.Second
)

// Coordinator decides claims for the keys that this node coordinates. Set the
// exported fields, then call Run. Methods are safe for concurrent use.
type Coordinator struct {
	// Transact applies a transaction in the table service.
	Transact func(context.Context, []store.Check, []store.Write) (store.Result, error)
	// WriteRate returns this node's share of the fleet's claim transactions
	// per second; nil is no limit.
	WriteRate func() float64
	// Since returns the start of this node's current, uninterrupted time as
	// coordinator. If it is nil or returns the zero time, no claim is won
	// without the store.
	Since func() time.Time

	mu        sync.Mutex
	records   map[Key]*record
	keysByAge []Key
	pending   chan *pendingRow
	stopped   chan struct{}
	once      sync.Once
}

// record is a claim in memory. ready is closed once the claim is decided.
type record struct {
	row row
	// version is the version of the row in the table, 0 if it is not there yet.
	version int64
	state   state
	ready   chan struct{}
	// provisional marks a claim that was won without the store and whose first
	// write has not completed.
	provisional bool
}

// pendingRow is a row that waits to be written.
type pendingRow struct {
	row row
	// version is the version that the row must have in the table for the write to
	// be applied, 0 if it must be absent.
	version int64
	done    chan writeResult
}

// writeResult is the outcome of one row of a batch.
type writeResult struct {
	err     error
	applied bool
	// conflict is the row in the table if err is nil and the write was not applied.
	conflict store.Row
}

func (c *Coordinator) setUp() {
	c.once.Do(func() {
		c.pending = make(chan *pendingRow, maxBatchRows)
		c.stopped = make(chan struct{})
	})
}

// Claim decides a claim. While the table cannot be written, it retries. The outcome
// is Unknown if the context ends before the claim is decided, Run has ended, or the
// row of the key cannot be decoded.
func (c *Coordinator) Claim(ctx context.Context, claim Claim) Result {
	c.setUp()
	for {
		r, isNew := c.findOrCreate(claim)
		if !isNew {
			select {
			case <-r.ready:
			case <-ctx.Done():
				return Result{}
			}
			if result, ok := c.resultFor(r, claim); ok {
				return result
			}
			continue
		}
		result := c.decide(ctx, claim, r)
		close(r.ready)
		return result
	}
}

// findOrCreate returns the record of a claim's key. It reports whether it created
// the record, in which case the caller has to decide it.
func (c *Coordinator) findOrCreate(claim Claim) (*record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.records == nil {
		c.records = map[Key]*record{}
	}
	if r := c.records[claim.Key]; r != nil {
		return r, false
	}
	r := &record{row: newRow(claim), ready: make(chan struct{})}
	c.records[claim.Key] = r
	c.keysByAge = append(c.keysByAge, claim.Key)
	c.evict()
	return r, true
}

// evict deletes the oldest settled records while there are more than maxRecords.
// Undecided and running records are kept.
func (c *Coordinator) evict() {
	for n := len(c.keysByAge); len(c.records) > maxRecords && n > 0; n-- {
		k := c.keysByAge[0]
		c.keysByAge = c.keysByAge[1:]
		r := c.records[k]
		switch {
		case r == nil:
		case r.state == settled:
			delete(c.records, k)
		default:
			c.keysByAge = append(c.keysByAge, k)
		}
	}
}

// resultFor returns the result of a claim whose key has a decided record. It
// reports false if the record is undecided, that is, if the decision failed and the
// record was deleted.
func (c *Coordinator) resultFor(r *record, claim Claim) (Result, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.state {
	case running, settled:
		return r.row.resultFor(claim), true
	default:
		return Result{}, false
	}
}

// decide decides a claim with the new record r by writing its row. If it cannot
// decide, it deletes the record and returns the zero Result.
func (c *Coordinator) decide(ctx context.Context, claim Claim, r *record) Result {
	version := int64(0)
	for {
		w := c.write(ctx, r.row, version)
		switch {
		case w.err == nil && w.applied:
			return c.recordWon(r, r.row, version+1)
		case w.err == nil:
			current, err := decodeRow(w.conflict.Value)
			switch {
			case err != nil:
				c.deleteRecord(claim.Key)
				return Result{}
			case current.Token == claim.Token:
				return c.recordWon(r, current, w.conflict.Version)
			case current.State == stateReleased:
				version = w.conflict.Version
				continue
			}
			c.updateRecord(r, current, w.conflict.Version)
			return current.resultFor(claim)
		case c.canWinWithoutStore(claim):
			c.mu.Lock()
			r.provisional = true
			c.mu.Unlock()
			go c.writeProvisional(r)
			return c.recordWon(r, r.row, 0)
		}
		if eris.Is(w.err, errStopped) || !tick.Sleep(ctx, retryInterval) {
			c.deleteRecord(claim.Key)
			return Result{}
		}
	}
}

// recordWon records a won claim and returns its result.
func (c *Coordinator) recordWon(r *record, current row, version int64) Result {
	c.updateRecord(r, current, version)
	return Result{Outcome: Won, Request: current.request(), Node: current.node()}
}

func (c *Coordinator) updateRecord(r *record, current row, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.row, r.version, r.state = current, version, running
	if current.State == stateSettled {
		r.state = settled
	}
}

func (c *Coordinator) deleteRecord(k Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.records, k)
}

// canWinWithoutStore reports whether a claim can be won while the store is down.
// The key must have been created more than coordinatorAgeMargin after this node
// became coordinator, so that no other coordinator can have seen it. The request must be idempotent, because two
// nodes may both act as coordinator and run it twice.
func (c *Coordinator) canWinWithoutStore(claim Claim) bool {
	if !claim.Idempotent || claim.Created.IsZero() || c.Since == nil {
		return false
	}
	since := c.Since()
	return !since.IsZero() && claim.Created.After(since.Add(coordinatorAgeMargin))
}

// writeProvisional writes a provisional claim and retries until the store responds
// or Run has ended. If the key has a row in the table already, that row is kept.
func (c *Coordinator) writeProvisional(r *record) {
	for {
		c.mu.Lock()
		current := r.row
		c.mu.Unlock()
		w := c.write(context.Background(), current, 0)
		if eris.Is(w.err, errStopped) {
			return
		}
		if w.err == nil {
			c.mu.Lock()
			r.provisional = false
			r.version = max(w.conflict.Version, 1)
			c.mu.Unlock()
			return
		}
		time.Sleep(provisionalRetryInterval)
	}
}

// provisionalRetryInterval is the wait after a failed write of a provisional claim.
const provisionalRetryInterval = 5 * time.Second

// Settle settles the key of a request that ran and stores its answer, so that a
// retry gets it. Nil means that there is no answer to store; a retry then gets
// Taken. While the table cannot be written, Settle retries until the context ends.
// A key that another token holds is left unchanged.
func (c *Coordinator) Settle(ctx context.Context, k Key, token string, stored *Stored) {
	c.finish(ctx, k, token, func(r *row) {
		r.State = stateSettled
		r.setStored(stored)
	})
}

// Release releases a key whose request certainly did not run, so that a retry can
// run. While the table cannot be written, it retries until the context ends. A key
// that another token holds is left unchanged.
func (c *Coordinator) Release(ctx context.Context, k Key, token string) {
	c.finish(ctx, k, token, func(r *row) { r.State = stateReleased })
}

// finish applies change to the row of the claim with the given token, in memory
// and in the table.
func (c *Coordinator) finish(ctx context.Context, k Key, token string, change func(*row)) {
	c.setUp()
	c.mu.Lock()
	var version int64
	var current row
	if r := c.records[k]; r != nil && r.row.Token == token {
		change(&r.row)
		version, current = r.version, r.row
		switch r.row.State {
		case stateReleased:
			delete(c.records, k)
		case stateSettled:
			r.state = settled
		}
		if r.provisional && current.State == stateSettled {
			// The next attempt of writeProvisional writes the settled row.
			c.mu.Unlock()
			return
		}
	} else {
		current = row{Key: k.String(), Token: token}
	}
	c.mu.Unlock()
	for {
		w := c.write(ctx, current, version)
		if w.err == nil && w.applied {
			return
		}
		if w.err == nil {
			found, err := decodeRow(w.conflict.Value)
			if err != nil || found.Token != token || found.State != stateRunning {
				return
			}
			change(&found)
			current, version = found, w.conflict.Version
			continue
		}
		if eris.Is(w.err, errStopped) || !tick.Sleep(ctx, retryInterval) {
			return
		}
	}
}
