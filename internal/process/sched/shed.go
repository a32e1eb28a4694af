package sched

import (
	"math/rand/v2"
	"slices"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
)

// refuse responds with Shed to a request, which must not be in a queue.
func (c *Cell) refuse(r *GrantRequest, reason Reason) {
	c.respond(r, GrantResponse{
		Outcome:    Shed,
		Reason:     reason,
		RetryAfter: c.retryAfter(r.Tier),
		Waited:     c.now().Sub(r.arrived),
	})
}

// shedExcess sheds requests, lowest class first, while the queue is over its
// limits or a request cannot meet its deadline. While other cells of the pool
// may still admit lower tiers, the request stays queued beyond the limit, and
// the pool is requested to close those tiers.
func (c *Cell) shedExcess() {
	for {
		class, ok := c.classToShed()
		if !ok {
			return
		}
		if c.grantHeld(c.now()) {
			continue
		}
		r := c.queues[class].shedCandidate(c.maxProtected())
		if c.grantHeldForGap(r, c.now()) {
			continue
		}
		needsRoom := c.hasTiersBelow(class) && c.needsRoom(class, r, c.now())
		if !c.canShed(class) {
			if needsRoom {
				c.closeLower(class, false)
			}
			return
		}
		c.queues[class].remove(r)
		c.refuse(r, ReasonOverload)
		if needsRoom {
			c.closeLower(class, false)
		}
	}
}

// maxProtectedDivisor divides the limit of tokens of the queue into the part up to which a request that takes
// up a stream is shed after the others. The longest prompts are far below it.
const maxProtectedDivisor = 4

func (c *Cell) maxProtected() ident.Tokens { return c.Pool.QueueTokens / maxProtectedDivisor }

// hasTiersBelow reports whether the settings have a tier below the class's group, or are unknown.
func (c *Cell) hasTiersBelow(class ident.Tier) bool {
	if c.Pool == nil || c.Pool.Team == nil || len(c.Pool.Team.Tiers) == 0 {
		return c.groupEnd[class] < ident.MaxTiers-1
	}
	return slices.ContainsFunc(c.Pool.Team.Tiers, func(t *config.Tier) bool { return t.Rank > c.groupEnd[class] })
}

// needsRoom reports whether a class that sheds the request r, or would if it could, needs the lower tiers
// closed: the queue is over its limits, or the class is expected to wait for longer than is
// acceptable and has waited already. A request that is shed because it would only probably be
// late closes none, and neither does one with a target that has come too late itself.
func (c *Cell) needsRoom(class ident.Tier, r *GrantRequest, now time.Time) bool {
	if c.isOverLimits() {
		return true
	}
	isTooLong := r == nil || r.FirstTokenTarget == 0 || c.expectedBacklogWait(class, now) > c.acceptableWait(r)
	return isTooLong && c.hasWaited(class, now)
}

// classToShed returns the class that has to shed a request. If the queue is
// over its limits, this is the lowest class with waiting requests. Otherwise it
// is the lowest class of that class's group for which cannotMeetDeadline returns
// true. It returns false if there is none.
func (c *Cell) classToShed() (class ident.Tier, ok bool) {
	lowest := c.lowestWaitingClass()
	if c.isOverLimits() {
		return lowest, true
	}
	for class := int(lowest); class >= 0 && c.groupEnd[class] == c.groupEnd[lowest]; class-- {
		if c.cannotMeetDeadline(ident.Tier(class)) {
			return ident.Tier(class), true
		}
	}
	return 0, false
}

// closeWaitFraction is the fraction of its acceptable wait that a request of a class must have
// waited before an expected wait closes the lower tiers. A burst that is served within its
// target raises the expectation for some milliseconds; a closure holds in all cells.
const closeWaitFraction = 0.5

// hasWaited reports whether a request of the class has waited long enough to close the lower
// tiers.
func (c *Cell) hasWaited(class ident.Tier, now time.Time) bool {
	waited := false
	c.queues[class].each(func(r *GrantRequest) bool {
		waited = !c.isHeldForGap(r) && (r.FirstTokenTarget == 0 || float64(now.Sub(r.arrived)) > closeWaitFraction*float64(c.acceptableWait(r)))
		return !waited
	})
	return waited
}

// keepWaitFraction is the fraction of its acceptable wait that a request must have waited to show
// that a closure is still needed. A tier that sends in bursts has short queues most of the time,
// also when half of the capacity is idle; in an overload, requests wait for nearly as long as
// they may.
const keepWaitFraction = 0.25

// NeedsClosed returns for each tier whether a request has waited for long enough to keep the lower
// tiers closed. In a cell whose endpoints are all leaving, none has.
func (c *Cell) NeedsClosed() (needs [ident.MaxTiers]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDrained() {
		return needs
	}
	now := c.now()
	for tier := range c.queues {
		if !c.hasTiersBelow(ident.Tier(tier)) {
			break
		}
		c.queues[tier].each(func(r *GrantRequest) bool {
			needs[tier] = float64(now.Sub(r.arrived)) > keepWaitFraction*float64(c.keepWait(r)) && c.canBeHelped(r, now)
			return !needs[tier]
		})
	}
	return needs
}

// keepWait is the wait of which a request must have waited keepWaitFraction to keep a closure. For
// one without a target it is the time to its deadline, by which it closes the lower tiers as well.
func (c *Cell) keepWait(r *GrantRequest) time.Duration {
	if r.FirstTokenTarget == 0 {
		return r.Deadline.Sub(r.arrived)
	}
	return c.acceptableWait(r)
}

// canBeHelped reports whether a closure can bring a waiting request its grant earlier: it is not
// held back below an endpoint's limit, and an endpoint that it may run at is open.
func (c *Cell) canBeHelped(r *GrantRequest, now time.Time) bool {
	return !c.isHeldBack(r) && slices.ContainsFunc(c.endpoints, func(e *endpoint) bool {
		return e.isOpen(now) && r.mayRunAt(e) && !slices.Contains(r.Avoid, e.ID)
	})
}

// isOverLimits reports whether the cell's waiting requests exceed the pool's limit
// of requests or tokens. A single waiting request never does.
func (c *Cell) isOverLimits() bool {
	requests, tokens := 0, ident.Tokens(0)
	for class := range c.queues {
		requests += c.queues[class].length
		tokens += c.queues[class].tokens
	}
	if requests <= 1 {
		return false
	}
	return requests > c.Pool.QueueRequests || tokens > c.Pool.QueueTokens
}

// cannotMeetDeadline reports whether the request that a class would shed first is
// expected to wait beyond its maximum wait if it has a first-token target, and
// otherwise beyond deadlineMissFactor times its remaining time, at the recent rate
// of service. Such a request is refused immediately rather than at its deadline.
func (c *Cell) cannotMeetDeadline(class ident.Tier) bool {
	r := c.queues[class].shedCandidate(c.maxProtected())
	if r == nil {
		return false
	}
	if r.FirstTokenTarget > 0 {
		return c.expectedClassWait(class, c.now()) > c.maxWait(r)
	}
	return c.expectedWait(class) > time.Duration(deadlineMissFactor*float64(r.Deadline.Sub(c.now())))
}

// expectedWait estimates the time until the requests that wait in a tier and in
// all higher ones are granted. It assumes that the tokens in flight are
// replaced once per mean residence time. It returns 0 while the residence time
// is unknown.
func (c *Cell) expectedWait(tier ident.Tier) time.Duration {
	var ahead, used ident.Tokens
	for t := range int(tier) + 1 {
		ahead += c.queues[t].tokens
	}
	for _, e := range c.endpoints {
		used += e.used
	}
	if used == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(used) * float64(c.residenceTime.mean()))
}

// residenceTime is the mean time from a grant to the end of the request, with
// exponential decay by request: mean is weighted by tokens, meanOfRequests is not.
type residenceTime struct {
	tokens, seconds          float64
	requests, requestSeconds float64
	// updated is when the last request ended that its endpoint had not rejected.
	updated time.Time
}

// add adds a request that has ended now. One that its endpoint rejected says nothing of the
// time that others take and does not count for meanOfRequests.
func (t *residenceTime) add(charge ident.Tokens, residence time.Duration, wasRejected bool, now time.Time) {
	t.tokens = residenceDecay*t.tokens + float64(charge)
	t.seconds = residenceDecay*t.seconds + float64(charge)*residence.Seconds()
	if wasRejected {
		return
	}
	t.requests = residenceDecay*t.requests + 1
	t.requestSeconds = residenceDecay*t.requestSeconds + residence.Seconds()
	t.updated = now
}

func (t *residenceTime) meanOfRequests() time.Duration {
	if t.requests == 0 {
		return 0
	}
	return time.Duration(t.requestSeconds / t.requests * float64(time.Second))
}

func (t *residenceTime) mean() time.Duration {
	if t.tokens == 0 {
		return 0
	}
	return time.Duration(t.seconds / t.tokens * float64(time.Second))
}

// hasKnownSlots reports whether the first endpoint has known slots; those of a
// pool are taken to be alike.
func (c *Cell) hasKnownSlots() bool { return len(c.endpoints) > 0 && c.endpoints[0].Slots > 0 }

// lowestWaitingClass returns the lowest class with waiting requests, or 0 if no
// request waits.
func (c *Cell) lowestWaitingClass() ident.Tier {
	for class := len(c.queues) - 1; class > 0; class-- {
		if c.queues[class].length > 0 {
			return ident.Tier(class)
		}
	}
	return 0
}

// canShed and closeLower refer to the last class of the group: classes of one
// group are not closed in favour of each other.
func (c *Cell) canShed(t ident.Tier) bool { return c.CanShed == nil || c.CanShed(c.groupEnd[t]) }

func (c *Cell) closeLower(t ident.Tier, hasWaitedLong bool) {
	if c.CloseLower != nil && (!c.isDrained() || c.isOverLimits()) {
		c.CloseLower(c.groupEnd[t], CloseCause{t, c.queues[t].length, c.expectedBacklogWait(t, c.now()), hasWaitedLong})
	}
}

// isDrained reports whether all endpoints of the cell are leaving by the platform's list,
// which entry nodes see as well. Its requests wait because it has no endpoints, and closing
// lower tiers in other cells does not help them.
func (c *Cell) isDrained() bool {
	for _, e := range c.endpoints {
		if !e.Leaving {
			return false
		}
	}
	return len(c.endpoints) > 0
}

// moveFromDrained responds with Moved to the waiting requests that other cells may grant, if
// the cell is drained, so that their entry nodes choose a cell again.
//
// The load pattern behind it is a small service in several availability zones, one of which
// loses its last endpoint. Its cell would have the lower tiers closed in the whole pool for
// the few requests of a high tier that still wait there.
func (c *Cell) moveFromDrained() {
	if !c.isDrained() {
		return
	}
	var moved []*GrantRequest
	for class := range c.queues {
		c.queues[class].each(func(r *GrantRequest) bool {
			if r.HasOtherCells {
				moved = append(moved, r)
			}
			return true
		})
	}
	for _, r := range moved {
		c.queues[r.class].remove(r)
		c.classStats[r.class].arrivals = max(c.classStats[r.class].arrivals-1, 0)
		c.respond(r, GrantResponse{Outcome: Moved, Reason: ReasonCellMoved})
	}
}

// expire refuses the waiting requests that have exceeded their maximum wait or
// whose deadline has passed or can no longer be met. For each class with another
// request that has waited long, it requests once to close lower tiers.
func (c *Cell) expire(now time.Time) {
	var expired []*GrantRequest
	for class := range c.queues {
		requested := false
		c.queues[class].each(func(r *GrantRequest) bool {
			switch {
			case !now.Before(r.Deadline) || c.isReleaseGone(r) || c.isDeadlineUnreachable(r, now) || c.isPastMaxWait(r, now):
				expired = append(expired, r)
			case !requested && shouldCloseLower(r, now) && !c.isHeldForGap(r):
				requested = true
				c.closeLower(r.Tier, true)
			}
			return true
		})
	}
	for _, r := range expired {
		c.queues[r.class].remove(r)
		c.refuse(r, c.expiryReason(r, now))
	}
}

func (c *Cell) expiryReason(r *GrantRequest, now time.Time) Reason {
	switch {
	case !now.Before(r.Deadline):
		return ReasonDeadlinePassed
	case c.isReleaseGone(r):
		return ReasonReleaseGone
	case c.isPastMaxWait(r, now):
		return ReasonOverload
	}
	return ReasonDeadlineUnreachable
}

// isPastMaxWait reports whether a request has exceeded its maximum wait, other than for a
// place below an endpoint's limit, and no request of a lower class group waits, which would have to be shed first.
func (c *Cell) isPastMaxWait(r *GrantRequest, now time.Time) bool {
	return r.FirstTokenTarget > 0 && now.Sub(r.arrived) > c.maxWait(r) && !c.isHeldBack(r) && c.groupEnd[r.class] >= c.groupEnd[c.lowestWaitingClass()]
}

func shouldCloseLower(r *GrantRequest, now time.Time) bool {
	waited := now.Sub(r.arrived)
	total := r.Deadline.Sub(r.arrived)
	return waited >= closeLowerMinWait && float64(waited) > closeLowerWaitFraction*float64(total)
}

// isDeadlineUnreachable reports whether no open endpoint could generate the
// request's output by its deadline even if it were idle. It returns false if no
// endpoint is open, and for application runners.
func (c *Cell) isDeadlineUnreachable(r *GrantRequest, now time.Time) bool {
	if c.Pool.Kind == ident.ApplicationRunner {
		return false
	}
	remaining := r.Deadline.Sub(now)
	hasOpen := false
	for _, e := range c.endpoints {
		if !e.isOpen(now) || !r.mayRunAt(e) {
			continue
		}
		hasOpen = true
		// The estimate is halved because it may be too high. An endpoint with
		// slots and without samples has no estimate.
		if e.latencySamples == 0 && e.Slots > 0 || time.Duration(r.Output)*e.interTokenLatency/2 < remaining {
			return false
		}
	}
	return hasOpen
}

// retryAfter estimates how long after its refusal a request should be retried.
// Without known slots, this is until the waiting requests of its tier and above
// are granted. With known slots, requests with a first-token target wait no
// longer than that, so it is until the overload ends: an overload is expected to
// last about as long again as it has lasted so far. Jitter then keeps the callers
// from all retrying at the same time, and each call counts as shedding and extends
// the current overload.
func (c *Cell) retryAfter(tier ident.Tier) time.Duration {
	if !c.hasKnownSlots() {
		return min(max(c.expectedWait(tier), minRetryAfter), maxRetryAfter)
	}
	now := c.now()
	if now.Sub(c.lastShed) > overloadGap {
		c.overloadSince = now
	}
	c.lastShed = now
	expected := min(max(now.Sub(c.overloadSince), minRetryAfter), maxOverloadRetryAfter)
	return time.Duration(float64(expected) * (1 + retryAfterJitter*(2*rand.Float64()-1)))
}
