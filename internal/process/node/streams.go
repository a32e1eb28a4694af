package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/origin"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/request/entry"
	"goldcrestwick/internal/version/config"
)

const (
	// originInterval is the time between the calls that report the origins of streams.
	originInterval = 100 * time.Millisecond
	// maxOriginQueries bounds the nodes that are asked for the origin of a stream.
	maxOriginQueries = 32
	// originQueryTimeout bounds the wait for nodes that do not reply, some of which may have
	// just been killed.
	originQueryTimeout = 200 * time.Millisecond
	// ownOriginTTL is the least time for which the origins of the streams of this node's cells
	// are kept, to be written if their pool gets a second release.
	ownOriginTTL = 32 * time.Second
)

// streamState holds what the node knows of the releases that began streams.
//
// The entry node of a stream and the node of its cell learn the origin as the first event
// arrives. The latter reports it to the cell's standby nodes, so that the nodes that may
// decide for the cell next know it though both of them are killed.
type streamState struct {
	known origin.Streams
	// stored holds origins that were read from the store, and own those of the streams of
	// this node's cells, which are written to it if their pool has several releases.
	stored, own origin.Streams
	// unwritten holds the origins that are to be written, and hasUnwritten is set when it is
	// no longer empty.
	unwritten    origin.Pending
	hasUnwritten tick.Signal
	// rowReads and originReads are the reads of releaseTable and originTable.
	rowReads, originReads poolReads
	// routeReads has the reads of the row routesKey.
	routeReads poolReads
	// hasUnreported is set when unreported is no longer empty.
	hasUnreported tick.Signal
	mu            sync.Mutex
	// unreported holds the origins that the standby nodes of each cell do not know yet.
	unreported map[ident.CellID]map[ident.RequestID]ident.Release
	// mixed holds whether each pool has several releases or shares routes with other pools.
	mixed map[ident.PoolID]bool
	// readVersions holds the versions of the rows of originTable that were read since
	// readVersionsSince, by key.
	readVersions      map[string]int64
	readVersionsSince time.Time
}

// recordOrigin records that an endpoint of a cell of this node began a stream. It is
// called with the cell's lock held.
func (n *Node) recordOrigin(cell ident.CellID, stream ident.RequestID, release ident.Release) {
	o := origin.Origin{Pool: cell.Pool, Release: release}
	n.streams.known.Add(stream, o, time.Now())
	n.storeOrigin(stream, o)
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

// askForOrigin asks the other nodes for the origin of a job's stream, and reports whether one
// knows it.
func (n *Node) askForOrigin(ctx context.Context, j *entry.Job, r *config.Route, s *originSearch) (ok bool) {
	query := wire.OriginQuery{Stream: string(j.Stream), Pool: string(j.Pool.ID)}
	ctx, cancel := context.WithTimeout(ctx, originQueryTimeout)
	defer cancel()
	holders := n.originHolders(j, r)
	s.asked = len(holders)
	callUntil(ctx, n, holders, wire.KindOriginQuery, query, func(r wire.OriginReply) bool {
		s.replied++
		if r.IsKnown {
			s.Origin, ok = r.ToOrigin(), true
		}
		return r.IsKnown
	})
	return ok
}

// originHolders returns the nodes that may know the origin of the stream of a job of a route:
// in a small fleet all, and in a larger one those that may have decided for the cells that the
// job can have gone to in any of the route's pools, the likeliest first.
func (n *Node) originHolders(j *entry.Job, r *config.Route) (holders []member.Member) {
	others := n.withoutSelf(n.members.View().Members)
	if len(others) <= maxOriginQueries {
		return others
	}
	var ranked [][]ident.CellID
	for _, pool := range n.streamPools(r) {
		ranked = append(ranked, n.entry.RankCells(j, pool))
	}
	for place, isLast := 0, false; !isLast && len(holders) < maxOriginQueries; place++ {
		isLast = true
		for _, cells := range ranked {
			if place >= len(cells) {
				continue
			}
			isLast = false
			for _, m := range n.withoutSelf(n.cells.PreferenceList(cells[place])) {
				if !slices.ContainsFunc(holders, func(h member.Member) bool { return h.ID == m.ID }) {
					holders = append(holders, m)
				}
			}
		}
	}
	return holders[:min(len(holders), maxOriginQueries)]
}

// originOf returns what this node knows of the origin of a stream.
func (n *Node) originOf(stream ident.RequestID) wire.OriginReply {
	o, ok := n.streams.known.Find(stream)
	if !ok {
		o, ok = n.streams.stored.Find(stream)
	}
	return wire.OriginReply{IsKnown: ok, Pool: string(o.Pool), Release: string(o.Release)}
}

func (n *Node) serveOriginQuery(_ context.Context, s *link.Stream, m wire.OriginQuery) {
	reply := n.originOf(ident.RequestID(m.Stream))
	reply.IsMixed = n.releases.listing.IsMixed(ident.PoolID(m.Pool))
	s.Send(wire.KindOriginQuery, reply) //nolint:errcheck // the asker decides without it.
}

func (n *Node) withoutSelf(members []member.Member) []member.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m member.Member) bool { return m.ID == n.Process.Name })
}
