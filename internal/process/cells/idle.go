package cells

import (
	"context"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
)

const (
	// idleReportInterval is the time between reports of a cell's free slots to the
	// owners of other cells of the pool, and idleReportTTL is how long one is used.
	idleReportInterval = 150 * time.Millisecond
	idleReportTTL      = 500 * time.Millisecond
	// minIdleSlots is the number of free slots from which on a cell is sent requests
	// of other cells; the last ones are left to its own, which arrive meanwhile.
	minIdleSlots = 2
	// maxIdleReceivers bounds the other cells to whose owners a cell reports. A pool of 3,000
	// endpoints can have 128 cells: with reports from each to each other one, they were most of
	// what its fleet sent. Pools with up to 17 cells, of 300 endpoints and more, have no bound.
	maxIdleReceivers = 16
)

// idleSlots holds what the other cells of a pool last reported as free. The load
// pattern behind it is a burst, or the loss of endpoints, in one availability zone:
// its cell queues while those of other zones have room. The zero value is empty. It
// is safe for concurrent use.
type idleSlots struct {
	mu    sync.Mutex
	cells map[ident.CellID]idleReport
}

type idleReport struct {
	free int
	at   time.Time
}

func (s *idleSlots) set(id ident.CellID, free int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cells == nil {
		s.cells = map[ident.CellID]idleReport{}
	}
	s.cells[id] = idleReport{free, now}
}

// take takes one slot of the cell of the same pool that reported the most, and
// returns that cell. It returns false if none reported enough lately.
func (s *idleSlots) take(from ident.CellID, now time.Time) (to ident.CellID, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := minIdleSlots - 1
	for id, r := range s.cells {
		switch {
		case now.Sub(r.at) > idleReportTTL:
			delete(s.cells, id)
		case id.Pool == from.Pool && id != from && !roster.IsOtherForm(id, from) && r.free > most:
			to, most, ok = id, r.free, true
		}
	}
	if ok {
		r := s.cells[to]
		r.free--
		s.cells[to] = r
	}
	return to, ok
}

// redirectWaiting redirects requests that wait in a cell of this node while other
// cells of its pool have room.
func (m *Manager) redirectWaiting(cell *sched.Cell) {
	for cell.HasWaiting() {
		to, ok := m.idle.take(cell.ID, time.Now())
		if !ok || !cell.RedirectNext(to) {
			return
		}
	}
}

// Submit submits a grant request to a cell of this node, like sched.Cell.Submit. If it
// has to wait, the first waiting request is redirected where another cell of the pool
// has room.
//
// A request bound to a release that may not be used yet is answered with sched.Moved, so
// that its requester tries again.
func (m *Manager) Submit(cell *sched.Cell, r *sched.GrantRequest) bool {
	if m.awaitsRelease(cell.ID, r) {
		r.Response = sched.GrantResponse{Outcome: sched.Moved, Reason: sched.ReasonCellMoved}
		return true
	}
	if cell.Submit(r) {
		return true
	}
	m.redirectWaiting(cell)
	return false
}

// reportIdleSlots reports the free slots of this node's cells to the owners of other
// cells of their pools. A cell that stays full is not reported again. It
// reports whether this node has any cells.
func (m *Manager) reportIdleSlots(ctx context.Context) bool {
	self := m.Self().ID
	local := m.localCells()
	for _, lc := range local {
		free := lc.cell.FreeSlots()
		if free == 0 && lc.reportedFree == 0 {
			continue
		}
		lc.reportedFree = free
		id := lc.cell.ID
		told := map[ident.NodeID]bool{self: true}
		for _, other := range idleReceivers(m.Roster().Cells(id.Pool), id) {
			owner, ok := m.Owner(other.ID)
			if !ok {
				continue
			}
			if owner.ID == self {
				m.idle.set(id, free, time.Now())
			}
			if told[owner.ID] {
				continue
			}
			told[owner.ID] = true
			m.tasks.Go(func() { m.sendIdleSlots(ctx, owner.PeerAddress, id, free) })
		}
	}
	return len(local) > 0
}

// idleReceivers returns the other cells of a pool to whose owners a cell reports its free slots:
// all of them or, of many, maxIdleReceivers at equal distances in the order of their indexes, so
// that they are of all availability zones in proportion to their cells. Each cell then receives
// the reports of as many others, also from all zones.
func idleReceivers(cells []roster.Cell, id ident.CellID) []roster.Cell {
	at := slices.IndexFunc(cells, func(c roster.Cell) bool { return c.ID == id })
	if at < 0 {
		return cells
	}
	others := slices.Concat(cells[at+1:], cells[:at])
	if len(others) <= maxIdleReceivers {
		return others
	}
	receivers := make([]roster.Cell, maxIdleReceivers)
	for i := range receivers {
		receivers[i] = others[i*len(others)/maxIdleReceivers]
	}
	return receivers
}

// sendIdleSlots sends one report. A lost one is replaced by the next.
func (m *Manager) sendIdleSlots(ctx context.Context, address string, id ident.CellID, free int) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	message := wire.IdleSlots{Pool: string(id.Pool), Cell: id.Index, Free: free}
	link.Call[wire.IdleSlots, wire.Empty](ctx, m.Open, address, wire.KindIdleSlots, message) //nolint:errcheck // see above.
}

func (m *Manager) serveIdleSlots(_ context.Context, s *link.Stream, message wire.IdleSlots) {
	m.idle.set(ident.CellID{Pool: ident.PoolID(message.Pool), Index: message.Cell}, message.Free, time.Now())
	s.Send(wire.KindAck, wire.Empty{}) //nolint:errcheck // the reporter needs no reply.
}
