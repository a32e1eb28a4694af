package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/claims"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/trace"
)

// registerPeers registers the handlers for membership, account limits, request
// traces and settings.
func (n *Node) registerPeers(mux *link.Mux) {
	link.Handle(mux, wire.KindProbe, n.serveProbe)
	link.Handle(mux, wire.KindIndirectProbe, n.serveIndirectProbe)
	link.Handle(mux, wire.KindSync, n.serveSync)
	link.Handle(mux, wire.KindShareRequest, n.serveShareRequest)
	link.Handle(mux, wire.KindAcquire, n.serveAcquire)
	link.Handle(mux, wire.KindHandover, n.serveHandover)
	link.Handle(mux, wire.KindExplain, n.serveExplain)
	link.Handle(mux, wire.KindTree, n.serveTree)
	link.Handle(mux, wire.KindVersionNotice, n.serveVersionNotice)
	link.Handle(mux, wire.KindVersion, n.serveVersion)
	link.Handle(mux, wire.KindFollow, n.serveFollow)
	link.Handle(mux, wire.KindCrashes, n.serveCrashes)
	link.Handle(mux, wire.KindCrashQuery, n.serveCrashQuery)
	link.Handle(mux, wire.KindCompletedTraits, n.serveCompletedTraits)
	link.Handle(mux, wire.KindOrigins, n.serveOrigins)
	link.Handle(mux, wire.KindOriginQuery, n.serveOriginQuery)
	link.Handle(mux, wire.KindRolloutStep, n.serveRolloutStep)
	link.Handle(mux, wire.KindRolloutQuery, n.serveRolloutQuery)
	link.Handle(mux, wire.KindReleases, n.serveReleases)
	link.Handle(mux, wire.KindReleaseQuery, n.serveReleaseQuery)
}

func (n *Node) probe(ctx context.Context, to member.Member, updates []member.Member) ([]member.Member, error) {
	reply, err := n.gossip(ctx, to, wire.KindProbe, updates)
	if err != nil && n.Redial != nil {
		n.Redial(to.PeerAddress)
	}
	return reply, err
}

func (n *Node) syncMembers(ctx context.Context, to member.Member, all []member.Member) ([]member.Member, error) {
	return n.gossip(ctx, to, wire.KindSync, all)
}

// gossip exchanges membership updates with a member, and what observeGossip records.
func (n *Node) gossip(ctx context.Context, to member.Member, kind link.Kind, updates []member.Member) ([]member.Member, error) {
	reply, err := link.Call[wire.Gossip, wire.Gossip](ctx, n.Open, to.PeerAddress, kind, n.gossipOf(updates))
	n.observeGossip(reply)
	return reply.ToMembers(), err
}

// observeGossip records what a gossip message has besides the members.
func (n *Node) observeGossip(g wire.Gossip) {
	n.fetchIfNewer(g)
	n.recordPeerRead(g)
	n.learnQuarantines(g)
}

// gossipOf returns a gossip message with membership updates, this node's settings
// version, the time since it last read the store and the quarantined traits.
func (n *Node) gossipOf(updates []member.Member) wire.Gossip {
	g := wire.FromMembers(updates)
	g.SettingsVersion, g.PeerAddress = uint64(n.tree.Load().Version), n.Process.PeerAddress
	if at := n.tables.endpointsReadAt(); !at.IsZero() {
		g.StoreReadAge = int64(max(time.Since(at), 1))
	}
	now := time.Now()
	g.Quarantined = wire.FromTraitTimes(n.poison.quarantined.All(now), now, true)
	return g
}

// broadcastState sends this node's state to its neighbors in its region, so that
// cells and callers move without waiting for the next probe. In a large fleet gossip
// takes it to the other members.
func (n *Node) broadcastState() {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	n.sendState(ctx, n.members.Neighbors(ctx))
}

// sendState sends this node's state to those of the members that are in its region.
func (n *Node) sendState(ctx context.Context, to []member.Member) {
	self := n.members.Self()
	var pending sync.WaitGroup
	for _, m := range to {
		if m.Region != self.Region {
			continue
		}
		pending.Go(func() {
			if _, err := n.probe(ctx, m, []member.Member{self}); err != nil {
				n.Log.Debug("state_not_delivered", "peer", m.ID, "error", err)
			}
		})
	}
	pending.Wait()
}

func (n *Node) serveProbe(_ context.Context, s *link.Stream, m wire.Gossip) {
	n.observeGossip(m)
	reply := n.members.Merge(m.ToMembers())
	s.Send(wire.KindProbe, n.gossipOf(reply)) //nolint:errcheck // the prober falls back to indirect probes.
}

func (n *Node) serveSync(_ context.Context, s *link.Stream, m wire.Gossip) {
	n.observeGossip(m)
	n.members.Merge(m.ToMembers())
	s.Send(wire.KindSync, n.gossipOf(n.members.All())) //nolint:errcheck // the peer retries.
}

func (n *Node) indirectProbe(ctx context.Context, via, target member.Member) error {
	call := wire.IndirectProbe{Target: wire.FromMember(target)}
	reply, err := link.Call[wire.IndirectProbe, wire.IndirectProbeResult](ctx, n.Open, via.PeerAddress, wire.KindIndirectProbe, call)
	if err != nil {
		return err
	}
	if !reply.Reached {
		return errUnreachable
	}
	return nil
}

func (n *Node) serveIndirectProbe(ctx context.Context, s *link.Stream, m wire.IndirectProbe) {
	ctx, cancel := context.WithTimeout(ctx, member.ProbeTimeout)
	defer cancel()
	_, err := n.probe(ctx, m.Target.ToMember(), nil)
	s.Send(wire.KindIndirectProbe, wire.IndirectProbeResult{Reached: err == nil}) //nolint:errcheck // the prober times out.
}

// seeds returns the other nodes in the platform's list of instances.
func (n *Node) seeds(context.Context) []member.Member {
	list := n.instances.Load()
	if list == nil {
		return nil
	}
	var found []member.Member
	for _, in := range *list {
		if in.IsNode && in.PeerAddress != "" && in.ID != string(n.Process.Name) {
			found = append(found, member.Member{ID: ident.NodeID(in.ID), Zone: in.Zone, PeerAddress: in.PeerAddress})
		}
	}
	return found
}

// closeGoneLinks closes the connections to members that are no longer in the view.
func (n *Node) closeGoneLinks(v *member.View) {
	if n.Forget == nil {
		return
	}
	for _, m := range n.members.All() {
		if _, ok := v.Find(m.ID); !ok {
			n.Forget(m.PeerAddress)
		}
	}
}

// claimCoordinatorsIn returns the nodes that write claims in a view.
func (n *Node) claimCoordinatorsIn(v *member.View) []member.Member {
	if known := n.claimCoordinatorSet.Load(); known != nil && known.view == v {
		return known.members
	}
	ranked := member.Ranked(v.Serving(""), "claim_homes")
	chosen := ranked[:min(len(ranked), maxClaimCoordinators)]
	n.claimCoordinatorSet.Store(&claimCoordinatorSet{v, chosen})
	return chosen
}

// joinNames returns the members' identifiers, sorted and joined by commas.
func joinNames(members []member.Member) string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = string(m.ID)
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}

func (n *Node) claimCoordinatorOf(k claims.Key) (member.Member, bool) {
	return member.Owner(n.claimCoordinatorsIn(n.members.View()), k.String())
}

// claimWriteRate returns this coordinator's equal share of the fleet's limit on
// claim transactions per second.
func (n *Node) claimWriteRate() float64 {
	return n.tree.Load().Limits.ClaimWritesPerSecond / float64(max(len(n.claimCoordinatorsIn(n.members.View())), 1))
}

// coordinatorsUnchangedSince returns the time since which the set of claim
// coordinators has not changed in this node's view, or the zero time if there is no
// view yet.
func (n *Node) coordinatorsUnchangedSince() time.Time {
	if c := n.claimCoordinatorsSince.Load(); c != nil {
		return c.since
	}
	return time.Time{}
}

func (n *Node) serveExplain(_ context.Context, s *link.Stream, m wire.Explain) {
	s.Send(wire.KindExplain, wire.FromRecords(n.trace.Find(ident.RequestID(m.Request)))) //nolint:errcheck // the peer logs the failure and continues.
}

// Explain collects the records of a request from all nodes, ordered by time.
// Members that do not respond within peerCallTimeout are logged and skipped.
func (n *Node) Explain(ctx context.Context, id ident.RequestID) []trace.Record {
	n.flushDecisions()
	all := n.trace.Find(id)
	found := make(chan []trace.Record)
	calls := 0
	for _, m := range n.members.View().Members {
		if m.ID == n.Process.Name {
			continue
		}
		calls++
		go func() {
			ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			call := wire.Explain{Request: string(id)}
			r, err := link.Call[wire.Explain, wire.Records](ctx, n.Open, m.PeerAddress, wire.KindExplain, call)
			if err != nil {
				n.Log.Warn("explain_without_peer", "peer", m.ID, "error", err)
			}
			found <- r.ToRecords()
		}()
	}
	for range calls {
		all = append(all, <-found...)
	}
	slices.SortStableFunc(all, func(a, b trace.Record) int { return a.Time.Compare(b.Time) })
	return all
}
