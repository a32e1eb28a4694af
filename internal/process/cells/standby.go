package cells

import (
	"maps"
	"slices"
	"time"

	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/ident"
)

// silentTime is how long a node that did not answer a bid is passed over before
// one bid tries it again.
const silentTime = 700 * time.Millisecond

// standbyKey names a standby cell. A cell stands in for all nodes, or decides
// for this node alone.
type standbyKey struct {
	id    ident.CellID
	alone bool
}

// MarkUnresponsive notes that a node did not answer a bid.
func (m *Manager) MarkUnresponsive(id ident.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.silent == nil {
		m.silent = map[ident.NodeID]time.Time{}
	}
	m.silent[id] = time.Now().Add(silentTime)
}

// MarkResponsive notes that a node answered.
func (m *Manager) MarkResponsive(id ident.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.silent, id)
}

// IsUnresponsive reports whether a node is passed over. After a while one caller is
// let through to try the node, which tells with MarkUnresponsive or MarkResponsive how it went.
func (m *Manager) IsUnresponsive(id ident.NodeID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	until, ok := m.silent[id]
	if !ok {
		return false
	}
	now := time.Now()
	if now.Before(until) {
		return true
	}
	m.silent[id] = now.Add(silentTime)
	return false
}

// Standby returns a cell of this node's own that stands in for one whose node
// is silent. It knows only what it granted itself, so the endpoints may get
// more work than their windows say; nothing else follows.
//
// A node that can reach none of those that stand in decides alone, within its
// even part of each endpoint's slots.
func (m *Manager) Standby(id ident.CellID, alone bool) *sched.Cell {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := standbyKey{id, alone}
	if c := m.standby[key]; c != nil {
		return c
	}
	pool := m.Tree().Pool(id.Pool)
	if pool == nil {
		return nil
	}
	if m.standby == nil {
		m.standby = map[standbyKey]*sched.Cell{}
	}
	c := m.newCell(id, pool, &owned{})
	m.standby[key] = c
	m.configureStandby()
	return c
}

func (m *Manager) standbyCells() []*sched.Cell {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.standby))
}

// configureStandby gives the standby cells their present endpoints.
func (m *Manager) configureStandby() {
	for key, c := range m.standby {
		pool := m.Tree().Pool(key.id.Pool)
		if pool == nil {
			delete(m.standby, key)
			c.Close()
			continue
		}
		for _, cell := range m.Roster().Cells(key.id.Pool) {
			if cell.ID != key.id {
				continue
			}
			specs := cell.Endpoints
			if key.alone {
				specs = m.evenPart(cell)
			}
			c.Configure(pool, specs)
		}
	}
}

// evenPart returns the endpoints with this node's part of their slots.
func (m *Manager) evenPart(cell roster.Cell) []sched.EndpointSpec {
	nodes := max(m.fleetSize(), 1)
	specs := slices.Clone(cell.Endpoints)
	for i := range specs {
		if specs[i].Slots > 0 {
			specs[i].Slots = (specs[i].Slots + nodes - 1) / nodes
		}
	}
	return specs
}

// fleetSize counts the members, also those that lately went missing: they may
// be cut off and decide alone as well.
func (m *Manager) fleetSize() int {
	n := len(m.Members().Members)
	if m.RecentlyFailed != nil {
		n += m.RecentlyFailed()
	}
	return n
}
