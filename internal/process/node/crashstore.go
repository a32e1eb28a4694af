package node

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/poison"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
)

const (
	// crashWriteInterval is the least time between two writes of a node, and
	// crashRetryDelay the time after which a failed one is made again, unless there is
	// another crash before.
	crashWriteInterval = 200 * time.Millisecond
	crashRetryDelay    = time.Second
	// crashCallTimeout bounds a write.
	crashCallTimeout = time.Second
	// crashRemovalDelay is the time after the start at which outdated rows are removed. The
	// members of the fleet are known then.
	crashRemovalDelay = 10 * time.Second
	// maxCrashRows is the number of rows of a write, which may have 1 MB. Values grow by a third,
	// as they are sent in base64.
	maxCrashRows = 11
	// crashWriteRate is the number of writes per second of all nodes. The store's partition
	// takes 150 transactions per second, which others need as well.
	crashWriteRate = 75
	// minSettleDelay and maxSettleDelay bound the time after a crash at which its row is
	// written again if some of it is refuted. Until then, requests that ran at the endpoint
	// or have the same traits have completed elsewhere.
	minSettleDelay = time.Second
	maxSettleDelay = 5 * time.Second
)

// crashStore holds what this node writes to crashTable.
type crashStore struct {
	// hasUnwritten is set when there is a new crash to write.
	hasUnwritten tick.Signal
	mu           sync.Mutex
	// unwritten holds the crashes that are to be written, and written those that were, the
	// oldest first.
	unwritten, written []poison.Crash
	// nextSlots holds the slot of the next row of each pool.
	nextSlots map[ident.PoolID]int
	// unsettled holds the rows that were written and may have to be written once more.
	unsettled map[crashSlot]unsettledRow
}

// crashSlot is a row of this node.
type crashSlot struct {
	pool ident.PoolID
	slot int
}

func (s crashSlot) key(node ident.NodeID) string {
	return fmt.Sprintf("%s|%s|%02d", s.pool, node, s.slot)
}

// unsettledRow has the crashes of a row, and when it is to be written again without those of
// them, and of their traits, that are refuted by then.
type unsettledRow struct {
	crashes []poison.Crash
	at      time.Time
}

// add has crashes written.
func (s *crashStore) add(crashes []poison.Crash) {
	if len(crashes) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unwritten = keepLatest(append(s.unwritten, crashes...))
	s.hasUnwritten.Set()
}

// keepLatest drops the oldest crashes that do not fit into the rows of a node.
func keepLatest(crashes []poison.Crash) []poison.Crash {
	size := 0
	for i := len(crashes) - 1; i >= 0; i-- {
		if size += sizeInRow(crashes[i]); size > crashSlots*maxCrashRowBytes {
			return crashes[i+1:]
		}
	}
	return crashes
}

// take removes the oldest crashes that are to be written and are confirmed, as many of each
// pool as fit into one row.
func (s *crashStore) take(now time.Time) map[ident.PoolID][]poison.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, sizes := map[ident.PoolID][]poison.Crash{}, map[ident.PoolID]int{}
	var rest []poison.Crash
	for _, c := range s.unwritten {
		pool := c.Endpoint.Pool
		if now.Sub(c.At) < poison.ConfirmDelay {
			rest = append(rest, c)
			continue
		}
		if sizes[pool] += sizeInRow(c); sizes[pool] > maxCrashRowBytes || rows[pool] == nil && len(rows) >= maxCrashRows {
			rest = append(rest, c)
			continue
		}
		rows[pool] = append(rows[pool], c)
	}
	s.unwritten = rest
	return rows
}

// finish records the outcome of a write of the crashes that take returned.
func (s *crashStore) finish(rows map[ident.PoolID][]poison.Crash, isWritten bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pool, crashes := range rows {
		if !isWritten {
			s.unwritten = keepLatest(append(crashes, s.unwritten...))
			continue
		}
		if s.unsettled == nil {
			s.unsettled = map[crashSlot]unsettledRow{}
		}
		at := crashes[len(crashes)-1].At.Add(minSettleDelay + rand.N(maxSettleDelay-minSettleDelay))
		s.unsettled[crashSlot{pool, s.nextSlots[pool]}] = unsettledRow{crashes, at}
		s.nextSlots[pool] = (s.nextSlots[pool] + 1) % crashSlots
		s.written = keepLatest(append(s.written, crashes...))
	}
}

// takeSettled removes and returns the crashes of the rows that are due to be written again, at
// most those of one write.
func (s *crashStore) takeSettled(now time.Time) map[crashSlot][]poison.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	settled := map[crashSlot][]poison.Crash{}
	for slot, row := range s.unsettled {
		if !now.Before(row.at) && len(settled) < maxCrashRows {
			settled[slot] = row.crashes
			delete(s.unsettled, slot)
		}
	}
	return settled
}

// next returns the time until a row can be written, or written again. It is false if there is
// none.
func (s *crashStore) next(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Time
	if len(s.unwritten) > 0 {
		first = s.unwritten[0].At.Add(poison.ConfirmDelay)
	}
	for _, row := range s.unsettled {
		if first.IsZero() || row.at.Before(first) {
			first = row.at
		}
	}
	return max(first.Sub(now), 0), !first.IsZero()
}

// rewrite has the crashes that were written written again, after the store was restored
// from an older copy.
func (s *crashStore) rewrite(now time.Time) {
	s.mu.Lock()
	var lost []poison.Crash
	for _, c := range s.written {
		if now.Sub(c.At) <= poison.EvidenceTime {
			lost = append(lost, c)
		}
	}
	s.written = nil
	s.unwritten = keepLatest(append(lost, s.unwritten...))
	s.mu.Unlock()
	if len(lost) > 0 {
		s.hasUnwritten.Set()
	}
}

// keepCrashes reads the crashes that were written before this node started as soon as it owns a
// cell, and writes those that it sees, until ctx is done. Most nodes of a large fleet never own
// one and make no call, and none reads a table that is empty by the marks that it has read.
func (n *Node) keepCrashes(ctx context.Context, marksRead <-chan struct{}) {
	select {
	case <-ctx.Done():
		return
	case <-n.poison.ownsCell.C():
	}
	if n.readMarkedTable(ctx, marksRead, crashTable, n.addCrashRows) {
		n.countCrashCall("read", nil)
	}
	if ctx.Err() != nil {
		return
	}
	n.writeCrashes(ctx)
}

// writeCrashes writes crashes to the store until ctx is done. It begins when the table was
// read, so that a node that was started again does not overwrite its latest rows.
func (n *Node) writeCrashes(ctx context.Context) {
	retry := time.NewTimer(0)
	defer retry.Stop()
	retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.poison.rows.hasUnwritten.C():
		case <-retry.C:
		}
		now := time.Now()
		rows := n.poison.rows.take(now)
		for pool, crashes := range rows {
			if rows[pool] = n.poison.detector.Standing(crashes); len(rows[pool]) == 0 {
				delete(rows, pool)
			}
		}
		isWritten := true
		if len(rows) > 0 {
			isWritten = n.writeCrashRows(ctx, rows)
		}
		var settled map[crashSlot][]poison.Crash
		if isWritten {
			settled = n.poison.rows.takeSettled(now)
			n.settleCrashRows(ctx, settled)
		}
		spread := n.crashWriteSpread()
		pause := max(crashWriteInterval, spread)
		if (len(rows) > 0 || len(settled) > 0) && !tick.Sleep(ctx, pause+rand.N(pause/2)) {
			return
		}
		if !isWritten {
			retry.Reset(crashRetryDelay)
		} else if wait, ok := n.poison.rows.next(time.Now()); ok {
			// Owners that saw the same moment of crashes do not write at the same moment.
			retry.Reset(wait + rand.N(spread))
		}
	}
}

// crashWriteSpread returns the time over which all owners of cells spread one write each, so that
// they do not exceed crashWriteRate.
func (n *Node) crashWriteSpread() time.Duration {
	owners := map[ident.NodeID]bool{n.Process.Name: true}
	for _, c := range n.cells.Roster().All() {
		if deciders := n.cells.PreferenceList(c.ID); len(deciders) > 0 {
			owners[deciders[0].ID] = true
		}
	}
	return time.Duration(len(owners)) * time.Second / crashWriteRate
}

// settleCrashRows writes rows again without what is refuted. If it fails, the rows stay as they
// are; the nodes that run ignore them.
func (n *Node) settleCrashRows(ctx context.Context, rows map[crashSlot][]poison.Crash) {
	var writes []store.Write
	for slot, crashes := range rows {
		standing := n.poison.detector.Standing(crashes)
		if isSame(standing, crashes) {
			continue
		}
		// Without a value the row is removed.
		write := store.Write{Table: crashTable, Key: slot.key(n.Process.Name)}
		if len(standing) > 0 {
			write.Value = n.encodeCrashes(standing)
		}
		writes = append(writes, write)
	}
	if len(writes) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, crashCallTimeout)
	defer cancel()
	_, err := n.Store.Service.Transact(callCtx, nil, writes)
	n.countCrashCall("settle", err)
	if err != nil {
		n.Log.Debug("crashes_not_settled", "rows", len(writes), "error", err)
	}
}

// isSame reports whether all crashes stand with all of their traits.
func isSame(standing, crashes []poison.Crash) bool {
	return slices.EqualFunc(standing, crashes, func(a, b poison.Crash) bool { return len(a.Traits) == len(b.Traits) })
}

func (n *Node) encodeCrashes(crashes []poison.Crash) []byte {
	var traits []ident.Trait
	for _, c := range crashes {
		traits = append(traits, c.Traits...)
	}
	return encodeCrashRow(crashes, n.poison.detector.CompletedAt(traits), time.Now())
}

// writeCrashRows makes one write and reports whether it succeeded.
func (n *Node) writeCrashRows(ctx context.Context, rows map[ident.PoolID][]poison.Crash) bool {
	var writes []store.Write
	n.poison.rows.mu.Lock()
	slots := maps.Clone(n.poison.rows.nextSlots)
	n.poison.rows.mu.Unlock()
	for pool, crashes := range rows {
		key := crashSlot{pool, slots[pool]}.key(n.Process.Name)
		writes = append(writes, store.Write{Table: crashTable, Key: key, Value: n.encodeCrashes(crashes)})
	}
	writes = append(writes, markOf(crashTable, time.Now()))
	callCtx, cancel := context.WithTimeout(ctx, crashCallTimeout)
	defer cancel()
	era := n.Store.Era()
	_, err := n.Store.Service.Transact(callCtx, nil, writes)
	if err == nil && n.Store.Era() != era {
		err = errStoreRestored
	}
	n.poison.rows.finish(rows, err == nil)
	n.countCrashCall("write", err)
	if err != nil {
		n.Log.Debug("crashes_not_written", "pools", len(rows), "error", err)
	}
	return err == nil
}

func (n *Node) countCrashCall(operation string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	n.meter.Count("goldcrestwick_crash_store_calls_total", 1, "operation", operation, "result", result)
}
