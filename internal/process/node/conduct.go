package node

import (
	"context"
	"sync"
	"time"

	"goldcrestwick/internal/process/canary"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
)

const (
	// conductInterval is the time between two steps of a rollout, and stepTimeout bounds
	// the wait for the replies to one.
	conductInterval = 250 * time.Millisecond
	stepTimeout     = 200 * time.Millisecond
	// conductSettleTime is how long a node must be the one to conduct before it does. While
	// a fleet starts, each node owns most cells for a moment.
	conductSettleTime = 400 * time.Millisecond
	// replyTTL is how long a node's reply counts. Nodes without cells of the pool get each
	// second step only.
	replyTTL = 3 * conductInterval
	// goneDelay is how long after a member left the view without an acknowledgment the old
	// releases are still taken to have work from it. It may be cut off rather than dead,
	// and a cut-off node grants nothing new that callers can reach it for much longer.
	goneDelay = 3 * time.Second
	// rolloutWriteInterval is the least time between two writes of a row, and
	// rolloutSaveInterval the time after which what the decision rests on is saved though
	// neither share nor state has changed.
	rolloutWriteInterval = 500 * time.Millisecond
	rolloutSaveInterval  = 2 * time.Second
	// raiseWait bounds the wait for the write of a share that rises.
	raiseWait = 100 * time.Millisecond
	// waitLogInterval is the least time between two log lines on why a rollout waits.
	waitLogInterval = 2 * time.Second
	// minLoggedChange is the least change of the share that is logged. It varies a little
	// with the traffic while few requests are exposed.
	minLoggedChange = 0.02
)

// conductor conducts the rollout of one pool: it collects the counts of all nodes, lets the
// canary.Machine decide, saves the decision and tells it to all nodes. Only the loop of the
// pool uses it, except for the fields guarded by mu.
type conductor struct {
	*Node
	pool    ident.PoolID
	machine canary.Machine
	// dueSince is when this node became the one to conduct; the zero time if it is not.
	dueSince  time.Time
	isLeading bool
	fencing   uint64
	// minFencing is above the highest fencing number that a node has refused a step for.
	minFencing uint64
	sequence   uint64
	// order is the one that the machine has, if hasOrder is set.
	hasOrder    bool
	order       canary.Order
	isWithdrawn bool
	// clockBase is the time on the rollout's clock at clockSet.
	clockBase time.Duration
	clockSet  time.Time
	followers map[ident.NodeID]*follower
	sample    canary.Sample
	span      time.Duration // of the first counts
	lastStep  time.Time
	decision  canary.Decision
	// loggedShare is the share that was logged last.
	loggedShare float64
	lastWaitLog time.Time
	// sent is the decision as the latest step told it, and isSealed that of its message.
	sent     canary.Decision
	isSealed bool
	isOdd    bool
	// row is the confirmed row and rowVersion its version. isConfirmed is set if it is of
	// the present order.
	row         rolloutRow
	rowVersion  int64
	isConfirmed bool
	writes      uint64
	lastWrite   time.Time
	restores    int
	// results receives the outcome of the write in progress; it is nil if there is none.
	results chan writeResult

	mu     sync.Mutex
	status conductorStatus
}

// conductorStatus is what the conductor tells operators.
type conductorStatus struct {
	isLeading   bool
	decision    canary.Decision
	running     time.Duration
	oldInFlight int
	totals      map[canary.Key]canary.Count
}

type writeResult struct {
	outcome writeOutcome
	row     rolloutRow
	version int64
}

// follower is what the conductor knows of one node.
type follower struct {
	// run identifies the node's process; received is the latest step that it replied to.
	run        uint64
	received   uint64
	lastReply  time.Time
	isApplied  bool
	lastSeen   time.Time
	inFlight   map[ident.Release]int
	fullSince  time.Time
	sealedStep uint64
	finalStep  bool
}

// conduct conducts a pool's rollout while this node is the one to do it, until ctx is done.
func (n *Node) conduct(ctx context.Context, pool ident.PoolID) {
	c := &conductor{Node: n, pool: pool, followers: map[ident.NodeID]*follower{}}
	n.rollouts.mu.Lock()
	n.rollouts.pools[pool].conductor = c
	n.rollouts.mu.Unlock()
	ticker := time.NewTicker(conductInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

// isConductor reports whether this node owns the first cell of a pool. A pool without cells
// is conducted by a member that depends on its name. In a fleet of several regions, those of
// the first one conduct.
func (n *Node) isConductor(pool ident.PoolID) bool {
	if !n.isReady() {
		return false
	}
	v := n.members.View()
	self := n.members.Self()
	for _, m := range v.Ready("") {
		if m.Region < self.Region {
			return false
		}
	}
	if cells := n.cells.Roster().Cells(pool); len(cells) > 0 {
		owner, ok := n.cells.Owner(cells[0].ID)
		return ok && owner.ID == self.ID
	}
	owner, ok := member.Owner(v.Ready(self.Region), "rollout|"+string(pool))
	return ok && owner.ID == self.ID
}

func (c *conductor) tick(ctx context.Context) {
	now := time.Now()
	if !c.isConductor(c.pool) {
		c.dueSince = time.Time{}
		c.stop("another node owns the first cell")
		return
	}
	if c.dueSince.IsZero() {
		c.dueSince = now
	}
	c.takeResult()
	if !c.isLeading && (now.Sub(c.dueSince) < conductSettleTime || !c.lead(ctx)) {
		return
	}
	c.takeOrderChange()
	// Nodes go on as before until the row has a new order.
	isHeld := c.row.Target != string(c.order.Target)
	if !isHeld && !c.isIdle() {
		c.poll(ctx)
	}
	c.step()
	if isHeld {
		c.lastWrite = time.Time{}
	}
	if !isHeld && c.isLeading && c.messageFor().Share < c.sent.Share {
		// A share that shrinks is told at once.
		c.poll(ctx)
	}
	c.save(ctx)
	if c.awaitRaise(ctx) {
		c.poll(ctx)
	}
}

// stop ends the work of a conductor that another node follows.
func (c *conductor) stop(reason string) {
	if !c.isLeading {
		return
	}
	c.isLeading = false
	c.isConfirmed = false
	c.publish(0)
	c.Log.Info("rollout_conductor_stopped", "pool", c.pool, "fencing", c.fencing, "reason", reason)
}

// currentOrder returns the order that this node knows. ok is false if it knows none.
func (c *conductor) currentOrder() (order canary.Order, isWithdrawn, isTrivial, ok bool) {
	c.rollouts.mu.Lock()
	defer c.rollouts.mu.Unlock()
	p := c.rollouts.pools[c.pool]
	return p.order, p.isWithdrawn, p.isTrivial, p.order.Target != "" || p.problem != ""
}

// knownClock returns the time on the rollout's clock as far as this node knows from the
// steps, or from when it saw the order, and the highest fencing number of the steps.
func (c *conductor) knownClock(now time.Time) (time.Duration, uint64) {
	c.rollouts.mu.Lock()
	defer c.rollouts.mu.Unlock()
	p := c.rollouts.pools[c.pool]
	if p.stepAt.IsZero() {
		return now.Sub(p.seenAt), p.step.Fencing
	}
	return time.Duration(p.step.Clock) + now.Sub(p.stepAt), p.step.Fencing
}

func (c *conductor) clock(now time.Time) time.Duration { return c.clockBase + now.Sub(c.clockSet) }

// lead makes this node the conductor: it reads the row, raises the fencing number in it and
// continues from the state in it. It reports whether that succeeded.
func (c *conductor) lead(ctx context.Context) bool {
	order, isWithdrawn, isTrivial, ok := c.currentOrder()
	if !ok || c.results != nil {
		return false
	}
	readCtx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	row, version, err := c.readRollout(readCtx, c.pool)
	cancel()
	if err != nil {
		c.Log.Warn("rollout_not_read", "pool", c.pool, "error", err)
		return false
	}
	now := time.Now()
	clock, fencing := c.knownClock(now)
	if row.Target != "" {
		clock = max(clock, row.clockAt(now))
	}
	c.clockBase, c.clockSet = clock, now
	c.fencing = max(row.Fencing, fencing, c.minFencing) + 1
	c.machine = canary.Machine{Limits: canary.Limits{
		ExposeShare: c.Process.ExposeShare, ExposeSlack: c.Process.ExposeSlack, Rollback: c.Process.Rollback,
	}}
	c.followers, c.sample, c.lastStep = map[ident.NodeID]*follower{}, canary.Sample{}, now
	c.sequence, c.writes, c.isSealed, c.sent = 0, 0, false, canary.Decision{}
	c.hasOrder, c.order, c.isWithdrawn, c.isConfirmed = false, canary.Order{}, false, false
	c.decision, c.lastWaitLog = canary.Decision{}, now
	c.mu.Lock()
	c.status.totals = map[canary.Key]canary.Count{}
	c.mu.Unlock()
	isNew := row.Target != string(order.Target) || row.Target == ""
	if isNew {
		c.order = order
	} else {
		c.resume(row)
		c.adoptEnd(row.Fencing)
	}
	outcome, version := c.writeRollout(ctx, c.pool, c.nextRow(now), version)
	if outcome != written {
		c.Log.Info("rollout_conductor_not_started", "pool", c.pool, "fencing", c.fencing, "outdated", outcome == outdated)
		return false
	}
	c.row, c.rowVersion, c.isConfirmed, c.lastWrite = c.nextRow(now), version, true, now
	c.isLeading = true
	c.rollouts.mu.Lock()
	c.restores = c.rollouts.restores
	c.rollouts.mu.Unlock()
	if isNew && order.Target != "" && !isWithdrawn {
		c.learn(ctx)
	}
	c.startOrder(order, isWithdrawn, isNew && (isTrivial || c.hasOnlyRelease(c.pool, order.Target)), c.clock(time.Now()))
	c.publish(0)
	c.Log.Info("rollout_conductor_started", "pool", c.pool, "target", order.Target, "fencing", c.fencing, "state", c.decision.State,
		"share", c.decision.Share, "clock", clock, "previous_conductor", row.Conductor)
	return true
}

// learn collects what the nodes have counted before the order, for the machine's picture of the
// old release. The target gets nothing by the step that asks for it.
func (c *conductor) learn(ctx context.Context) {
	c.poll(ctx)
	c.sample.Interval = max(c.span, conductInterval)
	c.sample.Endpoints = c.readyEndpoints(c.pool)
	c.machine.Step(c.sample, c.clock(time.Now()))
	c.sample, c.lastStep = canary.Sample{}, time.Now()
}

// resume continues from the state in a row.
func (c *conductor) resume(row rolloutRow) {
	state := row.canaryState()
	if err := c.machine.Decode(row.Machine); err != nil {
		c.Log.Warn("rollout_state_unreadable", "pool", c.pool, "state", row.State, "error", err)
		if state == canary.Running {
			return
		}
	}
	c.order, c.isWithdrawn = row.order(c.pool), row.IsWithdrawn
	// The conductor before may have ended before the machine had the order.
	started, _ := c.machine.Order()
	c.hasOrder = started.Target != "" || state >= canary.Done
	c.decision = canary.Decision{Share: row.Share, Endpoints: row.Endpoints, State: state, Reason: row.Reason}
}

// adoptEnd takes over the end of the rollout from the latest step if the row does not have it: a
// rollback is told before it is written, and a store that was restored may have an older row.
func (c *conductor) adoptEnd(rowFencing uint64) {
	c.rollouts.mu.Lock()
	defer c.rollouts.mu.Unlock()
	p := c.rollouts.pools[c.pool]
	state := canary.State(p.step.State)
	if c.decision.State >= canary.Done || !p.hasStep || state < canary.Done || p.step.Fencing < rowFencing || p.step.Target != string(c.order.Target) {
		return
	}
	c.hasOrder = true
	c.decision = canary.Decision{Share: p.step.Share, State: state, Reason: p.step.Reason}
}

// takeOrderChange gives the machine an order that has changed.
func (c *conductor) takeOrderChange() {
	order, isWithdrawn, isTrivial, ok := c.currentOrder()
	if !ok {
		return
	}
	c.startOrder(order, isWithdrawn, isTrivial, c.clock(time.Now()))
}

// startOrder gives the machine an order that is not the one it has.
func (c *conductor) startOrder(order canary.Order, isWithdrawn, isTrivial bool, clock time.Duration) {
	isSame := c.hasOrder && c.order.Target == order.Target && c.order.Ramp == order.Ramp
	if isSame && c.isWithdrawn == isWithdrawn {
		return
	}
	isOtherTarget := c.order.Target != order.Target
	c.hasOrder, c.order, c.isWithdrawn = true, order, isWithdrawn
	switch {
	case order.Target == "":
		c.decision = canary.Decision{State: canary.RolledBack, Reason: "the order cannot be read"}
	case isWithdrawn && c.decision.State == canary.Done:
		// Nothing is left to be rolled back.
	case isWithdrawn:
		c.machine.Start(canary.Order{Pool: c.pool, Version: order.Version}, clock)
		c.decision = canary.Decision{State: canary.RolledBack, Reason: "the order was withdrawn"}
	case isTrivial:
		c.decision = canary.Decision{State: canary.Done, Share: 1, Reason: "all endpoints of the pool had this release before the order"}
	default:
		c.machine.Start(order, clock)
		if isOtherTarget || c.decision.State == canary.RolledBack {
			c.decision = canary.Decision{Reason: "the order has just begun"}
		} else {
			c.decision.State = min(c.decision.State, canary.Running)
		}
	}
	c.isSealed = false
	for _, f := range c.followers {
		f.fullSince, f.sealedStep, f.finalStep = time.Time{}, 0, false
	}
}
