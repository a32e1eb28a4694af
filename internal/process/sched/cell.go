// Package sched schedules the requests of one cell of a pool: it decides which
// request is granted next and at which endpoint.
//
// Entry nodes send grant requests; the cell responds to each with a grant or a
// refusal. A grant names one endpoint and expires after a short time, and only
// the entry node that holds the request dispatches it. A cell that fails, or
// two nodes that both run the same cell, therefore cannot make a request run
// twice.
//
// Inference engines queue requests without regard to priority. The cell
// therefore keeps the waiting requests itself and loads each endpoint only up
// to a window in tokens, which adapts to the measured time to first token and
// inter-token latency. Requests are ordered by tier, then by the account's
// share, then by the time at which the first token or the answer is due. Tiers
// of one group share service in proportion to their arrivals, with a smaller
// weight for lower tiers. Among the endpoints with capacity, the one with the
// lowest expected cost is chosen; a cached prefix lowers the cost by the
// prefill time that it saves.
//
// # Usage
//
//	cell := &sched.Cell{ID: id}
//	cell.Configure(pool, specs)
//	if !cell.Submit(request) {
//		<-woken // request.Wake was called
//	}
//	switch request.Response.Outcome { ... }
//	tracker := cell.Track(request)
//	tracker.FirstToken()
//	tracker.Complete(completion)
package sched

import (
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/prefix"
	"goldcrestwick/internal/version/config"
)

const (
	// GrantTTL is how long an entry node may use a grant after receiving it.
	GrantTTL = 500 * time.Millisecond
	// maxSkippedAccounts bounds, for each round, the accounts that are skipped
	// because their first request fits no endpoint. Each such request keeps one
	// endpoint, if one is left, free of other grants for the round.
	maxSkippedAccounts = 8
	// closeLowerWaitFraction is the fraction of the time from its arrival to
	// its deadline that a request may wait before the cell requests to close
	// lower tiers.
	closeLowerWaitFraction = 0.5
	// closeLowerMinWait is the minimum wait before the cell requests to close
	// lower tiers, so that a short wait does not close tiers.
	closeLowerMinWait = time.Second
	// maxStragglerFraction bounds the endpoints that are suspended as
	// stragglers at the same time.
	maxStragglerFraction = 1.0 / 3

	// deadlineMissFactor is the ratio of a request's expected wait to its
	// remaining time above which the request cannot meet its deadline. It is
	// above 1 because the expected wait is a rough estimate.
	deadlineMissFactor = 1.2
	// residenceDecay is the factor by which the weight of earlier requests in
	// the mean residence time decreases with each completion.
	residenceDecay = 0.99

	// overloadGap is the time without shedding after which an overload has
	// ended.
	overloadGap = 2 * time.Second
	// maxOverloadRetryAfter bounds the retry-after time during an overload,
	// before jitter. Callers honour it up to a third of their remaining
	// time, which is about 5 s for the longest deadlines.
	maxOverloadRetryAfter = 5 * time.Second
	// retryAfterJitter is the fraction by which retry-after times vary at
	// random.
	retryAfterJitter = 0.25

	// minRetryAfter is the minimum retry-after time, before jitter.
	// maxRetryAfter is the maximum for endpoints without known slots.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Decision is one scheduling decision, for the log and for explain.
type Decision struct {
	Cell    ident.CellID
	Request *GrantRequest
	// Considered lists the endpoints that had capacity. It is valid only until
	// Observe returns.
	Considered []ident.Endpoint
	// Queued is the number of requests that still wait in the cell.
	Queued int
	// WasHeldForGap is set if the request waited for an endpoint at which its prompt pauses no
	// streams, and PausesStreams if it was granted where it pauses some for longer than the
	// pool's event gap target allows.
	WasHeldForGap, PausesStreams bool
}

// Cell schedules the endpoints of one cell. Set ID and call Configure before any
// other method; before Configure, every request gets the outcome Moved. The function fields are
// optional. All methods are safe for concurrent use.
type Cell struct {
	ID   ident.CellID
	Pool *config.Pool
	// Policy is the scheduling algorithm; the zero value is Fair.
	Policy Policy
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// LimitShare is the part of the endpoints' rate limits that the cell may use; 0 means
	// all.
	LimitShare float64
	// Observe is called for each decision, with the cell's lock held.
	Observe func(Decision)
	// Ended is called when a granted request ends, with the cell's lock held. It is not
	// called for requests that another node's cell granted.
	Ended func(Ended)
	// Suspended is called when an endpoint is suspended for failures of granted requests,
	// with the cell's lock held.
	Suspended func(Suspended)
	// LimitLearned is called when an endpoint's learned limit has changed, at most once in
	// 10 s for each endpoint, with the cell's lock held.
	LimitLearned func(EndpointLoad)
	// CheckAfter is called, with the cell's lock held, when a request that is held back at the
	// endpoints' limits has to be granted at the latest after the given time, for Tick to be
	// called then. A later call replaces an earlier one. Nil leaves it to the next Tick.
	CheckAfter func(time.Duration)
	// Started is called when an endpoint has begun a stream, or gone on with one, with the
	// cell's lock held.
	Started func(stream ident.RequestID, release ident.Release)
	// Answered is called when an endpoint has answered a granted request, or has begun or
	// ended a stream, with the cell's lock held.
	Answered func(Answer)
	// Admits reports whether a tier is open; nil admits all.
	Admits func(ident.Tier) bool
	// CanShed reports whether all tiers below the given one are closed in the
	// whole pool, so that this tier may shed requests; nil always allows it.
	CanShed func(ident.Tier) bool
	// CloseLower requests to close the tiers below the given one in the whole
	// pool.
	CloseLower func(ident.Tier, CloseCause)

	mu        sync.Mutex
	endpoints []*endpoint
	byID      map[ident.Endpoint]*endpoint
	queues    [ident.MaxTiers]queue
	inflight  map[ident.RequestID]*grant
	// superseded holds released grants whose completions may still be reported, by number.
	superseded map[uint64]supersededGrant
	// freeGrants is a free list.
	freeGrants []*grant
	prefixes   prefix.Index
	// prefixMatch is the result of the last prefix lookup; it is reused.
	prefixMatch prefix.Match
	// considered holds the endpoints that had capacity for the request tried
	// last; it is reused.
	considered []ident.Endpoint
	// latencies is a buffer for computing medians.
	latencies []time.Duration
	// grantSequence is the sequence number of the last grant.
	grantSequence uint64
	// arrivals is the number of requests submitted.
	arrivals uint64
	// round counts the passes over the queues by grantWaiting.
	round uint64
	// held is the number of accounts in this round whose first request waits for a place
	// below an endpoint's limit, and limitsFrom the highest class for which limits apply.
	held       int
	limitsFrom ident.Tier
	// heldForGap is the number of requests in this round that wait for an engine at which they
	// pause no streams, firstHeldForGap the first of them in order, and gapUntil when one of them
	// can wait no longer.
	heldForGap      int
	firstHeldForGap *GrantRequest
	gapUntil        time.Time
	// served is the request that tryGrant granted last.
	served *GrantRequest
	// mustGrantHeld is set while the next request that is held back is to be granted.
	mustGrantHeld bool
	// holdUntil is when the first of the requests that are held back can wait no longer, and
	// checkAt the time of the last call of CheckAfter plus its argument.
	holdUntil, checkAt time.Time
	isClosed           bool
	isPaused           bool
	residenceTime      residenceTime
	// maxRejections is how many requests per second the endpoints stand to reject, until
	// fragileUntil.
	maxRejections int
	fragileUntil  time.Time
	// rejectedAt holds the times of the latest rejections while the pool is fragile.
	rejectedAt []time.Time
	// overloadSince is the start of the current overload. lastShed is when a
	// request was last refused, or moved by Close. Both are updated only for
	// endpoints with known slots.
	overloadSince, lastShed time.Time

	rollout rolloutState

	classStats [ident.MaxTiers]classStats
	// groupEnd holds, for each class, the last class of its group: the
	// consecutive classes that share service (see setClassGroups). Configure
	// sets it.
	groupEnd [ident.MaxTiers]ident.Tier
	// tierLimit is the limit of the last Resume: a group whose first class is
	// lower is not granted. It applies only if hasTierLimit is set.
	tierLimit ident.Tier
	// hasTierLimit is false until the first Resume; all tiers are granted then.
	hasTierLimit bool
	// grantsAllSince is when the cell began to grant all tiers: its first configuration
	// or, if it was paused then, Resume.
	grantsAllSince time.Time
}

func (c *Cell) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}

// Submit submits a grant request. It returns true if r.Response is already set,
// and false if the request waits; then r.Wake, unless it is nil, is called once
// when r.Response is set. It is not called after Cancel.
func (c *Cell) Submit(r *GrantRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	r.arrived = now
	r.charge = c.chargeOf(r)
	c.arrivals++
	r.class, r.queueAccount, r.sortTime, r.arrivalNumber = r.Tier, r.Account, r.Deadline, c.arrivals
	if r.Release != nil {
		// A request that can run at few endpoints must not hold up the others of its
		// account.
		r.queueAccount += ident.ClientAccount("@" + *r.Release)
	}
	if r.FirstTokenTarget > 0 {
		r.sortTime = now.Add(r.FirstTokenTarget)
	}
	c.classStats[r.class].decay(now)
	c.classStats[r.class].arrivals++
	r.Response, r.gapRound, r.wasHeldForGap, r.isHoldOver, r.pausesStreams = GrantResponse{}, 0, false, false, false
	// Wake must not be called when the response is available on return.
	wake := r.Wake
	r.Wake = nil
	c.submit(r, now)
	r.Wake = wake
	return r.Response.Outcome != Waiting
}

func (c *Cell) submit(r *GrantRequest, now time.Time) {
	switch {
	case c.isClosed || c.byID == nil:
		c.respond(r, GrantResponse{Outcome: Moved, Reason: ReasonCellMoved})
	case c.Policy != Fair:
		c.submitBaseline(r, now)
	case c.Admits != nil && !c.Admits(r.Tier):
		// Refused for the load of other tiers, it says nothing of this one.
		c.classStats[r.class].arrivals = max(c.classStats[r.class].arrivals-1, 0)
		c.refuse(r, ReasonTierClosed)
	case !now.Before(r.Deadline):
		c.refuse(r, ReasonDeadlinePassed)
	case c.isReleaseGone(r):
		c.respond(r, GrantResponse{Outcome: Shed, Reason: ReasonReleaseGone})
	case c.isDeadlineUnreachable(r, now):
		c.refuse(r, ReasonDeadlineUnreachable)
	default:
		c.learnLimits(r.KnownLimits)
		c.learnFragile(r, now)
		c.releaseEarlier(r)
		c.liftSuspensions(r)
		c.beginBacklog(r.class, now)
		c.queues[r.class].push(r)
		c.grantWaiting(now)
		c.shedExcess()
	}
}

// Cancel removes a waiting request. It reports whether the request was still
// waiting; a request that has been granted must be ended with Complete.
func (c *Cell) Cancel(r *GrantRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queues[r.class].remove(r)
}

// RedirectNext redirects the first of the waiting requests that may be redirected to
// another cell, which has room, as if it had not been submitted here. Requests of
// higher classes go first. It returns false if there is none.
func (c *Cell) RedirectNext(to ident.CellID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for class := range c.queues {
		var first *GrantRequest
		c.queues[class].each(func(r *GrantRequest) bool {
			if r.MayRedirect && (first == nil || r.precedes(first)) {
				first = r
			}
			return true
		})
		if first == nil {
			continue
		}
		c.queues[class].remove(first)
		c.classStats[class].arrivals = max(c.classStats[class].arrivals-1, 0)
		c.respond(first, GrantResponse{Outcome: Redirected, Reason: ReasonIdleCell, Cell: to, Waited: c.now().Sub(first.arrived)})
		return true
	}
	return false
}

// HasWaiting reports whether requests wait.
func (c *Cell) HasWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingCount() > 0
}

// PrefixEvicted records an endpoint's report that it has evicted a prefix from its
// cache except for the first kept tokens.
func (c *Cell) PrefixEvicted(id ident.Endpoint, fingerprints []ident.Fingerprint, kept ident.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.byID[id]; e != nil {
		c.prefixes.Trim(fingerprints, e.prefixSlot, int(kept/prefix.BlockTokens))
	}
}

// Tick performs the time-dependent work. It moves requests away from a cell whose endpoints
// are all leaving, grants waiting requests, also as
// probes at endpoints whose suspension has ended, refuses expired requests, calls
// CloseLower for long waits and sheds excess requests. It must be called several
// times a second.
func (c *Cell) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.grantWaiting(now)
	c.moveFromDrained()
	c.expire(now)
	c.shedExcess()
	c.reportLimits(now)
}

func (c *Cell) respond(r *GrantRequest, response GrantResponse) {
	r.Response = response
	if c.Observe != nil {
		d := Decision{Cell: c.ID, Request: r, Queued: c.waitingCount(), WasHeldForGap: r.wasHeldForGap, PausesStreams: r.pausesStreams}
		if response.Outcome == Granted {
			d.Considered = c.considered
		}
		c.Observe(d)
	}
	if r.Wake != nil {
		r.Wake()
	}
}
