package cells

import (
	"context"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/admit"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/request/ident"
)

// canShed reports whether a cell of a pool may shed requests of a tier: it is the
// lowest tier of the pool, or all lower ones are closed in the whole pool.
func (m *Manager) canShed(pool ident.PoolID, tier ident.Tier) bool {
	p := m.Tree().Pool(pool)
	if p == nil {
		return false
	}
	lowest := ident.Tier(0)
	for _, t := range p.Team.Tiers {
		lowest = max(lowest, t.Rank)
	}
	members := m.regionMembers()
	if len(m.Roster().Cells(pool)) <= 1 {
		// Every queued request of the pool is in this cell.
		members = []ident.NodeID{m.Self().ID}
	}
	return m.admission.CanShed(pool, tier, lowest, members, time.Now())
}

// CanShedInAllPools reports whether a tier may be shed in every pool. It serves
// limits that span pools.
func (m *Manager) CanShedInAllPools(tier ident.Tier) bool {
	for _, p := range m.Tree().Pools() {
		if !m.canShed(p.ID, tier) {
			return false
		}
	}
	return true
}

// CloseLowerInAllPools requests to close the tiers below the given one in every
// pool.
func (m *Manager) CloseLowerInAllPools(tier ident.Tier) {
	for _, p := range m.Tree().Pools() {
		m.admission.CloseLower(p.ID, tier, time.Now())
	}
}

// regionMembers returns the members of the region, including this node. Any of
// them may run a cell according to some node's view.
func (m *Manager) regionMembers() []ident.NodeID {
	region := m.Self().Region
	var ids []ident.NodeID
	for _, other := range m.Members().Members {
		if other.Region == region {
			ids = append(ids, other.ID)
		}
	}
	return ids
}

// enforceLevel sheds the queued requests of the tiers below the admission level
// in all cells of a pool that run here, standby cells included.
func (m *Manager) enforceLevel(pool ident.PoolID) {
	for _, lc := range m.localCells() {
		if lc.cell.ID.Pool == pool {
			lc.cell.ShedClosedTiers()
		}
	}
	for _, c := range m.standbyCells() {
		if c.ID.Pool == pool {
			c.ShedClosedTiers()
		}
	}
}

// sendCloseRequests sends this node's pending close requests to every other
// member of the region. On this node, it enforces the level and acknowledges the
// requests directly.
func (m *Manager) sendCloseRequests(ctx context.Context) {
	now := time.Now()
	self := m.Self()
	for _, request := range m.admission.Pending(now) {
		m.enforceLevel(request.Pool)
		m.admission.Acknowledge(self.ID, request, now)
		for _, other := range m.Members().Members {
			if other.ID == self.ID || other.Region != self.Region {
				continue
			}
			m.tasks.Go(func() { m.sendCloseRequest(ctx, other, request) })
		}
	}
}

// ShedQuarantined calls sched.Cell.ShedQuarantined for all cells that run here.
func (m *Manager) ShedQuarantined(find func([]ident.Trait) (until time.Time, ok bool)) {
	for _, lc := range m.localCells() {
		lc.cell.ShedQuarantined(find)
	}
	for _, c := range m.standbyCells() {
		c.ShedQuarantined(find)
	}
}

// RunningFor returns what sched.Cell.RunningFor returns for all cells that run here.
func (m *Manager) RunningFor(traits []ident.Trait, atLeast time.Duration) []ident.Trait {
	var running []ident.Trait
	for _, lc := range m.localCells() {
		running = append(running, lc.cell.RunningFor(traits, atLeast)...)
	}
	for _, c := range m.standbyCells() {
		running = append(running, c.RunningFor(traits, atLeast)...)
	}
	return running
}

func (m *Manager) sendCloseRequest(ctx context.Context, to member.Member, request admit.CloseRequest) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	sent := time.Now()
	message := wire.FromCloseRequest(m.Self().ID, request)
	if _, err := link.Call[wire.CloseTiers, wire.Empty](ctx, m.Open, to.PeerAddress, wire.KindCloseTiers, message); err != nil {
		if m.CloseRequestFailed != nil {
			m.CloseRequestFailed(to.ID, err)
		}
		return
	}
	m.admission.Acknowledge(to.ID, request, sent)
}

func (m *Manager) serveCloseTiers(_ context.Context, s *link.Stream, message wire.CloseTiers) {
	request := message.ToCloseRequest()
	m.admission.Close(request, time.Now())
	m.enforceLevel(request.Pool)
	s.Send(wire.KindAck, wire.Empty{}) //nolint:errcheck // unacknowledged close requests are sent again.
}
