package cells

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
)

// rollouts holds the rollouts of pools that are moved to another release.
type rollouts struct {
	// mu serializes changes.
	mu    sync.Mutex
	pools atomic.Pointer[map[ident.PoolID]*sched.Rollout]
}

// SetRollout sets or, with nil, ends the rollout of a pool in all of its cells that run
// here or will. When it returns, no cell grants by an earlier one.
func (m *Manager) SetRollout(pool ident.PoolID, r *sched.Rollout) {
	m.rollouts.mu.Lock()
	defer m.rollouts.mu.Unlock()
	pools := map[ident.PoolID]*sched.Rollout{}
	if known := m.rollouts.pools.Load(); known != nil {
		maps.Copy(pools, *known)
	}
	pools[pool] = r
	if r == nil {
		delete(pools, pool)
	}
	m.rollouts.pools.Store(&pools)
	for _, c := range m.cellsOf(pool) {
		c.SetRollout(r)
	}
}

// applyRollout gives a new cell its pool's rollout. The caller holds m.mu.
func (m *Manager) applyRollout(c *sched.Cell) {
	// SetRollout stores the rollout before it looks for cells, for which it needs m.mu, so
	// that either this call finds the rollout or SetRollout finds the cell.
	if r := m.Rollout(c.ID.Pool); r != nil {
		c.SetRollout(r)
	}
}

// Rollout returns the rollout of a pool, nil if there is none.
func (m *Manager) Rollout(pool ident.PoolID) *sched.Rollout {
	if pools := m.rollouts.pools.Load(); pools != nil {
		return (*pools)[pool]
	}
	return nil
}

// grantDeliveryTime is the time after which an entry node has a grant or never will: it gives
// up a cell's node that sends nothing for GrantResponseTimeout. The rest is for pauses of a
// process.
const grantDeliveryTime = GrantResponseTimeout + 1700*time.Millisecond

// cellsOf returns the cells of a pool that this node runs, runs as a standby or recently
// handed over.
func (m *Manager) cellsOf(pool ident.PoolID) []*sched.Cell {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*sched.Cell
	for id, lc := range m.local {
		if id.Pool == pool {
			all = append(all, lc.cell)
		}
	}
	for id, c := range m.retired {
		if id.Pool == pool {
			all = append(all, c)
		}
	}
	for key, c := range m.standby {
		if key.id.Pool == pool {
			all = append(all, c)
		}
	}
	return all
}

// GrantedByRelease returns the number of requests that cells of a pool have granted here
// lately and that have not ended. Entry nodes know of all earlier ones.
func (m *Manager) GrantedByRelease(pool ident.PoolID) map[ident.Release]int {
	counts := map[ident.Release]int{}
	for _, c := range m.cellsOf(pool) {
		for release, n := range c.GrantedWithin(grantDeliveryTime) {
			counts[release] += n
		}
	}
	return counts
}

// MayRunAt reports whether the pool's rollout permits requests that are not bound to a
// release at an endpoint.
func (m *Manager) MayRunAt(pool ident.PoolID, spec sched.EndpointSpec) bool {
	r := m.Rollout(pool)
	return r == nil || (r.Share >= 1) == (spec.Release == r.Target) && !r.Barred[spec.Release]
}
