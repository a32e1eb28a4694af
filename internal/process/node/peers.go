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
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/ident"
)

// registerPeers adds the handlers of membership, limits and explanations.
func (n *Node) registerPeers(mux *link.Mux) {
	link.Handle(mux, wire.KindProbe, n.serveProbe)
	link.Handle(mux, wire.KindIndirectProbe, n.serveIndirectProbe)
	link.Handle(mux, wire.KindSync, n.serveSync)
	link.Handle(mux, wire.KindShareRequest, n.serveShareRequest)
	link.Handle(mux, wire.KindAcquire, n.serveAcquire)
	link.Handle(mux, wire.KindExplain, n.serveExplain)
	link.Handle(mux, wire.KindTree, n.serveTree)
	link.Handle(mux, wire.KindVersionNotice, n.serveVersionNotice)
	link.Handle(mux, wire.KindVersion, n.serveVersion)
}

func (n *Node) probe(ctx context.Context, to member.Member, updates []member.Member) ([]member.Member, error) {
	reply, err := n.gossip(ctx, to, wire.KindProbe, updates)
	if err != nil && n.Redial != nil {
		n.Redial(to.PeerAddress)
	}
	return reply, err
}

func (n *Node) syncList(ctx context.Context, to member.Member, all []member.Member) ([]member.Member, error) {
	return n.gossip(ctx, to, wire.KindSync, all)
}

func (n *Node) gossip(ctx context.Context, to member.Member, kind link.Kind, updates []member.Member) ([]member.Member, error) {
	reply, err := link.Call[wire.Gossip, wire.Gossip](ctx, n.Open, to.PeerAddress, kind, n.gossipOf(updates))
	n.hearOf(reply)
	n.hearOfStore(reply)
	return reply.ToMembers(), err
}

// gossipOf adds this node's settings version to membership updates.
func (n *Node) gossipOf(updates []member.Member) wire.Gossip {
	g := wire.FromMembers(updates)
	g.Settings, g.From = uint64(n.tree.Load().Version), n.Process.PeerAddress
	if at := n.watched.readAt(); !at.IsZero() {
		g.Read = int64(max(time.Since(at), 1))
	}
	return g
}

// toldAtOnce bounds the members that a node tells of its state itself.
const toldAtOnce = 24

// tellState tells the members of the region at once of this node's state, so
// that cells and callers come and go without waiting for gossip. Of many members
// some are told, and gossip tells the rest.
func (n *Node) tellState() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	self := n.members.Self()
	var told sync.WaitGroup
	for _, m := range n.someOthers(toldAtOnce) {
		if m.Region != self.Region {
			continue
		}
		told.Go(func() {
			if _, err := n.probe(ctx, m, []member.Member{self}); err != nil {
				n.Log.Debug("state_not_delivered", "peer", m.ID, "error", err)
			}
		})
	}
	told.Wait()
}

func (n *Node) serveProbe(_ context.Context, s *link.Stream, m wire.Gossip) {
	n.hearOf(m)
	n.hearOfStore(m)
	reply := n.members.Merge(m.ToMembers())
	s.Send(wire.KindProbe, n.gossipOf(reply)) //nolint:errcheck // the prober asks others.
}

func (n *Node) serveSync(_ context.Context, s *link.Stream, m wire.Gossip) {
	n.hearOf(m)
	n.hearOfStore(m)
	n.members.Merge(m.ToMembers())
	s.Send(wire.KindSync, n.gossipOf(n.members.All())) //nolint:errcheck // the other asks again.
}

func (n *Node) indirectProbe(ctx context.Context, via, target member.Member) error {
	message := wire.IndirectProbe{Target: wire.FromMember(target)}
	reply, err := link.Call[wire.IndirectProbe, wire.Reached](ctx, n.Open, via.PeerAddress, wire.KindIndirectProbe, message)
	if err != nil {
		return err
	}
	if !reply.Reached {
		return errNotReached
	}
	return nil
}

func (n *Node) serveIndirectProbe(ctx context.Context, s *link.Stream, m wire.IndirectProbe) {
	ctx, cancel := context.WithTimeout(ctx, member.ProbeTimeout)
	defer cancel()
	_, err := n.probe(ctx, m.Target.ToMember(), nil)
	s.Send(wire.KindIndirectProbe, wire.Reached{Reached: err == nil}) //nolint:errcheck // the prober gives up.
}

// seeds returns the nodes that the platform lists.
func (n *Node) seeds(context.Context) []member.Member {
	list := n.instances.Load()
	if list == nil {
		return nil
	}
	var found []member.Member
	for _, in := range *list {
		if in.IsNode && in.PeerAddress != "" && in.ID != string(n.Process.Name) {
			found = append(found, member.Member{ID: ident.NodeID(in.ID), PeerAddress: in.PeerAddress})
		}
	}
	return found
}

// forgetGone closes the links to members that have left the view.
func (n *Node) forgetGone(v *member.View) {
	if n.Forget == nil {
		return
	}
	for _, m := range n.members.All() {
		if _, ok := v.Find(m.ID); !ok {
			n.Forget(m.PeerAddress)
		}
	}
}

// homes returns the nodes that write claims.
func (n *Node) homes(v *member.View) []member.Member {
	if known := n.claimHomes.Load(); known != nil && known.view == v {
		return known.homes
	}
	ranked := member.Ranked(v.Ready(""), "claim_homes")
	homes := ranked[:min(len(ranked), maxHomes)]
	n.claimHomes.Store(&claimHomes{v, homes})
	return homes
}

func homesKey(homes []member.Member) string {
	names := make([]string, len(homes))
	for i, m := range homes {
		names[i] = string(m.ID)
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}

func (n *Node) homeOf(k claims.Key) (member.Member, bool) {
	return member.Owner(n.homes(n.members.View()), k.String())
}

// writeRate is this home's share of the fleet's claim transactions.
func (n *Node) writeRate() float64 {
	return n.tree.Load().Limits.ClaimWrites / float64(max(len(n.homes(n.members.View())), 1))
}

func (n *Node) homeSince() time.Time {
	if t := n.tenure.Load(); t != nil {
		return t.since
	}
	return time.Time{}
}

func (n *Node) serveExplain(_ context.Context, s *link.Stream, m wire.Explain) {
	s.Send(wire.KindExplain, wire.FromRecords(n.trace.Find(ident.RequestID(m.Request)))) //nolint:errcheck // the asker does without.
}

// Explain gathers what all nodes remember of a request, in order of time.
func (n *Node) Explain(ctx context.Context, id ident.RequestID) []trace.Record {
	n.flushDecisions()
	all := n.trace.Find(id)
	found := make(chan []trace.Record)
	asked := 0
	for _, m := range n.members.View().Members {
		if m.ID == n.Process.Name {
			continue
		}
		asked++
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			call := wire.Explain{Request: string(id)}
			r, err := link.Call[wire.Explain, wire.Records](ctx, n.Open, m.PeerAddress, wire.KindExplain, call)
			if err != nil {
				n.Log.Warn("explain_without_peer", "peer", m.ID, "error", err)
			}
			found <- r.ToRecords()
		}()
	}
	for range asked {
		all = append(all, <-found...)
	}
	slices.SortStableFunc(all, func(a, b trace.Record) int { return a.Time.Compare(b.Time) })
	return all
}
