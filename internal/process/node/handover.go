package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/quota"
)

// handoverTimeout bounds a handover. It is acquireTimeout, since requests of the accounts are
// charged to the nodes' own shares meanwhile, and a later level finds a bucket that has granted.
const handoverTimeout = acquireTimeout

// quotaBeatInterval is the time between two calls of quota.Coordinator.Beat.
const quotaBeatInterval = 500 * time.Millisecond

// handoverState is the state of the handovers that this node sends and receives.
type handoverState struct {
	// sent is the number of the last handover sent.
	sent     atomic.Uint64
	received quota.Sequences
}

// handOverLimits removes the buckets of the accounts that this node no longer coordinates, and
// hands their levels to the next coordinators, at most for handoverTimeout. Where a message is
// lost, the next coordinator starts as it does after this node has died.
func (n *Node) handOverLimits() {
	if !n.Process.LimitTolerance.IsSet() {
		return
	}
	removed := n.quotaCoordinator.Remove(func(id ident.ClientAccount) bool {
		m, ok := n.quotaCoordinatorOf(id)
		return ok && m.ID == n.Process.Name
	}, time.Now())
	levelsOf := map[ident.NodeID]map[ident.ClientAccount]quota.Levels{}
	to := map[ident.NodeID]member.Member{}
	for id, levels := range removed {
		m, ok := n.quotaCoordinatorOf(id)
		if !ok || m.ID == n.Process.Name {
			continue // it is the only node, or the account has come back this moment.
		}
		if levelsOf[m.ID] == nil {
			levelsOf[m.ID], to[m.ID] = map[ident.ClientAccount]quota.Levels{}, m
		}
		levelsOf[m.ID][id] = levels
	}
	if len(levelsOf) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	run := n.members.Self().Incarnation
	var sending sync.WaitGroup
	for id, levels := range levelsOf {
		call := wire.Handover{Node: string(n.Process.Name), Run: run, Sequence: n.handovers.sent.Add(1), Buckets: wire.FromLevels(levels)}
		sending.Go(func() {
			_, err := link.Call[wire.Handover, wire.Empty](ctx, n.Open, to[id].PeerAddress, wire.KindHandover, call)
			if err != nil {
				n.Log.Info("limits_not_handed_over", "peer", id, "accounts", len(levels), "error", err)
				return
			}
			n.Log.Info("limits_handed_over", "peer", id, "accounts", len(levels))
		})
	}
	sending.Wait()
}

// serveHandover takes over the accounts that this node coordinates without the sender: a node
// that leaves sends its levels before it says so.
func (n *Node) serveHandover(_ context.Context, s *link.Stream, m wire.Handover) {
	defer s.Send(wire.KindAck, wire.Empty{}) //nolint:errcheck // the sender only logs it.
	sender := ident.NodeID(m.Node)
	if !n.Process.LimitTolerance.IsSet() || !n.handovers.received.IsNew(sender, m.Run, m.Sequence) {
		return
	}
	v, tree := n.members.View(), n.tree.Load()
	for _, b := range m.Buckets {
		id := ident.ClientAccount(b.Account)
		a := tree.Account(id)
		if best, ok := quotaCoordinatorIn(v, id, sender); a == nil || !ok || best.ID != n.Process.Name {
			continue
		}
		n.quotaCoordinator.Accept(a, b.ToLevels(), time.Now())
	}
}

// logTakeover logs that this node has created an account's buckets.
func (n *Node) logTakeover(t quota.Takeover) {
	n.Log.Info("limit_taken_over", "account", t.Account, "origin", t.Origin, "fill", int(t.Tokens.Level), "burst", int(t.Tokens.Burst))
}

// countRefusedAfterTakeover counts tokens that were refused soon after a takeover.
func (n *Node) countRefusedAfterTakeover(tokens ident.Tokens) {
	n.meter.Count("goldcrestwick_tokens_refused_after_takeover_total", int(tokens))
}
