package canary

import (
	"fmt"
	"math"
	"time"

	"goldcrestwick/internal/process/ident"
)

const (
	// clearTime is how long nothing must have run at the old release until the order is done:
	// longer than the lifetime of a grant, 500 ms. It is a time, since steps that were held up
	// follow each other at once.
	clearTime = 750 * time.Millisecond
	// rateSteps is the number of steps over which rates and loads are measured.
	rateSteps = 10
	// minComparable is the part of the target's load per endpoint that the old release must
	// have for its present answers to be a measure. Otherwise its history is, but only while
	// the target's load is at most maxLoad of the load of the history, and not above it by
	// more than loadNoise standard deviations of the number of arrivals.
	minComparable, maxLoad, loadNoise = 0.9, 1.35, 1.5
	// loadSteps is the number of steps over which a load is measured: short, since answers
	// get slow as soon as a burst begins.
	loadSteps = 3
	// lateDoubt is the value of a test from which an order without a verdict is not
	// finished at its deadline, and rolled back maxOverrun ramps later.
	lateDoubt  = 0.7 * 6.19 // badBound
	maxOverrun = 2
	// maxUnexplained is the number of failures from which a release without a verdict is rolled
	// back even if one entry node has most of them: Limits.Rollback starts at 50 bad answers. A
	// cut of a node for 7 s gives 31 at 200 requests/s, 9 nodes and maxCanary.
	maxUnexplained = 50
	// speedEndpoints is the number of target endpoints from which slow answers are not
	// ascribed to one slow host.
	speedEndpoints = 4
	// widenPause is the time until answers are those of more endpoints: a step, its way, and
	// the slow answers that were on their way.
	widenPause = 1500 * time.Millisecond
	// staleTime is how long an order of an older row version is ignored: nodes follow the table
	// within it. After a restore of the store versions may be lower for good.
	staleTime = 10 * time.Second
)

// arrivals is what was sent in one step.
type arrivals struct {
	interval                   time.Duration
	old, target                int
	oldEndpoints, targetUsable int
}

// Machine conducts the order of one pool. Set Limits before use; the zero value has no order,
// and its steps only learn how the pool's answers are. It is not safe for concurrent use.
type Machine struct {
	Limits Limits

	order   Order
	state   State
	verdict Verdict
	reason  string
	plan    Plan
	judge   Judge
	// isWidened is set once more endpoints of the target are used because the few first ones
	// were slow, at widened.
	isWidened bool
	widened   time.Duration
	clear     time.Duration // for which nothing ran at the old release
	recent    [rateSteps]arrivals
	// usualLoad sums, over the old release's requests, how many requests per second and
	// endpoint there were: its history's durations are those under this load.
	usualLoad tally
	sent      map[ident.Release]int
	usable    int // the target's endpoints by the latest decision, 0: all
	// usables are those of the latest decisions, any of which the cells may still follow.
	usables [recentSteps]int
	// stale is the ignored order of an older row version, first seen at staleSince. Both are
	// not encoded: another node waits anew.
	stale      Order
	staleSince time.Duration
}

// Start takes an order at now, on the store's steady clock. The same order again changes
// nothing, but for an order that was rolled back and is given in a later row version, which
// is another try. Another target or ramp replaces the present order; where the target is the
// same or has most of the traffic, the share goes on from where it is. An order without a
// target withdraws the present one. Another order of an older row version is ignored until it is
// given again staleTime later.
func (m *Machine) Start(o Order, now time.Duration) {
	if m.isStale(o, now) {
		return
	}
	if o.Target == "" {
		m.withdraw()
		return
	}
	isSame := o.Target == m.order.Target
	isRetry := m.state == RolledBack && o.Version > m.order.Version
	if isSame && o.Ramp == m.order.Ramp && !isRetry {
		m.order.Version = max(m.order.Version, o.Version)
		return
	}
	if isSame && m.state == RolledBack && !isRetry {
		return
	}
	present, verdict := m.presentShare(o.Target), Undecided
	seen, sent, atCanary := 0, 0, 0.0
	if isSame && m.state != RolledBack {
		present, verdict = m.plan.share, m.verdict
		seen, sent, atCanary = m.plan.seen, m.plan.sent, m.plan.share
	} else {
		// The arrivals follow a share some seconds later.
		switch {
		case isSame:
			present = 0
		case m.order.Target != "":
			present = min(present, 1-m.plan.share)
		}
		m.judge.setTarget(o.Target)
		if present > canaryShare {
			verdict = Good // it has served the pool's requests until now
		}
	}
	m.order, m.state, m.verdict, m.clear, m.usable, m.isWidened = o, Running, verdict, 0, 0, false
	m.reason = fmt.Sprintf("%s: ordered", o.Target)
	m.plan = Plan{start: now, ramp: max(o.Ramp, MinRamp), seen: seen, sent: sent, sentBefore: sent, share: atCanary}
	if verdict == Good {
		m.plan.resume(present, now)
	}
}

// isStale reports that an order would replace the present one but was written before it, as a
// node reads it whose feed is behind.
func (m *Machine) isStale(o Order, now time.Duration) bool {
	isSame := o.Target == m.order.Target && o.Ramp == m.order.Ramp
	if o.Version == 0 || o.Version >= m.order.Version || isSame || m.state == Done {
		m.stale = Order{}
		return false
	}
	if m.stale != o {
		m.stale, m.staleSince = o, now
	}
	return now < m.staleSince+staleTime
}

// withdraw rolls the present order back.
func (m *Machine) withdraw() {
	if m.order.Target == "" || m.state == Done || m.state == RolledBack {
		return
	}
	m.end(RolledBack, 0, "the order was withdrawn")
}

func (m *Machine) end(s State, share float64, reason string) {
	m.state, m.plan.share, m.usable, m.reason = s, share, 0, reason
}

// Order returns the present order and the time at which it started; its Target is empty
// if there is none.
func (m *Machine) Order() (o Order, start time.Duration) { return m.order, m.plan.start }

// Step takes the counts since the last step and returns what holds from now on. It is called
// every 250 ms.
func (m *Machine) Step(s Sample, now time.Duration) Decision {
	m.measure(&s)
	m.judge.observe(&s, m.conditions(now), now)
	if m.order.Target == "" || m.state == Done || m.state == RolledBack {
		return m.decision()
	}
	for key, c := range s.Counts {
		if key.Release == m.order.Target {
			m.plan.answered += c.Answers
			m.plan.failures += c.Failures
		}
	}
	target := s.Endpoints[m.order.Target]
	if target > 0 && !m.plan.isReady {
		m.plan.ready, m.plan.isReady = now, true
	}
	f := m.weigh(m.judge.find(), &s, now)
	if m.state == RolledBack {
		return m.decision()
	}
	if target == 0 {
		m.clear = 0
		d := m.decision()
		d.State, d.Share, d.Reason = Running, 0, fmt.Sprintf("%s has no ready endpoint", m.order.Target)
		return d
	}
	old, _ := endpointsOf(&s, m.order.Target)
	m.plan.update(m.limits(), f, m.rate(), old, s.IsComplete, now)
	m.usable = m.usableEndpoints(&s)
	m.finish(&s)
	d := m.decision()
	if old == 0 && len(s.Endpoints) > 0 {
		d.Share, d.Endpoints = 1, 0 // requests could go nowhere else
	}
	return d
}

// weigh turns a finding into the state and verdict of the order.
func (m *Machine) weigh(f finding, s *Sample, now time.Duration) finding {
	m.reason = f.reason
	if f.verdict == Bad && f.isSpeed && !m.isWidened && m.usable > 0 && m.usable < speedEndpoints && !m.judge.paces.areEqual() {
		// The host of the few endpoints may be slow, not the release: all of them are used
		// and the tests of speed start again, once. Where the old release's hosts have equal
		// speed, that would only use up answers, and at a load too low to be slow.
		m.isWidened, m.widened = true, now
		m.judge.resetSpeed()
		f.verdict, f.isSuspicious = Undecided, true
	}
	waits := m.plan.isUnanswered() || m.judge.entries.isNodeSuspected(m.order.Target)
	if waits && f.verdict == Good {
		f.verdict = Undecided
	}
	f.isSuspicious = f.isSuspicious || waits
	if waits && m.verdict == Undecided && m.plan.failures >= maxUnexplained {
		f.verdict, f.reason = Bad, fmt.Sprintf("%s: %d answers failed, most by one entry node", m.order.Target, m.plan.failures)
		m.reason = f.reason
	}
	if f.verdict == Undecided && now >= m.plan.deadline() {
		f.isSuspicious = f.doubt >= lateDoubt || waits
		if (f.doubt >= lateDoubt || (waits && m.verdict == Undecided)) && now >= m.plan.deadline()+maxOverrun*m.plan.ramp {
			f.verdict = Bad
		}
	}
	if f.verdict == Undecided && !f.isSuspicious && m.plan.isReady && now >= m.plan.stepTime(0) {
		f.verdict = Good // too few answers for a verdict, and none speaks against it
	}
	switch {
	case f.verdict == Bad && m.oldRemains(s):
		m.verdict = Bad
		m.end(RolledBack, 0, f.reason)
	case f.verdict == Good && m.verdict == Undecided:
		m.verdict = Good
	}
	f.verdict = m.verdict
	return f
}

// oldRemains reports whether the old release has endpoints, or that they are not known.
func (m *Machine) oldRemains(s *Sample) bool {
	old, _ := endpointsOf(s, m.order.Target)
	return old > 0 || len(s.Endpoints) == 0
}

// usableEndpoints returns the number of target endpoints that may be used.
func (m *Machine) usableEndpoints(s *Sample) int {
	old, target := endpointsOf(s, m.order.Target)
	n := endpoints(m.plan.share, old, target)
	if !m.isWidened || n == 0 {
		return n
	}
	if n = max(n, speedEndpoints); m.plan.next == 0 || n >= target {
		return 0
	}
	return n
}

// finish moves on to Finishing at share 1, and to Done once nothing ran at the old release or was
// sent there in complete samples of clearTime.
func (m *Machine) finish(s *Sample) {
	if m.plan.share < 1 {
		return
	}
	if m.state == Running {
		m.state = Finishing
		return
	}
	if s.OldInFlight > 0 || m.recent[0].old > 0 || !s.IsComplete {
		m.clear = 0
	} else {
		m.clear += s.Interval
	}
	if m.clear >= clearTime {
		m.end(Done, 1, m.reason)
	}
}

func (m *Machine) decision() Decision {
	return Decision{Share: m.plan.share, Endpoints: m.usable, State: m.state, Reason: m.reason, Verdict: m.verdict}
}

func (m *Machine) limits() Limits {
	l := m.Limits
	if l.ExposeShare == 0 && l.ExposeSlack == 0 { // a slack of 0 beside a share is meant
		l.ExposeShare, l.ExposeSlack = 0.1, 50
	}
	return l
}

// measure adds a step's arrivals. Endpoints of releases that get no requests do not count as
// old: they carry no load.
func (m *Machine) measure(s *Sample) {
	if m.sent == nil {
		m.sent = map[ident.Release]int{}
	}
	for r, n := range m.sent {
		// The present share is that of the last seconds.
		if m.sent[r] = n - (n+rateSteps-1)/rateSteps; m.sent[r] == 0 {
			delete(m.sent, r)
		}
	}
	a := arrivals{interval: s.Interval}
	for r, n := range s.Arrivals {
		m.sent[r] += n
		if r == m.order.Target && r != "" {
			a.target += n
		} else {
			a.old += n
		}
	}
	for r, n := range s.Endpoints {
		if r == m.order.Target && r != "" {
			a.targetUsable = n
		} else if m.sent[r] > 0 {
			a.oldEndpoints += n
		}
	}
	copy(m.usables[1:], m.usables[:])
	m.usables[0] = m.usable
	for _, n := range m.usables {
		if n > 0 {
			a.targetUsable = min(a.targetUsable, n)
		}
	}
	m.usualLoad.halveAbove(maxLongTrials)
	m.plan.seen += a.old + a.target
	m.plan.sent += a.target
	copy(m.recent[1:], m.recent[:])
	m.recent[0] = a
}

// presentShare returns the part of the latest requests that a release got.
func (m *Machine) presentShare(r ident.Release) float64 {
	total := 0
	for _, n := range m.sent {
		total += n
	}
	return share(m.sent[r], total)
}

// rate returns the pool's requests per second.
func (m *Machine) rate() float64 {
	total, interval := 0, time.Duration(0)
	for _, a := range m.recent {
		total += a.old + a.target
		interval += a.interval
	}
	return float64(total) / max(interval.Seconds(), 0.001)
}

// conditions compares the loads per endpoint of the old release and of the target.
func (m *Machine) conditions(now time.Duration) conditions {
	var old, target, answers, interval float64
	for _, a := range m.recent[:recentSteps] {
		old += float64(a.old) / float64(max(a.oldEndpoints, 1))
		target += float64(a.target) / float64(max(a.targetUsable, 1))
		answers += float64(a.old)
		interval += a.interval.Seconds()
	}
	if interval > 0 && old > 0 {
		m.usualLoad.add(tally{trials: answers, adverse: answers * old / interval})
	}
	c := conditions{historyOnly: old < minComparable*target}
	c.ignoreSpeed = (c.historyOnly && m.isOverloaded()) || (m.isWidened && now >= m.widened && now < m.widened+widenPause)
	return c
}

// isOverloaded reports that within the recent steps the target had more load than the old
// release had on average.
func (m *Machine) isOverloaded() bool {
	if m.usualLoad.trials == 0 {
		return true
	}
	// The pool's requests vary less than the target's part of them.
	var target, total float64
	for _, a := range m.recent {
		target += float64(a.target)
		total += float64(a.old + a.target)
	}
	if target == 0 {
		return false
	}
	usual := m.usualLoad.adverse / m.usualLoad.trials * total / target
	for n := range rateSteps - loadSteps + 1 {
		var sent, expected float64
		for _, a := range m.recent[n : n+loadSteps] {
			sent += float64(a.old + a.target)
			expected += usual * a.interval.Seconds() * float64(a.targetUsable)
		}
		if sent > maxLoad*expected+loadNoise*math.Sqrt(expected) {
			return true
		}
	}
	return false
}

// endpointsOf returns the numbers of ready endpoints of the old releases and of the target.
func endpointsOf(s *Sample, release ident.Release) (old, target int) {
	for r, n := range s.Endpoints {
		if r == release && r != "" {
			target += n
		} else {
			old += n
		}
	}
	return old, target
}
