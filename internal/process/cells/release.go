package cells

import (
	"slices"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
)

// admitted returns the endpoints of a cell whose releases may be used. The others get
// nothing until AdmitsRelease permits them and Reconcile is called.
func (m *Manager) admitted(cell roster.Cell) []sched.EndpointSpec {
	isWithheld := func(s sched.EndpointSpec) bool { return !m.admitsRelease(cell.ID.Pool, s.Release) }
	if !slices.ContainsFunc(cell.Endpoints, isWithheld) {
		return cell.Endpoints
	}
	return slices.DeleteFunc(slices.Clone(cell.Endpoints), isWithheld)
}

func (m *Manager) admitsRelease(pool ident.PoolID, release ident.Release) bool {
	return m.AdmitsRelease == nil || m.AdmitsRelease(pool, release)
}

// awaitsRelease reports whether a request is bound to a release that endpoints of the cell
// have but that may not be used yet.
func (m *Manager) awaitsRelease(id ident.CellID, r *sched.GrantRequest) bool {
	if r.Release == nil || m.admitsRelease(id.Pool, *r.Release) {
		return false
	}
	return slices.ContainsFunc(m.Roster().Cells(id.Pool), func(c roster.Cell) bool {
		return c.ID == id && slices.ContainsFunc(c.Endpoints, func(s sched.EndpointSpec) bool {
			return s.Release == *r.Release && !s.Leaving
		})
	})
}

// PoolsRun returns the pools of which this node runs cells, standby cells included.
func (m *Manager) PoolsRun() map[ident.PoolID]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	pools := map[ident.PoolID]bool{}
	for id := range m.local {
		pools[id.Pool] = true
	}
	for key := range m.standby {
		pools[key.id.Pool] = true
	}
	return pools
}

// HasRelease reports whether an endpoint of a pool has a release as far as this node knows.
func (m *Manager) HasRelease(pool ident.PoolID, id ident.Endpoint, release ident.Release) bool {
	spec, ok := m.findEndpoint(pool, id)
	return ok && spec.Release == release
}

// ReleaseOf returns the release of an endpoint of a pool, "" if it has none or is not listed.
func (m *Manager) ReleaseOf(pool ident.PoolID, id ident.Endpoint) ident.Release {
	spec, _ := m.findEndpoint(pool, id)
	return spec.Release
}
