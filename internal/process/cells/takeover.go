package cells

import (
	"context"
	"time"

	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/admit"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/tick"
)

// takeOverSettled takes over a cell once this node has owned it for a time.
func (m *Manager) takeOverSettled(ctx context.Context, cell *sched.Cell, settling time.Duration) {
	if settling > 0 && !tick.Sleep(ctx, settling) || m.LocalCell(cell.ID) != cell {
		return
	}
	m.takeOver(ctx, cell)
}

// settlingTime returns how long this node must own a cell of a pool before it takes the cell over.
// A pool that new settings have added has no other owner for a moment, whose cells a growing view
// would take away.
func (m *Manager) settlingTime(pool ident.PoolID) time.Duration {
	t := m.reconciledTree
	isAdded := t != nil && t.Version > 0 && t.Pool(pool) == nil
	if isAdded || time.Since(m.startedAt) >= startPeriod || !m.isFleetStarting() || m.hasLostMember() {
		return 0
	}
	return settleTime
}

// takeOver collects from every member the in-flight requests of a cell. The
// highest tier is granted after the first round of queries or maxTakeOverPause; the other
// tiers wait until every member has replied or left the view, because a member that has not
// replied may have closed them, unless lowestInTakeOver admits them or they share a group with
// the highest tier.
func (m *Manager) takeOver(ctx context.Context, cell *sched.Cell) {
	defer m.checkAdopted(ctx, cell)
	if wait := m.untilEarlierAcksExpire(); wait > 0 {
		resume := time.AfterFunc(max(wait, maxTakeOverPause), func() { cell.Resume(m.lowestInTakeOver(cell.ID.Pool)) })
		defer resume.Stop()
	}
	replied := map[ident.NodeID]bool{m.Self().ID: true}
	for _, f := range m.InFlight(cell.ID) {
		m.adopt(cell, f)
	}
	if m.KnownLimits != nil {
		cell.LearnLimits(m.KnownLimits())
	}
	for {
		missing := m.queryMembers(ctx, cell, replied)
		if missing == 0 {
			cell.Resume(admit.AdmitAll)
			return
		}
		cell.Resume(m.lowestInTakeOver(cell.ID.Pool))
		select {
		case <-ctx.Done():
			return
		case <-time.After(takeOverRetryInterval):
		}
		if m.LocalCell(cell.ID) != cell {
			return
		}
	}
}

// lowestInTakeOver returns the lowest tier that a cell of a pool may grant while a member has
// not replied: all of a pool that is one cell here, once no acknowledgement of this node's earlier
// process counts any more.
//
// A closure that this process has not acknowledged, and so does not know, allows nothing to a
// member that has the pool divided: it sheds a higher tier only with the acknowledgements of all
// members. A member that has the pool as one cell runs the same cell, as nodes with different
// views can. Where the pool is divided here, a member that has it as one cell may take its own
// acknowledgement for enough until it hears from this node; see isOnlyCell.
//
// Members that die in the first seconds of a fleet neither reply nor leave the view for more
// than 3 s, and calls have targets of 1 s.
func (m *Manager) lowestInTakeOver(pool ident.PoolID) ident.Tier {
	if m.untilEarlierAcksExpire() <= 0 && m.Roster().IsWhole(pool) {
		return admit.AdmitAll
	}
	return 0
}

// untilEarlierAcksExpire returns the time until no close request that an earlier process of this
// node acknowledged is in force.
func (m *Manager) untilEarlierAcksExpire() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return admit.EarlierAckTTL - time.Since(m.startedAt)
}

// checkAdopted periodically queries the entry nodes of adopted requests and ends
// those no longer in flight, since their completions may have been reported to
// the previous owner of the cell. It reports the streams that have begun meanwhile, since
// their entry nodes may not have known of the new owner then.
func (m *Manager) checkAdopted(ctx context.Context, cell *sched.Cell) {
	reported := map[ident.RequestID]bool{}
	for m.LocalCell(cell.ID) == cell {
		nodes := cell.NodesWithAdopted()
		if len(nodes) == 0 {
			return
		}
		for _, node := range nodes {
			inFlight, ok := m.inFlightAt(ctx, node, cell.ID)
			if !ok {
				continue
			}
			present := map[ident.RequestID]bool{}
			for _, f := range inFlight {
				present[f.Request] = true
				if f.Started && f.Stream != "" && !reported[f.Request] {
					reported[f.Request] = true
					m.ReportStarted(cell.ID, f.Stream, f.Release)
				}
			}
			cell.ReconcileAdopted(node, present)
		}
		if !tick.Sleep(ctx, adoptedCheckInterval) {
			return
		}
	}
}

// queryMembers queries in parallel the members of the region that have not
// replied yet, and returns the number that still have not. After maxTakeOverPause it lets the
// cell grant what it may without the other replies.
func (m *Manager) queryMembers(ctx context.Context, cell *sched.Cell, replied map[ident.NodeID]bool) int {
	type reply struct {
		from member.Member
		wire.InFlightReply
		err error
	}
	region := m.Self().Region
	replies := make(chan reply)
	queried := 0
	for _, other := range m.Members().Members {
		if other.Region != region || replied[other.ID] {
			continue
		}
		queried++
		go func() {
			inFlight, err := m.callInFlight(ctx, other, cell.ID)
			replies <- reply{other, inFlight, err}
		}()
	}
	missing := queried
	pause := time.NewTimer(maxTakeOverPause)
	defer pause.Stop()
	for received := 0; received < queried; {
		select {
		case <-pause.C:
			cell.Resume(m.lowestInTakeOver(cell.ID.Pool))
		case r := <-replies:
			received++
			if r.err == nil {
				missing--
				replied[r.from.ID] = true
				m.applyInFlightReply(cell, r.from.ID, r.InFlightReply)
			}
		}
	}
	return missing
}

func (m *Manager) applyInFlightReply(cell *sched.Cell, from ident.NodeID, r wire.InFlightReply) {
	for _, f := range r.InFlight {
		m.adopt(cell, f.ToInFlight(from))
	}
	cell.LearnLimits(wire.ToLimits(r.Limits))
	for _, estimate := range r.Estimates {
		cell.SetEstimate(estimate.ToEndpointEstimate())
	}
	for _, request := range r.Levels {
		m.admission.Close(from, request.ToCloseRequest(), time.Now())
	}
	if r.IsWhole {
		m.LearnWhole(cell.ID.Pool)
	}
}

// adopt adds a request in flight that another node's cell granted.
func (m *Manager) adopt(cell *sched.Cell, f sched.InFlight) {
	cell.Adopt(f)
	if f.Started && f.Stream != "" {
		m.ReportStarted(cell.ID, f.Stream, f.Release)
	}
}

// isFleetStarting reports whether most members started at about the same time as
// this node, judged by their first incarnations, which are their start times in Unix
// milliseconds.
func (m *Manager) isFleetStarting() bool {
	self := m.Self().Incarnation
	members := m.Members().Members
	together := 0
	for _, other := range members {
		if max(self, other.Incarnation)-min(self, other.Incarnation) < uint64(startPeriod.Milliseconds()) {
			together++
		}
	}
	return 2*together > len(members)
}

// hasLostMember reports whether a member has left the view lately. Ownership that changes
// because a member was lost is not temporary.
func (m *Manager) hasLostMember() bool {
	for id := range m.knownMembers {
		if _, ok := m.Members().Find(id); !ok {
			return true
		}
	}
	return !m.lostMemberAt.IsZero() && time.Since(m.lostMemberAt) < settleTime
}
