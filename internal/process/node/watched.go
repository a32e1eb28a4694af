package node

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/watch"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/follow"
	"goldcrestwick/internal/version/repo"
)

const (
	// watchWait is how long the store may hold a look at the settings or the
	// endpoints. It bounds how long a connection that went silent goes
	// unnoticed; a change itself is told at once.
	watchWait = 2 * time.Second
	// watchPause gathers changes that follow each other closely into one call.
	watchPause = 100 * time.Millisecond
	// nodesWait is longer, since peers tell each other of members as well.
	nodesWait = 10 * time.Second
	// nodeTable has a row for each entry node.
	nodeTable = "nodes"
	// sweepInterval is the time between looks at idle connections.
	sweepInterval = time.Second
	// startPause is the time between looks whether a starting node knows
	// enough.
	startPause = 20 * time.Millisecond
	// enrolPause and enrolTime are of the writing of this node's row.
	enrolPause = 300 * time.Millisecond
	enrolTime  = 2 * time.Second
)

// watched is what the node has read from the store's tables.
type watched struct {
	mu        sync.Mutex
	endpoints map[string]roster.Instance
	nodes     map[string]roster.Instance
	// haveEndpoints and haveNodes are set after the first reading.
	haveEndpoints, haveNodes bool
	// table is the one of the endpoints, peerRead when another node last read
	// it.
	table    atomic.Pointer[watch.Table]
	peerRead tick.Latest
}

func (w *watched) readAt() time.Time {
	if t := w.table.Load(); t != nil {
		return t.ReadAt()
	}
	return time.Time{}
}

// hearOfStore notes when another node last read the store.
func (n *Node) hearOfStore(g wire.Gossip) {
	if g.Read <= 0 {
		return
	}
	n.watched.peerRead.Tell(time.Now().Add(-time.Duration(g.Read)))
}

// parser reads settings that came from the operator or from another node.
func (n *Node) parser() func(map[string][]byte, ident.Version) (*config.Tree, error) {
	if n.Platform == nil {
		return nil
	}
	return func(files map[string][]byte, _ ident.Version) (*config.Tree, error) {
		return n.Platform.ParseSettings(files[n.Platform.SettingsKey])
	}
}

// startWatched follows the store's tables and joins when settings and
// endpoints are known. It returns when the node has joined.
func (n *Node) startWatched(ctx context.Context) {
	follow := func(name string, wait, interval time.Duration, changed func([]store.Row)) *watch.Table {
		t := &watch.Table{
			Name: name, Store: n.Store, Wait: wait, Interval: interval, Changed: changed, Log: n.Log,
			PeerRead: n.watched.peerRead.Time,
		}
		n.tasks.Go(func() { t.Run(ctx) })
		return t
	}
	follow(n.Platform.SettingsTable, watchWait, watchPause, n.settingsRows)
	n.watched.table.Store(follow(n.Platform.EndpointTable, watchWait, watchPause, n.endpointRows))
	follow(nodeTable, nodesWait, watchPause, n.nodeRows)
	n.tasks.Go(func() { n.enrol(ctx) })
	n.tasks.Go(func() { tick.Every(ctx, sweepInterval, func(context.Context) { n.conns.Sweep() }) })
	for !n.knowsEnough() {
		if !tick.Sleep(ctx, startPause) {
			return
		}
	}
	joining, cancel := context.WithTimeout(ctx, joinTime)
	n.members.Seed(joining)
	cancel()
	n.join(ctx)
}

func (n *Node) knowsEnough() bool {
	n.watched.mu.Lock()
	defer n.watched.mu.Unlock()
	return n.settingsOrNil() != nil && n.watched.haveEndpoints && n.watched.haveNodes
}

// settingsRows takes the operator's newest settings.
func (n *Node) settingsRows(rows []store.Row) {
	for _, r := range rows {
		if r.Key != n.Platform.SettingsKey || r.Deleted {
			continue
		}
		if err := n.useSettings(r.Value); err != nil {
			n.Log.Error("settings_not_used", "store_version", r.Version, "error", err)
		}
	}
}

func (n *Node) useSettings(text []byte) error {
	version, err := n.Platform.SettingsVersion(text)
	if err != nil {
		return err
	}
	hash := repo.HashOf(text)
	return n.follower.Take(follow.Update{
		Head:  repo.Head{Version: version, Files: map[string]repo.File{n.Platform.SettingsKey: {Hash: hash, Changed: version}}},
		Texts: map[string][]byte{hash: text},
	})
}

// endpointRows takes what endpoints say of themselves. An entry that cannot be
// read names no endpoint to use.
func (n *Node) endpointRows(rows []store.Row) {
	n.watched.mu.Lock()
	if n.watched.endpoints == nil {
		n.watched.endpoints = map[string]roster.Instance{}
	}
	isFirst := !n.watched.haveEndpoints
	n.watched.haveEndpoints = true
	changed := isFirst
	for _, r := range rows {
		old, known := n.watched.endpoints[r.Key]
		if r.Deleted {
			delete(n.watched.endpoints, r.Key)
			n.logEndpoint("endpoint_gone", old, r.Version)
			changed = changed || known
			continue
		}
		in, err := n.Platform.ParseEndpoint(r.Key, r.Value)
		if err != nil {
			delete(n.watched.endpoints, r.Key)
			changed = changed || known
			n.Log.Warn("endpoint_entry_unreadable", "endpoint", r.Key, "store_version", r.Version, "error", err)
			continue
		}
		in.Region = n.regionOf(in.Zone)
		if known && in == old {
			continue
		}
		changed = true
		n.watched.endpoints[r.Key] = in
		if !isFirst {
			n.logEndpoint("endpoint_changed", in, r.Version)
		}
	}
	n.watched.mu.Unlock()
	if changed {
		n.useWatched()
	}
}

func (n *Node) logEndpoint(message string, in roster.Instance, version int64) {
	n.Log.Info(message, "endpoint", in.Endpoint, "pool", in.Pool, "address", in.Address,
		"leaving", in.Leaving, "store_version", version)
}

func (n *Node) regionOf(zone ident.AvailabilityZone) ident.Region {
	if region, ok := n.Process.Zones[zone]; ok {
		return region
	}
	return n.Process.Region
}

// useWatched rebuilds the list of instances from the tables.
func (n *Node) useWatched() {
	n.watched.mu.Lock()
	list := make([]roster.Instance, 0, len(n.watched.endpoints)+len(n.watched.nodes))
	for _, in := range n.watched.endpoints {
		list = append(list, in)
	}
	for _, in := range n.watched.nodes {
		list = append(list, in)
	}
	n.watched.mu.Unlock()
	n.instances.Store(&list)
	n.buildRoster()
}

// nodeRow is an entry node in the table of nodes.
type nodeRow struct {
	Zone          string `json:"availability_zone"`
	Region        string `json:"region"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
}

// nodeRows takes the table of nodes, which says where to look for peers.
func (n *Node) nodeRows(rows []store.Row) {
	n.watched.mu.Lock()
	if n.watched.nodes == nil {
		n.watched.nodes = map[string]roster.Instance{}
	}
	isFirst := !n.watched.haveNodes
	n.watched.haveNodes = true
	for _, r := range rows {
		if r.Deleted {
			delete(n.watched.nodes, r.Key)
			continue
		}
		var row nodeRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			n.Log.Warn("node_row_unreadable", "node", r.Key, "store_version", r.Version, "error", err)
			continue
		}
		n.watched.nodes[r.Key] = roster.Instance{
			ID: r.Key, IsNode: true, Region: ident.Region(row.Region), Zone: ident.AvailabilityZone(row.Zone),
			Address: row.CallerAddress, PeerAddress: row.PeerAddress,
		}
	}
	n.watched.mu.Unlock()
	n.useWatched()
	if !isFirst && len(rows) > 0 {
		n.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), joinTime)
			defer cancel()
			n.members.Seed(ctx)
		})
	}
}

// enrol writes this node's row, again and again until it is known to be there.
func (n *Node) enrol(ctx context.Context) {
	row, err := json.Marshal(nodeRow{
		Zone: string(n.Process.Zone), Region: string(n.Process.Region),
		PeerAddress: n.Process.PeerAddress, CallerAddress: n.Process.CallerAddress,
	})
	if err != nil {
		panic(err) // strings always encode.
	}
	write := []store.Write{{Table: nodeTable, Key: string(n.Process.Name), Value: row}}
	for {
		err := n.transact(ctx, write)
		if err == nil {
			return
		}
		n.Log.Warn("node_row_not_written", "error", err)
		if !tick.Sleep(ctx, enrolPause) {
			return
		}
	}
}

func (n *Node) transact(ctx context.Context, writes []store.Write) error {
	ctx, cancel := context.WithTimeout(ctx, enrolTime)
	defer cancel()
	result, err := n.Store.Transact(ctx, nil, writes)
	if err == nil && !result.Applied {
		err = eris.New("the store did not apply the write")
	}
	return err
}
