package canary

import (
	"math"

	"goldcrestwick/internal/process/ident"
)

const (
	// maxPaces bounds the endpoints whose speed is known, and so their 60 bytes each in the encoded
	// state. As many are enough for an estimate.
	maxPaces = 128
	// minPaced is the number of endpoints, and minPacedAnswers that of their answers, from which the
	// spread of their speeds is an estimate.
	minPaced, minPacedAnswers = 3, 60
	// minPlaceAnswers is the number of answers at a place from which their mean is one that
	// endpoints are compared with.
	minPlaceAnswers = 5
	// maxSpread is the variance of the endpoints' mean durations, in buckets of Histogram, below
	// which they have equal speed: a standard deviation of 19%. Speeds that differ up to five
	// times evenly have about 7.
	maxSpread = 1.0
)

// PaceKey is an endpoint and the kind of answers that it gave.
type PaceKey struct {
	Key
	Endpoint ident.Endpoint
}

// Pace sums up durations of an endpoint: how many, and the sum of their buckets.
type Pace struct {
	Answers, Buckets int
}

// paces holds how the old release's endpoints differ in speed: for each, its answers and by how
// many buckets they were slower than those of the same places.
type paces struct {
	endpoints map[ident.Endpoint]tally
	// variance sums the variance of each answer's place.
	variance tally
}

// addPaces adds the durations of a step by endpoint of the old releases. A place's mean is that of
// its whole history, so that a load that changes moves all endpoints alike.
func (j *Judge) addPaces(step map[PaceKey]Pace) {
	type moments struct{ n, mean, variance float64 }
	byPlace := map[place]moments{}
	for key, pace := range step {
		if key.Release == j.target && j.target != "" {
			continue
		}
		at := place{key.Route, key.Class}
		m, known := byPlace[at]
		if b := j.places[at]; !known && b != nil {
			m.n, m.mean, m.variance = b.history.latency.moments()
			byPlace[at] = m
		}
		if m.n >= minPlaceAnswers {
			j.paces.add(key.Endpoint, pace, m.mean, m.variance)
		}
	}
}

func (p *paces) add(endpoint ident.Endpoint, pace Pace, mean, variance float64) {
	t, known := p.endpoints[endpoint]
	if !known && len(p.endpoints) >= maxPaces {
		return
	}
	if p.endpoints == nil {
		p.endpoints = map[ident.Endpoint]tally{}
	}
	n := float64(pace.Answers)
	t.add(tally{n, float64(pace.Buckets) - n*mean})
	t.halveAbove(maxLongTrials)
	p.endpoints[endpoint] = t
	p.variance.add(tally{n, n * variance})
	p.variance.halveAbove(maxLongTrials)
}

// areEqual reports that the old release's endpoints are known to have about equal speed: the
// variance of their means beyond that of few answers (DerSimonian and Laird), plus its own
// standard error, is below maxSpread.
func (p *paces) areEqual() bool {
	var n, squares, sum float64
	for _, t := range p.endpoints {
		n += t.trials
		squares += t.trials * t.trials
		sum += t.adverse
	}
	if len(p.endpoints) < minPaced || n < minPacedAnswers {
		return false
	}
	q, free := 0.0, float64(len(p.endpoints)-1)
	for _, t := range p.endpoints {
		if t.trials > 0 {
			difference := t.adverse/t.trials - sum/n
			q += t.trials * difference * difference
		}
	}
	within := p.variance.adverse / p.variance.trials
	return q-free*within+within*math.Sqrt(2*free) < maxSpread*(n-squares/n)
}
