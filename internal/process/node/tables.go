package node

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/watch"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/follow"
	"goldcrestwick/internal/version/repo"
)

const (
	// watchTimeout is how long the store may hold a long poll for settings or
	// endpoints. It bounds how long a dead connection goes undetected; the store
	// answers at once when there is a change.
	watchTimeout = 2 * time.Second
	// watchPause is the pause between two polls, which batches changes that follow
	// each other closely.
	watchPause = 100 * time.Millisecond
	// nodesWatchTimeout is how long the store may hold a long poll for the table of
	// nodes. It is longer than watchTimeout, since membership changes also spread by
	// gossip.
	nodesWatchTimeout = 10 * time.Second
	// nodeTable has a row for each entry node.
	nodeTable = "nodes"
	// idleSweepInterval is the time between sweeps of idle connections.
	idleSweepInterval = time.Second
	// readyCheckInterval is the time between checks whether a starting node has
	// read the tables that it needs.
	readyCheckInterval = 20 * time.Millisecond
	// tableReadPause is the pause between attempts to read one of the fleet's own tables at
	// the start.
	tableReadPause = 300 * time.Millisecond
	// registerPause is the pause between attempts to write this node's row, and
	// registerTimeout bounds each attempt.
	registerPause   = 300 * time.Millisecond
	registerTimeout = 2 * time.Second
	// fewMembers is the number of members below which a node that appears in the
	// table of nodes is contacted at once. A node that knows more of them hears of it
	// by gossip.
	fewMembers = 4
)

// tableState holds what the node has read from the store's tables.
type tableState struct {
	// instancesMu serializes changes of Node.instances, and rosterMu those of the roster.
	instancesMu, rosterMu sync.Mutex

	mu        sync.Mutex
	endpoints map[string]roster.Instance
	nodes     map[string]roster.Instance
	// capacities holds the capacities of nodes, and absent those that did not serve this node
	// while it started. nodesChange counts the changes of all three.
	capacities  map[string]int
	absent      map[string]bool
	nodesChange int
	// leaving holds the start time of each endpoint that was seen to leave. An
	// endpoint never stops leaving, whatever an older copy of its row says, but one
	// that is started again under its name does not leave.
	leaving map[string]int64
	// earlierBuilds holds the nodes of earlier builds by name.
	earlierBuilds map[string]earlierBuild
	// hasEndpoints and hasNodes are set after the first read of each table.
	hasEndpoints, hasNodes bool
	// hadOwnRow is set if the table of nodes had this node's row when it was first read.
	hadOwnRow bool
	marks     tableMarks
	// endpointTable follows the table of endpoints; it is nil without a platform.
	// peerRead is the latest time at which another node read that table, as far as
	// gossip has reported it.
	endpointTable atomic.Pointer[watch.Table]
	// era is the latest era of the store for which this node has begun to write its
	// own data again.
	era      atomic.Int64
	peerRead tick.Latest
}

// endpointsReadAt returns when this node last read the table of endpoints, or the
// zero time.
func (s *tableState) endpointsReadAt() time.Time {
	if t := s.endpointTable.Load(); t != nil {
		return t.LastRead()
	}
	return time.Time{}
}

// recordPeerRead records when the sender of the gossip last read the table of
// endpoints.
func (n *Node) recordPeerRead(g wire.Gossip) {
	if g.StoreReadAge <= 0 {
		return
	}
	n.tables.peerRead.Observe(time.Now().Add(-time.Duration(g.StoreReadAge)))
}

// settingsParser returns the platform's parser for settings, or nil without a
// platform.
func (n *Node) settingsParser() func(map[string][]byte, ident.Version) (*config.Tree, error) {
	if n.Platform == nil {
		return nil
	}
	return func(files map[string][]byte, _ ident.Version) (*config.Tree, error) {
		return n.Platform.ParseSettings(files[n.Platform.SettingsKey])
	}
}

// startFromTables follows the store's tables and joins the fleet once settings,
// endpoints and nodes have been read. It returns when the node has joined or ctx is
// done.
func (n *Node) startFromTables(ctx context.Context) {
	watchTable := func(name string, wait, pause func() time.Duration, changed func([]store.Row), content func(store.Row) any) *watch.Table {
		t := &watch.Table{
			Name: name, Store: n.Store, Wait: wait, Interval: pause, Changed: changed, Content: content, Log: n.Log,
			PeerRead: n.tables.peerRead.Time, NewEra: n.enterEra, MaxRetryDelay: n.tableRetryDelay,
		}
		if name != nodeTable && n.Process.StartsFromNodes {
			t.Pause() // followFromStart lets it read the store if no other node has its rows.
		}
		n.tasks.Go(func() { t.Run(ctx) })
		return t
	}
	n.changes.cursors, n.changes.startedAt = map[string]watch.Cursor{}, time.Now()
	endpoints := watchTable(n.Platform.EndpointTable, n.tableWait, n.tablePause, n.applyEndpointRows, n.endpointContent)
	n.tables.endpointTable.Store(endpoints)
	n.changes.tables.Store(&[watchedTables]*watch.Table{
		watchTable(n.Platform.SettingsTable, n.tableWait, n.tablePause, n.applySettingsRows, nil), endpoints,
		watchTable(nodeTable, func() time.Duration { return nodesWatchTimeout }, n.nodesPause, n.applyNodeRows, nil),
	})
	joined := make(chan struct{})
	n.tasks.Go(func() { n.followFromStart(ctx, joined) })
	n.tasks.Go(func() { n.registerAtStart(ctx) })
	if n.conductsRollouts() {
		n.tasks.Go(func() { n.readOrders(ctx) })
	}
	marksRead, quarantinesRead := make(chan struct{}), make(chan struct{})
	var first releaseScan
	n.tasks.Go(func() {
		first = n.scanReleases(ctx)
		close(marksRead)
	})
	n.tasks.Go(func() {
		n.readMarkedTable(ctx, marksRead, quarantineTable, n.addQuarantineRows)
		close(quarantinesRead)
	})
	n.tasks.Go(func() { n.keepCrashes(ctx, marksRead) })
	n.tasks.Go(func() { tick.Every(ctx, idleSweepInterval, func(context.Context) { n.conns.Sweep() }) })
	for !n.hasInitialRows() {
		if !tick.Sleep(ctx, readyCheckInterval) {
			return
		}
	}
	releasesRead, rolloutsRead := make(chan struct{}), make(chan struct{})
	n.tasks.Go(func() {
		defer close(releasesRead)
		select {
		case <-marksRead:
		case <-time.After(marksWait):
			n.readTable(ctx, releaseTable, n.readReleases)
			return
		case <-ctx.Done():
			return
		}
		if n.isCurrent(first) {
			n.readReleases(first.rows, first.started)
			return
		}
		n.readTable(ctx, releaseTable, n.readReleases)
	})
	n.tasks.Go(func() {
		if n.conductsRollouts() {
			n.readMarkedTable(ctx, marksRead, rolloutTable, n.readRollouts)
		}
		close(rolloutsRead)
	})
	n.tasks.Go(func() { n.runRollouts(ctx) })
	n.tasks.Go(func() { n.keepReleases(ctx, releasesRead) })
	n.tasks.Go(func() { n.keepRoutes(ctx) })
	joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	n.members.Seed(joinCtx)
	for _, read := range []chan struct{}{quarantinesRead, releasesRead, rolloutsRead} {
		select {
		case <-read:
		case <-joinCtx.Done():
		}
	}
	cancel()
	n.join(ctx)
	close(joined)
}

// readTable passes the rows of one of this fleet's own tables to apply, with the time at which
// the read started. It tries until the table was read or ctx is done.
func (n *Node) readTable(ctx context.Context, table string, apply func([]store.Row, time.Time)) {
	for {
		started := time.Now()
		rows, _, err := n.Store.Scan(ctx, table)
		if err == nil {
			apply(rows, started)
			return
		}
		n.Log.Warn("table_not_read", "table", table, "error", err)
		if !tick.Sleep(ctx, tableReadPause) {
			return
		}
	}
}

// hasInitialRows reports whether the node has settings and has read the tables of
// endpoints and nodes.
func (n *Node) hasInitialRows() bool {
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	return n.settingsOrNil() != nil && n.tables.hasEndpoints && n.tables.hasNodes
}

// applySettingsRows applies the operator's settings from a changed row. Settings
// that are not valid are logged and ignored.
func (n *Node) applySettingsRows(rows []store.Row) {
	for _, r := range rows {
		if n.applyOrderRow(r) || r.Key != n.Platform.SettingsKey || r.Deleted {
			continue
		}
		if err := n.applySettings(r.Value); err != nil {
			n.Log.Error("settings_not_used", "store_version", r.Version, "error", err)
		}
	}
}

func (n *Node) applySettings(text []byte) error {
	version, err := n.Platform.SettingsVersion(text)
	if err != nil {
		return err
	}
	hash := repo.HashOf(text)
	return n.follower.ApplyUpdate(follow.Update{
		Head:  repo.Head{Version: version, Files: map[string]repo.File{n.Platform.SettingsKey: {Hash: hash, ChangedIn: version}}},
		Texts: map[string][]byte{hash: text},
	})
}

// applyEndpointRows applies changed rows of the table of endpoints. An endpoint
// whose row cannot be parsed is removed.
func (n *Node) applyEndpointRows(rows []store.Row) {
	n.tables.mu.Lock()
	if n.tables.endpoints == nil {
		n.tables.endpoints = map[string]roster.Instance{}
	}
	isFirst := !n.tables.hasEndpoints
	n.tables.hasEndpoints = true
	changed := isFirst
	for _, r := range rows {
		old, known := n.tables.endpoints[r.Key]
		if r.Deleted {
			delete(n.tables.endpoints, r.Key)
			n.logEndpoint("endpoint_gone", old, r.Version)
			changed = changed || known
			continue
		}
		in, err := n.Platform.ParseEndpoint(r.Key, r.Value)
		if err != nil {
			delete(n.tables.endpoints, r.Key)
			changed = changed || known
			n.Log.Warn("endpoint_entry_unreadable", "endpoint", r.Key, "store_version", r.Version, "error", err)
			continue
		}
		in.Region = n.regionOf(in.Zone)
		in.Leaving = n.tables.isLeaving(in)
		n.observeEndpointRow(in, r.Version)
		if known && in == old {
			continue
		}
		changed = true
		n.tables.endpoints[r.Key] = in
		if !isFirst {
			n.logEndpoint("endpoint_changed", in, r.Version)
		}
	}
	if changed {
		n.rollouts.gate.retain(n.tables.endpoints)
	}
	n.tables.mu.Unlock()
	if changed {
		n.rebuildInstances()
	}
}

// endpointContent returns what this node uses of the row of an endpoint. The endpoints write their
// rows about every 1.2 s, mostly with another sequence number only.
func (n *Node) endpointContent(r store.Row) any {
	in, err := n.Platform.ParseEndpoint(r.Key, r.Value)
	if err != nil {
		return nil
	}
	return in
}

// maxKnownLeaving is the number of endpoints seen to leave above which those without
// a row are forgotten.
const maxKnownLeaving = 4096

// isLeaving reports whether an endpoint is leaving by its row, or was seen to leave
// earlier in the same run. It records the former if the row tells the run. The
// caller holds s.mu.
func (s *tableState) isLeaving(in roster.Instance) bool {
	if in.Leaving && in.StartedUnixMilli != 0 {
		s.recordLeaving(in)
	}
	started, wasLeaving := s.leaving[in.ID]
	return in.Leaving || wasLeaving && started == in.StartedUnixMilli
}

// recordLeaving records that an endpoint leaves. The caller holds s.mu.
func (s *tableState) recordLeaving(in roster.Instance) {
	if s.leaving == nil {
		s.leaving = map[string]int64{}
	}
	if len(s.leaving) >= maxKnownLeaving {
		maps.DeleteFunc(s.leaving, func(id string, _ int64) bool {
			_, listed := s.endpoints[id]
			return !listed
		})
	}
	s.leaving[in.ID] = in.StartedUnixMilli
}

// markLeaving records that an endpoint itself has reported that it is leaving, which
// its row may show later or never.
func (n *Node) markLeaving(id ident.Endpoint) {
	n.tables.mu.Lock()
	in, known := n.tables.endpoints[string(id)]
	if !known || in.Leaving {
		n.tables.mu.Unlock()
		return
	}
	in.Leaving = true
	n.tables.endpoints[in.ID] = in
	n.tables.recordLeaving(in)
	n.tables.mu.Unlock()
	n.Log.Info("endpoint_announced_leaving", "endpoint", id, "address", in.Address)
	n.rebuildInstances()
}

func (n *Node) logEndpoint(message string, in roster.Instance, version int64) {
	n.Log.Info(message, "endpoint", in.Endpoint, "pool", in.Pool, "address", in.Address, "release", in.Release,
		"leaving", in.Leaving, "store_version", version)
}

func (n *Node) regionOf(zone ident.AvailabilityZone) ident.Region {
	if region, ok := n.Process.Zones[zone]; ok {
		return region
	}
	return n.Process.Region
}
