package claims

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
)

const (
	// gatherTime is how long claims are gathered into one transaction.
	gatherTime = 10 * time.Millisecond
	maxBatch   = 128
	// maxRecords bounds the claims kept in memory; the table has them all.
	maxRecords = 50_000
	retryPause = 200 * time.Millisecond
	// tenureMargin is how much older than a key the home must be.
	tenureMargin = 10 * time.Second
)

// Coordinator answers claims for the keys whose home is this node. Set the fields,
// then run Run. Methods are safe for concurrent use.
type Coordinator struct {
	// Transact applies a transaction in the table service.
	Transact func(context.Context, []store.Check, []store.Write) (store.Result, error)
	// WriteRate returns this home's share of the fleet's claim transactions a
	// second; nil is without limit.
	WriteRate func() float64
	// Tenure returns since when this node has been home without a break; nil
	// or a zero time is never.
	Tenure func() time.Time

	mu      sync.Mutex
	records map[Key]*record
	oldest  []Key
	pending chan *pendingRow
	stopped chan struct{}
	once    sync.Once
}

// record is a claim in memory. ready is closed once the verdict is known.
type record struct {
	row     row
	version int64
	state   state
	ready   chan struct{}
	// provisional marks a claim that is not yet in the table.
	provisional bool
}

type pendingRow struct {
	row     row
	version int64
	done    chan written
}

// written is the outcome of one row of a batch.
type written struct {
	err      error
	applied  bool
	conflict store.Row
}

func (h *Coordinator) setUp() {
	h.once.Do(func() {
		h.pending = make(chan *pendingRow, maxBatch)
		h.stopped = make(chan struct{})
	})
}

// Claim decides a claim. It tries until the context ends; then the verdict is
// Unsure.
func (h *Coordinator) Claim(ctx context.Context, c Claim) Result {
	h.setUp()
	for {
		r, mine := h.open(c)
		if !mine {
			select {
			case <-r.ready:
			case <-ctx.Done():
				return Result{}
			}
			if v, known := h.known(r, c); known {
				return v
			}
			continue
		}
		v := h.decide(ctx, c, r)
		close(r.ready)
		return v
	}
}

// open finds the record of a key or begins one; mine says that the caller has
// to decide it.
func (h *Coordinator) open(c Claim) (*record, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.records == nil {
		h.records = map[Key]*record{}
	}
	if r := h.records[c.Key]; r != nil {
		return r, false
	}
	r := &record{row: rowOf(c), ready: make(chan struct{})}
	h.records[c.Key] = r
	h.oldest = append(h.oldest, c.Key)
	h.evict()
	return r, true
}

// evict forgets the oldest settled records when there are too many.
func (h *Coordinator) evict() {
	for n := len(h.oldest); len(h.records) > maxRecords && n > 0; n-- {
		k := h.oldest[0]
		h.oldest = h.oldest[1:]
		r := h.records[k]
		switch {
		case r == nil:
		case r.state == settled:
			delete(h.records, k)
		default:
			h.oldest = append(h.oldest, k)
		}
	}
}

// known returns the verdict that a decided record gives another claim.
func (h *Coordinator) known(r *record, c Claim) (Result, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch r.state {
	case running, settled:
		return r.row.verdict(c), true
	default:
		return Result{}, false
	}
}

func (h *Coordinator) decide(ctx context.Context, c Claim, r *record) Result {
	version := int64(0)
	for {
		w := h.write(ctx, r.row, version)
		switch {
		case w.err == nil && w.applied:
			return h.take(r, r.row, version+1)
		case w.err == nil:
			held, err := decodeRow(w.conflict.Value)
			switch {
			case err != nil:
				h.drop(c.Key)
				return Result{}
			case held.Token == c.Token:
				return h.take(r, held, w.conflict.Version)
			case held.State == stateReleased:
				version = w.conflict.Version
				continue
			}
			h.settleRecord(r, held, w.conflict.Version)
			return held.verdict(c)
		case h.mayDoWithout(c):
			h.mu.Lock()
			r.provisional = true
			h.mu.Unlock()
			go h.catchUp(r)
			return h.take(r, r.row, 0)
		}
		if eris.Is(w.err, errStopped) || !tick.Sleep(ctx, retryPause) {
			h.drop(c.Key)
			return Result{}
		}
	}
}

// take records a won claim.
func (h *Coordinator) take(r *record, held row, version int64) Result {
	h.settleRecord(r, held, version)
	return Result{Outcome: Won, Request: held.request(), Node: held.node()}
}

func (h *Coordinator) settleRecord(r *record, held row, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.row, r.version, r.state = held, version, running
	if held.State == stateSettled {
		r.state = settled
	}
}

func (h *Coordinator) drop(k Key) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.records, k)
}

// mayDoWithout reports whether a claim can be won while the store is down: the
// key is younger than this home's tenure, so no other home can have seen it,
// and a second run, should two nodes both believe to be home, does no harm.
func (h *Coordinator) mayDoWithout(c Claim) bool {
	if !c.Idempotent || c.Created.IsZero() || h.Tenure == nil {
		return false
	}
	since := h.Tenure()
	return !since.IsZero() && c.Created.After(since.Add(tenureMargin))
}

// catchUp writes a provisional claim once the store is back.
func (h *Coordinator) catchUp(r *record) {
	for {
		h.mu.Lock()
		held := r.row
		h.mu.Unlock()
		w := h.write(context.Background(), held, 0)
		if eris.Is(w.err, errStopped) {
			return
		}
		if w.err == nil {
			h.mu.Lock()
			r.provisional = false
			r.version = max(w.conflict.Version, 1)
			h.mu.Unlock()
			return
		}
		time.Sleep(maxCatchUpPause)
	}
}

const maxCatchUpPause = 5 * time.Second

// Settle stores the answer of a request that ran, so that a repeat gets it.
// It tries until the context ends.
func (h *Coordinator) Settle(ctx context.Context, k Key, token string, stored *Stored) {
	h.finish(ctx, k, token, func(r *row) {
		r.State = stateSettled
		r.keep(stored)
	})
}

// Release gives a key up whose request was certainly not run, so that a repeat
// can run. It tries until the context ends.
func (h *Coordinator) Release(ctx context.Context, k Key, token string) {
	h.finish(ctx, k, token, func(r *row) { r.State = stateReleased })
}

// finish changes the row of a claim whose token matches.
func (h *Coordinator) finish(ctx context.Context, k Key, token string, change func(*row)) {
	h.setUp()
	h.mu.Lock()
	var version int64
	var held row
	if r := h.records[k]; r != nil && r.row.Token == token {
		change(&r.row)
		version, held = r.version, r.row
		switch r.row.State {
		case stateReleased:
			delete(h.records, k)
		case stateSettled:
			r.state = settled
		}
		if r.provisional && held.State == stateSettled {
			// The write to come carries the settled row.
			h.mu.Unlock()
			return
		}
	} else {
		held = row{Key: k.String(), Token: token}
	}
	h.mu.Unlock()
	for {
		w := h.write(ctx, held, version)
		if w.err == nil && w.applied {
			return
		}
		if w.err == nil {
			found, err := decodeRow(w.conflict.Value)
			if err != nil || found.Token != token || found.State != stateRunning {
				return
			}
			change(&found)
			held, version = found, w.conflict.Version
			continue
		}
		if eris.Is(w.err, errStopped) || !tick.Sleep(ctx, retryPause) {
			return
		}
	}
}

// write puts one row into the next batch and waits for its outcome.
func (h *Coordinator) write(ctx context.Context, r row, version int64) written {
	p := &pendingRow{row: r, version: version, done: make(chan written, 1)}
	select {
	case h.pending <- p:
	case <-ctx.Done():
		return written{err: ctx.Err()}
	case <-h.stopped:
		return written{err: errStopped}
	}
	select {
	case w := <-p.done:
		return w
	case <-ctx.Done():
		return written{err: ctx.Err()}
	case <-h.stopped:
		return written{err: errStopped}
	}
}

// Run gathers rows into transactions until the context ends.
func (h *Coordinator) Run(ctx context.Context) {
	h.setUp()
	defer close(h.stopped)
	limiter := rate.NewLimiter(rate.Inf, 1)
	for {
		batch := h.gather(ctx)
		if len(batch) == 0 {
			return
		}
		if h.WriteRate != nil {
			limiter.SetLimit(rate.Limit(h.WriteRate()))
		}
		if limiter.Wait(ctx) != nil {
			return
		}
		h.commit(ctx, batch)
	}
}

// gather waits for a row and takes those that follow within a short while.
func (h *Coordinator) gather(ctx context.Context) []*pendingRow {
	var batch []*pendingRow
	select {
	case p := <-h.pending:
		batch = append(batch, p)
	case <-ctx.Done():
		return nil
	}
	end := time.NewTimer(gatherTime)
	defer end.Stop()
	for len(batch) < maxBatch {
		select {
		case p := <-h.pending:
			batch = append(batch, p)
		case <-end.C:
			return batch
		}
	}
	return batch
}

// commit writes a batch. Rows whose check failed are answered with the row as
// it is, and the rest is tried again without them.
func (h *Coordinator) commit(ctx context.Context, batch []*pendingRow) {
	for len(batch) > 0 {
		checks := make([]store.Check, len(batch))
		writes := make([]store.Write, len(batch))
		for i, p := range batch {
			checks[i] = store.Check{Table: Table, Key: p.row.Key, Version: p.version}
			writes[i] = store.Write{Table: Table, Key: p.row.Key, Value: p.row.encode()}
		}
		result, err := h.Transact(ctx, checks, writes)
		if err != nil || result.Applied {
			for _, p := range batch {
				p.done <- written{err: err, applied: result.Applied}
			}
			return
		}
		batch = answerConflicts(batch, result.Conflicts)
	}
}

func answerConflicts(batch []*pendingRow, conflicts []store.Row) []*pendingRow {
	held := map[string]store.Row{}
	for _, c := range conflicts {
		held[c.Key] = c
	}
	var rest []*pendingRow
	for _, p := range batch {
		if c, ok := held[p.row.Key]; ok {
			p.done <- written{conflict: c}
			continue
		}
		rest = append(rest, p)
	}
	if len(rest) == len(batch) {
		for _, p := range rest {
			p.done <- written{err: errNoConflict}
		}
		return nil
	}
	return rest
}
