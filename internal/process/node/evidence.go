package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/poison"
)

// otherDeciders returns the other nodes that decide which traits are to blame, or may do so
// next: the owners of all cells and the standby nodes of the cells of pools. It also
// returns whether this node owns a cell.
func (n *Node) otherDeciders(pools map[ident.PoolID]bool) (others []member.Member, ownsCell bool) {
	for _, c := range n.cells.Roster().All() {
		deciders := n.cells.PreferenceList(c.ID)
		ownsCell = ownsCell || len(deciders) > 0 && deciders[0].ID == n.Process.Name
		if !pools[c.ID.Pool] {
			deciders = deciders[:min(len(deciders), 1)]
		}
		for _, m := range n.withoutSelf(deciders) {
			if !slices.ContainsFunc(others, func(known member.Member) bool { return known.ID == m.ID }) {
				others = append(others, m)
			}
		}
	}
	return others, ownsCell
}

// reportCrashes reports new crashes, and completions that refute older ones, to other
// nodes. A report that is lost delays the verdict of its receiver only.
func (n *Node) reportCrashes(ctx context.Context) {
	report, pools := n.poison.detector.TakeReport()
	if report.IsEmpty() {
		return
	}
	if n.Platform != nil {
		n.poison.rows.add(report.Crashes)
	}
	others, _ := n.otherDeciders(pools)
	n.sendReport(ctx, others, report)
}

// sendReport sends a report in the background, so that a node that does not respond delays
// neither the next report nor a verdict.
func (n *Node) sendReport(ctx context.Context, to []member.Member, report poison.Report) {
	n.sendParts(ctx, to, wire.FromReport(report, time.Now()).Split())
}

func (n *Node) sendParts(ctx context.Context, to []member.Member, parts []wire.Crashes) {
	n.tasks.Go(func() {
		for _, part := range parts {
			callAll[wire.Crashes, wire.Empty](ctx, n, to, wire.KindCrashes, part)
		}
	})
}

func (n *Node) serveCrashes(_ context.Context, s *link.Stream, m wire.Crashes) {
	n.learnEvidence(m)
	s.Send(wire.KindAck, wire.Empty{}) //nolint:errcheck // the reporter ignores lost reports.
}

func (n *Node) learnEvidence(m wire.Crashes) {
	report := m.ToReport(time.Now())
	if report.IsEmpty() {
		return
	}
	n.poison.detector.Learn(report)
	n.markBlamed(nil)
	n.poison.wake()
}

// noteOwnership records that this node has begun to own a cell of a pool, or ceased to. The
// manager of the cells may be locked.
func (n *Node) noteOwnership(pool ident.PoolID, isOwner bool) {
	n.poison.mu.Lock()
	defer n.poison.mu.Unlock()
	n.poison.setOwnership(pool, isOwner)
	if isOwner {
		n.poison.ownsCell.Set()
	}
	n.poison.wake()
}

// setOwnership must be called with p.mu held.
func (p *poisonState) setOwnership(pool ident.PoolID, isOwner bool) {
	if p.gained == nil {
		p.gained, p.lost = map[ident.PoolID]bool{}, map[ident.PoolID]bool{}
	}
	if isOwner {
		p.gained[pool] = true
	} else {
		p.lost[pool] = true
	}
}

// exchangeEvidence asks the other nodes of the pools of which this node has begun to own a
// cell for their evidence, as it may not have been a standby node or may have missed
// reports. It sends its own evidence of pools of which it has ceased to own a cell: the
// nodes that decide now may have asked before they got the latest reports.
func (n *Node) exchangeEvidence(ctx context.Context) {
	n.poison.mu.Lock()
	gained, lost := n.poison.gained, n.poison.lost
	n.poison.gained, n.poison.lost = nil, nil
	if n.poison.asked == nil {
		n.poison.asked = map[ident.PoolID]bool{}
	}
	maps.Copy(n.poison.asked, gained)
	n.poison.mu.Unlock()
	for _, pool := range slices.Sorted(maps.Keys(lost)) {
		if report := n.poison.detector.Evidence(pool, time.Now()); !report.IsEmpty() {
			n.sendReport(ctx, n.otherDecidersOf(pool), report)
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(gained)) {
		others := n.otherDecidersOf(pool)
		n.tasks.Go(func() {
			known := map[poison.Endpoint]time.Time{}
			callUntil(ctx, n, others, wire.KindCrashQuery, wire.CrashQuery{Pool: string(pool), Node: string(n.Process.Name)}, func(m wire.Crashes) bool {
				maps.Copy(known, m.ToReport(time.Now()).Known)
				n.learnEvidence(m)
				return false
			})
			n.learnRead(pool, known)
		})
	}
}

// learnRead learns the crashes of a pool that were read from the store, without those of
// endpoint runs of which other nodes know: rows do not tell of completions after their write.
func (n *Node) learnRead(pool ident.PoolID, known map[poison.Endpoint]time.Time) {
	n.poison.mu.Lock()
	report, ok := n.poison.read[pool]
	delete(n.poison.read, pool)
	n.poison.mu.Unlock()
	if !ok {
		return
	}
	report.Crashes = slices.DeleteFunc(report.Crashes, func(c poison.Crash) bool {
		at, isKnown := known[c.Endpoint]
		// Runs of an endpoint without a start time are told apart by the time of the crash.
		return isKnown && (c.Endpoint.StartedUnixMilli != 0 || c.At.Sub(at) < time.Second)
	})
	n.poison.detector.Learn(report)
	n.markBlamed(n.blamedBefore())
	n.poison.wake()
}

// otherDecidersOf returns the other nodes that own a cell of a pool or are its standby nodes.
func (n *Node) otherDecidersOf(pool ident.PoolID) []member.Member {
	var others []member.Member
	for _, c := range n.cells.Roster().Cells(pool) {
		for _, m := range n.withoutSelf(n.cells.PreferenceList(c.ID)) {
			if !slices.ContainsFunc(others, func(known member.Member) bool { return known.ID == m.ID }) {
				others = append(others, m)
			}
		}
	}
	return others
}

func (n *Node) serveCrashQuery(_ context.Context, s *link.Stream, m wire.CrashQuery) {
	now := time.Now()
	parts := wire.FromReport(n.poison.detector.Evidence(ident.PoolID(m.Pool), now), now).Split()
	if len(parts) == 0 {
		parts = []wire.Crashes{{}}
	}
	s.Send(wire.KindCrashes, parts[0]) //nolint:errcheck // the asker decides without it.
	if asker, ok := n.members.View().Find(ident.NodeID(m.Node)); ok && len(parts) > 1 {
		n.sendParts(n.ctx, []member.Member{asker}, parts[1:])
	}
}
