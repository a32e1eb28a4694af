package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/quota"
	"goldcrestwick/internal/version/config"
)

const (
	// acquireTimeout is how long a request waits for its account's coordinator
	// before this node's own share decides.
	acquireTimeout = 150 * time.Millisecond
	// recentFailureWindow is how long a failed node still counts for the limits,
	// since it may be partitioned from this one and still serve requests.
	recentFailureWindow = time.Minute
)

func accountKey(id ident.ClientAccount) string { return "account/" + string(id) }

// quotaCoordinatorOf returns the node that holds an account's token bucket.
// Joining nodes are included, so that nodes which start at the same time choose
// the same coordinator from the start.
func (n *Node) quotaCoordinatorOf(id ident.ClientAccount) (member.Member, bool) {
	v := n.members.View()
	known := n.quotaCoordinators.Load()
	if known == nil || known.view != v {
		known = &viewCoordinators{view: v}
		n.quotaCoordinators.Store(known)
	}
	if m, ok := known.byAccount.Load(id); ok {
		return m.(member.Member), true //nolint:errcheck,revive // only this type is stored.
	}
	best, ok := quotaCoordinatorIn(v, id, "")
	if !ok {
		return member.Member{}, false
	}
	known.byAccount.Store(id, best)
	return best, true
}

// quotaCoordinatorIn returns the node of a view that holds an account's token bucket if except
// does not. Nodes that leave hold them only while no other is left.
func quotaCoordinatorIn(v *member.View, id ident.ClientAccount, except ident.NodeID) (member.Member, bool) {
	var candidates []member.Member
	for _, m := range v.Members {
		if m.ID != except && (m.State == member.Ready || m.State == member.Joining) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		others := slices.DeleteFunc(slices.Clone(v.Members), func(m member.Member) bool { return m.ID == except })
		candidates = (&member.View{Members: others}).Serving("")
	}
	if len(candidates) == 0 {
		return member.Member{}, false
	}
	return member.RankedByCapacity(candidates, accountKey(id))[0], true
}

// viewCoordinators caches the coordinators of the accounts for one view, since every
// request needs one.
type viewCoordinators struct {
	view *member.View
	// byAccount holds a member.Member for each ident.ClientAccount.
	byAccount sync.Map
}

// acquire acquires a request's tokens from the bucket at the account's
// coordinator, or only refunds tokens. The duration is the time after which a
// refused request may be retried. It reports false if the coordinator gave no
// result.
func (n *Node) acquire(ctx context.Context, a *config.Account, req quota.AcquireRequest) (quota.Result, time.Duration, bool) {
	coordinator, ok := n.quotaCoordinatorOf(a.ID)
	if !ok {
		return "", 0, false
	}
	if coordinator.ID == n.Process.Name {
		result, retryAfter := n.quotaCoordinator.Acquire(a, req, time.Now())
		return result, retryAfter, true
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	reply, err := link.Call[wire.Acquire, wire.Acquired](ctx, n.Open, coordinator.PeerAddress, wire.KindAcquire, wire.FromAcquireRequest(a.ID, req))
	if err != nil || !reply.Known {
		n.Log.Debug("limit_not_drawn", "account", a.ID, "home", coordinator.ID, "only_back", req.RefundOnly, "error", err)
		return "", 0, false
	}
	return quota.Result(reply.Result), time.Duration(reply.RetryAfter), true
}

func (n *Node) serveAcquire(_ context.Context, s *link.Stream, m wire.Acquire) {
	reply := wire.Acquired{}
	coordinator, _ := n.quotaCoordinatorOf(ident.ClientAccount(m.Account))
	// If two nodes held a bucket for the account, the limit would be granted
	// twice.
	if a := n.tree.Load().Account(ident.ClientAccount(m.Account)); a != nil && coordinator.ID == n.Process.Name {
		result, retryAfter := n.quotaCoordinator.Acquire(a, m.ToAcquireRequest(), time.Now())
		reply = wire.Acquired{Known: true, Result: string(result), RetryAfter: int64(retryAfter)}
	}
	s.Send(wire.KindAcquire, reply) //nolint:errcheck // the requester falls back to its share.
}

// reachableFraction returns the fraction of the fleet that this node can reach. A
// node in a small partition must not grant the limits of the whole fleet.
func (n *Node) reachableFraction() float64 {
	serving := len(n.members.View().Serving(""))
	failed := n.members.RecentlyFailed(recentFailureWindow)
	return float64(max(serving, 1)) / float64(max(serving+failed, 1))
}

// viewUnchangedSince returns when this node's view of the fleet last changed, or
// the current time if it has no view yet.
func (n *Node) viewUnchangedSince() time.Time {
	if t := n.viewChanged.Load(); t != nil {
		return *t
	}
	return time.Now()
}

// equalShare returns the share of a limit that each serving node gets when it is
// divided equally.
func (n *Node) equalShare() float64 {
	return 1 / float64(max(len(n.members.View().Serving("")), 1))
}

// maxNodesWithShares is the number of serving nodes up to which shares of the limits
// are allocated by demand where each request is charged at the coordinator. They
// only serve while it cannot be reached, and in a larger fleet the demand of one node
// says little; the equal share applies there.
const maxNodesWithShares = 32

// requestShares requests this node's share of the limit of each account in use
// from the account's coordinator.
func (n *Node) requestShares(ctx context.Context) {
	serving := n.members.View().Serving("")
	if n.Platform != nil && len(serving) > maxNodesWithShares {
		n.quotaLimiter.ClearShares()
		return
	}
	demandsOf := map[ident.NodeID]map[string]float64{}
	coordinators := map[ident.NodeID]member.Member{}
	for account, demand := range n.quotaLimiter.Demand() {
		coordinator, ok := member.Owner(serving, accountKey(account))
		if !ok {
			continue
		}
		coordinators[coordinator.ID] = coordinator
		if demandsOf[coordinator.ID] == nil {
			demandsOf[coordinator.ID] = map[string]float64{}
		}
		demandsOf[coordinator.ID][string(account)] = demand
	}
	for id, demands := range demandsOf {
		call := wire.ShareRequest{Node: string(n.Process.Name), Demand: demands}
		if id == n.Process.Name {
			n.setShares(n.allocateShares(call))
			continue
		}
		n.tasks.Go(func() { n.requestSharesFrom(ctx, coordinators[id], call) })
	}
}

func (n *Node) requestSharesFrom(ctx context.Context, coordinator member.Member, call wire.ShareRequest) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	shares, err := link.Call[wire.ShareRequest, wire.Shares](ctx, n.Open, coordinator.PeerAddress, wire.KindShareRequest, call)
	if err != nil {
		n.Log.Debug("shares_not_lent", "home", coordinator.ID, "accounts", len(call.Demand), "error", err)
		return
	}
	n.setShares(shares)
}

func (n *Node) setShares(s wire.Shares) {
	for account, share := range s.Shares {
		n.quotaLimiter.SetShare(ident.ClientAccount(account), share)
	}
}

func (n *Node) allocateShares(m wire.ShareRequest) wire.Shares {
	shares := wire.Shares{Shares: map[string]float64{}}
	nodes := len(n.members.View().Serving(""))
	for account, demand := range m.Demand {
		shares.Shares[account] = n.shareAllocator.Allocate(ident.ClientAccount(account), ident.NodeID(m.Node), demand, nodes, time.Now())
	}
	return shares
}

func (n *Node) serveShareRequest(_ context.Context, s *link.Stream, m wire.ShareRequest) {
	s.Send(wire.KindShareRequest, n.allocateShares(m)) //nolint:errcheck // the requester keeps its last share.
}
