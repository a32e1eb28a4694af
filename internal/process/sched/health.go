package sched

import (
	"math"
	"time"

	"goldcrestwick/internal/request/ident"
)

// updateErrorRate adds the outcome of a request to the error rate.
func (e *endpoint) updateErrorRate(isFailure bool, now time.Time) {
	e.errorRate = e.errorRateAt(now)
	e.errorRateUpdated = now
	sample := 0.0
	if isFailure {
		sample = 1
	}
	e.errorRate += ewmaWeight * (sample - e.errorRate)
}

// errorRateAt returns the error rate, which decays with time so that a
// recovered endpoint is tried again.
func (e *endpoint) errorRateAt(now time.Time) float64 {
	if e.errorRate == 0 {
		return 0
	}
	return e.errorRate * math.Exp(-now.Sub(e.errorRateUpdated).Seconds()/errorRateTimeConstant.Seconds())
}

// failurePenalty returns the cost added for the endpoint's recent failures.
func (e *endpoint) failurePenalty(now time.Time) time.Duration {
	return time.Duration(e.errorRateAt(now) * float64(failureCost))
}

// recordFailure counts a failure and suspends the endpoint after several
// consecutive ones or after a failed probe.
func (e *endpoint) recordFailure(now time.Time) {
	e.consecutiveFailures++
	if e.consecutiveFailures >= failuresToSuspend || e.health == probing {
		e.suspend(now)
	}
}

// suspend suspends the endpoint with exponential backoff.
func (e *endpoint) suspend(now time.Time) {
	e.suspension = min(max(2*e.suspension, minSuspension), maxSuspension)
	e.health = suspended
	e.probeAt = now.Add(e.suspension)
}

// recover ends the suspension of a probed endpoint. Its window restarts at the
// minimum, or at twice the minimum for an application runner, and grows with
// use.
func (e *endpoint) recover() {
	if e.health == healthy {
		return
	}
	e.health = healthy
	e.isStraggler = false
	e.suspension = 0
	e.latencySamples = 0
	e.window = minWindow
	if e.Kind == ident.ApplicationRunner {
		e.window = minWindow * 2
	}
}
