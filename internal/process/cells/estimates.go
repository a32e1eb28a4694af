package cells

import (
	"context"
	"sync"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
)

const (
	// estimatesInterval is the time between two messages with a cell's estimates to a
	// standby node. They have about 130 bytes for each endpoint.
	estimatesInterval = 2 * time.Second
	// estimatesTTL is how long received estimates are used. Older ones are no better
	// than none, since endpoints change their speed within seconds.
	estimatesTTL = 30 * time.Second
)

// handedEstimates holds the estimates that the owners of cells have passed to this node. An
// owner that is killed cannot be asked for them. The zero value is empty. It is safe for
// concurrent use.
type handedEstimates struct {
	mu    sync.Mutex
	cells map[ident.CellID]handedCell
}

type handedCell struct {
	estimates []sched.EndpointEstimate
	at        time.Time
}

func (h *handedEstimates) set(id ident.CellID, estimates []sched.EndpointEstimate, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cells == nil {
		h.cells = map[ident.CellID]handedCell{}
	}
	for other, c := range h.cells {
		if now.Sub(c.at) > estimatesTTL {
			delete(h.cells, other)
		}
	}
	h.cells[id] = handedCell{estimates, now}
}

// of returns the estimates of a cell, nil if there are none of late.
func (h *handedEstimates) of(id ident.CellID, now time.Time) []sched.EndpointEstimate {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.cells[id]; now.Sub(c.at) <= estimatesTTL {
		return c.estimates
	}
	return nil
}

// sendEstimates passes what the local cells learned of their endpoints' load to their
// standby nodes. Cells without answers yet, or without known slots, have nothing to pass on.
func (m *Manager) sendEstimates(ctx context.Context) {
	self := m.Self().ID
	for _, lc := range m.localCells() {
		estimates := lc.cell.Estimates()
		known := estimates[:0]
		for _, e := range estimates {
			if e.Load.Slots > 0 {
				known = append(known, e)
			}
		}
		if len(known) == 0 {
			continue
		}
		message := wire.FromEstimates(lc.cell.ID, known)
		for _, standby := range m.PreferenceList(lc.cell.ID) {
			if standby.ID != self {
				m.tasks.Go(func() {
					ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
					defer cancel()
					// Lost estimates are replaced by the next.
					link.Call[wire.Estimates, wire.Empty](ctx, m.Open, standby.PeerAddress, wire.KindEstimates, message) //nolint:errcheck // see above.
				})
			}
		}
	}
}

func (m *Manager) serveEstimates(_ context.Context, s *link.Stream, message wire.Estimates) {
	id, estimates := message.ToEstimates()
	m.handed.set(id, estimates, time.Now())
	for _, cell := range m.standbyCellsOf(id) {
		cell.SetLoads(estimates)
	}
	s.Send(wire.KindAck, wire.Empty{}) //nolint:errcheck // the owner needs no reply.
}

func (m *Manager) standbyCellsOf(id ident.CellID) []*sched.Cell {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []*sched.Cell
	for key, cell := range m.standby {
		if key.id == id {
			found = append(found, cell)
		}
	}
	return found
}

// EndpointLoads returns the loads of the endpoints of the local cells.
func (m *Manager) EndpointLoads() map[ident.CellID][]sched.EndpointLoad {
	all := map[ident.CellID][]sched.EndpointLoad{}
	for _, lc := range m.localCells() {
		all[lc.cell.ID] = lc.cell.EndpointLoads()
	}
	return all
}
