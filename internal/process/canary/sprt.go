package canary

import "math"

// kind is what a test counts as adverse.
type kind uint8

const (
	// failed: the request failed.
	failed kind = iota
	// slow: it failed, or its first answer took longer than slowQuantile of the old
	// release's answers of the same route and class.
	slow
	// late: it failed, or its first answer took more than lateFactor times as long. It tells
	// a small share of very slow answers, which are too few for slow.
	late
	// usual: it failed, or its first answer took more than usualFactor times as long as the
	// old release's median. It tells a release that is slower as a whole, by two times and
	// more, within some tens of answers.
	usual
	// gap: the time between a stream's events is more than gapFactor times as long as
	// slowQuantile of the old release's.
	gap
	numKinds
)

const (
	// alpha and beta are the error rates that each test is set to: a good release is found
	// bad, a bad one good. TestSimulation measures what results for an order.
	alpha, beta = 0.002, 0.02
	// cusumBound is the bound of the change detection. By Lorden's inequality a good
	// release raises a false alarm once in e^7 = 1,100 answers at most at p0 itself, and
	// far less often below it, where good releases are.
	cusumBound = 7.0
	// baseMargin raises the old release's measured share to p0, as that share is an
	// estimate and a small difference is no reason to roll back.
	baseMargin = 1.3
	// maxBase keeps p0 below 1 while the old release fails as a whole.
	maxBase = 0.9
)

var (
	// badBound and goodBound are Wald's bounds of the logarithm of the likelihood ratio.
	badBound  = math.Log((1 - beta) / alpha)
	goodBound = math.Log(beta / (1 - alpha))
	// maxGain bounds what a test gains in one step, since failures within 250 ms often have
	// one cause: a verdict needs two steps at least.
	maxGain = badBound/2 + 0.01
)

// alternatives holds, for each kind, the least p0 and the least distance of p1 from it.
// Failures of 5% are to be found. Slowness has greater values, since a release that is
// somewhat slower is not bad: of answers twice as slow, 25% and more exceed slowQuantile.
var alternatives = [numKinds]struct{ floor, distance float64 }{
	failed: {0.003, 0.055},
	slow:   {0.04, 0.16},
	late:   {0.01, 0.06},
	usual:  {0.10, 0.30},
	gap:    {0.01, 0.10},
}

// probabilities returns p0, the adverse share of a good release, and p1, that of a bad one,
// for the adverse share that the old release has.
func (k kind) probabilities(base float64) (p0, p1 float64) {
	a := alternatives[k]
	p0 = min(max(a.floor, baseMargin*base), maxBase)
	return p0, p0 + max(a.distance, p0)*(1-p0)
}

// String returns what a test of the kind counts, for reasons.
func (k kind) String() string {
	return [...]string{"failed", "failed or slow", "failed or very slow", "failed or slower than usual", "with slow events"}[k]
}

// tally is a number of trials, and how many of them were adverse. A part of an adverse one is
// left where failures are discounted.
type tally struct {
	trials, adverse float64
}

func (t *tally) add(o tally) {
	t.trials += o.trials
	t.adverse += o.adverse
}

// halveAbove halves the weight of what was seen, so that it follows the day.
func (t *tally) halveAbove(trials float64) {
	if t.trials > trials {
		t.trials, t.adverse = t.trials/2, t.adverse/2
	}
}

// test is a sequential probability ratio test since the order started, and a cumulative sum
// of the same evidence that restarts at 0, for releases that turn bad later.
type test struct {
	ratio, sum float64
	seen       tally
}

// add adds the target's answers of one step.
func (t *test) add(target tally, p0, p1 float64) {
	if target.trials <= 0 {
		return
	}
	target.adverse = min(target.adverse, target.trials)
	gain := target.adverse*math.Log(p1/p0) + (target.trials-target.adverse)*math.Log((1-p1)/(1-p0))
	gain = min(gain, maxGain)
	t.ratio += gain
	t.sum = max(t.sum+gain, 0)
	t.seen.add(target)
}

func (t *test) isBad() bool { return t.ratio >= badBound || t.sum >= cusumBound }
