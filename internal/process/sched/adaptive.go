package sched

import (
	"cmp"
	"math"
	"time"

	"goldcrestwick/internal/process/adapt"
	"goldcrestwick/internal/process/ident"
)

const (
	// answerMargin multiplies the expected time to the first answer when the cell decides
	// whether a request can wait for a place below a limit, since the sizes of calls are not
	// known. In the load replays, 1 and 1.5 answer fewer calls in time, 2 far fewer.
	answerMargin = 1.2
	// maxHeldAccounts bounds, for each round, the accounts whose first request waits for a
	// place below a limit. Each costs a pass over the endpoints; further ones do not wait.
	maxHeldAccounts = 16
)

// adapts reports whether the endpoint's load is learned. Without known slots, the window
// bounds it instead.
func (e *endpoint) adapts() bool { return e.Slots > 0 }

// inFlightAt returns the number of requests at the endpoint, those of others included.
func (e *endpoint) inFlightAt(now time.Time) int { return e.atEndpoint() + e.externalLoadAt(now) }

// isAtLimit reports whether the endpoint has as many requests as it handles well.
func (e *endpoint) isAtLimit(now time.Time) bool {
	return e.adapts() && e.inFlightAt(now) >= e.load.Limit(e.Slots)
}

// unitTime returns the time of a call, or that between two tokens, with the present load
// and one request more.
func (e *endpoint) unitTime(now time.Time) time.Duration {
	if !e.adapts() || !e.load.IsKnown() {
		if e.Kind == ident.ApplicationRunner {
			return e.interTokenLatency * time.Duration(e.running+1)
		}
		return e.interTokenLatency
	}
	return e.load.Expect(1, e.inFlightAt(now), e.Slots, now)
}

// startLoad records a grant that was just added to the endpoint.
func (e *endpoint) startLoad(now time.Time) adapt.Span {
	if !e.adapts() {
		return adapt.Span{}
	}
	return e.load.Start(e.inFlightAt(now), now)
}

// endLoad records the end of a grant that was just removed from the endpoint. The times of
// answers that are not whole, or are failures, say nothing about its load.
func (e *endpoint) endLoad(span adapt.Span, completion *Completion, now time.Time) {
	if !e.adapts() {
		return
	}
	inFlight := e.inFlightAt(now)
	if completion == nil || completion.Unused || completion.Failed || completion.Refused || completion.Cancelled || completion.Erred {
		e.load.Abandon(inFlight, now)
		return
	}
	e.load.End(span, inFlight, e.Slots, completion.unitTime(e.Kind), now)
}

// observeLoad records the time between two tokens of a request that goes on: streams last
// for seconds, within which the endpoint's speed may change.
func (e *endpoint) observeLoad(latency time.Duration, now time.Time) {
	if e.adapts() {
		e.load.Observe(e.inFlightAt(now), e.Slots, latency, now)
	}
}

// unitTime returns the time of a call, or that between two tokens.
func (c *Completion) unitTime(kind ident.EndpointKind) time.Duration {
	if kind == ident.ApplicationRunner {
		return c.TimeToFirstToken
	}
	return c.InterTokenLatency
}

// crowd is what a request finds that fits only endpoints at their limits.
type crowd struct {
	// best is the endpoint with the least cost.
	best *endpoint
	cost time.Duration
	// answer is the expected time to the first answer there from a place below the limit.
	answer time.Duration
	// place is the least expected time until an endpoint is below its limit, and rate the
	// requests per second that end at all of them.
	place time.Duration
	rate  float64
}

// addCrowded adds an endpoint at its limit.
func (c *Cell) addCrowded(w *crowd, e *endpoint, uncached ident.Tokens, cost time.Duration, now time.Time) {
	inFlight := e.inFlightAt(now)
	residence := c.residenceTime.mean()
	answer := e.firstTokenBase + e.prefillTime(e.backlog+uncached)
	if e.Kind == ident.ApplicationRunner {
		answer = e.load.Expect(1, e.load.Limit(e.Slots)-1, e.Slots, now)
		residence = e.load.Expect(1, max(inFlight-1, 0), e.Slots, now)
	}
	place := time.Duration(math.MaxInt64)
	if residence > 0 {
		each := residence / time.Duration(max(inFlight, 1))
		place = time.Duration(inFlight-e.load.Limit(e.Slots)+1) * each
		w.rate += 1 / max(each, time.Microsecond).Seconds()
	}
	if w.best == nil || place < w.place {
		w.place = place
	}
	if w.best == nil || cost < w.cost {
		w.best, w.cost, w.answer = e, cost, answer
	}
}

// mayHold reports whether a request can wait for a place below a limit and still be
// answered within its first-token target. Held requests wait for such a place before it. One that
// takes up a stream is not held: its target is longer than that of new requests, which would
// otherwise go above the limit before it.
func (c *Cell) mayHold(r *GrantRequest, w *crowd, now time.Time) bool {
	if r.isResumption() {
		return false
	}
	if c.mustGrantHeld && w.best.load.Gains(w.best.inFlightAt(now), w.best.Slots) {
		return false
	}
	if r.class < c.limitsFrom || c.held >= maxHeldAccounts || w.rate == 0 {
		return false
	}
	wait := max(w.place, time.Duration(float64(c.held+1)/w.rate*float64(time.Second)))
	left := r.arrived.Add(c.firstTokenTarget(r)).Sub(now) - time.Duration(answerMargin*float64(w.answer))
	if wait >= left {
		return false
	}
	if until := now.Add(left - wait); c.holdUntil.IsZero() || until.Before(c.holdUntil) {
		c.holdUntil = until
	}
	return true
}

// minCheckInterval is the least time until a check of the requests that are held back, and by
// how much earlier a check must be to replace the one that is scheduled.
const minCheckInterval = 5 * time.Millisecond

// scheduleCheck has the cell look again at the requests that are held back when the first of
// them can wait no longer. The time between two calls of Tick is about that of the targets of
// calls, and an endpoint that pauses completes none that would cause a look earlier.
func (c *Cell) scheduleCheck(now time.Time) {
	until := c.holdUntil
	if c.held == 0 || c.heldForGap > 0 && c.gapUntil.Before(until) {
		until = c.gapUntil
	}
	if c.CheckAfter == nil || c.held+c.heldForGap == 0 || c.checkAt.After(now) && !until.Before(c.checkAt.Add(-minCheckInterval)) {
		return
	}
	after := max(until.Sub(now), minCheckInterval)
	c.checkAt = now.Add(after)
	c.CheckAfter(after)
}

// isTooSlow reports whether a call would miss its target at an endpoint that has room.
func (c *Cell) isTooSlow(e *endpoint, r *GrantRequest, now time.Time) bool {
	return e.Kind == ident.ApplicationRunner && now.Add(e.unitTime(now)).After(r.arrived.Add(c.firstTokenTarget(r)))
}

// grantHeld grants a request that is held back at the endpoints' limits, and reports
// whether it did. The cell calls it before it sheds a request, so that the limits alone do
// not cause that: where an endpoint does more with more requests, slower as they may be, it
// is used to its last slot first. Where it does not, one request more in flight refuses
// another one later.
func (c *Cell) grantHeld(now time.Time) bool {
	if c.held == 0 {
		return false
	}
	sequence := c.grantSequence
	c.mustGrantHeld = true
	c.grantWaiting(now)
	c.mustGrantHeld = false
	return c.grantSequence > sequence
}

// isHeldBack reports whether the request, or the one before it of its account, is held back at
// the endpoints' limits. It has an endpoint that it can be sent to as soon as it cannot wait.
func (c *Cell) isHeldBack(r *GrantRequest) bool {
	if c.isHeldForGap(r) {
		return true
	}
	a := c.queues[r.class].accounts[r.queueAccount]
	if a == nil || len(a.heap) == 0 {
		return false
	}
	first := a.first(c.round)
	return first != nil && first.heldRound == c.round
}

// limitLogInterval is the least time between two reports of an endpoint's learned limit.
const limitLogInterval = 10 * time.Second

// EndpointLoad is an endpoint's load and what was learned of it.
type EndpointLoad struct {
	Endpoint ident.Endpoint
	// InFlight is the number of requests there, those of others included.
	InFlight int
	// Limit is the number of them that it handles well, at most Slots.
	Limit, Slots int
	// Expected is the expected time of one more call, or that between two of its tokens.
	Expected time.Duration
}

// EndpointLoads returns the loads of the endpoints with known slots that have given answers.
func (c *Cell) EndpointLoads() []EndpointLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var all []EndpointLoad
	for _, e := range c.endpoints {
		if e.adapts() && e.load.IsKnown() {
			all = append(all, e.endpointLoad(now))
		}
	}
	return all
}

func (e *endpoint) endpointLoad(now time.Time) EndpointLoad {
	return EndpointLoad{e.ID, e.inFlightAt(now), e.load.Limit(e.Slots), e.Slots, e.unitTime(now)}
}

// reportLimits reports the learned limits that have changed, at most once in
// limitLogInterval for each endpoint.
func (c *Cell) reportLimits(now time.Time) {
	if c.LimitLearned == nil {
		return
	}
	for _, e := range c.endpoints {
		if !e.adapts() || !e.load.IsKnown() || now.Sub(e.limitReportedAt) < limitLogInterval {
			continue
		}
		if limit := e.load.Limit(e.Slots); limit != cmp.Or(e.reportedLimit, e.Slots) {
			e.reportedLimit, e.limitReportedAt = limit, now
			c.LimitLearned(e.endpointLoad(now))
		}
	}
}

// SetLoads sets what another node learned of the endpoints' load, where this cell has had no
// answers lately.
func (c *Cell) SetLoads(estimates []EndpointEstimate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, estimate := range estimates {
		if e := c.byID[estimate.Endpoint]; e != nil {
			e.load.Set(estimate.Load, now)
		}
	}
}
