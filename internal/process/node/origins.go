package node

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/origin"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
)

const (
	// originTable has the origins of streams that began in pools with several releases. Its
	// keys are POOL|NODE|SLOT, and each node overwrites its rows in turn.
	originTable = "stream_origins"
	// originCallTimeout bounds the calls to the store for origins of streams.
	originCallTimeout = time.Second
	// writeTimePerWriter is the time between two writes of a node for each node that writes,
	// so that all together make at most 100 transactions per second. The store's partition
	// takes 150.
	writeTimePerWriter = 10 * time.Millisecond
	// maxOriginAge is the age from which on a row is ignored. Rows are overwritten sooner,
	// unless their node was not started again.
	maxOriginAge = 2 * time.Minute
	// maxRemovals is the number of rows that are removed by one call.
	maxRemovals = 100
	// removalAttempts bounds the attempts to remove the rows of a pool, and removalPause is
	// the pause between two. Rows that are left are ignored by age.
	removalAttempts = 5
	removalPause    = time.Second
)

// originRow is the value of a row of originTable. The identifiers of the streams of a release
// are joined by originSeparator, which no header of a request can have: a list of 40 decodes
// several times faster than 40 strings.
type originRow struct {
	WrittenUnixMilli int64                    `json:"written_unix_ms"`
	StreamsByRelease map[ident.Release]string `json:"streams_by_release"`
}

const originSeparator = "\n"

func encodeOriginRow(batch origin.Batch, now time.Time) []byte {
	row := originRow{now.UnixMilli(), map[ident.Release]string{}}
	for release, streams := range batch {
		var b strings.Builder
		for i, stream := range streams {
			if i > 0 {
				b.WriteString(originSeparator)
			}
			b.WriteString(string(stream))
		}
		row.StreamsByRelease[release] = b.String()
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // encoding strings cannot fail.
	}
	return value
}

// updateMixed begins to write the origins of the streams of pools that now have several
// releases or share routes with other pools, with those of the streams that began before.
func (n *Node) updateMixed() {
	tree := n.tree.Load()
	for _, pool := range n.releases.listing.Pools() {
		isMixed := n.releases.listing.IsMixed(pool) || tree.SharesStreams(pool)
		n.streams.mu.Lock()
		wasMixed := n.streams.mixed[pool]
		if n.streams.mixed == nil {
			n.streams.mixed = map[ident.PoolID]bool{}
		}
		n.streams.mixed[pool] = isMixed
		n.streams.mu.Unlock()
		if !isMixed || wasMixed {
			continue
		}
		for stream, release := range n.streams.own.All(pool) {
			n.streams.unwritten.Add(stream, origin.Origin{Pool: pool, Release: release})
		}
		n.streams.hasUnwritten.Set()
	}
}

func (n *Node) isMixed(pool ident.PoolID) bool {
	n.streams.mu.Lock()
	defer n.streams.mu.Unlock()
	return n.streams.mixed[pool]
}

// rewriteOrigins writes the origins of this node's cells again, after the store was restored.
func (n *Node) rewriteOrigins() {
	n.streams.mu.Lock()
	clear(n.streams.mixed)
	clear(n.streams.readVersions)
	n.streams.mu.Unlock()
	n.updateMixed()
}

// storeOrigin has the origin of a stream of one of this node's cells written to the store, if
// its pool has several releases.
func (n *Node) storeOrigin(stream ident.RequestID, o origin.Origin) {
	n.streams.own.Add(stream, o, time.Now())
	if n.isMixed(o.Pool) {
		n.streams.unwritten.Add(stream, o)
		n.streams.hasUnwritten.Set()
	}
}

// storeOriginsOf has the origins of the streams that this node serves and a suspected node
// granted written to the store. That node may have been killed before it knew them, and the
// next one to run its cells learns them some seconds later.
func (n *Node) storeOriginsOf(suspect ident.NodeID) {
	for _, cell := range n.cells.Roster().All() {
		if owner, ok := n.cells.Owner(cell.ID); !ok || owner.ID != suspect || !n.isMixed(cell.ID.Pool) {
			continue
		}
		for _, f := range n.entry.InFlight(cell.ID) {
			if f.Started && f.Stream != "" {
				n.storeOrigin(f.Stream, origin.Origin{Pool: cell.ID.Pool, Release: f.Release})
			}
		}
	}
}

// writeOrigins writes origins to the store until ctx is done.
func (n *Node) writeOrigins(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.streams.hasUnwritten.C():
		}
		for !n.streams.unwritten.IsEmpty() {
			started := time.Now()
			n.writeOriginBatch(ctx, started)
			if !tick.Sleep(ctx, n.originWriteInterval()-time.Since(started)) {
				return
			}
		}
	}
}

// originWriteInterval returns the time between two writes, which depends on the number of
// nodes that run cells of pools with several releases.
func (n *Node) originWriteInterval() time.Duration {
	writers := map[ident.NodeID]bool{}
	for _, pool := range n.releases.listing.Pools() {
		if !n.isMixed(pool) {
			continue
		}
		for _, cell := range n.cells.Roster().Cells(pool) {
			if owner, ok := n.cells.Owner(cell.ID); ok {
				writers[owner.ID] = true
			}
		}
	}
	return max(origin.WriteInterval, time.Duration(len(writers))*writeTimePerWriter)
}

// writeOriginBatch makes one write. If it fails, its origins go with the next one.
func (n *Node) writeOriginBatch(ctx context.Context, now time.Time) {
	batches := n.streams.unwritten.Take(n.isMixed)
	if len(batches) == 0 {
		return
	}
	var writes []store.Write
	for pool, batch := range batches {
		key := fmt.Sprintf("%s|%s|%03d", pool, n.Process.Name, origin.RingSlot(now))
		writes = append(writes, store.Write{Table: originTable, Key: key, Value: encodeOriginRow(batch, now)})
	}
	callCtx, cancel := context.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	era := n.Store.Era()
	_, err := n.Store.Service.Transact(callCtx, nil, writes)
	if err == nil && n.Store.Era() != era {
		err = errStoreRestored
	}
	if err != nil {
		n.streams.unwritten.Return(batches)
		n.meter.Count("goldcrestwick_stream_origin_batches_total", 1, "result", "failed")
		n.Log.Debug("stream_origins_not_written", "pools", len(writes), "error", err)
		return
	}
	n.meter.Count("goldcrestwick_stream_origin_batches_total", 1, "result", "written")
}

// removeOrigins removes the rows of originTable of a pool that has a single release.
func (n *Node) removeOrigins(ctx context.Context, pool ident.PoolID) {
	for range removalAttempts {
		count, err := n.tryRemoveOrigins(ctx, pool)
		if err == nil {
			n.Log.Info("stream_origins_removed", "pool", pool, "rows", count)
			return
		}
		n.Log.Warn("stream_origins_not_removed", "pool", pool, "error", err)
		if !tick.Sleep(ctx, removalPause) {
			return
		}
	}
}

func (n *Node) tryRemoveOrigins(ctx context.Context, pool ident.PoolID) (count int, err error) {
	from, to := originRange(pool)
	rows, err := n.Store.ScanRange(ctx, originTable, from, to)
	if err != nil {
		return 0, err
	}
	for len(rows) > 0 {
		part := rows[:min(len(rows), maxRemovals)]
		rows = rows[len(part):]
		writes := make([]store.Write, len(part))
		for i, r := range part {
			writes[i] = store.Write{Table: originTable, Key: r.Key}
		}
		if err := n.writeRows(ctx, writes); err != nil {
			return count, err
		}
		count += len(part)
	}
	return count, nil
}

// originRange returns the bounds of the keys of a pool in originTable.
func originRange(pool ident.PoolID) (from, to string) {
	return string(pool) + "|", string(pool) + string('|'+1)
}
