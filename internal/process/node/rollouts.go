package node

import (
	"cmp"
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/canary"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
)

const (
	// rolloutStepTTL is how long a step holds. After that nothing is granted to the target
	// unless the old releases get nothing any more, since the conductor may have found the
	// target bad.
	rolloutStepTTL = 1500 * time.Millisecond
	// rolloutCheckInterval is the time between checks for steps that no longer hold.
	rolloutCheckInterval = 100 * time.Millisecond
	// sideGoneDelay is how long the releases that are to get a pool's requests have no ready
	// endpoint before others get them. A crashed endpoint may be back within it.
	sideGoneDelay = 2 * time.Second
)

// rolloutState holds what the node knows of the pools that are moved to another release.
//
// The mutexes are taken in the order applyMu, mu. Neither is held when a cell's lock is
// requested with mu, and no cell's lock is held when either is requested.
type rolloutState struct {
	// applyMu serializes changes of the cells' shares.
	applyMu sync.Mutex
	mu      sync.Mutex
	pools   map[ident.PoolID]*poolRollout
	// hasOrders is set when the first order becomes known.
	hasOrders tick.Signal
	counts    rolloutCounts
	gate      releaseGate
	// run identifies the run of this process among those of the node.
	run uint64
	// restores counts the restores of the store, after which conductors write again.
	restores int
}

// poolRollout is a pool's order and the latest step of its conductor.
type poolRollout struct {
	pool ident.PoolID
	// order is the latest order that can be used; its Target is "" if there is none yet.
	order canary.Order
	// orderRow is the version of the latest row, and seenAt when the order was first seen.
	orderRow int64
	seenAt   time.Time
	// orderEra is the store's era when the latest row was read.
	orderEra store.Era
	// isWithdrawn is set when the order's row was deleted.
	isWithdrawn bool
	// isTrivial is set if all endpoints of the pool were of the target when the order
	// was first seen.
	isTrivial bool
	// replaced is the target of the order before, if the present target served requests when
	// its order came, "" otherwise. What held for the former goes on until the first step.
	replaced ident.Release
	// barred holds the targets of earlier orders that were replaced before they were found
	// good, or rolled back. Their endpoints may still be there.
	barred map[ident.Release]bool
	// problem says why the latest row is not used, "" if it is.
	problem string
	// step is the latest step, or one made of the conductor's row at the start, and stepAt
	// when it came; the zero time is long ago.
	step    wire.RolloutStep
	hasStep bool
	stepAt  time.Time
	// hasLoop is set when the loop that conducts the rollout exists.
	hasLoop bool
	// conductor is set while this node conducts the rollout or has.
	conductor *conductor
	// sideGoneAt is when isSideGone first found no endpoint that may be used, the zero time
	// if there is one.
	sideGoneAt time.Time
}

// conductsRollouts reports whether the process's settings bound what a bad release may get,
// without which no rollout is conducted.
func (n *Node) conductsRollouts() bool {
	return n.Platform != nil && n.Platform.ParseOrder != nil && n.Process.ExposeShare > 0
}

// applyOrderRow applies a changed row of the table of settings if it is an order, and
// reports whether it is.
func (n *Node) applyOrderRow(r store.Row) bool {
	if n.Platform.OrderPool == nil {
		return false
	}
	pool, ok := n.Platform.OrderPool(r.Key)
	if !ok {
		return false
	}
	if !n.conductsRollouts() {
		n.Log.Warn("rollout_order_ignored", "pool", pool, "store_version", r.Version, "reason", "the process settings have no section [rollout]")
		return true
	}
	if r.Deleted {
		n.withdrawOrder(pool, r.Version)
	} else if n.isNewOrderRow(pool, r.Version) {
		order, err := n.Platform.ParseOrder(r.Key, r.Value)
		order.Pool, order.Version = pool, r.Version
		if err != nil {
			n.rejectOrder(pool, r.Version, err)
		} else {
			n.takeOrder(order)
		}
	}
	n.applyRollout(pool)
	n.rollouts.hasOrders.Set()
	return true
}

// isNewOrderRow reports whether a row of a pool's order is not older than the latest one that
// this node has read. The change feed and readOrders both read rows, the former possibly later.
func (n *Node) isNewOrderRow(pool ident.PoolID, version int64) bool {
	era := n.storeEra()
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	p := n.rolloutOf(pool)
	if p.orderEra == era && version < p.orderRow {
		return false
	}
	p.orderEra = era
	return true
}

// rolloutOf returns the state of a pool's rollout, which it creates. The caller holds
// n.rollouts.mu.
func (n *Node) rolloutOf(pool ident.PoolID) *poolRollout {
	if n.rollouts.pools == nil {
		n.rollouts.pools = map[ident.PoolID]*poolRollout{}
	}
	p := n.rollouts.pools[pool]
	if p == nil {
		p = &poolRollout{pool: pool}
		n.rollouts.pools[pool] = p
		n.registerRolloutGauges(pool)
	}
	return p
}

// takeOrder takes an order. The same order in another version of its row, which a store
// that was restored also brings about, changes nothing.
func (n *Node) takeOrder(order canary.Order) {
	isTrivial, isServing := n.hasOnlyRelease(order.Pool, order.Target), n.readyEndpoints(order.Pool)[order.Target] > 0
	isKnownPool := n.tree.Load().Pool(order.Pool) != nil
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	p := n.rolloutOf(order.Pool)
	p.problem, p.orderRow = "", order.Version
	if !p.isWithdrawn && p.order.Target == order.Target && p.order.Ramp == order.Ramp {
		if p.order.Version != order.Version {
			n.Log.Info("rollout_order_repeated", "pool", order.Pool, "target", order.Target, "store_version", order.Version)
			p.order.Version = order.Version
		}
		return
	}
	if p.order.Target != order.Target || p.isWithdrawn {
		p.bar(order.Target)
		p.seenAt, p.isTrivial, p.replaced = time.Now(), isTrivial, ""
		if p.hasStep && isServing && !p.isWithdrawn {
			p.replaced = p.order.Target
		}
		p.hasStep = false
	}
	previous := p.order.Target
	p.order, p.isWithdrawn = order, false
	n.Log.Info("rollout_ordered", "pool", order.Pool, "target", order.Target, "ramp", order.Ramp, "store_version", order.Version,
		"previous_target", previous, "pool_known", isKnownPool, "only_release", isTrivial)
}

// bar bars the present target, unless the pool was moved to it, before next replaces it.
func (p *poolRollout) bar(next ident.Release) {
	state := canary.State(p.step.State)
	isMoved := p.isTrivial && !p.hasStep || p.hasStep && (state == canary.Finishing || state == canary.Done)
	if isMoved {
		clear(p.barred)
	} else if p.order.Target != "" {
		if p.barred == nil {
			p.barred = map[ident.Release]bool{}
		}
		p.barred[p.order.Target] = true
	}
	delete(p.barred, next)
}

// barredOf returns the barred releases, nil if no other release than these and the target has
// ready endpoints.
func (p *poolRollout) barredOf(target ident.Release, ready map[ident.Release]int) map[ident.Release]bool {
	for release := range ready {
		if len(p.barred) > 0 && release != target && !p.barred[release] {
			return maps.Clone(p.barred)
		}
	}
	return nil
}

// rejectOrder records that the latest row of a pool's order cannot be used. The order before
// it stays in force.
func (n *Node) rejectOrder(pool ident.PoolID, version int64, err error) {
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	p := n.rolloutOf(pool)
	p.problem, p.orderRow = err.Error(), version
	n.Log.Warn("rollout_order_unreadable", "pool", pool, "store_version", version, "order_in_force", p.order.Target, "error", err)
}

// withdrawOrder records that the row of a pool's order was deleted.
func (n *Node) withdrawOrder(pool ident.PoolID, version int64) {
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	p := n.rolloutOf(pool)
	p.problem, p.orderRow = "", version
	if p.isWithdrawn {
		return
	}
	p.isWithdrawn = true
	n.Log.Info("rollout_withdrawn", "pool", pool, "target", p.order.Target, "store_version", version)
}

// hasOnlyRelease reports whether the pool has ready endpoints and lists, those that are leaving
// included, only endpoints of one release.
func (n *Node) hasOnlyRelease(pool ident.PoolID, release ident.Release) bool {
	for _, c := range n.cells.Roster().Cells(pool) {
		if slices.ContainsFunc(c.Endpoints, func(s sched.EndpointSpec) bool { return s.Release != release }) {
			return false
		}
	}
	return n.readyEndpoints(pool)[release] > 0
}

// readyEndpoints returns the number of a pool's endpoints that are in use and not leaving, by
// release.
func (n *Node) readyEndpoints(pool ident.PoolID) map[ident.Release]int {
	counts := map[ident.Release]int{}
	for _, c := range n.cells.Roster().Cells(pool) {
		for _, spec := range c.Endpoints {
			if !spec.Leaving {
				counts[spec.Release]++
			}
		}
	}
	return counts
}

// applyRollout makes the cells of a pool follow its order and the latest step.
func (n *Node) applyRollout(pool ident.PoolID) {
	n.rollouts.applyMu.Lock()
	defer n.rollouts.applyMu.Unlock()
	ready := n.readyEndpoints(pool)
	n.rollouts.mu.Lock()
	p := n.rollouts.pools[pool]
	if p == nil {
		n.rollouts.mu.Unlock()
		return
	}
	r, usable := p.effective(ready, time.Now())
	n.rollouts.mu.Unlock()
	if usable > 0 {
		r.Usable = n.usableEndpoints(pool, r.Target, usable)
	}
	if !isSameRollout(n.cells.Rollout(pool), r) {
		n.cells.SetRollout(pool, r)
	}
}

func isSameRollout(a, b *sched.Rollout) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Target == b.Target && a.Share == b.Share && a.IsSealed == b.IsSealed &&
		(a.Usable == nil) == (b.Usable == nil) && maps.Equal(a.Usable, b.Usable) && maps.Equal(a.Barred, b.Barred)
}

// effective returns what holds for the pool's cells, nil if all releases may be used alike,
// and the number of endpoints of the target that may be used, 0 for all.
func (p *poolRollout) effective(ready map[ident.Release]int, now time.Time) (r *sched.Rollout, usable int) {
	if p.order.Target == "" {
		return nil, 0
	}
	r = &sched.Rollout{Target: p.order.Target}
	isReplaced := !p.hasStep && p.replaced != "" && p.step.Target == string(p.replaced)
	if isReplaced {
		r.Target = p.replaced
	}
	isFresh := now.Sub(p.stepAt) <= rolloutStepTTL
	state := canary.State(p.step.State)
	switch {
	case !isReplaced && (!p.hasStep || p.step.Target != string(p.order.Target)):
		if p.isTrivial {
			return nil, 0
		}
	case p.isWithdrawn && (state == canary.Done || len(ready) == 1 && ready[p.order.Target] > 0):
		// Without an order nothing is left to move, or there is nothing else to use.
		return nil, 0
	case state == canary.Done:
		r.Share, r.IsSealed = 1, isFresh && p.step.IsSealed
	case state == canary.Finishing:
		r.Share, r.IsSealed = 1, isFresh && p.step.IsSealed
	case state == canary.Running && isFresh && !p.isWithdrawn:
		r.Share, usable = p.step.Share, p.step.Endpoints
	}
	r.Barred = p.barredOf(r.Target, ready)
	if p.isSideGone(r, ready, now) {
		// Only the other side has endpoints: it gets all requests.
		r.Share, r.IsSealed, usable = min(float64(ready[r.Target]), 1), false, 0
	}
	return r, usable
}

// isSideGone reports whether for sideGoneDelay only releases that get no unbound requests, or
// only a part of them, have had ready endpoints. A target without endpoints counts only once
// the rollout is done: until then the conductor lowers the share, and a node that granted at
// the old releases by its own view could do so while the rollout is found to be done.
func (p *poolRollout) isSideGone(r *sched.Rollout, ready map[ident.Release]int, now time.Time) bool {
	target, others := ready[r.Target], 0
	for release, count := range ready {
		if release != r.Target {
			others += count
		}
	}
	isDone := p.hasStep && canary.State(p.step.State) == canary.Done
	if !(target > 0 && others == 0 && r.Share < 1) && !(target == 0 && others > 0 && r.Share >= 1 && isDone) {
		p.sideGoneAt = time.Time{}
		return false
	}
	if p.sideGoneAt.IsZero() {
		p.sideGoneAt = now
	}
	return now.Sub(p.sideGoneAt) >= sideGoneDelay
}

// usableEndpoints returns the first endpoints of the target that are to be used: of each
// cell in turn one, in an order that depends on their names only, so that all nodes agree.
func (n *Node) usableEndpoints(pool ident.PoolID, target ident.Release, count int) map[ident.Endpoint]bool {
	var byCell [][]ident.Endpoint
	for _, c := range n.cells.Roster().Cells(pool) {
		var ids []ident.Endpoint
		for _, spec := range c.Endpoints {
			if spec.Release == target && !spec.Leaving {
				ids = append(ids, spec.ID)
			}
		}
		slices.SortFunc(ids, func(a, b ident.Endpoint) int { return cmp.Compare(hashOf(a), hashOf(b)) })
		byCell = append(byCell, ids)
	}
	usable := map[ident.Endpoint]bool{}
	for i := 0; len(usable) < count; i++ {
		before := len(usable)
		for _, ids := range byCell {
			if i < len(ids) && len(usable) < count {
				usable[ids[i]] = true
			}
		}
		if len(usable) == before {
			break
		}
	}
	return usable
}

func hashOf(id ident.Endpoint) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) //nolint:errcheck // it cannot fail.
	return h.Sum64()
}

// runRollouts ends the steps that no longer hold, and starts the loops that conduct, until
// ctx is done.
func (n *Node) runRollouts(ctx context.Context) {
	tick.OnDemand(ctx, rolloutCheckInterval, &n.rollouts.hasOrders, func(ctx context.Context) bool {
		n.rollouts.mu.Lock()
		pools := maps.Clone(n.rollouts.pools)
		for _, p := range pools {
			if !p.hasLoop {
				p.hasLoop = true
				n.tasks.Go(func() { n.conduct(ctx, p.pool) })
			}
		}
		n.rollouts.mu.Unlock()
		for pool := range pools {
			n.applyRollout(pool)
		}
		return len(pools) > 0
	})
}
