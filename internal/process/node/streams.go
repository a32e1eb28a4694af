package node

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/origin"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/request/entry"
	"goldcrestwick/internal/request/ident"
)

const (
	// originInterval is the time between the calls that report the origins of streams.
	originInterval = 100 * time.Millisecond
	// maxOriginQueries bounds the nodes that are asked for the origin of a stream.
	maxOriginQueries = 32
	// originQueryTimeout bounds the wait for nodes that do not reply, some of which may have
	// just been killed.
	originQueryTimeout = 200 * time.Millisecond
	// releaseTable has a row for each pool, with the releases that it has or had lately. It
	// outlives a restart of all nodes.
	releaseTable = "releases"
	// releaseInterval is the time between checks whether a row has to be written.
	releaseInterval = 500 * time.Millisecond
	// maxCensusAge is the age of the list of endpoints up to which it shows that a pool
	// has a single release. A node reads the list anew within watchTimeout.
	maxCensusAge = 2*watchTimeout + time.Second
)

// streamState holds what the node knows of the releases that began streams.
//
// The entry node of a stream and the node of its cell learn the origin as the first event
// arrives. The latter reports it to the cell's standby nodes, so that the nodes that may
// decide for the cell next know it though both of them are killed.
type streamState struct {
	known  origin.Streams
	census origin.Census
	// hasUnreported is set when unreported is no longer empty.
	hasUnreported tick.Signal
	mu            sync.Mutex
	// unreported holds the origins that the standby nodes of each cell do not know yet.
	unreported map[ident.CellID]map[ident.RequestID]ident.Release
	// written holds the rows of releaseTable as this node last read or wrote them.
	written map[ident.PoolID][]ident.Release
}

// recordOrigin records that an endpoint of a cell of this node began a stream. It is
// called with the cell's lock held.
func (n *Node) recordOrigin(cell ident.CellID, stream ident.RequestID, release ident.Release) {
	n.streams.known.Add(stream, origin.Origin{Pool: cell.Pool, Release: release}, time.Now())
	n.streams.mu.Lock()
	defer n.streams.mu.Unlock()
	if n.streams.unreported == nil {
		n.streams.unreported = map[ident.CellID]map[ident.RequestID]ident.Release{}
	}
	if n.streams.unreported[cell] == nil {
		n.streams.unreported[cell] = map[ident.RequestID]ident.Release{}
	}
	n.streams.unreported[cell][stream] = release
	n.streams.hasUnreported.Set()
}

// reportOrigins reports new origins to the standby nodes of their cells until ctx is done.
// A report that is lost leaves the other holders of the origin.
func (n *Node) reportOrigins(ctx context.Context) {
	tick.OnDemand(ctx, originInterval, &n.streams.hasUnreported, func(ctx context.Context) bool {
		n.streams.mu.Lock()
		unreported := n.streams.unreported
		n.streams.unreported = nil
		n.streams.mu.Unlock()
		for cell, origins := range unreported {
			others := n.withoutSelf(n.cells.PreferenceList(cell))
			n.tasks.Go(func() {
				callAll[wire.Origins, wire.Empty](ctx, n, others, wire.KindOrigins, wire.FromOrigins(cell.Pool, origins))
			})
		}
		return false
	})
}

func (n *Node) serveOrigins(_ context.Context, s *link.Stream, m wire.Origins) {
	now := time.Now()
	for stream, o := range m.ToOrigins() {
		n.streams.known.Add(stream, o, now)
	}
	s.Send(wire.KindAck, wire.Empty{}) //nolint:errcheck // the reporter ignores lost reports.
}

// recordCensus records the releases of the pools' endpoints.
func (n *Node) recordCensus(v *roster.View) {
	releases := map[ident.PoolID][]ident.Release{}
	for _, c := range v.All() {
		for _, spec := range c.Endpoints {
			releases[c.ID.Pool] = append(releases[c.ID.Pool], spec.Release)
		}
	}
	n.streams.census.Observe(releases, time.Now())
}

// findOrigin returns the origin of the stream that a request takes up. If this node does not
// know it, it asks others. If none knows the stream, its release is the pool's only one,
// provided that a node has known no other for maxAge, the longest time for which the stream
// can have run. It returns false if the origin cannot be told.
func (n *Node) findOrigin(ctx context.Context, j *entry.Job, maxAge time.Duration) (origin.Origin, bool) {
	reply := n.originOf(j.Stream, j.Pool.ID)
	if reply.IsKnown {
		return reply.ToOrigin(), true
	}
	replies := []wire.OriginReply{reply}
	query := wire.OriginQuery{Stream: string(j.Stream), Pool: string(j.Pool.ID)}
	queryCtx, cancel := context.WithTimeout(ctx, originQueryTimeout)
	defer cancel()
	callUntil(queryCtx, n, n.originHolders(j), wire.KindOriginQuery, query, func(r wire.OriginReply) bool {
		if r.IsKnown {
			reply = r
		}
		replies = append(replies, r)
		return r.IsKnown
	})
	if reply.IsKnown {
		return reply.ToOrigin(), true
	}
	release, ok := soleRelease(replies, maxAge)
	n.Log.Info("stream_origin_unknown", "request_id", j.Request.ID, "stream", j.Stream, "pool", j.Pool.ID,
		"replies", len(replies), "sole_release", release, "is_sole", ok)
	return origin.Origin{Pool: j.Pool.ID, Release: release}, ok
}

// originHolders returns the nodes that may know the origin of a job's stream: in a small
// fleet all, and in a larger one those that may have decided for the cells that the job
// can have gone to, the likeliest first.
func (n *Node) originHolders(j *entry.Job) []member.Member {
	others := n.withoutSelf(n.members.View().Members)
	if len(others) <= maxOriginQueries {
		return others
	}
	var holders []member.Member
	for _, cell := range n.entry.RankCells(j) {
		for _, m := range n.withoutSelf(n.cells.PreferenceList(cell)) {
			if !slices.ContainsFunc(holders, func(h member.Member) bool { return h.ID == m.ID }) {
				holders = append(holders, m)
			}
		}
		if len(holders) >= maxOriginQueries {
			return holders[:maxOriginQueries]
		}
	}
	return holders
}

// soleRelease returns the release that all repliers take for the pool's only one, if one of
// them has known no other for at least maxAge.
func soleRelease(replies []wire.OriginReply, maxAge time.Duration) (ident.Release, bool) {
	longest := slices.MaxFunc(replies, func(a, b wire.OriginReply) int { return cmp.Compare(a.SoleFor, b.SoleFor) })
	if time.Duration(longest.SoleFor) < maxAge {
		return "", false
	}
	for _, r := range replies {
		if r.IsMixed || r.HasSole && r.SoleRelease != longest.SoleRelease {
			return "", false
		}
	}
	return ident.Release(longest.SoleRelease), true
}

// originOf returns what this node knows of the origin of a stream.
func (n *Node) originOf(stream ident.RequestID, pool ident.PoolID) wire.OriginReply {
	if o, ok := n.streams.known.Find(stream); ok {
		return wire.OriginReply{IsKnown: true, Pool: string(o.Pool), Release: string(o.Release)}
	}
	now := time.Now()
	release, age, ok := n.streams.census.Sole(pool, now)
	reply := wire.OriginReply{HasSole: ok, SoleRelease: string(release), IsMixed: n.streams.census.IsMixed(pool)}
	if ok && n.endpointsAge(now) <= maxCensusAge {
		reply.SoleFor = int64(age)
	}
	return reply
}

func (n *Node) serveOriginQuery(_ context.Context, s *link.Stream, m wire.OriginQuery) {
	s.Send(wire.KindOriginQuery, n.originOf(ident.RequestID(m.Stream), ident.PoolID(m.Pool))) //nolint:errcheck // the asker decides without it.
}

// releaseRow is the value of a row of releaseTable, whose key is the pool.
type releaseRow struct {
	Releases []ident.Release `json:"releases"`
}

// readReleases learns the releases that the pools had lately from the store. If the fleet
// starts for the first time, pools without a row had none.
func (n *Node) readReleases(rows []store.Row) {
	now := time.Now()
	n.streams.mu.Lock()
	defer n.streams.mu.Unlock()
	n.streams.written = map[ident.PoolID][]ident.Release{}
	for _, r := range rows {
		var row releaseRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			n.Log.Warn("release_row_unreadable", "key", r.Key, "error", err)
			continue
		}
		n.streams.census.Learn(ident.PoolID(r.Key), row.Releases, now)
		n.streams.written[ident.PoolID(r.Key)] = row.Releases
	}
	if n.Process.IsFirstStart {
		n.streams.census.LearnAll()
	}
}

// writeReleases writes the rows of the pools whose first cell this node owns, if their
// releases have changed.
func (n *Node) writeReleases(ctx context.Context) {
	n.streams.mu.Lock()
	known := n.streams.written != nil
	var writes []store.Write
	changed := map[ident.PoolID][]ident.Release{}
	for pool, releases := range n.streams.census.Recent(time.Now()) {
		if !known || !n.ownsFirstCell(pool) || slices.Equal(n.streams.written[pool], releases) {
			continue
		}
		value, err := json.Marshal(releaseRow{releases})
		if err != nil {
			panic(err) // encoding strings cannot fail.
		}
		writes = append(writes, store.Write{Table: releaseTable, Key: string(pool), Value: value})
		changed[pool] = releases
	}
	n.streams.mu.Unlock()
	if len(writes) == 0 {
		return
	}
	if err := n.writeRows(ctx, writes); err != nil {
		n.Log.Warn("releases_not_written", "pools", len(writes), "error", err)
		return
	}
	n.Log.Info("releases_written", "pools", len(writes))
	n.streams.mu.Lock()
	defer n.streams.mu.Unlock()
	maps.Copy(n.streams.written, changed)
}

// rewriteReleases makes writeReleases write all rows again, after the store was restored.
func (n *Node) rewriteReleases() {
	n.streams.mu.Lock()
	defer n.streams.mu.Unlock()
	if n.streams.written != nil {
		clear(n.streams.written)
	}
}

func (n *Node) ownsFirstCell(pool ident.PoolID) bool {
	cells := n.cells.Roster().Cells(pool)
	if len(cells) == 0 {
		return false
	}
	owner, ok := n.cells.Owner(cells[0].ID)
	return ok && owner.ID == n.Process.Name
}

func (n *Node) withoutSelf(members []member.Member) []member.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m member.Member) bool { return m.ID == n.Process.Name })
}
