package canary

import "time"

const (
	// slowQuantile is the old release's usual slowest answer. Endpoints of one pool differ
	// in speed up to five times, and answers of the slowest may be few: 0.98 covers them
	// where 0.95 would not.
	slowQuantile = 0.98
	// minHistogram is the number of answers for a threshold. Below 50 it is the slowest one; the old
	// release's share above it is measured, so that a low threshold is no evidence.
	minHistogram = 24
	lateFactor   = 2
	usualFactor  = 1.5
	gapFactor    = 1.5
	// epoch is the length of each of the two parts of the recent histograms.
	epoch = 2 * time.Second
	// maxHistory is the number of answers at which a history is halved, so that it follows
	// the day.
	maxHistory = 20_000
	// maxPlaces bounds the memory: 3.8 kB each.
	maxPlaces = 240
)

// nearClasses are the classes whose answers are added where a class has too few: longer ones as
// they are, shorter ones as if the work, which doubles from class to class, took all of their
// time. Both make a threshold higher at most.
var nearClasses = [...]int{0, 1, -1, 2, -2}

// place is a route and a class of prompt length.
type place struct {
	route string
	class uint8
}

// speeds holds the durations of answers.
type speeds struct {
	latency, interToken Histogram
}

func (s *speeds) add(c *Count) {
	s.latency.Add(&c.Latency)
	s.interToken.Add(&c.InterToken)
}

// baseline holds the old release's durations at one place: of the last one to two epochs, in
// two parts, and of all times.
type baseline struct {
	history           speeds
	previous, current speeds
}

func (b *baseline) add(c *Count) {
	b.history.add(c)
	b.current.add(c)
}

// endEpoch starts a new part of the recent durations.
func (b *baseline) endEpoch() {
	b.previous, b.current = b.current, speeds{}
	for _, h := range []*Histogram{&b.history.latency, &b.history.interToken} {
		if h.Total() > maxHistory {
			for i := range h.Buckets {
				h.Buckets[i] /= 2
			}
		}
	}
}

// thresholds are the durations above which an answer of a place is slow: slowQuantile and the
// median; 0 if unknown.
type thresholds struct {
	latency, median, interToken time.Duration
}

// thresholds returns those of the recent answers, or of the history where they are too few.
// With historyOnly, the recent ones are not used and the history's are multiplied by
// historyFactor.
func (j *Judge) thresholds(p place, historyOnly bool) thresholds {
	latency, factor := j.durations(p, historyOnly, func(s *speeds) *Histogram { return &s.latency })
	t := thresholds{latency: scale(latency.Quantile(slowQuantile), factor), median: scale(latency.Quantile(0.5), factor)}
	interToken, factor := j.durations(p, historyOnly, func(s *speeds) *Histogram { return &s.interToken })
	t.interToken = scale(interToken.Quantile(slowQuantile), factor)
	return t
}

// durations returns the durations that a place is compared with, and the factor to them. They
// are empty if they are too few.
func (j *Judge) durations(p place, historyOnly bool, of func(*speeds) *Histogram) (h Histogram, factor float64) {
	factor = historyFactor
	if !historyOnly {
		factor = 1
		if b := j.places[p]; b != nil {
			h = *of(&b.previous)
			h.Add(of(&b.current))
			if h.Total() >= minHistogram {
				return h, factor
			}
		}
	}
	h = Histogram{}
	for _, n := range nearClasses {
		b := j.places[place{p.route, uint8(max(int(p.class)+n, 0))}]
		if b == nil || int(p.class)+n < 0 {
			continue
		}
		near := of(&b.history)
		if n < 0 {
			near = near.longer(-n)
		}
		h.Add(near)
		if h.Total() >= minHistogram {
			return h, factor
		}
	}
	return Histogram{}, factor
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// classify adds the answers of c to the tallies of each kind. Kinds of slowness are left out
// where their threshold is unknown.
func (t thresholds) classify(c *Count, into *[numKinds]tally) {
	failures := float64(c.Failures)
	into[failed].add(tally{float64(max(c.Answers, c.Failures)), failures})
	if t.latency > 0 {
		trials := float64(c.Latency.Total()) + failures
		into[slow].add(tally{trials, float64(c.Latency.Above(t.latency)) + failures})
		into[late].add(tally{trials, float64(c.Latency.Above(lateFactor*t.latency)) + failures})
		into[usual].add(tally{trials, float64(c.Latency.Above(scale(t.median, usualFactor))) + failures})
	}
	if t.interToken > 0 {
		limit := scale(t.interToken, gapFactor)
		into[gap].add(tally{float64(c.InterToken.Total()), float64(c.InterToken.Above(limit))})
	}
}
