package cells

import (
	"context"
	"slices"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/admit"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/sched"
)

// canShed reports whether a cell of a pool may shed requests of a tier: it is the
// lowest tier of the pool, or all lower ones are closed in the whole pool.
func (m *Manager) canShed(pool ident.PoolID, tier ident.Tier) bool {
	lowest, ok := m.lowestTier(pool)
	if !ok {
		return false
	}
	members := m.regionMembers()
	if m.isOnlyCell(pool) {
		// Every queued request of the pool is in this cell.
		members = []ident.NodeID{m.Self().ID}
	}
	return m.admission.CanShed(pool, tier, lowest, members, time.Now())
}

// lowestTier returns the lowest tier of a pool, or false if there is no such pool.
func (m *Manager) lowestTier(pool ident.PoolID) (lowest ident.Tier, ok bool) {
	p := m.Tree().Pool(pool)
	if p == nil {
		return 0, false
	}
	for _, t := range p.Team.Tiers {
		lowest = max(lowest, t.Rank)
	}
	return lowest, true
}

// closeLower requests to close the tiers of a pool below the given one for a cell. There are
// none below the lowest one.
func (m *Manager) closeLower(id ident.CellID, tier ident.Tier, cause sched.CloseCause) {
	if lowest, ok := m.lowestTier(id.Pool); !ok || tier >= lowest {
		return
	}
	if !m.admission.CloseLower(id.Pool, tier, time.Now()) {
		return
	}
	m.wantsClosures.Set()
	if m.ClosingLower != nil {
		m.ClosingLower(id, tier, cause)
	}
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
// pool. It must be called again while they are needed.
func (m *Manager) CloseLowerInAllPools(tier ident.Tier) {
	for _, p := range m.Tree().Pools() {
		if lowest, ok := m.lowestTier(p.ID); ok && tier < lowest && m.admission.CloseLowerFor(p.ID, tier, admit.GateTTL, time.Now()) {
			m.wantsClosures.Set()
		}
	}
}

// Closures returns the closures of each pool that this node has wanted.
func (m *Manager) Closures() map[ident.PoolID]admit.Total {
	return m.admission.Totals(time.Now())
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

// stepClosures ends the closures that this node does not need any more, and sends the close
// requests that are due. It reports whether this node still wants closures.
func (m *Manager) stepClosures(ctx context.Context) bool {
	now := time.Now()
	for _, pool := range m.admission.Wanted() {
		m.admission.KeepClosed(pool, m.needsClosed(pool), now)
	}
	for _, opening := range m.admission.Step(now) {
		m.broadcast(ctx, opening.Request, now)
		if m.OpenedLower != nil {
			m.OpenedLower(opening.Request.Pool, opening.Level, opening.Lasted)
		}
	}
	for _, request := range m.admission.Due(now) {
		m.broadcast(ctx, request, now)
	}
	return len(m.admission.Wanted()) > 0
}

// needsClosed returns for each tier whether a cell of a pool that runs here needs the lower tiers
// closed, standby cells included.
func (m *Manager) needsClosed(pool ident.PoolID) (needs [ident.MaxTiers]bool) {
	add := func(c *sched.Cell) {
		if c.ID.Pool != pool {
			return
		}
		for tier, need := range c.NeedsClosed() {
			needs[tier] = needs[tier] || need
		}
	}
	for _, lc := range m.localCells() {
		add(lc.cell)
	}
	for _, c := range m.standbyCells() {
		add(c)
	}
	return needs
}

// broadcast sends a close request to every other member of the region. On this node, it
// enforces the level and acknowledges the request directly. Enforcing the level takes each cell's
// lock: a cell that has begun to shed a higher tier by acknowledgements which admit.Controller.Step
// has dropped since has ended that decision before the first member can open.
func (m *Manager) broadcast(ctx context.Context, request admit.CloseRequest, now time.Time) {
	self := m.Self()
	m.enforceLevel(request.Pool)
	m.admission.Acknowledge(self.ID, request, now)
	for _, other := range m.Members().Members {
		if other.ID == self.ID || other.Region != self.Region {
			continue
		}
		m.tasks.Go(func() { m.sendCloseRequest(ctx, other, request) })
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

// openRetryDelays are the pauses after which a request that opens tiers is sent again to a member
// that has not acknowledged it. After a failed dial, link.Transport.Open fails for 500 ms without
// dialing; the second pause is longer. A member that gets none of the requests opens when the
// closure's time ends; other close requests are sent again anyway.
var openRetryDelays = [...]time.Duration{100 * time.Millisecond, 600 * time.Millisecond}

// sendCloseRequest sends a close request to a member and records its acknowledgement.
func (m *Manager) sendCloseRequest(ctx context.Context, to member.Member, request admit.CloseRequest) {
	if m.trySendCloseRequest(ctx, to, request) || request.Level < admit.AdmitAll {
		return
	}
	for _, delay := range openRetryDelays {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		if !m.admission.IsCurrent(request) || !slices.Contains(m.regionMembers(), to.ID) || m.trySendCloseRequest(ctx, to, request) {
			return
		}
	}
}

func (m *Manager) trySendCloseRequest(ctx context.Context, to member.Member, request admit.CloseRequest) (isAcknowledged bool) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	sent := time.Now()
	message := wire.FromCloseRequest(m.Self().ID, request)
	if _, err := link.Call[wire.CloseTiers, wire.Empty](ctx, m.Open, to.PeerAddress, wire.KindCloseTiers, message); err != nil {
		// A member does not acknowledge a request of an earlier epoch.
		if m.CloseRequestFailed != nil && m.admission.IsCurrent(request) {
			m.CloseRequestFailed(to.ID, err)
		}
		return false
	}
	m.admission.Acknowledge(to.ID, request, sent)
	return true
}

func (m *Manager) serveCloseTiers(_ context.Context, s *link.Stream, message wire.CloseTiers) {
	request := message.ToCloseRequest()
	if !m.admission.Close(ident.NodeID(message.Node), request, time.Now()) {
		return // its sender has opened these tiers since.
	}
	m.enforceLevel(request.Pool)
	s.Send(wire.KindAck, wire.Empty{}) //nolint:errcheck // unacknowledged close requests are sent again.
}
