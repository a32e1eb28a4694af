package cells

import (
	"context"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
)

// pollAll polls the load of every endpoint of the local cells.
func (m *Manager) pollAll(ctx context.Context) {
	if m.PollLoad == nil {
		return
	}
	for _, lc := range m.localCells() {
		for _, spec := range lc.endpoints() {
			m.tasks.Go(func() { m.poll(ctx, lc, spec) })
		}
	}
	m.dropIdleRetired()
}

func (m *Manager) poll(ctx context.Context, lc *localCell, spec sched.EndpointSpec) {
	ctx, cancel := context.WithTimeout(ctx, loadPollTimeout)
	defer cancel()
	report, err := m.PollLoad(ctx, spec)
	if err != nil {
		lc.cell.MarkUnreachable(spec.ID)
		return
	}
	lc.cell.SetLoadReport(report)
	m.readCacheEvents(ctx, lc, spec)
}

func (m *Manager) dropIdleRetired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, c := range m.retired {
		if c.Load().InFlight == 0 {
			delete(m.retired, id)
			delete(m.retiredAt, id)
		}
	}
}

// Loads returns the load of each local cell.
func (m *Manager) Loads() map[ident.CellID]sched.Load {
	all := map[ident.CellID]sched.Load{}
	for _, lc := range m.localCells() {
		all[lc.cell.ID] = lc.cell.Load()
	}
	return all
}
