package node

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/origin"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/request/entry"
	"goldcrestwick/internal/version/config"
)

const (
	// originReadInterval is the least time between two reads of the origins of a pool, and
	// rowReadInterval that between two reads of its row of releaseTable for requests.
	originReadInterval = time.Second
	rowReadInterval    = 200 * time.Millisecond
	// originScanTimeout bounds a read of the origins of a pool, which has several pages.
	originScanTimeout = 3 * time.Second
	// readVersionsTTL is the time for which rows of originTable that have not changed are not
	// decoded again. Their origins are remembered for longer.
	readVersionsTTL = 30 * time.Second
)

// The results of a search for the origin of a stream, as counted.
const (
	originKnownHere = "known_here"
	originKnownPeer = "known_by_peer"
	originStored    = "found_in_store"
	originSole      = "sole_release"
	originRefused   = "refused"
)

// poolReads lets requests share reads of the store. There is at most one at a time for each
// pool.
type poolReads struct {
	mu     sync.Mutex
	latest map[ident.PoolID]*poolRead
}

// poolRead is a read that requests wait for. The fields other than startedAt are valid when
// done is closed.
type poolRead struct {
	// startedAt is zero before the read has started.
	startedAt time.Time
	done      chan struct{}
	err       error
	// row and era are what a read of releaseTable found.
	row origin.Row
	era store.Era
	// routes is what a read of the row routesKey found.
	routes routesRow
}

// wait waits for the read, and returns false if ctx is done first or the read has failed.
func (r *poolRead) wait(ctx context.Context) bool {
	select {
	case <-r.done:
		return r.err == nil
	case <-ctx.Done():
		return false
	}
}

// running returns the latest read of a pool if it has started, or nil.
func (s *poolReads) running(pool ident.PoolID) *poolRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.latest[pool]; r != nil && !r.startedAt.IsZero() {
		return r
	}
	return nil
}

// readSince returns a read of a pool that does not start before a time. It starts one if
// there is none, at the earliest an interval after the one before.
func (n *Node) readSince(s *poolReads, pool ident.PoolID, since time.Time, interval, timeout time.Duration, read func(context.Context, *poolRead)) *poolRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.latest[pool]
	if latest != nil && (latest.startedAt.IsZero() || !latest.startedAt.Before(since)) {
		return latest
	}
	next := &poolRead{done: make(chan struct{})}
	if s.latest == nil {
		s.latest = map[ident.PoolID]*poolRead{}
	}
	s.latest[pool] = next
	n.tasks.Go(func() {
		defer close(next.done)
		if latest != nil {
			latest.wait(n.ctx)
			if !tick.Sleep(n.ctx, time.Until(latest.startedAt.Add(interval))) {
				next.err = n.ctx.Err()
				return
			}
		}
		s.mu.Lock()
		next.startedAt = time.Now()
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(n.ctx, timeout)
		defer cancel()
		read(ctx, next)
	})
	return next
}

// readRow reads the row of a pool's releases, not before a time.
func (n *Node) readRow(pool ident.PoolID, since time.Time) *poolRead {
	return n.readSince(&n.streams.rowReads, pool, since, rowReadInterval, originCallTimeout, func(ctx context.Context, read *poolRead) {
		read.era = n.Store.Era()
		var r store.Row
		if r, read.err = n.readReleaseRow(ctx, pool); read.err != nil {
			return
		}
		if era := n.Store.Era(); era != read.era && read.era != 0 {
			read.err = errStoreRestored
			return
		}
		read.era = n.Store.Era()
		read.row = n.learnReleaseRow(r, read.startedAt)
		n.applyReleases()
	})
}

// readOrigins reads the origins of the streams of a pool, not before a time.
func (n *Node) readOrigins(pool ident.PoolID, since time.Time) *poolRead {
	return n.readSince(&n.streams.originReads, pool, since, originReadInterval, originScanTimeout, func(ctx context.Context, read *poolRead) {
		from, to := originRange(pool)
		var rows []store.Row
		if rows, read.err = n.Store.ScanRange(ctx, originTable, from, to); read.err != nil {
			n.Log.Warn("stream_origins_not_read", "pool", pool, "error", read.err)
			return
		}
		// A later row replaces what an earlier one has of the same stream.
		slices.SortFunc(rows, func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
		count, streams := len(rows), 0
		for _, r := range n.unreadOriginRows(rows) {
			streams += n.learnOriginRow(pool, r)
		}
		n.meter.Count("goldcrestwick_stream_origin_rows_read_total", count)
		n.Log.Info("stream_origins_read", "pool", pool, "rows", count, "streams", streams)
	})
}

// unreadOriginRows returns the rows that have changed since they were last read, or that may
// have been forgotten.
func (n *Node) unreadOriginRows(rows []store.Row) []store.Row {
	n.streams.mu.Lock()
	defer n.streams.mu.Unlock()
	if n.streams.readVersions == nil || time.Since(n.streams.readVersionsSince) > readVersionsTTL {
		n.streams.readVersions, n.streams.readVersionsSince = map[string]int64{}, time.Now()
	}
	return slices.DeleteFunc(rows, func(r store.Row) bool {
		isRead := n.streams.readVersions[r.Key] == r.Version
		n.streams.readVersions[r.Key] = r.Version
		return isRead
	})
}

// learnOriginRow records the origins in a row and returns their number.
func (n *Node) learnOriginRow(pool ident.PoolID, r store.Row) int {
	now := time.Now()
	var row originRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		n.Log.Warn("stream_origin_row_unreadable", "key", r.Key, "error", err)
		return 0
	}
	if now.Sub(time.UnixMilli(row.WrittenUnixMilli)) > maxOriginAge {
		return 0
	}
	count := 0
	for release, streams := range row.StreamsByRelease {
		for stream := range strings.SplitSeq(streams, originSeparator) {
			count++
			n.streams.stored.Add(ident.RequestID(stream), origin.Origin{Pool: pool, Release: release}, now)
		}
	}
	return count
}

// originSearch is how the origin of a stream was searched for.
type originSearch struct {
	origin.Origin
	result string
	// reason says why the origin was refused.
	reason string
	// asked counts the nodes that were asked, and replied those that had replied when the
	// search went on.
	asked, replied int
}

// maxStreamAge is the time, as a multiple of the route's timeout, after which no caller
// takes up a stream: the timeout bounds each attempt, and callers rarely wait longer for all
// of them.
const maxStreamAge = 2

// findOrigin returns the origin of the stream of a route that a request takes up: as this node
// knows it, as another one does, or as the store shows. It returns false if the origin cannot be
// told.
func (n *Node) findOrigin(ctx context.Context, j *entry.Job, r *config.Route) (origin.Origin, bool) {
	came := time.Now()
	s := n.searchOrigin(ctx, j, r, came)
	n.meter.Count("goldcrestwick_stream_resumptions_total", 1, "origin", s.result)
	message := "stream_origin_found"
	if s.result == originRefused {
		message, s.Pool = "stream_origin_unknown", j.Pool.ID
	}
	n.Log.Info(message, "request_id", j.Request.ID, "stream", j.Stream, "pool", s.Pool, "release", s.Release, "origin", s.result,
		"reason", s.reason, "nodes_asked", s.asked, "nodes_replied", s.replied, "took", time.Since(came),
		"endpoints_read_ago", came.Sub(n.tables.endpointsReadAt()), "settings_version", uint64(j.Version))
	return s.Origin, s.result != originRefused
}

// searchOrigin searches for the origin of the stream of a job that came at a time.
func (n *Node) searchOrigin(ctx context.Context, j *entry.Job, r *config.Route, came time.Time) (s originSearch) {
	if j.Stream != "" {
		if o, ok := n.streams.known.Find(j.Stream); ok {
			return originSearch{Origin: o, result: originKnownHere}
		}
		if o, ok := n.streams.stored.Find(j.Stream); ok {
			return originSearch{Origin: o, result: originStored}
		}
		if n.askForOrigin(ctx, j, r, &s) {
			s.result = originKnownPeer
			return s
		}
	}
	s.Origin, s.result, s.reason = n.findStoredOrigin(ctx, j, r, came)
	return s
}

// findStoredOrigin looks for the origin of a job's stream in the store, by reads that start
// after the job came, since its stream may have begun just before. If the stream can have begun
// in one pool only, whose row lists a single release, no other can have begun the stream, since
// none is used before it is listed, except by nodes of earlier builds.
func (n *Node) findStoredOrigin(ctx context.Context, j *entry.Job, r *config.Route, came time.Time) (o origin.Origin, result, reason string) {
	pools := n.streamPools(r)
	for _, pool := range pools {
		if read := n.streams.originReads.running(pool); read != nil && j.Stream != "" {
			// A node that has just started reads the origins.
			read.wait(ctx)
			if o, ok := n.streams.stored.Find(j.Stream); ok {
				return o, originStored, ""
			}
		}
	}
	if len(pools) == 1 {
		read, routes := n.readRow(pools[0], came), n.readRoutes(came)
		if !read.wait(ctx) || !routes.wait(ctx) {
			return o, originRefused, "the store could not be read"
		}
		now, maxAge := time.Now(), maxStreamAge*r.Timeout
		release, isSole := read.row.Sole(int64(read.era), maxAge, now)
		// The row may show that the route led elsewhere while this node did not run.
		pools = n.streamPools(r)
		if isSole && len(pools) == 1 && routes.routes.covers(r.Name, pools, int64(routes.era), maxAge, now) && !n.mayUseUnlisted(now) {
			return origin.Origin{Pool: pools[0], Release: release}, originSole, ""
		}
	}
	if j.Stream == "" {
		return o, originRefused, "the caller does not name the stream"
	}
	reads := make([]*poolRead, len(pools))
	for i, pool := range pools {
		reads[i] = n.readOrigins(pool, came)
	}
	for _, read := range reads {
		if !read.wait(ctx) {
			return o, originRefused, "the store could not be read"
		}
	}
	if o, ok := n.streams.stored.Find(j.Stream); ok {
		return o, originStored, ""
	}
	return o, originRefused, "the store does not have the stream"
}

// streamPools returns the pools in which the streams of a route can have begun: those to which
// it leads, or led until recently.
func (n *Node) streamPools(r *config.Route) []ident.PoolID {
	pools := n.formerPools.of(r.Name, time.Now())
	for _, share := range r.Shares {
		pools = append(pools, share.Pool.ID)
	}
	slices.Sort(pools)
	return slices.Compact(pools)
}
