package canary

import (
	"math"
	"time"
)

const (
	// canaryShare is the share at first, and canaryPart of ExposeShare if that is less.
	canaryShare = 0.08
	canaryPart  = 0.8
	// canaryEnd and minCanary are parts of the ramp: the canary phase lasts until canaryEnd,
	// and for minCanary after the target's first endpoint was ready.
	canaryEnd, minCanary = 0.5, 0.3
	// wantedAnswers is the number of answers that a verdict on a sound release takes:
	// goodBound / log((1-p1)/(1-p0)) of the test of failures, which is 68. A pool with so little
	// traffic that canaryShare does not bring them gets up to maxCanary from quietPart of
	// the ramp on, within the bound of exposure.
	wantedAnswers = 75
	maxCanary     = 0.2
	quietPart     = 0.1
	// longRamp is the ramp above which the share at first is longShare: it brings enough answers,
	// and leaves more of ExposeShare for a release that turns bad late.
	longRamp  = 30 * time.Second
	longShare = 0.05
	// minStep is the least time between two steps, as a part of the ramp.
	minStep = 0.05
	// minStepAnswers is the number of answers of the target at a step before the next one;
	// after twice the step's time the next one is taken without them.
	minStepAnswers = 10
	// stepDoubt is the value of a test from which the share is not raised beyond the first step
	// before the deadline, since one step more takes most of what EXPOSURE permits. It is below doubtful:
	// less canary share would make the verdict later. At 0.4, half of the
	// good releases with a ramp of 90 s are done 9 s later.
	stepDoubt = 0.8
	// dropDoubt is the value of a test from which the share falls back from the second step to the
	// first one until the deadline: answers of the second step come when its share is spent.
	dropDoubt = 2.0
	// lag is the time until all cells follow a share: a step, its way, and grants that are
	// on their way.
	lag = time.Second
)

// steps are the shares after a Good verdict, with the part of the ramp from which each is
// taken. The first one leaves most of ExposeShare for answers until late in the ramp: with
// 0.15, 0.3, 0.65 and 1 from 0.5, 0.68, 0.74 and 0.8 on, most bad releases that broke
// EXPOSURE did so at shares above 0.15. It rounds to whole endpoints under load for 4 endpoints and
// more, which 0.12 does not.
var steps = [...]struct{ share, from float64 }{
	{0.125, 0.5},
	{0.5, 0.77},
	{1, 0.83},
}

// Plan is the share of the target over time.
type Plan struct {
	start, ramp time.Duration
	// ready is the time of the first step in which the target had an endpoint; isReady tells
	// that there was one.
	ready   time.Duration
	isReady bool
	// next is the index in steps of the next one, and raised the time of the last one.
	next     int
	raised   time.Duration
	answered int // answers since raised, or since the start
	failures int // of the target since the start
	// sentBefore is sent at that time.
	sentBefore int
	// seen and sent are the requests to the pool and to the target since the start.
	seen, sent int
	share      float64
}

// resume lets the share go on from where it is, after a Good verdict. A step but the last counts as
// taken also where roundToLoad has lowered its share, to two thirds at most.
func (p *Plan) resume(share float64, now time.Duration) {
	p.share, p.raised = share, now
	for p.next < len(steps) && (steps[p.next].share <= share || (p.next < len(steps)-1 && steps[p.next].share/1.5 <= share)) {
		p.next++
	}
}

// convertStep replaces the next one of unpacedSteps by the next one of steps.
func (p *Plan) convertStep() {
	if p.next <= 0 || p.next > unpacedSteps {
		return // isValid refuses what is out of range
	}
	p.next = 1
	p.resume(p.share, p.raised)
}

// update returns the share from now on. rate is the pool's requests per second, old the number of the old
// release's endpoints; mayRaise is false while the share must not rise.
func (p *Plan) update(l Limits, f finding, rate float64, old int, mayRaise bool, now time.Duration) float64 {
	if p.next == 0 {
		canary := lowerToLoad(p.canary(l, f, rate, now), old)
		if f.verdict != Good || now < p.stepTime(0) {
			if canary <= p.share || mayRaise {
				p.share = canary
			}
			return p.share
		}
	}
	if now < p.deadline() && p.raised > p.start { // a share that resume has set stays
		p.restrain(l, f, rate, old, mayRaise, now)
	}
	if !mayRaise || f.isSuspicious || p.next == len(steps) || now < p.stepTime(p.next) {
		return p.share
	}
	if p.next > 0 && f.doubt >= stepDoubt && now < p.deadline() {
		return p.share
	}
	dwell := p.part(minStep)
	if p.next > 0 && (now < p.raised+dwell || (p.answered < minStepAnswers && now < p.raised+2*dwell)) {
		return p.share
	}
	p.share = max(p.share, roundToLoad(steps[p.next].share, old))
	p.next++
	p.raised, p.answered, p.sentBefore = now, 0, p.sent
	return p.share
}

// restrain lowers the share of the first two steps before the deadline. The second one falls back
// to the first one at dropDoubt. The first one, which is up to twice as large in pools of few
// endpoints, keeps what the target gets below ExposeShare of the requests so far plus ExposeSlack,
// but has the canary share at least.
func (p *Plan) restrain(l Limits, f finding, rate float64, old int, mayRaise bool, now time.Duration) {
	first := roundToLoad(steps[0].share, old)
	if p.next == 2 && f.doubt >= dropDoubt {
		p.next, p.raised, p.answered, p.sentBefore = 1, now, 0, p.sent
		p.share = min(p.share, first)
	}
	if p.next != 1 {
		return
	}
	least := min(canaryShare, canaryPart*l.ExposeShare)
	limited := min(first, max(p.budget(l, float64(l.ExposeSlack), rate), least))
	if limited < p.share || (mayRaise && !f.isSuspicious) {
		p.share = limited
	}
}

// budget returns the share that, for the lag, keeps what the target gets below ExposeShare of the
// requests so far plus slack.
func (p *Plan) budget(l Limits, slack, rate float64) float64 {
	left := l.ExposeShare*float64(p.seen) + slack - float64(p.sent)
	return left / max(rate*lag.Seconds(), 1)
}

// canary returns the share before the first step. It brings wantedAnswers by then where the
// pool has few requests, and keeps what the target gets below ExposeShare of the requests so
// far plus half of ExposeSlack.
func (p *Plan) canary(l Limits, f finding, rate float64, now time.Duration) float64 {
	least := min(canaryShare, canaryPart*l.ExposeShare)
	if p.ramp > longRamp {
		least = min(least, longShare)
	}
	result := least
	if now >= p.ready+p.part(quietPart) && !f.isSuspicious && f.verdict == Undecided {
		left := max(p.stepTime(0)-now, lag).Seconds()
		result = min(max(least, float64(wantedAnswers-p.sent)/max(rate*left, 1)), maxCanary)
	}
	return max(min(result, p.budget(l, float64(l.ExposeSlack)/2, rate)), 0)
}

// stepTime returns the time from which a step may be taken. Steps move as a whole where the
// target's endpoints came late.
func (p *Plan) stepTime(n int) time.Duration {
	late := max(p.ready+p.part(minCanary)-(p.start+p.part(canaryEnd)), 0)
	return p.start + p.part(steps[n].from) + late
}

// isUnanswered reports that less than half of what the target got at this share has been answered. A
// release that hangs, or is slower than the ramp, has no answers that a test could count.
func (p *Plan) isUnanswered() bool { return 2*p.answered < p.sent-p.sentBefore }

func (p *Plan) deadline() time.Duration { return p.start + p.ramp }

func (p *Plan) part(f float64) time.Duration { return time.Duration(f * float64(p.ramp)) }

// endpoints returns the least number of target endpoints that gives none more load than the
// old ones have without a rollout; 0 is all. So few show what happens under load, although
// both releases together have twice the endpoints.
func endpoints(share float64, old, target int) int {
	if share >= 1 || old == 0 || share <= 0 {
		return 0
	}
	n := max(int(math.Ceil(share*float64(old)-1e-9)), 1)
	if n >= target {
		return 0
	}
	return n
}

// lowerToLoad lowers a share to one that gives a whole number of endpoints the load that the
// old ones have: 0.08 would be 1.6 times the load of one endpoint of 20, which makes a sound
// one slow, and 0.8 times that of two. A share that is too small for one endpoint stays.
func lowerToLoad(share float64, old int) float64 {
	if n := math.Floor(share * float64(old)); n >= 1 {
		return n / float64(old)
	}
	return share
}

// roundToLoad is lowerToLoad for a step, which may also raise the share, to twice at most.
func roundToLoad(share float64, old int) float64 {
	if old == 0 {
		return share
	}
	rounded := max(math.Round(share*float64(old)), 1) / float64(old)
	if rounded > min(2*share, 1) {
		return share
	}
	return rounded
}
