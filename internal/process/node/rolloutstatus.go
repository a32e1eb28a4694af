package node

import (
	"context"
	"strings"
	"time"

	"goldcrestwick/internal/connection/front"
	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/canary"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
)

// registerRolloutGauges adds the metrics of a pool's rollout as it holds at this node.
func (n *Node) registerRolloutGauges(pool ident.PoolID) {
	n.meter.Gauge("goldcrestwick_rollout_share", func() float64 {
		if r := n.cells.Rollout(pool); r != nil {
			return r.Share
		}
		return 1
	}, "pool", string(pool))
	n.meter.Gauge("goldcrestwick_rollout_state", func() float64 {
		n.rollouts.mu.Lock()
		defer n.rollouts.mu.Unlock()
		return float64(n.rollouts.pools[pool].step.State)
	}, "pool", string(pool))
}

// rolloutStatus returns what this node knows of a pool's rollout.
func (n *Node) rolloutStatus(pool ident.PoolID) wire.RolloutStatus {
	n.rollouts.mu.Lock()
	p := n.rollouts.pools[pool]
	if p == nil {
		n.rollouts.mu.Unlock()
		return wire.RolloutStatus{}
	}
	status := wire.RolloutStatus{
		IsKnown: true, Target: string(p.order.Target), Ramp: int64(p.order.Ramp), Version: p.order.Version, Problem: p.problem,
		State: canary.State(p.step.State).String(), Share: p.step.Share, Endpoints: p.step.Endpoints, Reason: p.step.Reason,
		Conductor: p.step.Conductor, Running: int64(time.Since(p.seenAt)),
	}
	if !p.hasStep {
		status.State, status.Reason = canary.Running.String(), "no conductor has sent a step yet"
	}
	if p.isWithdrawn && p.problem == "" {
		status.Problem = "the order was withdrawn"
	}
	c := p.conductor
	n.rollouts.mu.Unlock()
	if r := n.cells.Rollout(pool); r != nil {
		status.Share = r.Share
	}
	if c != nil {
		c.describe(&status)
	}
	return status
}

// describe adds what only the conductor knows, if it is one.
func (c *conductor) describe(status *wire.RolloutStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.status
	if !s.isLeading {
		return
	}
	status.IsConducting, status.Conductor = true, string(c.Process.Name)
	status.State, status.Verdict, status.Reason = s.decision.State.String(), s.decision.Verdict.String(), s.decision.Reason
	status.Running, status.OldInFlight = int64(s.running), s.oldInFlight
	status.Counts = wire.FromRolloutSample(canary.Sample{Counts: s.totals}).Counts
}

func (n *Node) serveRolloutQuery(_ context.Context, s *link.Stream, m wire.RolloutQuery) {
	s.Send(wire.KindRolloutQuery, n.rolloutStatus(ident.PoolID(m.Pool))) //nolint:errcheck // the asker answers without it.
}

// Rollout returns the status of a pool's rollout, from the node that conducts it if that
// replies. The pool may be named without its team. It returns false if there is none.
func (n *Node) Rollout(ctx context.Context, name string) (front.RolloutStatus, bool) {
	pool := ident.PoolID(name)
	if !strings.Contains(name, "/") {
		for _, p := range n.tree.Load().Pools() {
			if p.Service == name {
				pool = p.ID
			}
		}
	}
	status := n.rolloutStatus(pool)
	if !status.IsKnown {
		return front.RolloutStatus{}, false
	}
	if !status.IsConducting {
		var from []member.Member
		if m, ok := n.members.View().Find(ident.NodeID(status.Conductor)); ok && m.ID != n.Process.Name {
			from = append(from, m)
		}
		callUntil(ctx, n, from, wire.KindRolloutQuery, wire.RolloutQuery{Pool: string(pool)}, func(r wire.RolloutStatus) bool {
			if r.IsConducting {
				share := status.Share
				status = r
				status.Share = share
			}
			return true
		})
	}
	return frontRolloutStatus(pool, n.Process.Name, status), true
}

// frontRolloutStatus converts a status for operators.
func frontRolloutStatus(pool ident.PoolID, node ident.NodeID, s wire.RolloutStatus) front.RolloutStatus {
	out := front.RolloutStatus{
		Pool: string(pool), Target: s.Target, RampSeconds: time.Duration(s.Ramp).Seconds(), OrderVersion: s.Version, Problem: s.Problem,
		State: s.State, Node: string(node), Share: s.Share, Endpoints: s.Endpoints, Verdict: s.Verdict, Reason: s.Reason,
		Conductor: s.Conductor, IsFromConductor: s.IsConducting, RunningSeconds: s.RunningFor().Seconds(), OldInFlight: s.OldInFlight,
	}
	counts := s.ToCounts()
	for _, key := range sortedCountKeys(counts) {
		count := counts[key]
		out.Counts = append(out.Counts, front.RolloutCount{
			Release: string(key.Release), Route: key.Route, Class: key.Class, Answers: count.Answers, Failures: count.Failures,
			MedianMs: count.Latency.Quantile(0.5).Milliseconds(), SlowestMs: count.Latency.Quantile(0.99).Milliseconds(),
		})
	}
	return out
}
