package node

import (
	"sync"
	"time"

	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/canary"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
)

// brokenTogether is the time within which connections to one endpoint that break have one
// cause. A process that ends takes all of its connections along at once.
const brokenTogether = 300 * time.Millisecond

// maxBroken bounds the endpoints whose broken connections are remembered. It is above the
// number of endpoints of a pool.
const maxBroken = 4096

// maxPaces bounds the numbers by endpoint, route and class in a reply: at about 60 bytes each they stay
// below 130 kB, also in the first reply, which has up to 30 s of answers. Further ones are left out.
const maxPaces = 2048

// rolloutCounts counts the answers of all pools, if rollouts are conducted. Its methods may be
// called with a cell's lock held.
type rolloutCounts struct {
	isOn  bool
	mu    sync.Mutex
	pools map[ident.PoolID]*poolCounts
}

// poolCounts counts the answers of one pool.
type poolCounts struct {
	// sample is what was counted since the last reply, and sent what is in replies of
	// which the conductor has not said that they have arrived.
	sample, sent      canary.Sample
	fencing, sequence uint64
	broken            map[ident.Endpoint]brokenConnections
	// Before the first step, sample begins at began, and previous holds what was counted in
	// the historyEpoch before that.
	began     time.Time
	previous  canary.Sample
	collected time.Time
}

// historyEpoch is the time after which counts are moved to the previous ones while no
// conductor collects them, and uncollectedTime the time without a step from which that is so.
// The first step of a rollout gets the answers of one to two epochs before it, so that the
// old release is known from the start.
const (
	historyEpoch    = 15 * time.Second
	uncollectedTime = 10 * time.Second
)

// brokenConnections is when connections to an endpoint last broke. isDown is set while it
// cannot be reached.
type brokenConnections struct {
	at     time.Time
	isDown bool
}

// find returns the counts of a pool, which it creates. The caller holds c.mu.
func (c *rolloutCounts) find(pool ident.PoolID) *poolCounts {
	if c.pools == nil {
		c.pools = map[ident.PoolID]*poolCounts{}
	}
	p := c.pools[pool]
	if p == nil {
		p = &poolCounts{sample: emptySample(), broken: map[ident.Endpoint]brokenConnections{}}
		c.pools[pool] = p
	}
	return p
}

// rotate begins a new epoch if it is time and no conductor collects the counts.
func (p *poolCounts) rotate(now time.Time) {
	switch {
	case now.Sub(p.collected) < uncollectedTime:
	case p.began.IsZero() || now.Sub(p.began) > 2*historyEpoch:
		p.began, p.previous, p.sample = now, canary.Sample{}, emptySample()
	case now.Sub(p.began) > historyEpoch:
		p.began, p.previous, p.sample = now, p.sample, emptySample()
	}
}

func emptySample() canary.Sample {
	return canary.Sample{
		Counts: map[canary.Key]canary.Count{}, Arrivals: map[ident.Release]int{},
		Lost: map[ident.Release]int{}, Entries: map[canary.Entry]canary.Tally{},
		Paces: map[canary.PaceKey]canary.Pace{},
	}
}

// granted counts a request that was granted at a release.
func (c *rolloutCounts) granted(pool ident.PoolID, release ident.Release, now time.Time) {
	if !c.isOn {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.find(pool)
	p.rotate(now)
	p.sample.Arrivals[release]++
}

// answered counts an answer, unless its connection broke; see countBroken. It reports whether
// answers are counted.
func (c *rolloutCounts) answered(pool ident.PoolID, a sched.Answer, now time.Time) bool {
	if !c.isOn {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.find(pool)
	p.rotate(now)
	if a.Broke {
		p.countBroken(a, now)
		return true
	}
	if !a.Failed {
		delete(p.broken, a.Endpoint)
	}
	key, entry := canary.Key{Release: a.Release, Route: a.Route, Class: a.Class}, canary.Entry{Node: a.Node, Release: a.Release}
	count, tally := p.sample.Counts[key], p.sample.Entries[entry]
	if a.IsNew {
		count.Answers++
		tally.Answers++
	}
	if a.Failed {
		count.Failures++
		tally.Failures++
	}
	if a.Latency > 0 {
		count.Latency.Observe(a.Latency)
		paceKey := canary.PaceKey{Key: key, Endpoint: a.Endpoint}
		if pace, known := p.sample.Paces[paceKey]; known || len(p.sample.Paces) < maxPaces/2 { // the first reply has two epochs
			p.sample.Paces[paceKey] = canary.Pace{Answers: pace.Answers + 1, Buckets: pace.Buckets + canary.BucketOf(a.Latency)}
		}
	}
	if a.InterToken > 0 {
		count.InterToken.Observe(a.InterToken)
	}
	p.sample.Counts[key], p.sample.Entries[entry] = count, tally
	return true
}

// countBroken counts a connection that broke. Those of one endpoint that break together
// count as one loss, and an endpoint that cannot be reached counts once until it has
// answered again, so that a crash does not look like as many failures as it ended
// requests.
func (p *poolCounts) countBroken(a sched.Answer, now time.Time) {
	if len(p.broken) >= maxBroken {
		clear(p.broken)
	}
	last, known := p.broken[a.Endpoint]
	isTogether := known && now.Sub(last.at) < brokenTogether
	if !isTogether && !(a.Unreached && last.isDown) {
		p.sample.Lost[a.Release]++
	}
	p.broken[a.Endpoint] = brokenConnections{now, a.Unreached || last.isDown}
}

// collect returns what was counted since the last step whose reply the conductor has
// received, or since before the first step, and the time in which it was.
func (c *rolloutCounts) collect(step wire.RolloutStep, now time.Time) (s canary.Sample, span time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.find(ident.PoolID(step.Pool))
	p.rotate(now)
	if step.Fencing == p.fencing && step.Received == p.sequence {
		p.sent = canary.Sample{}
	}
	span = now.Sub(p.collected)
	if span >= uncollectedTime {
		span = now.Sub(p.began)
		if p.previous.Counts != nil {
			span += historyEpoch
			wire.FromRolloutSample(p.previous).AddTo(&p.sent)
			p.previous = canary.Sample{}
		}
	}
	wire.FromRolloutSample(p.sample).AddTo(&p.sent)
	p.sample = emptySample()
	if len(p.sent.Paces) > maxPaces { // many replies were lost
		p.sent.Paces = nil
	}
	p.fencing, p.sequence, p.collected = step.Fencing, step.Sequence, now
	return p.sent, span
}

// recordAnswer counts an answer of an endpoint. It is called with the cell's lock held.
func (n *Node) recordAnswer(pool ident.PoolID, a sched.Answer) {
	if n.rollouts.counts.answered(pool, a, time.Now()) && n.cells.Rollout(pool) != nil {
		n.meter.RolloutAnswer(string(pool), string(a.Release), a.Route, a.IsNew, a.Failed)
	}
}
