// Package adapt estimates, for one endpoint, how long requests take there as a function of
// the number in flight, and from that how many of them it handles well.
//
// The logarithm of the time per unit of a request's size is estimated at up to eight
// numbers in flight, by a Kalman filter: a change of speed moves all of them at once and
// may be sudden, the differences between them change slowly. A change of speed therefore
// does not change the limit, and a change of load does not look like one of speed.
// docs/design/17-adaptive-limits.md weighs the alternatives.
//
// # Usage
//
//	var e adapt.Endpoint // of an endpoint with 6 slots
//	span := e.Start(1, now)
//	e.State(120, now) // the endpoint stated that its host is slow
//	e.End(span, 0, 6, 31*time.Millisecond, now)
//	if running < e.Limit(6) && e.Expect(1, running, 6, now) < target { ... }
package adapt

import (
	"math"
	"time"
)

const (
	// priorExponent describes an endpoint that nothing is known of: the time grows with
	// this power of the number in flight.
	priorExponent = 0.4
	// limitExponent: the limit is the number in flight n for which n^limitExponent /
	// time(n) is largest, that is, up to which 1% more requests in flight make the
	// answers at most 0.75% slower. At 1 the throughput alone would count, which grows
	// until the last slot at most endpoints, and at 0 only the time of one request.
	limitExponent = 0.75
	// limitHysteresis is the gain, as a logarithm, that a change of the limit needs. It is
	// about the error of the estimated differences.
	limitHysteresis = 0.03
	// minLimitInterval is the least time between two changes of the limit. The limit grows
	// by 1 at a time, if the endpoint was used up to it, and falls by up to
	// limitStepFraction of the slots.
	minLimitInterval  = 200 * time.Millisecond
	limitStepFraction = 0.25
	// minLimitAnswers is the least number of answers between two changes of the limit.
	minLimitAnswers = 8
	// minKnownAnswers is the number of answers before which the limit is not used.
	minKnownAnswers = 30
	// staleAfter is the time without an answer after which the expected time begins to
	// return to the usual one, with the time constant staleTimeConstant: an endpoint that
	// was slow for a moment gets no requests that would show that it no longer is.
	staleAfter        = time.Second
	staleTimeConstant = 2 * time.Second
	// usualTimeConstant is the time constant of the usual time.
	usualTimeConstant = 20 * time.Second
	// minUnit and maxUnit bound the time per unit in seconds against nonsensical times.
	minUnit, maxUnit = 1e-6, 3600.0
)

// Endpoint is the estimate of one endpoint. The zero value is ready for use. It is not safe
// for concurrent use.
type Endpoint struct {
	filter filter
	// usual is the long-term average of the first level's time, as a logarithm.
	usual      float64
	answers    int
	answeredAt time.Time
	limit      int
	// limitChangedAt is when the limit was last compared; since then there were
	// newAnswers, with at most busiest requests in flight on average.
	limitChangedAt time.Time
	newAnswers     int
	busiest        float64
	// area is the integral of the number in flight up to areaAt, in seconds.
	area     float64
	areaAt   time.Time
	inFlight int
	hint     hint
}

// Span is the start of a request, for its end.
type Span struct {
	area float64
	at   time.Time
}

// Start records the start of a request, which is one of inFlight at the endpoint.
func (e *Endpoint) Start(inFlight int, now time.Time) Span {
	e.advance(inFlight, now)
	return Span{e.area, now}
}

// advance adds the time since the last change to the integral of the number in flight.
func (e *Endpoint) advance(inFlight int, now time.Time) {
	if !e.areaAt.IsZero() {
		e.area += float64(e.inFlight) * now.Sub(e.areaAt).Seconds()
	}
	e.areaAt, e.inFlight = now, inFlight
}

// Abandon records the end of a request whose time says nothing of the endpoint; inFlight
// requests remain.
func (e *Endpoint) Abandon(inFlight int, now time.Time) { e.advance(inFlight, now) }

// End records the end of a request, which leaves inFlight of them at an endpoint with the
// given slots. PerUnit is the time that it took divided by its size; 0 is unknown.
func (e *Endpoint) End(s Span, inFlight, slots int, perUnit time.Duration, now time.Time) {
	mean := float64(inFlight + 1)
	e.advance(inFlight, now)
	if took := now.Sub(s.at).Seconds(); took > 0 && !s.at.IsZero() {
		mean = (e.area - s.area) / took
	}
	e.learn(mean, slots, perUnit, now)
}

// Observe records that a request that goes on took this long per unit lately.
func (e *Endpoint) Observe(inFlight, slots int, perUnit time.Duration, now time.Time) {
	e.learn(float64(inFlight), slots, perUnit, now)
}

func (e *Endpoint) learn(inFlight float64, slots int, perUnit time.Duration, now time.Time) {
	if perUnit <= 0 || slots <= 0 {
		return
	}
	sample := math.Log(min(max(perUnit.Seconds(), minUnit), maxUnit))
	if e.filter.slots != slots {
		e.filter.reset(slots, inFlight, sample)
		e.limit, e.answers, e.usual = startLimit(slots), 0, e.filter.mean[0]
	}
	elapsed := time.Duration(0)
	if e.answers > 0 {
		elapsed = max(now.Sub(e.answeredAt), 0)
		e.filter.shift(e.staleShift(now))
	}
	e.answers++
	e.newAnswers++
	e.busiest = max(e.busiest, inFlight)
	e.answeredAt = now
	deviation := sample - e.filter.at(inFlight)
	sample -= e.hint.explain(deviation, now)
	e.filter.update(inFlight, sample, elapsed.Seconds(), e.limit)
	e.usual += (e.filter.mean[0] - e.usual) * max(1/float64(e.answers), 1-math.Exp(-elapsed.Seconds()/usualTimeConstant.Seconds()))
	e.updateLimit(now)
}

// startLimit is the limit once there are minKnownAnswers, half of the slots: an endpoint is
// given more as far as its times allow it.
func startLimit(slots int) int { return (slots + 1) / 2 }

// updateLimit moves the limit towards the number in flight with the largest benefit.
func (e *Endpoint) updateLimit(now time.Time) {
	if now.Sub(e.limitChangedAt) < minLimitInterval || e.newAnswers < minLimitAnswers {
		return
	}
	busiest := e.busiest
	e.limitChangedAt, e.newAnswers, e.busiest = now, 0, 0
	best, bestBenefit, current := 0, math.Inf(-1), 0.0
	highest := math.Inf(-1)
	for n := 1; n <= e.filter.slots; n++ {
		// More requests in flight never make one faster; where it looks so, the times
		// with fewer were overestimated or those with more underestimated.
		highest = max(highest, e.filter.at(float64(n)))
		benefit := limitExponent*math.Log(float64(n)) - highest
		if benefit > bestBenefit {
			best, bestBenefit = n, benefit
		}
		if n == e.limit {
			current = benefit
		}
	}
	switch {
	case bestBenefit <= current+limitHysteresis:
	case best > e.limit && busiest >= float64(e.limit)-1:
		e.limit++
	case best < e.limit:
		e.limit = max(best, e.limit-max(int(limitStepFraction*float64(e.filter.slots)), 1))
	}
}

// Limit returns how many requests in flight an endpoint with the given slots takes before
// more of them cost the callers. It is at least 1, and at most the number of slots. While
// too little is known, it is the number of slots.
func (e *Endpoint) Limit(slots int) int {
	if e.filter.slots != slots || e.answers < minKnownAnswers {
		return slots
	}
	return e.limit
}

// minGain is the part of a proportional growth of the throughput below which a request more
// in flight gains nothing.
const minGain = 0.1

// Gains reports whether the endpoint completes more requests per second with one more than
// inFlight. It is true while too little is known.
func (e *Endpoint) Gains(inFlight, slots int) bool {
	if e.filter.slots != slots || e.answers < minKnownAnswers || inFlight < 1 {
		return true
	}
	slower := e.filter.at(float64(inFlight+1)) - e.filter.at(float64(inFlight))
	return slower < (1-minGain)*math.Log(float64(inFlight+1)/float64(inFlight))
}

// IsKnown reports whether the endpoint has given an answer or an earlier estimate was set.
func (e *Endpoint) IsKnown() bool { return e.answers > 0 }

// Expect returns how long a request of the given size takes with others in flight at an
// endpoint with the given slots. It returns 0 if nothing is known.
func (e *Endpoint) Expect(size float64, others, slots int, now time.Time) time.Duration {
	if e.answers == 0 || slots <= 0 {
		return 0
	}
	log := e.filter.mean[0] + priorExponent*math.Log(float64(max(others, 0)+1))
	if e.filter.slots == slots {
		log = e.filter.at(float64(others + 1))
	}
	perUnit := min(max(math.Exp(log+e.staleShift(now)+e.hint.effect(now)), minUnit), maxUnit)
	return time.Duration(size * perUnit * float64(time.Second))
}

// staleShift returns the distance by which the time has returned to the usual one while
// there were no answers.
func (e *Endpoint) staleShift(now time.Time) float64 {
	idle, distance := now.Sub(e.answeredAt)-staleAfter, e.usual-e.filter.mean[0]
	if idle <= 0 || distance >= 0 {
		return 0
	}
	return distance * (1 - math.Exp(-idle.Seconds()/staleTimeConstant.Seconds()))
}
