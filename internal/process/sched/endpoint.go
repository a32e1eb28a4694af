package sched

import (
	"time"

	"goldcrestwick/internal/process/adapt"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/prefix"
)

const (
	// callCharge is the charge of one call to an application runner.
	callCharge ident.Tokens = 1024
	// requestCharge is added to the tokens of each request, since occupying a
	// batch slot takes time even for a short request.
	requestCharge ident.Tokens = 128

	minWindow ident.Tokens = 2048
	maxWindow ident.Tokens = 1 << 20
	// The window grows by windowGrowthFraction of its size, and is multiplied
	// by windowShrinkFactor to shrink it.
	windowGrowthFraction = 0.05
	windowShrinkFactor   = 0.85
	// minShrinkInterval is the minimum time from a shrink of the window to the
	// next change, and minGrowInterval that from one growth to the next, so that
	// the requests of one batch, which see the same latency, do not change the
	// window more than once.
	minShrinkInterval = time.Second
	minGrowInterval   = 300 * time.Millisecond
	// growMinUsage is the fraction of the window that must be in use for a low
	// latency to grow it.
	growMinUsage = 0.7
	// shrinkLatencyThreshold and growLatencyThreshold are the fractions of the
	// inter-token target above which the window shrinks and below which it
	// grows.
	shrinkLatencyThreshold = 0.95
	growLatencyThreshold   = 0.85

	initialPrefillRate = 4000.0 // tokens per second
	// initialPrefillRateWithSlots is used for endpoints with known slots, which
	// run on current hardware.
	initialPrefillRateWithSlots = 20000.0 // tokens per second
	// minRateSamplePrompt is the smallest number of tokens to prefill, the
	// backlog ahead included, for which the time to first token at an endpoint
	// with known slots is a sample of the prefill rate.
	minRateSamplePrompt      ident.Tokens = 1024
	initialInterTokenLatency              = 30 * time.Millisecond
	initialCallTime                       = 50 * time.Millisecond
	// ewmaWeight is the weight of a new sample in an endpoint's moving averages
	// and in a class's average time to first token.
	ewmaWeight = 0.2

	// failuresToSuspend is the number of consecutive failures that suspends an
	// endpoint.
	failuresToSuspend = 3
	minSuspension     = time.Second
	// maxSuspension is short, since a failed probe costs at most one retry, and
	// an endpoint that has gone is removed from the list.
	maxSuspension = 4 * time.Second
	// stragglerFactor is the ratio of an endpoint's inter-token latency to the
	// median of its generation above which it is suspended as a straggler;
	// stragglerRecoveryFactor is the ratio up to which a probe ends the
	// suspension.
	stragglerFactor         = 3.0
	stragglerRecoveryFactor = 1.5
	// stragglerMinSamples is the number of samples before the first comparison
	// and between two, and stragglerMinPeers the number of other endpoints that a
	// comparison needs.
	stragglerMinSamples = 8
	stragglerMinPeers   = 3

	// tightDeadlineFraction is the fraction of the remaining time above which
	// an expected completion time makes the deadline tight.
	tightDeadlineFraction = 0.5
	// prefillCostFactor and decodeCostDivisor weight prefill and decode time in
	// the cost of a request without a tight deadline. At endpoints with known
	// slots, prefillCostFactor does not apply.
	prefillCostFactor = 4
	decodeCostDivisor = 4

	defaultCacheTokens ident.Tokens = 64 << 10
	// maxLoadReportAge is the age on receipt from which the load in a load report
	// does not add to the expected time.
	maxLoadReportAge = 5 * time.Second
	// errorRateTimeConstant is the time constant of the decay of the error
	// rate.
	errorRateTimeConstant = 4 * time.Second
	// failureCost is the cost added at an error rate of 1: about one
	// first-token target, which a failed attempt uses up.
	failureCost = 500 * time.Millisecond
	// maxExternalLoadAge is the age at which a count of external requests no
	// longer counts: about the mean duration of an answer.
	maxExternalLoadAge = 1500 * time.Millisecond
)

// health is the state of an endpoint.
type health uint8

const (
	// healthy endpoints get requests up to their capacity.
	healthy health = iota
	// suspended endpoints get no requests until probeAt.
	suspended
	// probing endpoints run one request, which ends or extends the suspension.
	probing
)

// endpoint is the cell's state of one endpoint.
type endpoint struct {
	EndpointSpec
	// prefixSlot is the endpoint's slot in the prefix index, -1 if it has none
	// yet.
	prefixSlot int
	// hasAnnouncedLeaving is set when the endpoint itself reported that it is
	// shutting down, which the platform's list may show later.
	hasAnnouncedLeaving bool
	health              health
	// isStraggler is set when the endpoint is suspended for being slow rather
	// than for failures.
	isStraggler bool
	// probeAt is the end of the suspension, suspension its length.
	probeAt             time.Time
	suspension          time.Duration
	consecutiveFailures int
	// failedAt holds the entry nodes of the consecutive failures, without repetitions.
	failedAt []ident.NodeID
	// latencySamples is the number of completed requests with a known inter-token
	// latency since the start or the last recovery.
	latencySamples int

	// window bounds used, the sum of the charges of the requests in flight.
	// With known slots, the slots and the cache size bound them instead.
	window ident.Tokens
	used   ident.Tokens
	// running is the number of requests in flight that this cell granted.
	running int
	// backlog is the number of uncached prompt tokens of granted requests
	// without a first token, and generating the number of requests that have one.
	backlog    ident.Tokens
	generating int
	// orphans is the number of grants in flight whose entry nodes do not respond.
	orphans int
	// lastShrink and lastGrow are the times of the last changes of the window.
	lastShrink time.Time
	lastGrow   time.Time

	// prefillRate is in prompt tokens per second; firstTokenBase is the part of
	// the time to first token that does not depend on the prompt's length.
	prefillRate    float64
	firstTokenBase time.Duration
	// interTokenLatency is a moving average; for an application runner it is
	// that of the call duration.
	interTokenLatency time.Duration

	report     LoadReport
	reportedAt time.Time
	// grantsSinceReport is the number of grants since the load report arrived.
	grantsSinceReport int
	// errorRate is the moving average of the fraction of failed requests, as of
	// errorRateUpdated.
	errorRate        float64
	errorRateUpdated time.Time
	// externalLoad is the number of requests at the endpoint that this cell did
	// not grant, derived from the endpoint's own count at externalLoadUpdated.
	externalLoad        int
	externalLoadUpdated time.Time
	// rateLimit is the limit on grants per second that the endpoint last stated, or that
	// another node knows, 0 for none. limitedSince is when it was first known.
	rateLimit    ident.Rate
	limitedSince time.Time
	// hasStated is set once the endpoint has stated to this cell whether it has a limit.
	hasStated bool
	// nextGrantAt is the earliest time of the next grant within the limit.
	nextGrantAt time.Time
	// risk is kept while the pool is fragile.
	risk risk
	// load is what was learned of the endpoint's time as a function of its load, if its
	// slots are known.
	load    adapt.Endpoint
	transit transit
	// reportedLimit is the limit in the last call of Cell.LimitLearned, at limitReportedAt.
	reportedLimit   int
	limitReportedAt time.Time
	// reservedRound is the last round in which a waiting request reserved the
	// endpoint's next free capacity.
	reservedRound uint64
}

func newEndpoint(spec EndpointSpec, slot int, window ident.Tokens) *endpoint {
	e := &endpoint{EndpointSpec: spec, prefixSlot: slot, window: max(window, minWindow)}
	e.prefillRate = initialPrefillRate
	e.interTokenLatency = initialInterTokenLatency
	if spec.Slots > 0 {
		e.prefillRate = initialPrefillRateWithSlots
	}
	if spec.Kind == ident.ApplicationRunner {
		e.interTokenLatency = initialCallTime
	}
	return e
}

func (e *endpoint) cacheBlocks() int {
	tokens := e.CacheTokens
	if tokens == 0 {
		tokens = defaultCacheTokens
	}
	return int(tokens / prefix.BlockTokens)
}

func (e *endpoint) isLeaving() bool {
	return e.Leaving || e.hasAnnouncedLeaving || e.report.Draining
}

// isOpen reports whether the endpoint may get new requests.
func (e *endpoint) isOpen(now time.Time) bool {
	if e.isLeaving() {
		return false
	}
	switch e.health {
	case suspended:
		return !now.Before(e.probeAt)
	case probing:
		return e.running == 0
	default:
		return true
	}
}

// fits reports whether the endpoint has capacity for a request and, if it has a
// backlog, is expected to read it and the request's prompt within maxPrefillTime. An idle endpoint takes a
// request of any length, so that none is too long for every window; an endpoint
// that is not healthy takes a request only when it is idle.
func (e *endpoint) fits(charge, uncached ident.Tokens, maxPrefillTime time.Duration, now time.Time) bool {
	external := e.externalLoadAt(now)
	if e.running+external == 0 {
		return true
	}
	if e.health != healthy || !e.hasCapacity(charge, external) {
		return false
	}
	return e.backlog == 0 || e.prefillTime(e.backlog+uncached) <= maxPrefillTime
}

// hasCapacity reports whether the request fits the window or, if the slots are
// known, the slots and the cache size. A cache size of 0 is unknown and bounds
// nothing.
func (e *endpoint) hasCapacity(charge ident.Tokens, external int) bool {
	if e.Slots == 0 {
		return e.used+charge <= e.window
	}
	return e.atEndpoint()+external < e.Slots && (e.CacheTokens == 0 || e.used+charge <= e.CacheTokens)
}

func (e *endpoint) prefillTime(tokens ident.Tokens) time.Duration {
	return time.Duration(float64(tokens) / e.prefillRate * float64(time.Second))
}

// expectedTime returns the expected time until the request would be complete. Unit is the
// time of a call, or that between two tokens.
func (e *endpoint) expectedTime(uncached, output ident.Tokens, unit time.Duration) time.Duration {
	if e.Kind == ident.ApplicationRunner {
		return unit
	}
	return e.prefillTime(e.backlog+uncached) + e.reportedDelay() + time.Duration(output)*unit
}

// cost returns the weighted time that the request would take. Unless the
// deadline is tight, prefill counts for more than its time, since it delays all
// other requests on the engine, and decode counts for less, since the window
// keeps the inter-token latency within its target. At endpoints with known
// slots, decode is weighted by the fraction of busy slots instead. Calls to
// application runners are not weighted.
func (e *endpoint) cost(uncached, output ident.Tokens, remaining time.Duration, now time.Time) time.Duration {
	unit := e.unitTime(now)
	total := e.expectedTime(uncached, output, unit)
	if e.Slots > 0 && e.Kind == ident.ModelRunner && total <= time.Duration(tightDeadlineFraction*float64(remaining)) {
		// The caller waits for the first token. Decode only occupies a slot,
		// which costs more the fewer slots are free.
		busy := float64(e.running+1) / float64(e.Slots)
		return e.firstTokenBase + e.prefillTime(e.backlog+uncached) + e.reportedDelay() +
			time.Duration(busy*float64(output)*float64(unit)/decodeCostDivisor)
	}
	if e.Kind == ident.ApplicationRunner || total > time.Duration(tightDeadlineFraction*float64(remaining)) {
		return total
	}
	return prefillCostFactor*e.prefillTime(uncached) + e.prefillTime(e.backlog) + e.reportedDelay() +
		time.Duration(output)*unit/decodeCostDivisor
}

func (e *endpoint) addGrant(charge, uncached ident.Tokens) {
	e.used += charge
	e.running++
	e.grantsSinceReport++
	e.backlog += uncached
	if e.health == suspended {
		e.health = probing
	}
}

func (e *endpoint) removeGrant(charge ident.Tokens) {
	e.used = max(e.used-charge, 0)
	e.running = max(e.running-1, 0)
}

// updateEstimates updates the endpoint's health, window and latency estimates
// from a completed request. backlog is the endpoint's backlog when the request
// was granted.
func (e *endpoint) updateEstimates(completion Completion, backlog ident.Tokens, t targets, now time.Time) {
	if completion.Failed {
		e.recordFailure(now)
		return
	}
	e.consecutiveFailures, e.failedAt = 0, nil
	if e.Kind == ident.ApplicationRunner {
		e.interTokenLatency = ewma(e.interTokenLatency, completion.TimeToFirstToken)
		e.recover()
		return
	}
	if e.health == probing && !e.isStraggler {
		e.recover()
	}
	if prefill := e.prefillTime(backlog + completion.Uncached); completion.TimeToFirstToken > t.firstToken && completion.TimeToFirstToken-prefill > t.firstToken/2 {
		e.shrinkWindow(now)
	}
	e.updatePrefillEstimate(completion.TimeToFirstToken, backlog+completion.Uncached)
	if completion.InterTokenLatency > 0 {
		e.latencySamples++
		e.updateInterTokenLatency(completion.InterTokenLatency, t, now)
	}
}

// updatePrefillEstimate updates the prefill rate from the time to first token
// for which tokens had to be prefilled, the backlog ahead included. For
// endpoints with known slots, fewer than minRateSamplePrompt tokens update
// firstTokenBase instead; for others, up to one block updates nothing.
func (e *endpoint) updatePrefillEstimate(ttft time.Duration, tokens ident.Tokens) {
	switch {
	case ttft <= 0:
	case e.Slots == 0:
		if tokens > prefix.BlockTokens {
			rate := float64(tokens) / ttft.Seconds()
			e.prefillRate += ewmaWeight * (rate - e.prefillRate)
		}
	case tokens < minRateSamplePrompt:
		e.firstTokenBase = ewma(e.firstTokenBase, max(ttft-e.prefillTime(tokens), 0))
	default:
		prefill := max(ttft-e.firstTokenBase, ttft/4)
		rate := float64(tokens) / prefill.Seconds()
		e.prefillRate += ewmaWeight * (rate - e.prefillRate)
	}
}

// updateInterTokenLatency updates the inter-token latency. It shrinks the
// window if the sample is close to the target or above, and grows it if the
// average is well below and the window is in use.
func (e *endpoint) updateInterTokenLatency(latency time.Duration, t targets, now time.Time) {
	e.interTokenLatency = ewma(e.interTokenLatency, latency)
	switch {
	case float64(latency) > shrinkLatencyThreshold*float64(t.interToken):
		e.shrinkWindow(now)
	case float64(e.interTokenLatency) < growLatencyThreshold*float64(t.interToken):
		e.growWindow(now)
	}
}

func (e *endpoint) shrinkWindow(now time.Time) {
	if now.Sub(e.lastShrink) >= minShrinkInterval {
		e.lastShrink = now
		e.window = max(ident.Tokens(float64(e.window)*windowShrinkFactor), minWindow)
	}
}

func (e *endpoint) growWindow(now time.Time) {
	if now.Sub(e.lastGrow) >= minGrowInterval && now.Sub(e.lastShrink) >= minShrinkInterval && e.isWindowInUse() {
		e.lastGrow = now
		e.window = min(e.window+ident.Tokens(float64(e.window)*windowGrowthFraction), maxWindow)
	}
}

func (e *endpoint) isWindowInUse() bool { return float64(e.used) > growMinUsage*float64(e.window) }

// ewma returns the exponentially weighted moving average after a sample.
func ewma(old, sample time.Duration) time.Duration {
	return old + time.Duration(ewmaWeight*float64(sample-old))
}
