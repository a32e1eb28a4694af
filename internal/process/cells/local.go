package cells

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
)

// localCell is a cell that this node runs.
type localCell struct {
	cell          *sched.Cell
	specs         []sched.EndpointSpec
	recentPrompts promptHistory
	// reportedFree is the number of free slots in the last report to other owners.
	reportedFree int

	mu sync.Mutex
	// eventCursors holds the sequence number from which to read each endpoint's
	// cache events.
	eventCursors map[ident.Endpoint]int
	pollCounts   map[ident.Endpoint]int
}

func (m *Manager) localCells() []*localCell {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*localCell, 0, len(m.local))
	for _, lc := range m.local {
		all = append(all, lc)
	}
	return all
}

func (lc *localCell) endpoints() []sched.EndpointSpec {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.specs
}

func (lc *localCell) setEndpoints(specs []sched.EndpointSpec) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	lc.specs = specs
}

// LocalCell returns a cell that this node runs, or nil.
func (m *Manager) LocalCell(id ident.CellID) *sched.Cell {
	m.mu.Lock()
	defer m.mu.Unlock()
	if lc := m.local[id]; lc != nil {
		return lc.cell
	}
	return nil
}

// previousCells returns the retired cells from which a cell takes over estimates: the same
// one, and those of the pool's other form that were retired lately, which had the same
// endpoints. The one that was retired last, whose estimates are the newest, is the last. The
// caller holds m.mu.
func (m *Manager) previousCells(id ident.CellID) []*sched.Cell {
	var ids []ident.CellID
	for other := range m.retired {
		if other == id || roster.IsOtherForm(other, id) && time.Since(m.retiredAt[other]) <= estimatesTTL {
			ids = append(ids, other)
		}
	}
	slices.SortFunc(ids, func(a, b ident.CellID) int {
		return cmp.Or(m.retiredAt[a].Compare(m.retiredAt[b]), cmp.Compare(a.Index, b.Index))
	})
	previous := make([]*sched.Cell, 0, len(ids))
	for _, other := range ids {
		previous = append(previous, m.retired[other])
	}
	return previous
}

// dropRemovedMembers drops the requests of members that left the view.
func (m *Manager) dropRemovedMembers() {
	present := map[ident.NodeID]bool{}
	for _, other := range m.Members().Members {
		present[other.ID] = true
	}
	for id := range m.knownMembers {
		if present[id] {
			continue
		}
		m.lostMemberAt = time.Now()
		for _, lc := range m.local {
			lc.cell.DropNode(id)
		}
		for _, c := range m.standby {
			c.DropNode(id)
		}
	}
	m.knownMembers = present
}

// cellsWithEstimates returns the cells that this node runs or recently handed over and whose
// estimates a cell's new owner can use.
func (m *Manager) cellsWithEstimates(id ident.CellID) []*sched.Cell {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := m.previousCells(id)
	for other, lc := range m.local {
		if other == id || roster.IsOtherForm(other, id) {
			all = append(all, lc.cell)
		}
	}
	return all
}

// localOrRetired returns a cell that this node runs or recently handed over, or
// nil.
func (m *Manager) localOrRetired(id ident.CellID) *sched.Cell {
	if c := m.LocalCell(id); c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.retired[id]
}
