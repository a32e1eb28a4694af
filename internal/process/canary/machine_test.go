package canary

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
)

// pool feeds a Machine with steps of a pool of 200 requests per second.
type pool struct {
	*Machine
	now      time.Duration
	sample   Sample // its Endpoints, IsComplete, OldInFlight and Lost are used
	failures float64
	last     Decision
}

func newPool() *pool {
	return &pool{Machine: &Machine{}, sample: Sample{
		IsComplete: true, OldInFlight: 1, Endpoints: map[ident.Release]int{oldName: 10, newName: 10},
	}}
}

func (p *pool) order(target ident.Release, ramp time.Duration, version int64) {
	p.Start(Order{Pool: "p", Target: target, Ramp: ramp, Version: version}, p.now)
}

// run makes steps until the time is over or until returns true.
func (p *pool) run(d time.Duration, until func(Decision) bool) Decision {
	for end := p.now + d; p.now < end; {
		p.now += stepLength
		s := p.sample
		s.Interval = stepLength
		target, _ := p.Order()
		share := p.last.Share
		toNew := int(50 * share)
		s.Arrivals = map[ident.Release]int{target.Target: toNew}
		other := oldName
		if target.Target == oldName {
			other = newName
		}
		s.Arrivals[other] += 50 - toNew
		s.Counts = map[Key]Count{}
		for release, n := range s.Arrivals {
			c := Count{Answers: n}
			if release == target.Target {
				c.Failures = int(p.failures * float64(n))
			}
			for range c.Answers - c.Failures {
				c.Latency.Observe(50 * time.Millisecond)
			}
			s.Counts[Key{release, "/r", 4}] = c
		}
		p.last = p.Step(s, p.now)
		if until != nil && until(p.last) {
			break
		}
	}
	return p.last
}

func isFull(d Decision) bool { return d.Share == 1 }

// TestTargetWithoutEndpoints guards against requests for a release that has no endpoint, and
// against a ramp that has passed before the first endpoint is ready.
func TestTargetWithoutEndpoints(t *testing.T) {
	p := newPool()
	p.sample.Endpoints = map[ident.Release]int{oldName: 10}
	p.order(newName, 12*time.Second, 1)
	d := p.run(11*time.Second, nil)
	qt.Check(t, d.State, qt.Equals, Running)
	qt.Check(t, d.Share, qt.Equals, 0.0)
	p.sample.Endpoints = map[ident.Release]int{oldName: 10, newName: 10}
	d = p.run(time.Second, nil)
	qt.Check(t, d.Share > 0 && d.Share <= canaryShare, qt.IsTrue, qt.Commentf("share %v", d.Share))
	qt.Check(t, p.run(20*time.Second, isFull).Share, qt.Equals, 1.0)
	p.sample.Endpoints = map[ident.Release]int{oldName: 10}
	d = p.run(time.Second, nil)
	qt.Check(t, d.Share, qt.Equals, 0.0)
	qt.Check(t, d.State, qt.Equals, Running)
}

// TestDone guards against done while requests run at the old release, or while it is unknown.
func TestDone(t *testing.T) {
	p := newPool()
	p.order(newName, 12*time.Second, 1)
	d := p.run(12*time.Second, isFull)
	qt.Check(t, p.now <= 10*time.Second, qt.IsTrue, qt.Commentf("share 1 after %v", p.now))
	qt.Check(t, d.State, qt.Equals, Finishing)
	qt.Check(t, p.run(20*time.Second, nil).State, qt.Equals, Finishing)
	p.sample.OldInFlight, p.sample.IsComplete = 0, false
	qt.Check(t, p.run(5*time.Second, nil).State, qt.Equals, Finishing)
	p.sample.IsComplete = true
	qt.Check(t, p.run(clearTime-stepLength, nil).State, qt.Equals, Finishing)
	p.sample.OldInFlight = 1
	p.run(stepLength, nil)
	p.sample.OldInFlight = 0
	qt.Check(t, p.run(clearTime-stepLength, nil).State, qt.Equals, Finishing)
	d = p.run(stepLength, nil)
	qt.Check(t, d.State, qt.Equals, Done)
	qt.Check(t, d.Share, qt.Equals, 1.0)
}

// TestIncomplete guards against a share that rises while some nodes' counts are unknown.
func TestIncomplete(t *testing.T) {
	p := newPool()
	p.order(newName, 12*time.Second, 1)
	share := p.run(4*time.Second, nil).Share
	p.sample.IsComplete = false
	qt.Check(t, p.run(20*time.Second, nil).Share, qt.Equals, share)
	p.failures = 0.5
	qt.Check(t, p.run(10*time.Second, nil).State, qt.Equals, RolledBack)
}

// TestBadWhileFinishing guards against a release that turns bad at share 1 and stays, and
// against a rollback to endpoints that are gone.
func TestBadWhileFinishing(t *testing.T) {
	for _, old := range []int{10, 0} {
		p := newPool()
		p.order(newName, 12*time.Second, 1)
		p.run(12*time.Second, isFull)
		p.sample.Endpoints = map[ident.Release]int{oldName: old, newName: 10}
		p.failures = 0.2
		d := p.run(3*time.Second, nil)
		if old > 0 {
			qt.Check(t, d.State, qt.Equals, RolledBack)
			qt.Check(t, d.Share, qt.Equals, 0.0)
			qt.Check(t, d.Verdict, qt.Equals, Bad)
		} else {
			qt.Check(t, d.State, qt.Equals, Finishing)
		}
	}
}

// TestOrders guards against a ramp that runs twice or backwards when an order is given
// again, changed or withdrawn.
func TestOrders(t *testing.T) {
	p := newPool()
	p.order(newName, 0, 1)
	_, start := p.Order()
	qt.Check(t, p.plan.ramp, qt.Equals, MinRamp)
	share := p.run(3*time.Second, nil).Share
	p.order(newName, 0, 2)
	_, again := p.Order()
	qt.Check(t, again, qt.Equals, start, qt.Commentf("the same order in another row version"))
	share = max(share, p.run(stepLength, nil).Share)

	p.order(newName, 30*time.Second, 3)
	d := p.run(stepLength, nil)
	qt.Check(t, d.Share >= share && share > canaryShare, qt.IsTrue, qt.Commentf("another ramp: share %v after %v", d.Share, share))

	p.run(30*time.Second, isFull)
	p.run(5*time.Second, nil)
	p.order(oldName, 12*time.Second, 4)
	d = p.run(2*stepLength, nil)
	qt.Check(t, d.Share <= canaryShare, qt.IsTrue, qt.Commentf("back to the old release, which has no traffic: share %v", d.Share))
	p.order(newName, 12*time.Second, 5)
	d = p.run(2*stepLength, nil)
	qt.Check(t, d.Share > 0.5, qt.IsTrue, qt.Commentf("to the release that has the traffic: share %v", d.Share))

	p.order("", 0, 6)
	d = p.run(stepLength, nil)
	qt.Check(t, d.State, qt.Equals, RolledBack)
	qt.Check(t, d.Share, qt.Equals, 0.0)
	p.order(newName, 12*time.Second, 5)
	qt.Check(t, p.run(stepLength, nil).State, qt.Equals, RolledBack, qt.Commentf("an older row version"))
	p.order(newName, 12*time.Second, 7)
	qt.Check(t, p.run(stepLength, nil).State, qt.Equals, Running, qt.Commentf("another try"))
}

// TestRetry guards against another try of a bad release that starts from the share at which
// it was rolled back.
func TestRetry(t *testing.T) {
	p := newPool()
	p.order(newName, 12*time.Second, 1)
	p.run(12*time.Second, isFull)
	p.failures = 0.5
	p.run(10*time.Second, func(d Decision) bool { return d.State == RolledBack })
	qt.Assert(t, p.last.State, qt.Equals, RolledBack)
	p.order(newName, 12*time.Second, 2)
	d := p.run(stepLength, nil)
	qt.Check(t, d.Verdict, qt.Equals, Undecided)
	qt.Check(t, d.Share <= canaryShare, qt.IsTrue, qt.Commentf("share %v", d.Share))
	qt.Check(t, p.run(5*time.Second, nil).State, qt.Equals, RolledBack)
}

// TestLostEndpoints guards against a crash of several endpoints that rolls a good release
// back, and against a release whose endpoints crash again and again that stays.
func TestLostEndpoints(t *testing.T) {
	p := newPool()
	p.order(newName, 12*time.Second, 1)
	p.run(3*time.Second, nil)
	p.sample.Lost = map[ident.Release]int{newName: 4, oldName: 2}
	p.run(stepLength, nil)
	p.sample.Lost = nil
	qt.Check(t, p.run(9*time.Second, nil).State, qt.Equals, Finishing)

	p = newPool()
	p.order(newName, 12*time.Second, 1)
	p.run(3*time.Second, nil)
	for range 5 {
		p.sample.Lost = map[ident.Release]int{newName: 1}
		p.run(stepLength, nil)
		p.sample.Lost = nil
		p.run(stepLength, nil)
	}
	qt.Check(t, p.last.State, qt.Equals, RolledBack)
}

// TestEntryNodes guards against a good release that is rolled back since one entry node cannot
// reach it, and against failures that are not listed by entry node and never count.
func TestEntryNodes(t *testing.T) {
	for _, test := range []struct {
		name    string
		failing func(node, request int) bool
		isKnown bool
		state   State
	}{
		{"one node alone", func(node, _ int) bool { return node == 0 }, true, Running},
		{"all nodes", func(_, request int) bool { return request%5 == 0 }, true, RolledBack},
		{"nodes not separated", func(_, request int) bool { return request%5 == 0 }, false, RolledBack},
	} {
		m := &Machine{}
		m.Start(Order{Pool: "p", Target: newName, Ramp: 30 * time.Second, Version: 1}, 0)
		var d Decision
		for step := range 40 {
			now := time.Duration(step+1) * stepLength
			s := Sample{Interval: stepLength, IsComplete: true, Counts: map[Key]Count{}, Entries: map[Entry]Tally{}}
			s.Arrivals = map[ident.Release]int{oldName: 92, newName: 9}
			s.Endpoints = map[ident.Release]int{oldName: 10, newName: 10}
			old, target := Count{Answers: 92}, Count{}
			for node, id := range nodeNames {
				s.Entries[Entry{id, oldName}] = Tally{Answers: 10}
				entry := Tally{Answers: 1}
				target.Answers++
				if step > 8 && test.failing(node, step+node) {
					entry.Failures++
					target.Failures++
				}
				if !test.isKnown {
					entry.Failures = 0
				}
				s.Entries[Entry{id, newName}] = entry
			}
			s.Counts[Key{oldName, "/r", 4}], s.Counts[Key{newName, "/r", 4}] = old, target
			d = m.Step(s, now)
		}
		qt.Check(t, d.State, qt.Equals, test.state, qt.Commentf("%s: %s", test.name, d.Reason))
	}
}

// TestEncode guards against a state that another node does not continue in the same way, and
// against damaged bytes that are taken or that panic.
func TestEncode(t *testing.T) {
	t.Parallel()
	p := newPool()
	p.order(newName, 12*time.Second, 1)
	for p.last.State != Done {
		p.run(stepLength, nil)
		if isFull(p.last) {
			p.sample.OldInFlight = 0
		}
		next := &Machine{}
		qt.Assert(t, next.Decode(p.Encode()), qt.IsNil)
		qt.Assert(t, next.Encode(), qt.DeepEquals, p.Encode())
		other := &pool{Machine: next, now: p.now, sample: p.sample, last: p.last}
		before := p.Encode()
		qt.Assert(t, other.run(stepLength, nil), qt.DeepEquals, p.run(stepLength, nil))
		qt.Assert(t, other.Encode(), qt.DeepEquals, p.Encode())
		for n := range before {
			qt.Assert(t, next.Decode(before[:n]), qt.IsNotNil, qt.Commentf("%d of %d bytes", n, len(before)))
		}
		qt.Assert(t, next.Decode(append(before, 0)), qt.IsNotNil)
		qt.Assert(t, next.Encode(), qt.DeepEquals, p.Encode(), qt.Commentf("state after bytes that were refused"))
	}
	const seed = 20261204
	t.Logf("seed %d", seed)
	random, whole := rand.New(rand.NewPCG(seed, 0)), p.Encode()
	for range 2000 {
		damaged := append([]byte{}, whole...)
		damaged[random.IntN(len(damaged))] ^= byte(1 + random.IntN(255))
		if m := new(Machine); m.Decode(damaged) == nil {
			m.Step(p.sample, p.now)
		}
	}
}

// TestEncodeSize guards against a state that does not fit a row of the store.
func TestEncodeSize(t *testing.T) {
	t.Parallel()
	p := newPool()
	p.order(newName, 12*time.Second, 1)
	p.run(stepLength, nil)
	random := rand.New(rand.NewPCG(1, 0))
	for i := range 100 {
		s := p.sample
		s.Interval, s.Counts = stepLength, map[Key]Count{}
		for class := range uint8(20) {
			c := Count{Answers: 300}
			for range c.Answers {
				c.Latency.Observe(time.Duration(random.Float64() * float64(time.Minute)))
				c.InterToken.Observe(time.Duration(random.Float64() * float64(time.Second)))
			}
			s.Counts[Key{oldName, string(rune('a' + i%26)), class}] = c
		}
		p.now += stepLength
		p.Step(s, p.now)
		encoded := p.Encode()
		qt.Assert(t, len(encoded) <= maxEncoded, qt.IsTrue, qt.Commentf("%d bytes", len(encoded)))
		qt.Assert(t, new(Machine).Decode(encoded), qt.IsNil)
	}
}
