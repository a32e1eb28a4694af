package node

import (
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/version/config"
)

// formerPoolTTL is the time for which streams can go on in a pool to which their route leads
// no longer. Like dropDelay of package origin it exceeds the time in which streams are taken
// up.
const formerPoolTTL = 2 * time.Minute

// formerPools remembers the pools to which each route led until recently.
type formerPools struct {
	mu sync.Mutex
	// leftAt holds when each pool was last left, by route.
	leftAt map[string]map[ident.PoolID]time.Time
	// since is when the first settings came into force here. isNew is set if releaseTable was
	// empty then, so that no stream can have begun before.
	since time.Time
	isNew bool
	// isCreated is set if this node has created the row routesKey, or has found that it exists.
	isCreated bool
	// row is the row routesKey as last read, valid if hasRow is set.
	row    routesRow
	hasRow bool
	// due is set when the row routesKey may have to be written.
	due tick.Signal
}

// update records the pools that routes leave with new settings, and forgets old ones.
func (f *formerPools) update(old, next *config.Tree, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.since.IsZero() {
		f.since = now
	}
	for route, pools := range f.leftAt {
		for id, at := range pools {
			if now.Sub(at) > formerPoolTTL {
				delete(pools, id)
			}
		}
		if len(pools) == 0 {
			delete(f.leftAt, route)
		}
	}
	for route, pools := range old.PoolsLeft(next) {
		for _, pool := range pools {
			f.record(route, pool.ID, now)
		}
	}
}

// record records that a route left a pool at a time. The caller holds f.mu.
func (f *formerPools) record(route string, pool ident.PoolID, at time.Time) {
	if f.leftAt == nil {
		f.leftAt = map[string]map[ident.PoolID]time.Time{}
	}
	if f.leftAt[route] == nil {
		f.leftAt[route] = map[ident.PoolID]time.Time{}
	}
	if f.leftAt[route][pool].Before(at) {
		f.leftAt[route][pool] = at
	}
}

// learn records the pools that a row shows and to which routes lead no longer, as far as this
// node knows. Those to which routes led when the row was written count as left now.
func (f *formerPools) learn(row routesRow, present map[string][]ident.PoolID, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if row.Era != unknownEra {
		f.row, f.hasRow = row, true
	}
	for route, known := range row.Routes {
		for _, pool := range known.Pools {
			if at := f.leftAt[route][pool]; !slices.Contains(present[route], pool) && now.Sub(at) > formerPoolTTL {
				f.record(route, pool, now)
			}
		}
		for pool, at := range known.LeftAt {
			f.record(route, pool, time.UnixMilli(at))
		}
	}
}

// learnTable records whether releaseTable had rows as this node started.
func (f *formerPools) learnTable(isEmpty bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isNew = isEmpty
}

// latestRow returns the row routesKey as last read.
func (f *formerPools) latestRow() routesRow {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasRow {
		return routesRow{Era: unknownEra}
	}
	return f.row
}

// mayCreate reports whether the row routesKey has to be created with the first rows of pools.
func (f *formerPools) mayCreate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isNew && !f.hasRow && !f.isCreated
}

// setCreated records that the row routesKey exists.
func (f *formerPools) setCreated() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCreated = true
}

// completeSince returns the time in Unix milliseconds since when this node knows all pools.
func (f *formerPools) completeSince() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isNew {
		return 0
	}
	return f.since.UnixMilli()
}

// left returns when a route left pools recently, other than those to which it leads.
func (f *formerPools) left(route string, present []ident.PoolID, now time.Time) map[ident.PoolID]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := map[ident.PoolID]int64{}
	for id, at := range f.leftAt[route] {
		if now.Sub(at) <= formerPoolTTL && !slices.Contains(present, id) {
			left[id] = at.UnixMilli()
		}
	}
	return left
}

// of returns the pools to which a route led until recently.
func (f *formerPools) of(route string, now time.Time) (pools []ident.PoolID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, at := range f.leftAt[route] {
		if now.Sub(at) <= formerPoolTTL {
			pools = append(pools, id)
		}
	}
	return pools
}

// findFormerPool returns a pool to which a route led until recently, nil if there is none or
// the settings have the pool no longer.
func (n *Node) findFormerPool(route string, id ident.PoolID) *config.Pool {
	n.formerPools.mu.Lock()
	at, ok := n.formerPools.leftAt[route][id]
	n.formerPools.mu.Unlock()
	if !ok || time.Since(at) > formerPoolTTL {
		return nil
	}
	return n.tree.Load().Pool(id)
}
