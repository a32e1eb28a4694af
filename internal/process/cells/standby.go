package cells

import (
	"maps"
	"slices"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
)

// unresponsiveTTL is how long a node that did not respond to a grant request is
// skipped before one grant request probes it again.
const unresponsiveTTL = 700 * time.Millisecond

// standbyKey identifies a standby cell. The cell serves the requests of all nodes
// or, when isIsolated is set, only those of this node.
type standbyKey struct {
	id         ident.CellID
	isIsolated bool
}

// MarkUnresponsive records that a node did not respond to a grant request.
func (m *Manager) MarkUnresponsive(id ident.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unresponsiveUntil == nil {
		m.unresponsiveUntil = map[ident.NodeID]time.Time{}
	}
	m.unresponsiveUntil[id] = time.Now().Add(unresponsiveTTL)
}

// MarkResponsive records that a node responded.
func (m *Manager) MarkResponsive(id ident.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.unresponsiveUntil, id)
}

// IsUnresponsive reports whether to skip a node. Once per unresponsiveTTL it
// returns false to one caller, which probes the node and records the outcome
// with MarkUnresponsive or MarkResponsive.
func (m *Manager) IsUnresponsive(id ident.NodeID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	until, ok := m.unresponsiveUntil[id]
	if !ok {
		return false
	}
	now := time.Now()
	if now.Before(until) {
		return true
	}
	m.unresponsiveUntil[id] = now.Add(unresponsiveTTL)
	return false
}

// StandbyCell returns the cell that this node runs in place of one whose owner is
// unresponsive, or nil if the pool or the cell does not exist or Run has ended. A standby cell accounts only
// for its own grants, so the endpoints may receive more work than their windows
// allow; there is no other effect.
//
// A node that reaches neither the owner nor a standby node uses an isolated
// standby cell, which is limited to this node's equal share of each endpoint's
// slots. Endpoints without known slots are not limited further.
func (m *Manager) StandbyCell(id ident.CellID, isIsolated bool) *sched.Cell {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx != nil && m.ctx.Err() != nil {
		return nil
	}
	key := standbyKey{id, isIsolated}
	if c := m.standby[key]; c != nil {
		return c
	}
	pool := m.Tree().Pool(id.Pool)
	exists := slices.ContainsFunc(m.Roster().Cells(id.Pool), func(c roster.Cell) bool { return c.ID == id })
	if pool == nil || !exists {
		return nil
	}
	if m.standby == nil {
		m.standby = map[standbyKey]*sched.Cell{}
	}
	c := m.newCell(id, pool, &localCell{})
	if isIsolated {
		c.LimitShare = 1 / float64(max(m.fleetSize(), 1))
	}
	m.standby[key] = c
	m.applyRollout(c)
	m.hasCells.Set()
	m.configureStandby()
	c.SetLoads(m.handed.of(id, time.Now()))
	return c
}

func (m *Manager) standbyCells() []*sched.Cell {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.standby))
}

// configureStandby updates the pools and endpoints of the standby cells, and
// closes the standby cells of pools that no longer exist or have another form.
func (m *Manager) configureStandby() {
	for key, c := range m.standby {
		pool := m.Tree().Pool(key.id.Pool)
		if pool == nil || m.isOfOtherForm(key.id) {
			delete(m.standby, key)
			c.Close()
			continue
		}
		for _, cell := range m.Roster().Cells(key.id.Pool) {
			if cell.ID != key.id {
				continue
			}
			cell.Endpoints = m.admitted(cell)
			specs := cell.Endpoints
			if key.isIsolated {
				specs = m.equalShare(cell)
			}
			c.Configure(pool, specs)
		}
	}
}

// equalShare returns the endpoints of a cell with this node's equal share of
// their slots, rounded up.
func (m *Manager) equalShare(cell roster.Cell) []sched.EndpointSpec {
	nodes := max(m.fleetSize(), 1)
	specs := slices.Clone(cell.Endpoints)
	for i := range specs {
		if specs[i].Slots > 0 {
			specs[i].Slots = (specs[i].Slots + nodes - 1) / nodes
		}
	}
	return specs
}

// fleetSize returns the number of members, including recently failed ones: they
// may be partitioned and run isolated standby cells too.
func (m *Manager) fleetSize() int {
	n := len(m.Members().Members)
	if m.RecentlyFailed != nil {
		n += m.RecentlyFailed()
	}
	return n
}
