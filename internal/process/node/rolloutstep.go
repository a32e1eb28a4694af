package node

import (
	"context"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
)

// takeStep applies a step of a pool's conductor and returns what this node has counted. A
// step that is not the latest conductor's, or of another order than this node knows, is
// refused.
func (n *Node) takeStep(m wire.RolloutStep) wire.RolloutReply {
	pool := ident.PoolID(m.Pool)
	n.rollouts.mu.Lock()
	p := n.rollouts.pools[pool]
	if p == nil || string(p.order.Target) != m.Target {
		n.rollouts.mu.Unlock()
		return wire.RolloutReply{Started: n.rollouts.run}
	}
	known := p.step
	isOther := known.Conductor != "" && m.Conductor != known.Conductor
	if m.Fencing < known.Fencing || m.Fencing == known.Fencing && (isOther || m.Sequence < known.Sequence) {
		n.rollouts.mu.Unlock()
		reply := wire.RolloutReply{Started: n.rollouts.run}
		if m.Fencing < known.Fencing || isOther {
			reply.Fencing = known.Fencing
		}
		return reply
	}
	p.step, p.hasStep, p.stepAt = m, true, time.Now()
	n.rollouts.mu.Unlock()
	n.applyRollout(pool)
	sample, span := n.rollouts.counts.collect(m, time.Now())
	reply := wire.FromRolloutSample(sample)
	reply.Span = int64(span)
	reply.IsApplied, reply.Fencing, reply.Started = true, m.Fencing, n.rollouts.run
	// The cells count a request from its grant on, and the entry node from when it has the
	// grant until the end.
	inFlight := n.cells.GrantedByRelease(pool)
	for release, count := range n.entry.InFlightByRelease(pool) {
		inFlight[release] = max(inFlight[release], count)
	}
	reply.InFlight = wire.FromInFlightByRelease(inFlight)
	return reply
}

func (n *Node) serveRolloutStep(_ context.Context, s *link.Stream, m wire.RolloutStep) {
	s.Send(wire.KindRolloutStep, n.takeStep(m)) //nolint:errcheck // the next step asks for the counts again.
}
