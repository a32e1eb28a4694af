package node

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
)

const (
	// routesKey is the key of the row of releaseTable that holds the pools to which routes lead
	// and led. Earlier builds take it for a mark of a table that they do not know.
	routesKey = markPrefix + "routes"
	// routesWriters is the number of nodes that see to the row when routes move: the first one
	// at once, and each of the others routesWriterDelay later, in case those before it fail.
	routesWriters     = 3
	routesWriterDelay = 300 * time.Millisecond
	// routesStartDelay is how long a node that starts leaves an outdated row to others, since
	// it counts itself among the first while it knows few members.
	routesStartDelay = time.Second
	// maxRoutesRowBytes bounds the row, since the store takes rows of at most 64 KiB. More than about
	// 1,000 stream routes have none, and no stream of unknown origin goes on then.
	maxRoutesRowBytes = 60 << 10
)

// routesRow is the value of the row routesKey. It outlives all nodes, so that one that starts
// knows in which pools the streams of a route can have begun.
type routesRow struct {
	Era             int64                 `json:"era"`
	SettingsVersion uint64                `json:"settings_version"`
	Routes          map[string]routePools `json:"routes"`
	// CompleteSince is the time in Unix milliseconds since when routes led to no other pools.
	CompleteSince int64 `json:"complete_since_unix_ms,omitempty"`
}

// routePools holds the pools to which a route leads, sorted, and when others were left.
type routePools struct {
	Pools  []ident.PoolID         `json:"pools"`
	LeftAt map[ident.PoolID]int64 `json:"left_unix_ms,omitempty"`
}

func decodeRoutesRow(r store.Row) (row routesRow, err error) {
	row.Era = unknownEra
	if r.Version == 0 || r.Deleted {
		return row, nil
	}
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return routesRow{Era: unknownEra}, eris.Wrap(err, "decode the row of the pools of routes")
	}
	return row, nil
}

// covers reports whether the row tells that streams of a route can have begun in none but the given
// pools within maxAge before now, given that it was read from a store of an era just now.
func (r routesRow) covers(route string, pools []ident.PoolID, era int64, maxAge time.Duration, now time.Time) bool {
	known := r.Routes[route]
	isOther := func(id ident.PoolID) bool { return !slices.Contains(pools, id) }
	for id, at := range known.LeftAt {
		if isOther(id) && now.Sub(time.UnixMilli(at)) <= formerPoolTTL {
			return false
		}
	}
	return r.Era == era && len(known.Pools) > 0 && !slices.ContainsFunc(known.Pools, isOther) &&
		now.UnixMilli()-r.CompleteSince >= maxAge.Milliseconds()
}

// isOutdated reports whether the row lacks what next has. One that a node with later settings
// has written is not outdated.
func (r routesRow) isOutdated(next routesRow) bool {
	if r.Era == next.Era && r.SettingsVersion > next.SettingsVersion {
		return false
	}
	if r.Era != next.Era || r.CompleteSince > next.CompleteSince {
		return true
	}
	for name, pools := range next.Routes {
		known := r.Routes[name]
		if !slices.Equal(known.Pools, pools.Pools) {
			return true
		}
		for id := range pools.LeftAt {
			if _, ok := known.LeftAt[id]; !ok {
				return true
			}
		}
	}
	for name, known := range r.Routes {
		if len(known.Pools) > 0 && len(next.Routes[name].Pools) == 0 {
			return true
		}
	}
	return false
}

// learnRoutesRow records the former pools of routes as a row shows them.
func (n *Node) learnRoutesRow(r store.Row) routesRow {
	row, err := decodeRoutesRow(r)
	if err != nil {
		n.Log.Warn("routes_row_unreadable", "error", err)
	}
	n.formerPools.learn(row, n.tree.Load().StreamPools(), time.Now())
	return row
}

// nextRoutesRow returns the row that replaces a known one which learnRoutesRow has recorded.
func (n *Node) nextRoutesRow(known routesRow, era int64) routesRow {
	tree := n.tree.Load()
	next := routesRow{Era: era, SettingsVersion: uint64(tree.Version), Routes: map[string]routePools{}}
	next.CompleteSince = n.formerPools.completeSince()
	if known.Era == era {
		next.CompleteSince = min(next.CompleteSince, known.CompleteSince)
	}
	now := time.Now()
	present := tree.StreamPools()
	for name, pools := range present {
		next.Routes[name] = routePools{Pools: pools, LeftAt: n.formerPools.left(name, pools, now)}
	}
	for name := range known.Routes {
		if left := n.formerPools.left(name, nil, now); present[name] == nil && len(left) > 0 {
			next.Routes[name] = routePools{LeftAt: left}
		}
	}
	return next
}

// encodeRoutesRow returns the value of the row; ok is false if it is too long.
func encodeRoutesRow(row routesRow) (value []byte, ok bool) {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // encoding strings and integers cannot fail.
	}
	return value, len(value) <= maxRoutesRowBytes
}

// firstRoutesRow returns what creates the row together with the first rows of pools, none
// unless releaseTable was empty as this node started. So the row is complete since the first
// stream, without a call of its own.
func (n *Node) firstRoutesRow(era int64) ([]store.Check, []store.Write) {
	if !n.formerPools.mayCreate() {
		return nil, nil
	}
	value, ok := encodeRoutesRow(n.nextRoutesRow(routesRow{Era: unknownEra}, era))
	if !ok {
		return nil, nil
	}
	return []store.Check{{Table: releaseTable, Key: routesKey}}, []store.Write{{Table: releaseTable, Key: routesKey, Value: value}}
}

// readRoutesRow reads the row; one that does not exist has version 0.
func (n *Node) readRoutesRow(ctx context.Context) (store.Row, error) {
	return n.readReleaseRow(ctx, routesKey)
}

// readRoutes reads the row, not before a time, for requests. It has an outdated one written.
func (n *Node) readRoutes(since time.Time) *poolRead {
	return n.readSince(&n.streams.routeReads, routesKey, since, rowReadInterval, originCallTimeout, func(ctx context.Context, read *poolRead) {
		era := n.Store.Era()
		var r store.Row
		if r, read.err = n.readRoutesRow(ctx); read.err != nil {
			return
		}
		if read.era = n.Store.Era(); read.era != era && era != 0 {
			read.err = errStoreRestored
			return
		}
		read.routes = n.learnRoutesRow(r)
		if read.routes.isOutdated(n.nextRoutesRow(read.routes, int64(read.era))) {
			n.tasks.Go(func() { n.writeRoutes(n.ctx) })
		}
	})
}

// keepRoutes has the row written when routes have moved, until ctx is done.
func (n *Node) keepRoutes(ctx context.Context) {
	if !tick.Sleep(ctx, routesStartDelay) {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.formerPools.due.C():
		}
		if known := n.formerPools.latestRow(); !known.isOutdated(n.nextRoutesRow(known, int64(n.Store.Era()))) {
			continue // as after most starts.
		}
		ranked := member.Ranked(n.members.View().Ready(""), "route_pools")
		rank := slices.IndexFunc(ranked, func(m member.Member) bool { return m.ID == n.Process.Name })
		if rank < 0 {
			// A node that is not ready yet may be one of the writers when it is.
			n.formerPools.due.Set()
			if !tick.Sleep(ctx, routesStartDelay) {
				return
			}
			continue
		}
		if rank >= routesWriters {
			continue
		}
		if !tick.Sleep(ctx, time.Duration(rank)*routesWriterDelay) {
			return
		}
		for !n.writeRoutes(ctx) {
			if !tick.Sleep(ctx, releaseRetryPause) {
				return
			}
		}
	}
}

// writeRoutes reads the row, writes it if it is outdated, and reports whether it is up to date or
// cannot be.
func (n *Node) writeRoutes(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseCallTimeout)
	defer cancel()
	r, err := n.readRoutesRow(ctx)
	if err != nil {
		n.Log.Warn("routes_not_written", "error", err)
		return false
	}
	era := n.Store.Era()
	known := n.learnRoutesRow(r)
	next := n.nextRoutesRow(known, int64(era))
	if !known.isOutdated(next) {
		return true
	}
	value, ok := encodeRoutesRow(next)
	if !ok {
		n.Log.Error("routes_not_written", "error", "the row is too long", "routes", len(next.Routes), "bytes", len(value))
		return true
	}
	result, err := n.Store.Service.Transact(ctx, []store.Check{{Table: releaseTable, Key: routesKey, Version: r.Version}},
		[]store.Write{{Table: releaseTable, Key: routesKey, Value: value}})
	if err == nil && n.Store.Era() != era {
		err = errStoreRestored
	}
	if err != nil {
		n.Log.Warn("routes_not_written", "error", err)
		return false
	}
	if result.Applied {
		n.Log.Info("routes_written", "settings_version", next.SettingsVersion, "era", next.Era)
	}
	return result.Applied
}
