package node

import (
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
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
}

// update records the pools that routes leave with new settings, and forgets old ones.
func (f *formerPools) update(old, next *config.Tree, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
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
	if f.leftAt == nil {
		f.leftAt = map[string]map[ident.PoolID]time.Time{}
	}
	for route, pools := range old.PoolsLeft(next) {
		for _, pool := range pools {
			if f.leftAt[route] == nil {
				f.leftAt[route] = map[ident.PoolID]time.Time{}
			}
			f.leftAt[route][pool.ID] = now
		}
	}
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
