package node

import (
	"context"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/quota"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
)

const (
	// acquireTimeout is how long a request waits for its account's home before
	// this node's own share decides.
	acquireTimeout = 150 * time.Millisecond
	// recentFailureTime is how long a node that is gone still counts for the limits:
	// it may be cut off and serve on.
	recentFailureTime = time.Minute
)

func accountKey(id ident.ClientAccount) string { return "account/" + string(id) }

// homeOfAccount returns the node that holds an account's bucket. Nodes that are
// still joining count, so that nodes which start together agree at once.
func (n *Node) homeOfAccount(id ident.ClientAccount) (member.Member, bool) {
	var homes []member.Member
	for _, m := range n.members.View().Members {
		if m.State == member.Ready || m.State == member.Joining {
			homes = append(homes, m)
		}
	}
	return member.Owner(homes, accountKey(id))
}

// acquire takes a request from the bucket at the account's home, or only gives back.
func (n *Node) acquire(ctx context.Context, a *config.Account, ask quota.AcquireRequest) (quota.Result, time.Duration, bool) {
	home, ok := n.homeOfAccount(a.ID)
	if !ok {
		return "", 0, false
	}
	if home.ID == n.Process.Name {
		verdict, retry := n.coordinator.Take(a, ask, time.Now())
		return verdict, retry, true
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	reply, err := link.Call[wire.Acquire, wire.Acquired](ctx, n.Open, home.PeerAddress, wire.KindAcquire, wire.FromAcquireRequest(a.ID, ask))
	if err != nil || !reply.Known {
		n.Log.Debug("limit_not_drawn", "account", a.ID, "home", home.ID, "only_back", ask.RefundOnly, "error", err)
		return "", 0, false
	}
	return quota.Result(reply.Result), time.Duration(reply.Retry), true
}

func (n *Node) serveAcquire(_ context.Context, s *link.Stream, m wire.Acquire) {
	reply := wire.Acquired{}
	home, _ := n.homeOfAccount(ident.ClientAccount(m.Account))
	// Two nodes that both hold a bucket would give out the limit twice.
	if a := n.tree.Load().Account(ident.ClientAccount(m.Account)); a != nil && home.ID == n.Process.Name {
		verdict, retry := n.coordinator.Take(a, m.ToAcquireRequest(), time.Now())
		reply = wire.Acquired{Known: true, Result: string(verdict), Retry: int64(retry)}
	}
	s.Send(wire.KindAcquire, reply) //nolint:errcheck // the node falls back to its share.
}

// limitsPart is the part of the fleet that this node reaches. A node that is
// cut off with a few others must not give out the limits of the whole.
func (n *Node) limitsPart() float64 {
	here := len(n.members.View().Ready(""))
	failed := n.members.RecentlyFailed(recentFailureTime)
	return float64(max(here, 1)) / float64(max(here+failed, 1))
}

// viewSince is when this node's picture of the fleet last changed.
func (n *Node) viewSince() time.Time {
	if t := n.viewChanged.Load(); t != nil {
		return *t
	}
	return time.Now()
}

func (n *Node) evenShare() float64 {
	return 1 / float64(max(len(n.members.View().Ready("")), 1))
}

// askShares asks the home of every account in use for this node's share.
func (n *Node) askShares(ctx context.Context) {
	ready := n.members.View().Ready("")
	byHome := map[ident.NodeID]map[string]float64{}
	homes := map[ident.NodeID]member.Member{}
	for account, demand := range n.quota.Demand() {
		home, ok := member.Owner(ready, accountKey(account))
		if !ok {
			continue
		}
		homes[home.ID] = home
		if byHome[home.ID] == nil {
			byHome[home.ID] = map[string]float64{}
		}
		byHome[home.ID][string(account)] = demand
	}
	for id, demands := range byHome {
		message := wire.ShareRequest{Node: string(n.Process.Name), Demand: demands}
		if id == n.Process.Name {
			n.setShares(n.allocateShares(message))
			continue
		}
		n.tasks.Go(func() { n.askHome(ctx, homes[id], message) })
	}
}

func (n *Node) askHome(ctx context.Context, home member.Member, message wire.ShareRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	shares, err := link.Call[wire.ShareRequest, wire.Shares](ctx, n.Open, home.PeerAddress, wire.KindShareRequest, message)
	if err != nil {
		n.Log.Debug("shares_not_lent", "home", home.ID, "accounts", len(message.Demand), "error", err)
		return
	}
	n.setShares(shares)
}

func (n *Node) setShares(s wire.Shares) {
	for account, share := range s.Shares {
		n.quota.SetShare(ident.ClientAccount(account), share)
	}
}

func (n *Node) allocateShares(m wire.ShareRequest) wire.Shares {
	shares := wire.Shares{Shares: map[string]float64{}}
	nodes := len(n.members.View().Ready(""))
	for account, demand := range m.Demand {
		shares.Shares[account] = n.allocator.Allocate(ident.ClientAccount(account), ident.NodeID(m.Node), demand, nodes, time.Now())
	}
	return shares
}

func (n *Node) serveShareRequest(_ context.Context, s *link.Stream, m wire.ShareRequest) {
	s.Send(wire.KindShareRequest, n.allocateShares(m)) //nolint:errcheck // the last share is kept.
}
