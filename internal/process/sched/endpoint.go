package sched

import (
	"math"
	"time"

	"goldcrestwick/internal/process/prefix"
	"goldcrestwick/internal/request/ident"
)

const (
	// callCharge is what one call to an application runner counts for.
	callCharge ident.Tokens = 1024
	// requestCharge is added for each request, since a batch slot costs time
	// even when the request is short.
	requestCharge ident.Tokens = 128

	minWindow ident.Tokens = 2048
	maxWindow ident.Tokens = 1 << 20
	// windowGrowth and windowCut move the window by a share of itself.
	windowGrowth = 0.05
	windowCut    = 0.85
	// cutPause and growthPause are the least times between two moves, so that
	// one batch is not counted once for each of its requests.
	cutPause    = time.Second
	growthPause = 300 * time.Millisecond
	// growAbove is the share in use above which a good sample widens the window.
	growAbove = 0.7
	// shrinkAbove is the share of a target above which the window is cut.
	shrinkAbove = 0.95
	growBelow   = 0.85

	firstPrefillRate = 4000.0 // tokens a second
	// firstEngineRate is of endpoints with known slots, whose platform runs
	// present hardware.
	firstEngineRate = 20000.0 // tokens a second
	// longPrompt is the least prompt that shows an endpoint's rate.
	longPrompt         ident.Tokens = 1024
	firstBetweenTokens              = 30 * time.Millisecond
	firstCallTime                   = 50 * time.Millisecond
	sampleShare                     = 0.2

	failuresToSuspend = 3
	firstSuspension   = time.Second
	// maxSuspension is short, since a probe costs one request a second try at
	// most, and an endpoint that is gone leaves the list.
	maxSuspension = 4 * time.Second
	// slowFactor suspends an endpoint that is this much slower than the median
	// of its generation; recoveredFactor takes it back.
	slowFactor      = 3.0
	recoveredFactor = 1.5
	slowSamples     = 8
	minPeers        = 3

	// tightShare is the part of the time left from which on an expected answer
	// counts as tight.
	tightShare    = 0.5
	prefillWeight = 4
	decodeDivisor = 4

	defaultCacheTokens ident.Tokens = 64 << 10
	// reportLife is the age from which a load report counts for nothing.
	reportLife = 5 * time.Second
	// errorLife is the time constant with which failures are forgotten.
	errorLife = 4 * time.Second
	// errorCost is what a certain failure counts for: about the target of a
	// first token, which is lost with it.
	errorCost = 500 * time.Millisecond
	// zoneDistance is the time for which an endpoint in another zone counts as
	// later: a few steps of an engine, so that a zone's own endpoints are taken
	// first while they are about as fast.
	zoneDistance = 40 * time.Millisecond
	// foreignLife is the age from which a count of foreign requests counts for
	// nothing: about a mean answer.
	foreignLife = 1500 * time.Millisecond
)

type health uint8

const (
	healthy health = iota
	suspended
	probing
)

// endpoint is what a cell knows of one endpoint.
type endpoint struct {
	EndpointSpec
	slot   int
	health health
	// slow tells a straggler from an endpoint that fails.
	slow       bool
	probeAt    time.Time
	suspension time.Duration
	failures   int
	samples    int

	window  ident.Tokens
	used    ident.Tokens
	running int
	// backlog is the prompt tokens granted that have no first token yet.
	backlog ident.Tokens
	// lastCut and lastGrowth are when the window was last moved.
	lastCut    time.Time
	lastGrowth time.Time

	// prefillRate is in prompt tokens a second; firstBase is what a first token
	// takes beyond its prompt.
	prefillRate float64
	firstBase   time.Duration
	between     time.Duration

	report   LoadReport
	reported time.Time
	// sinceReport counts the grants made since the report was true.
	sinceReport int
	// errors is the part of the latest requests that failed there, as of
	// erredAt.
	errors  float64
	erredAt time.Time
	// foreign is the number of requests there that this cell did not grant, by
	// the endpoint's own count at foreignAt.
	foreign   int
	foreignAt time.Time
	// reserved holds the round in which a waiting bid laid claim to the next
	// free room.
	reserved uint64
}

func newEndpoint(spec EndpointSpec, slot int, window ident.Tokens) *endpoint {
	e := &endpoint{EndpointSpec: spec, slot: slot, window: max(window, minWindow)}
	e.prefillRate = firstPrefillRate
	e.between = firstBetweenTokens
	if spec.Slots > 0 {
		e.prefillRate = firstEngineRate
	}
	if spec.Kind == ident.ApplicationRunner {
		e.between = firstCallTime
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

// isOpen reports whether the endpoint may get any new work.
func (e *endpoint) isOpen(now time.Time) bool {
	if e.Leaving || e.report.Draining {
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

// fits reports whether a request has room. An idle endpoint takes a request of
// any length, so that none is too long for every window.
func (e *endpoint) fits(charge, uncached ident.Tokens, firstToken time.Duration, now time.Time) bool {
	foreign := e.foreignNow(now)
	if e.running+foreign == 0 {
		return true
	}
	if e.health != healthy || !e.hasRoom(charge, foreign) {
		return false
	}
	return e.backlog == 0 || e.prefillTime(e.backlog+uncached) <= firstToken
}

// hasRoom compares with the slots and the memory where they are known, and
// else with the window.
func (e *endpoint) hasRoom(charge ident.Tokens, foreign int) bool {
	if e.Slots == 0 {
		return e.used+charge <= e.window
	}
	return e.running+foreign < e.Slots && (e.CacheTokens == 0 || e.used+charge <= e.CacheTokens)
}

// noteOutcome learns how often requests fail there.
func (e *endpoint) noteOutcome(failed bool, now time.Time) {
	e.errors = e.errorsNow(now)
	e.erredAt = now
	sample := 0.0
	if failed {
		sample = 1
	}
	e.errors += sampleShare * (sample - e.errors)
}

// errorsNow is the part of requests that fail, which is forgotten with time, so
// that an endpoint which is well again is tried.
func (e *endpoint) errorsNow(now time.Time) float64 {
	if e.errors == 0 {
		return 0
	}
	return e.errors * math.Exp(-now.Sub(e.erredAt).Seconds()/errorLife.Seconds())
}

// risk is what the failures of late count for in the choice of an endpoint.
func (e *endpoint) risk(now time.Time) time.Duration {
	return time.Duration(e.errorsNow(now) * float64(errorCost))
}

// occupied takes the endpoint's count of its requests. What is granted and not
// there yet makes the rest look smaller, never larger.
func (e *endpoint) occupied(o Occupancy, now time.Time) {
	e.foreign = max(o.Running+o.Waiting-e.running, 0)
	e.foreignAt = now
}

// foreignNow is the number of foreign requests, which counts for less as the
// word on it ages.
func (e *endpoint) foreignNow(now time.Time) int {
	if e.foreign == 0 {
		return 0
	}
	left := 1 - float64(now.Sub(e.foreignAt))/float64(foreignLife)
	return int(max(left, 0)*float64(e.foreign) + 0.5)
}

func (e *endpoint) prefillTime(tokens ident.Tokens) time.Duration {
	return time.Duration(float64(tokens) / e.prefillRate * float64(time.Second))
}

// expected returns the time until the request would be whole here.
func (e *endpoint) expected(uncached, output ident.Tokens) time.Duration {
	if e.Kind == ident.ApplicationRunner {
		return e.between * time.Duration(e.running+1)
	}
	return e.prefillTime(e.backlog+uncached) + e.unreported() + time.Duration(output)*e.between
}

// cost weighs what the request would take here. With time to spare until its
// deadline, prefill counts for more than its time, since it holds up everything
// else on the engine, and the time between tokens for less, since the windows
// keep it within its target.
func (e *endpoint) cost(uncached, output ident.Tokens, left time.Duration) time.Duration {
	whole := e.expected(uncached, output)
	if e.Slots > 0 && e.Kind == ident.ModelRunner && whole <= time.Duration(tightShare*float64(left)) {
		// The first token is what the caller waits for. The rest only keeps a
		// slot, which counts for more the fewer are free.
		taken := float64(e.running+1) / float64(e.Slots)
		return e.firstBase + e.prefillTime(e.backlog+uncached) + e.unreported() +
			time.Duration(taken*float64(output)*float64(e.between)/decodeDivisor)
	}
	if e.Kind == ident.ApplicationRunner || whole > time.Duration(tightShare*float64(left)) {
		return whole
	}
	return prefillWeight*e.prefillTime(uncached) + e.prefillTime(e.backlog) + e.unreported() +
		time.Duration(output)*e.between/decodeDivisor
}

// unreported is the delay from requests that waited at the endpoint by its own
// report and that we do not know of. The report fades with its age.
func (e *endpoint) unreported() time.Duration {
	others := e.report.Waiting + e.report.Running - e.running + e.sinceReport
	if e.reported.IsZero() || others <= 0 {
		return 0
	}
	fresh := 1 - float64(e.report.Age)/float64(reportLife)
	return time.Duration(max(fresh, 0) * float64(others) * float64(e.between))
}

func (e *endpoint) admit(charge, uncached ident.Tokens) {
	e.used += charge
	e.running++
	e.sinceReport++
	e.backlog += uncached
	if e.health == suspended {
		e.health = probing
	}
}

func (e *endpoint) release(charge ident.Tokens) {
	e.used = max(e.used-charge, 0)
	e.running = max(e.running-1, 0)
}

// observe learns from one ended request. backlog is what stood before it when
// it was granted.
func (e *endpoint) observe(end Completion, backlog ident.Tokens, t targets, now time.Time) {
	if end.Failed {
		e.fail(now)
		return
	}
	e.failures = 0
	if e.Kind == ident.ApplicationRunner {
		e.between = blend(e.between, end.TimeToFirstToken)
		e.recover()
		return
	}
	if e.health == probing && !e.slow {
		e.recover()
	}
	if own := e.prefillTime(backlog + end.Uncached); end.TimeToFirstToken > t.firstToken && end.TimeToFirstToken-own > t.firstToken/2 {
		e.shrink(now)
	}
	e.learnFirst(end.TimeToFirstToken, backlog+end.Uncached)
	if end.InterTokenLatency > 0 {
		e.samples++
		e.pace(end.InterTokenLatency, t, now)
	}
}

// learnFirst learns from the time to a first token. Short prompts show what it
// takes beyond the prompt, long ones the rate.
func (e *endpoint) learnFirst(first time.Duration, tokens ident.Tokens) {
	switch {
	case first <= 0:
	case e.Slots == 0:
		if tokens > prefix.BlockTokens {
			rate := float64(tokens) / first.Seconds()
			e.prefillRate += sampleShare * (rate - e.prefillRate)
		}
	case tokens < longPrompt:
		e.firstBase = blend(e.firstBase, max(first-e.prefillTime(tokens), 0))
	default:
		own := max(first-e.firstBase, first/4)
		rate := float64(tokens) / own.Seconds()
		e.prefillRate += sampleShare * (rate - e.prefillRate)
	}
}

// pace learns from the time between tokens. It cuts the window near the target
// and widens it well below when the window is in use.
func (e *endpoint) pace(between time.Duration, t targets, now time.Time) {
	e.between = blend(e.between, between)
	switch {
	case float64(between) > shrinkAbove*float64(t.betweenTokens):
		e.shrink(now)
	case float64(e.between) < growBelow*float64(t.betweenTokens):
		e.grow(now)
	}
}

func (e *endpoint) shrink(now time.Time) {
	if now.Sub(e.lastCut) >= cutPause {
		e.lastCut = now
		e.window = max(ident.Tokens(float64(e.window)*windowCut), minWindow)
	}
}

func (e *endpoint) grow(now time.Time) {
	if now.Sub(e.lastGrowth) >= growthPause && now.Sub(e.lastCut) >= cutPause && e.isBusy() {
		e.lastGrowth = now
		e.window = min(e.window+ident.Tokens(float64(e.window)*windowGrowth), maxWindow)
	}
}

func (e *endpoint) isBusy() bool { return float64(e.used) > growAbove*float64(e.window) }

// fail counts a failure and suspends the endpoint after several in a row.
func (e *endpoint) fail(now time.Time) {
	e.failures++
	if e.failures >= failuresToSuspend || e.health == probing {
		e.suspend(now)
	}
}

func (e *endpoint) suspend(now time.Time) {
	e.suspension = min(max(2*e.suspension, firstSuspension), maxSuspension)
	e.health = suspended
	e.probeAt = now.Add(e.suspension)
}

// recover takes a probed endpoint back with the smallest window, from which it
// grows with use.
func (e *endpoint) recover() {
	if e.health == healthy {
		return
	}
	e.health = healthy
	e.slow = false
	e.suspension = 0
	e.samples = 0
	e.window = minWindow
	if e.Kind == ident.ApplicationRunner {
		e.window = minWindow * 2
	}
}

func blend(old, sample time.Duration) time.Duration {
	return old + time.Duration(sampleShare*float64(sample-old))
}
