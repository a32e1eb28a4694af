package node

import (
	"context"
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
)

// orderReadPause is the pause after the first read of the orders while endpoints wait for
// them. It doubles up to maxOrderReadPause, since an unreadable order may stay for long.
const (
	orderReadPause    = 200 * time.Millisecond
	maxOrderReadPause = 2 * time.Second
)

// releaseGate keeps endpoints of a release that is new to a pool out of use until the node
// knows the orders that were in the store before the endpoints. An operator orders a rollout
// before its endpoints are started, and all row versions come from one counter. A node that
// has read the orders up to the version of a row of such an endpoint knows the order.
type releaseGate struct {
	mu       sync.Mutex
	admitted map[poolRelease]bool
	// waiting holds the position of the oldest row seen of each release that waits.
	waiting map[poolRelease]store.Position
	// due is set when a release begins to wait.
	due tick.Signal
}

type poolRelease struct {
	pool    ident.PoolID
	release ident.Release
}

// observe records the row of an endpoint, which was written at or before the position.
func (g *releaseGate) observe(in roster.Instance, at store.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := poolRelease{in.Pool, in.Release}
	if g.admitted[key] || in.Leaving {
		return
	}
	if known, ok := g.waiting[key]; ok && known.Era == at.Era && known.Version <= at.Version {
		return
	}
	if g.waiting == nil {
		g.waiting = map[poolRelease]store.Position{}
	}
	g.waiting[key] = at
	g.due.Set()
}

// admits reports whether an endpoint may be used.
func (g *releaseGate) admits(in roster.Instance) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitted[poolRelease{in.Pool, in.Release}]
}

// retain forgets the releases that no ready endpoint has any more: their next endpoints may
// have a new order.
func (g *releaseGate) retain(endpoints map[string]roster.Instance) {
	listed := map[poolRelease]bool{}
	for _, in := range endpoints {
		if !in.Leaving {
			listed[poolRelease{in.Pool, in.Release}] = true
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for key := range g.admitted {
		if !listed[key] {
			delete(g.admitted, key)
		}
	}
	for key := range g.waiting {
		if !listed[key] {
			delete(g.waiting, key)
		}
	}
}

// admitThrough admits the releases with a row up to a position, up to which the orders are
// known. It returns the admitted ones and whether others wait.
func (g *releaseGate) admitThrough(at store.Position, isHeld func(ident.PoolID) bool) (admitted []poolRelease, areWaiting bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isServed := map[ident.PoolID]bool{}
	for key := range g.admitted {
		isServed[key.pool] = true
	}
	for key, row := range g.waiting {
		// A pool without any release in use, as after a start, is served whatever its order.
		if row.Era != at.Era || row.Version > at.Version || isServed[key.pool] && isHeld(key.pool) {
			continue
		}
		if g.admitted == nil {
			g.admitted = map[poolRelease]bool{}
		}
		g.admitted[key] = true
		delete(g.waiting, key)
		admitted = append(admitted, key)
	}
	return admitted, len(g.waiting) > 0
}

// observeEndpointRow records the row of an endpoint for the gate.
func (n *Node) observeEndpointRow(in roster.Instance, version int64) {
	if n.conductsRollouts() {
		n.rollouts.gate.observe(in, store.Position{Era: n.storeEra(), Version: version})
	}
}

// admitsEndpoint reports whether an endpoint may be used as far as rollouts are concerned.
func (n *Node) admitsEndpoint(in roster.Instance) bool {
	return !n.conductsRollouts() || in.Leaving || n.rollouts.gate.admits(in)
}

func (n *Node) storeEra() store.Era {
	if n.Store.Service.Era != nil {
		return n.Store.Service.Era()
	}
	return 0
}

// hasUnreadableOrder reports whether a pool's latest order cannot be read. Its target is not
// known, and may be any release that is new to the pool.
func (n *Node) hasUnreadableOrder(pool ident.PoolID) bool {
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	p := n.rollouts.pools[pool]
	return p != nil && p.problem != ""
}

// readOrders admits the endpoints of new releases until ctx is done. If the table of
// settings, as this node follows it, is not as new as their rows, it reads the orders itself.
func (n *Node) readOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.rollouts.gate.due.C():
		}
		n.awaitSettingsRows(ctx)
		pause := orderReadPause
		for areWaiting := n.admitReleases(n.settingsPosition()); areWaiting; pause = min(2*pause, maxOrderReadPause) {
			rows, at, err := n.Store.Scan(ctx, n.Platform.SettingsTable)
			if err != nil {
				n.Log.Warn("orders_not_read", "error", err)
				// The table may have been followed through another node in the meantime.
				areWaiting = n.admitReleases(n.settingsPosition())
			} else {
				n.applyOrdersRead(rows)
				areWaiting = n.admitReleases(at)
			}
			if areWaiting && !tick.Sleep(ctx, pause) {
				return
			}
		}
	}
}

// awaitSettingsRows waits for the first read of the table of settings, at most startWait. A node
// that starts reads the endpoints at the same time, and would otherwise read the orders twice.
func (n *Node) awaitSettingsRows(ctx context.Context) {
	for deadline := time.Now().Add(startWait); time.Now().Before(deadline); {
		if tables := n.followedTables(); len(tables) > 0 && tables[0].HasRows() || !tick.Sleep(ctx, startCheckInterval) {
			return
		}
	}
}

// settingsPosition returns the position up to which this node follows the orders.
func (n *Node) settingsPosition() store.Position {
	if tables := n.changes.tables.Load(); tables != nil {
		return tables[0].Position()
	}
	return store.Position{}
}

// applyOrdersRead applies the orders in the rows of the table of settings that are newer than
// those that this node knows.
func (n *Node) applyOrdersRead(rows []store.Row) {
	for _, r := range rows {
		pool, ok := n.Platform.OrderPool(r.Key)
		if !ok {
			continue
		}
		n.rollouts.mu.Lock()
		p := n.rollouts.pools[pool]
		isNews := p == nil || r.Version > p.orderRow
		n.rollouts.mu.Unlock()
		if isNews {
			n.applyOrderRow(r)
		}
	}
}

// admitReleases admits the releases with a row up to a position and reports whether others
// wait.
func (n *Node) admitReleases(at store.Position) bool {
	admitted, areWaiting := n.rollouts.gate.admitThrough(at, n.hasUnreadableOrder)
	if len(admitted) == 0 {
		return areWaiting
	}
	for _, key := range admitted {
		n.Log.Info("release_in_use", "pool", key.pool, "release", key.release, "orders_known_to", at.Version)
	}
	n.rebuildInstances()
	return areWaiting
}
