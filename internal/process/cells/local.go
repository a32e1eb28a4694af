package cells

import (
	"sync"

	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/ident"
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
