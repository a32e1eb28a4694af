package cells

import (
	"context"
	"sync"
	"time"

	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/roster"
)

const (
	// endpointsPropagation is the time in which a change of the endpoints reaches all nodes.
	endpointsPropagation = 2 * time.Second
	// askFormInterval is the time between two questions for the form of a pool.
	askFormInterval = time.Second
	// onlyCellGuard is how long a pool must have been small here before this node takes it for
	// one cell at all nodes: the time in which they read the change, then ask for the form, and
	// try again at each node that may answer.
	onlyCellGuard = endpointsPropagation + askFormInterval + maxPreferred*peerCallTimeout
)

// The form of a pool, one cell or cells of one availability zone each, depends on the
// numbers of endpoints that a node has seen. Between the cell size and the number up to
// which a pool stays one cell, nodes can therefore disagree, for example after a start.
// There the nodes for which the pool is one cell prevail, and each message about a cell
// spreads the form: a grant request for the one cell and the response to one for a zone's cell,
// and a query, which states the sender's form, and its reply. A node that owns the cells of its own
// zone and serves its requests from them sends no such message; it asks the owner of the one
// cell every askFormInterval.

// LearnWhole records that the pool is one cell at another node.
func (m *Manager) LearnWhole(pool ident.PoolID) {
	if m.Unite != nil && m.Roster().CanUnite(pool) {
		m.Unite(pool)
	}
}

// learnForm is called with the pool of a message and whether the pool is one cell at the sender.
// It reports whether the sender has to learn that the pool is one cell here. A node of the previous
// version does not state the form in queries, which restarts the guard.
func (m *Manager) learnForm(pool ident.PoolID, isWholeAtSender bool) (isWhole bool) {
	if isWholeAtSender {
		m.LearnWhole(pool)
		return false
	}
	m.restartOnlyCellGuard(pool)
	return m.Roster().IsWhole(pool)
}

// askForm asks about the form of the divided pools of the local cells. It returns when all
// questions are answered or have failed.
func (m *Manager) askForm(ctx context.Context) {
	asked := map[ident.PoolID]bool{}
	var asking sync.WaitGroup
	for _, lc := range m.localCells() {
		id := lc.cell.ID
		if asked[id.Pool] || !roster.IsOfZone(id) || !m.Roster().CanUnite(id.Pool) {
			continue
		}
		asked[id.Pool] = true
		asking.Go(func() { m.askFormOf(ctx, id) })
	}
	asking.Wait()
}

// askFormOf asks the owner that the pool of a zone's cell would have as one cell whether it is
// one there. If the owner does not reply, it asks the standby nodes in their order, as requests
// for the one cell then go to them. A node that would get these requests itself learns from them.
func (m *Manager) askFormOf(ctx context.Context, zoneCell ident.CellID) {
	for _, node := range m.PreferenceList(ident.CellID{Pool: zoneCell.Pool}) {
		if node.ID == m.Self().ID {
			return
		}
		query := wire.InFlightQuery{Pool: string(zoneCell.Pool), Cell: zoneCell.Index, FormOnly: true}
		reply, err := m.sendInFlightQuery(ctx, node, query)
		if err != nil {
			continue
		}
		if reply.IsWhole {
			m.LearnWhole(zoneCell.Pool)
		}
		return
	}
}

// storeRoster replaces the endpoint view and records since when each pool has been small.
func (m *Manager) storeRoster(next *roster.View) {
	m.formMu.Lock()
	defer m.formMu.Unlock()
	since := map[ident.PoolID]time.Time{}
	for _, c := range next.All() {
		if !next.IsSmall(c.ID.Pool) {
			continue
		}
		at, ok := m.smallSince[c.ID.Pool]
		if !ok {
			at = time.Now()
		}
		since[c.ID.Pool] = at
	}
	m.smallSince = since
	m.roster.Store(next)
}

// restartOnlyCellGuard records that another node has a pool divided, which this node may learn
// before it reads the change of the endpoints.
func (m *Manager) restartOnlyCellGuard(pool ident.PoolID) {
	m.formMu.Lock()
	defer m.formMu.Unlock()
	if _, isSmall := m.smallSince[pool]; isSmall {
		m.smallSince[pool] = time.Now()
	}
}

// CurrentCell returns the cell that has the requests of a cell now: if the pool of a zone's cell
// has become one cell, that one, which has adopted them.
func (m *Manager) CurrentCell(id ident.CellID) ident.CellID {
	if roster.IsOfZone(id) && m.Roster().IsWhole(id.Pool) {
		return ident.CellID{Pool: id.Pool}
	}
	return id
}

// isOfOtherForm reports whether a cell belongs to the form that its pool does not have.
func (m *Manager) isOfOtherForm(id ident.CellID) bool {
	all := m.Roster().Cells(id.Pool)
	return len(all) > 0 && roster.IsOtherForm(id, all[0].ID)
}

// isOnlyCell reports whether all requests of a pool are in one cell, at all nodes. Above the cell
// size other nodes may have the pool divided for as long as nobody tells them, and for a time
// after a change of the endpoints, or after this node has started, in any case.
//
// A node that divides a pool asks all members before it grants lower tiers in its cells, so a
// member that has not read the change yet learns of it from the question.
func (m *Manager) isOnlyCell(pool ident.PoolID) bool {
	m.formMu.Lock()
	defer m.formMu.Unlock()
	since, isSmall := m.smallSince[pool]
	return isSmall && time.Since(since) > onlyCellGuard
}
