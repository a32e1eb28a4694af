package node

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/canary"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/sched"
)

// confirmedState returns the state and share of the confirmed row, if it is of the present
// order.
func (c *conductor) confirmedState() (canary.State, float64, int) {
	if !c.isConfirmed || c.row.Target != string(c.order.Target) {
		return canary.Running, 0, 0
	}
	return c.row.canaryState(), c.row.Share, c.row.Endpoints
}

// messageFor returns the next step. The share is raised, and the rollout finished or done,
// only after the row says so; it is lowered at once.
func (c *conductor) messageFor() wire.RolloutStep {
	state, share, endpoints := c.confirmedState()
	m := wire.RolloutStep{
		Pool: string(c.pool), Target: string(c.order.Target), Share: c.decision.Share, Endpoints: c.decision.Endpoints,
		Conductor: string(c.Process.Name), Fencing: c.fencing, Sequence: c.sequence, State: uint8(c.decision.State),
		IsSealed: c.isSealed, Clock: int64(c.clock(time.Now())), Reason: c.decision.Reason,
	}
	if share < m.Share {
		m.Share, m.Endpoints = share, endpoints
	}
	switch {
	case c.decision.State == canary.Done && state != canary.Done:
		m.State = uint8(min(state, canary.Finishing))
	case c.decision.State == canary.Finishing && state != canary.Finishing:
		m.State = uint8(canary.Running)
	}
	return m
}

// isIdle reports whether the rollout has ended and all nodes know it.
func (c *conductor) isIdle() bool {
	if c.decision.State < canary.Done || c.sent.State != c.decision.State {
		return false
	}
	for _, m := range c.members.View().Members {
		if f := c.followers[m.ID]; f == nil || !f.finalStep {
			return false
		}
	}
	return true
}

// poll sends a step to the nodes and collects their replies. Nodes that are in no preference
// list of the pool's cells get each second one, except near the end.
func (c *conductor) poll(ctx context.Context) {
	c.sequence++
	message := c.messageFor()
	c.sent = canary.Decision{Share: message.Share, State: canary.State(message.State)}
	c.isOdd = !c.isOdd
	preferred := map[ident.NodeID]bool{}
	for _, cell := range c.cells.Roster().Cells(c.pool) {
		for _, m := range c.cells.PreferenceList(cell.ID) {
			preferred[m.ID] = true
		}
	}
	type answer struct {
		from  member.Member
		reply wire.RolloutReply
		err   error
	}
	members := c.members.View().Members
	answers := make(chan answer, len(members))
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	calls := 0
	now := time.Now()
	for _, m := range members {
		f := c.followers[m.ID]
		if f == nil {
			f = &follower{}
			c.followers[m.ID] = f
		}
		f.lastSeen = now
		if !preferred[m.ID] && c.isOdd && message.State == uint8(canary.Running) {
			continue
		}
		calls++
		step := message
		step.Received = f.received
		go func() {
			if m.ID == c.Process.Name {
				answers <- answer{m, c.takeStep(step), nil}
				return
			}
			reply, err := link.Call[wire.RolloutStep, wire.RolloutReply](ctx, c.Open, m.PeerAddress, wire.KindRolloutStep, step)
			answers <- answer{m, reply, err}
		}()
	}
	for range calls {
		a := <-answers
		if a.err != nil {
			c.Log.Debug("rollout_step_not_answered", "peer", a.from.ID, "pool", c.pool, "error", a.err)
			continue
		}
		c.takeReply(a.from.ID, a.reply, message, time.Now())
	}
}

// takeReply records a node's reply to a step.
func (c *conductor) takeReply(from ident.NodeID, reply wire.RolloutReply, message wire.RolloutStep, now time.Time) {
	f := c.followers[from]
	if f.run != reply.Started {
		*f = follower{run: reply.Started, lastSeen: f.lastSeen}
	}
	f.lastReply, f.isApplied = now, reply.IsApplied
	if !reply.IsApplied {
		f.fullSince, f.sealedStep = time.Time{}, 0
		if reply.Fencing >= c.fencing {
			c.minFencing = max(c.minFencing, reply.Fencing)
			c.stop("node " + string(from) + " follows a later conductor")
		}
		return
	}
	reply.AddTo(&c.sample)
	c.span = max(c.span, min(time.Duration(reply.Span), 2*historyEpoch))
	f.received = message.Sequence
	f.inFlight = map[ident.Release]int{}
	for release, n := range reply.InFlight {
		f.inFlight[ident.Release(release)] = n
	}
	if message.State != uint8(canary.Finishing) && message.State != uint8(canary.Done) {
		f.fullSince = time.Time{}
	} else if f.fullSince.IsZero() {
		f.fullSince = now
	}
	f.sealedStep = 0
	if message.IsSealed {
		f.sealedStep = message.Sequence
	}
	f.finalStep = message.State == uint8(c.decision.State) && c.decision.State >= canary.Done
}

// step lets the machine decide on what was counted since the last step.
func (c *conductor) step() {
	now := time.Now()
	if c.decision.State >= canary.Done || c.order.Target == "" || !c.isLeading {
		c.publish(0)
		return
	}
	isComplete, isFull, isQuiet, oldInFlight := c.survey(now)
	c.sample.Interval = now.Sub(c.lastStep)
	c.sample.Endpoints = c.readyEndpoints(c.pool)
	c.sample.IsComplete = isComplete
	c.sample.OldInFlight = oldInFlight
	if c.decision.State == canary.Finishing && !isQuiet {
		// The machine must not end the rollout before nothing can reach the old releases.
		c.sample.OldInFlight = max(oldInFlight, 1)
	}
	if !isComplete || c.decision.State == canary.Finishing && !isQuiet {
		c.logWait(now, isFull)
	}
	before := c.decision
	c.decision = c.machine.Step(c.sample, c.clock(now))
	if before.State != c.decision.State {
		c.lastWaitLog = now
	}
	c.isSealed = c.decision.State == canary.Done ||
		c.decision.State == canary.Finishing && isFull && oldInFlight == 0
	c.addTotals()
	c.publish(oldInFlight)
	if before.State != c.decision.State || before.Verdict != c.decision.Verdict || math.Abs(c.decision.Share-c.loggedShare) > minLoggedChange ||
		c.decision.Share == 0 && c.loggedShare > 0 {
		c.loggedShare = c.decision.Share
		c.logStep(oldInFlight, isComplete)
	}
	c.sample, c.lastStep = canary.Sample{}, now
}

// survey summarizes what the followers have replied: isComplete if all members follow the
// conductor's steps, isFull if also none lets the old releases have new requests, and
// isQuiet if that is so for longer than a grant lives, and nothing ran there when all nodes
// held back even the requests that are bound to the old releases.
func (c *conductor) survey(now time.Time) (isComplete, isFull, isQuiet bool, oldInFlight int) {
	isComplete, isFull, isQuiet = true, true, c.isSealed
	v := c.members.View()
	for id, f := range c.followers {
		if _, isMember := v.Find(id); !isMember {
			if now.Sub(f.lastSeen) > goneDelay {
				delete(c.followers, id)
				continue
			}
			isFull = false
		}
		isComplete = isComplete && f.isApplied && now.Sub(f.lastReply) <= replyTTL
		isFull = isFull && !f.fullSince.IsZero()
		isQuiet = isQuiet && now.Sub(f.fullSince) > sched.GrantTTL && f.sealedStep == c.sequence
		for release, n := range f.inFlight {
			if release != c.order.Target {
				oldInFlight += n
			}
		}
	}
	isFull = isFull && isComplete && len(c.followers) > 0
	return isComplete, isFull, isQuiet && isFull && oldInFlight == 0, oldInFlight
}

// addTotals adds the latest counts to those that operators see.
func (c *conductor) addTotals() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, count := range c.sample.Counts {
		sum := c.status.totals[key]
		sum.Add(count)
		c.status.totals[key] = sum
	}
}

// publish records what operators may see.
func (c *conductor) publish(oldInFlight int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status.isLeading, c.status.decision, c.status.oldInFlight = c.isLeading, c.decision, oldInFlight
	c.status.running = c.clock(time.Now())
	if order, start := c.machine.Order(); order.Target != "" {
		c.status.running -= start
	}
}

// logStep logs a step that changed something.
func (c *conductor) logStep(oldInFlight int, isComplete bool) {
	var answers, failures [2]int
	for key, count := range c.sample.Counts {
		i := 0
		if key.Release == c.order.Target {
			i = 1
		}
		answers[i] += count.Answers
		failures[i] += count.Failures
	}
	d := c.decision
	c.Log.Info("rollout_step", "pool", c.pool, "target", c.order.Target, "state", d.State, "share", d.Share, "endpoints", d.Endpoints,
		"verdict", d.Verdict, "reason", d.Reason, "old_answers", answers[0], "old_failures", failures[0],
		"target_answers", answers[1], "target_failures", failures[1], "old_in_flight", oldInFlight,
		"all_nodes_replied", isComplete, "fencing", c.fencing, "clock", c.clock(time.Now()))
}

// logWait logs from time to time which nodes keep the rollout from going on.
func (c *conductor) logWait(now time.Time, isFull bool) {
	if now.Sub(c.lastWaitLog) < waitLogInterval {
		return
	}
	c.lastWaitLog = now
	var silent, busy []string
	for _, id := range slices.Sorted(maps.Keys(c.followers)) {
		f := c.followers[id]
		if !f.isApplied || now.Sub(f.lastReply) > replyTTL {
			silent = append(silent, string(id))
		}
		for release, n := range f.inFlight {
			if release != c.order.Target && n > 0 {
				busy = append(busy, fmt.Sprint(id, ":", n))
			}
		}
	}
	c.Log.Info("rollout_waits", "pool", c.pool, "target", c.order.Target, "state", c.decision.State, "no_reply", strings.Join(silent, ","),
		"old_in_flight", strings.Join(busy, ","), "share_acknowledged", isFull, "sealed", c.isSealed, "fencing", c.fencing)
}

// sortedCountKeys returns the keys of counts by release, route and class.
func sortedCountKeys(counts map[canary.Key]canary.Count) []canary.Key {
	keys := make([]canary.Key, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b canary.Key) int {
		return cmp.Or(cmp.Compare(a.Release, b.Release), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Class, b.Class))
	})
	return keys
}
