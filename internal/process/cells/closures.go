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
		// What waits in the pool waits in this one cell.
		members = []ident.NodeID{m.Self().ID}
	}
	return m.tiers.CanShed(pool, tier, lowest, members, time.Now())
}

// CanShedEverywhere reports whether a tier may be shed in every pool, for a
// limit that is not of one pool.
func (m *Manager) CanShedEverywhere(tier ident.Tier) bool {
	for _, p := range m.Tree().Pools() {
		if !m.canShed(p.ID, tier) {
			return false
		}
	}
	return true
}

// CloseLowerEverywhere asks to close the tiers below the given one in every pool.
func (m *Manager) CloseLowerEverywhere(tier ident.Tier) {
	for _, p := range m.Tree().Pools() {
		m.tiers.CloseLower(p.ID, tier, time.Now())
	}
}

// regionMembers returns everyone in the region who could run a cell of it by
// any view, this node among them.
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

// enforce closes the tiers below the floors in all cells of a pool here.
func (m *Manager) enforce(pool ident.PoolID) {
	for _, o := range m.cells() {
		if o.cell.ID.Pool == pool {
			o.cell.Enforce()
		}
	}
}

// sendCloseRequests asks every member of the region, this node too, to close the tiers
// that this node's cells want closed.
func (m *Manager) sendCloseRequests(ctx context.Context) {
	now := time.Now()
	self := m.Self()
	for _, ask := range m.tiers.Pending(now) {
		m.enforce(ask.Pool)
		m.tiers.Acknowledge(self.ID, ask, now)
		for _, other := range m.Members().Members {
			if other.ID == self.ID || other.Region != self.Region {
				continue
			}
			m.tasks.Go(func() { m.sendCloseRequest(ctx, other, ask) })
		}
	}
}

func (m *Manager) sendCloseRequest(ctx context.Context, to member.Member, ask admit.CloseRequest) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sent := time.Now()
	message := wire.FromCloseRequest(m.Self().ID, ask)
	if _, err := link.Call[wire.CloseTiers, wire.Done](ctx, m.Open, to.PeerAddress, wire.KindCloseTiers, message); err != nil {
		if m.Unreached != nil {
			m.Unreached(to.ID, err)
		}
		return
	}
	m.tiers.Acknowledge(to.ID, ask, sent)
}

func (m *Manager) serveCloseTiers(_ context.Context, s *link.Stream, message wire.CloseTiers) {
	ask := message.ToCloseRequest()
	m.tiers.Close(ask, time.Now())
	m.enforce(ask.Pool)
	s.Send(wire.KindDone, wire.Done{}) //nolint:errcheck // unacknowledged holds are asked for again.
}
