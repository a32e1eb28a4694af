package adapt

import (
	"math"
	"time"
)

const (
	// hintTTL is the age at which a statement no longer counts: hosts' speeds change many
	// times a second.
	hintTTL = 300 * time.Millisecond
	// hintWeight is the weight of a new answer in the moving averages of a hint, and
	// minHintAnswers the number of answers with a statement before the first use.
	hintWeight     = 0.05
	minHintAnswers = 20
	// hintRidge is added to the variance of the hint, so that one that hardly varies, or
	// a chance agreement, explains nothing.
	hintRidge = 0.02
	// minHintPercent and maxHintPercent bound a statement against nonsensical values.
	minHintPercent = 10
	maxHintPercent = 1000
)

// hint learns how far an endpoint's statement of its host's present slowness agrees with
// its answers. The statement counts by its distance from its own mean: one that is always
// the same, right or wrong, has no effect, and one that varies without agreeing neither.
type hint struct {
	// log is the logarithm of the last statement, given at.
	log float64
	at  time.Time
	// mean is the moving average of log; covariance is that of its distance from the mean
	// with the deviation of an answer, variance that of the square of the distance.
	mean, covariance, variance float64
	answers                    int
}

// State records the endpoint's statement how long work takes on its host at the moment, in
// percent of what is usual; 0 or less is none.
func (e *Endpoint) State(percent int, now time.Time) {
	if percent <= 0 {
		return
	}
	e.hint.log = math.Log(float64(min(max(percent, minHintPercent), maxHintPercent)) / 100)
	e.hint.at = now
}

// freshness falls from 1 to 0 with the age of the statement.
func (h *hint) freshness(now time.Time) float64 {
	if h.at.IsZero() {
		return 0
	}
	return max(1-now.Sub(h.at).Seconds()/hintTTL.Seconds(), 0)
}

// trust returns the part of the statement's distance from its mean that shows in answers,
// from 0 to 1.
func (h *hint) trust() float64 {
	if h.answers < minHintAnswers {
		return 0
	}
	return min(max(h.covariance/(h.variance+hintRidge), 0), 1)
}

// explain learns from the deviation of an answer, as a logarithm, and returns the part of
// it that the statement explains.
func (h *hint) explain(deviation float64, now time.Time) float64 {
	if h.freshness(now) == 0 {
		return 0
	}
	if h.answers == 0 {
		h.mean = h.log
	}
	h.answers++
	distance := h.log - h.mean
	h.mean += hintWeight * distance
	h.covariance += hintWeight * (distance*deviation - h.covariance)
	h.variance += hintWeight * (distance*distance - h.variance)
	return h.trust() * distance
}

// effect returns by how much the statement changes the expected time, as a logarithm.
func (h *hint) effect(now time.Time) float64 {
	if h.answers < minHintAnswers {
		return 0
	}
	fresh := h.freshness(now)
	if fresh == 0 {
		return 0
	}
	return fresh * h.trust() * (h.log - h.mean)
}
