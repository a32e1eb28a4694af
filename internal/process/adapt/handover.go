package adapt

import (
	"math"
	"time"
)

const (
	// handedVariance is the variance of a handed over estimate's common part, and
	// handedShape that of its differences as a part of the initial one: the endpoint was
	// measured, but some time ago.
	handedVariance = 0.1
	handedShape    = 0.1
	// ownTTL is the time since the last answer from which on another node's estimate
	// replaces one's own.
	ownTTL = 5 * time.Second
)

// Estimate is what was learned of an endpoint, passed on to another node.
type Estimate struct {
	Slots int
	Limit int
	// PerUnit holds the time per unit at each level.
	PerUnit []time.Duration
}

// Estimate returns what was learned; the zero value if that is nothing.
func (e *Endpoint) Estimate() Estimate {
	if e.answers < minKnownAnswers {
		return Estimate{}
	}
	from := Estimate{Slots: e.filter.slots, Limit: e.limit, PerUnit: make([]time.Duration, e.filter.levels)}
	for i := range from.PerUnit {
		from.PerUnit[i] = time.Duration(min(max(math.Exp(e.filter.mean[i]), minUnit), maxUnit) * float64(time.Second))
	}
	return from
}

// Set sets what another node learned up to now, unless there were answers here within
// ownTTL. Estimates that make no sense are ignored.
func (e *Endpoint) Set(from Estimate, now time.Time) {
	if e.answers > 0 && now.Sub(e.answeredAt) < ownTTL || from.Limit <= 0 || from.Limit > from.Slots || len(from.PerUnit) != min(from.Slots, maxLevels) {
		return
	}
	for _, t := range from.PerUnit {
		if t.Seconds() < minUnit || t.Seconds() > maxUnit {
			return
		}
	}
	f := &e.filter
	f.reset(from.Slots, 1, 0)
	for i := range f.levels {
		f.mean[i] = math.Log(from.PerUnit[i].Seconds())
		for j := range f.levels {
			f.covariance[i][j] = handedVariance + handedShape*(f.covariance[i][j]-commonVariance)
		}
	}
	e.limit, e.answers, e.usual, e.answeredAt = from.Limit, minKnownAnswers, f.mean[0], now
}
