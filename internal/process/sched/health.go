package sched

import (
	"math"
	"time"

	"goldcrestwick/internal/process/ident"
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

// liftSuspensions ends the suspensions of endpoints that a request needs to take up a stream, if
// one other entry node alone has seen the failures. That node may have lost its path or be
// ending, rather than the endpoint. The failures still count, so that one more suspends the
// endpoint again, for all nodes if another one has seen it.
//
// The load pattern behind it is an entry node that dies, whose broken connections suspend
// one of the few endpoints that can go on with its streams. Their callers come back at once
// and may wait less than the suspension takes.
func (c *Cell) liftSuspensions(r *GrantRequest) {
	if r.Release == nil || r.Stream == "" {
		return
	}
	for _, e := range c.endpoints {
		isOfOther := len(e.failedAt) == 1 && e.failedAt[0] != r.Node
		if e.health == suspended && !e.isStraggler && isOfOther && r.mayRunAt(e) {
			e.recover()
		}
	}
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
