package canary

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
)

func bothReady() map[ident.Release]int { return map[ident.Release]int{oldName: 10, newName: 10} }

func answers(n, failures int) Count {
	c := Count{Answers: n, Failures: failures}
	for range n - failures {
		c.Latency.Observe(50 * time.Millisecond)
	}
	return c
}

// TestUnanswered guards against a release that never answers and gets all requests, since there
// are no answers that a test could count.
func TestUnanswered(t *testing.T) {
	m := &Machine{}
	m.Start(Order{Pool: "p", Target: newName, Ramp: 12 * time.Second, Version: 1}, 0)
	var d Decision
	for i := range 180 {
		n := int(50 * d.Share)
		s := Sample{Interval: stepLength, IsComplete: true, Endpoints: bothReady()}
		s.Arrivals = map[ident.Release]int{oldName: 50 - n, newName: n}
		s.Counts = map[Key]Count{{oldName, "/r", 4}: answers(50-n, 0)}
		d = m.Step(s, time.Duration(i+1)*stepLength)
		qt.Assert(t, d.Share <= 0.1, qt.IsTrue, qt.Commentf("share %v at step %d", d.Share, i))
	}
	qt.Check(t, d.State, qt.Equals, RolledBack, qt.Commentf("%s", d.Reason))
}

// TestBadByOneNode guards against a release whose only bad route is used by one entry node, as if
// that node were cut off: its share rose to 1.
func TestBadByOneNode(t *testing.T) {
	m := &Machine{}
	m.Start(Order{Pool: "p", Target: newName, Ramp: 12 * time.Second, Version: 1}, 0)
	var d Decision
	bad, deficit := 0, 0.0
	for i := 0; i < 180 && d.State < Done; i++ {
		s := Sample{Interval: stepLength, IsComplete: true, Endpoints: bothReady()}
		s.Arrivals, s.Counts, s.Entries = map[ident.Release]int{}, map[Key]Count{}, map[Entry]Tally{}
		for node, id := range nodeNames {
			for range 10 {
				release, route, failures := oldName, "/a", 0
				if deficit += d.Share; deficit >= 1 {
					deficit--
					release = newName
				}
				if node == 0 {
					route = "/b"
				}
				if node == 0 && release == newName {
					failures = 1
					bad++
				}
				s.Arrivals[release]++
				key, entry := Key{release, route, 4}, Entry{id, release}
				c, tally := s.Counts[key], s.Entries[entry]
				c.Add(answers(1, failures))
				s.Counts[key] = c
				s.Entries[entry] = Tally{tally.Answers + 1, tally.Failures + failures}
			}
		}
		d = m.Step(s, time.Duration(i+1)*stepLength)
		qt.Assert(t, d.Share <= 0.1, qt.IsTrue, qt.Commentf("share %v at step %d", d.Share, i))
	}
	qt.Check(t, d.State, qt.Equals, RolledBack, qt.Commentf("%s", d.Reason))
	qt.Check(t, bad <= 55, qt.IsTrue, qt.Commentf("%d bad answers", bad))
}

// TestOldArrivals guards against done while requests are still sent to the old release, although
// none was in flight when the nodes counted.
func TestOldArrivals(t *testing.T) {
	p := newPool()
	p.order(newName, 12*time.Second, 1)
	p.run(12*time.Second, isFull)
	s := Sample{Interval: stepLength, IsComplete: true, Endpoints: bothReady()}
	for range 20 {
		p.now += stepLength
		s.Arrivals = map[ident.Release]int{oldName: 5, newName: 45}
		qt.Assert(t, p.Step(s, p.now).State, qt.Equals, Finishing)
	}
}

// TestClearTime guards against done before grants have expired, when delayed steps follow
// each other at once.
func TestClearTime(t *testing.T) {
	p := newPool()
	p.order(newName, 12*time.Second, 1)
	p.run(12*time.Second, isFull)
	s := Sample{Interval: time.Millisecond, IsComplete: true, Endpoints: bothReady()}
	for range 20 {
		p.now += s.Interval
		qt.Assert(t, p.Step(s, p.now).State, qt.Equals, Finishing)
	}
}

// TestDecodeOutOfRange guards against stored states that Step cannot continue: a share that is no
// number stays for good, and routes without the sum of all made Step panic.
func TestDecodeOutOfRange(t *testing.T) {
	for name, change := range map[string]func(*Machine){
		"NaN share":        func(m *Machine) { m.plan.share, m.plan.next = math.NaN(), 1 },
		"infinite test":    func(m *Machine) { m.usualLoad.trials = math.Inf(1) },
		"share above 1":    func(m *Machine) { m.plan.share = 1.5 },
		"negative count":   func(m *Machine) { m.plan.sent = -1 },
		"negative ramp":    func(m *Machine) { m.plan.ramp = -time.Second },
		"no sum of routes": func(m *Machine) { m.judge.routes = map[string]*route{"/r": {}} },
		"too many routes": func(m *Machine) {
			m.judge.routes = map[string]*route{allRoutes: {}}
			for i := range maxRoutes {
				m.judge.routes[fmt.Sprint(i)] = &route{}
			}
		},
		"larger than a row": func(m *Machine) { m.reason = string(make([]byte, 70_000)) },
	} {
		m := &Machine{}
		m.Start(Order{Pool: "p", Target: newName, Ramp: 12 * time.Second, Version: 1}, 0)
		qt.Assert(t, new(Machine).Decode(m.Encode()), qt.IsNil)
		change(m)
		qt.Check(t, new(Machine).Decode(m.Encode()), qt.IsNotNil, qt.Commentf("%s", name))
	}
}

// TestDiscountedSlowness guards against a negative number of adverse answers, which spoke for
// a release, where the failures that are discounted were answered in earlier steps.
func TestDiscountedSlowness(t *testing.T) {
	var r, all, sound route
	r.addTarget(&[numKinds]tally{failed: {6, 5}, slow: {1, 0}}, &all, 0)
	sound.addTarget(&[numKinds]tally{slow: {1, 0}}, &all, 1)
	qt.Check(t, r.tests[slow].seen.adverse, qt.Equals, 0.0)
	qt.Check(t, r.tests[slow].ratio, qt.Equals, sound.tests[slow].ratio)
}

// TestRampChangedAtCanary guards against a share that falls to 0, and a count of what the target
// got that starts anew, when the ramp is changed before a verdict.
func TestRampChangedAtCanary(t *testing.T) {
	p := newPool()
	p.order(newName, 12*time.Second, 5)
	share := p.run(2*time.Second, nil).Share
	qt.Assert(t, share > 0, qt.IsTrue)
	seen, sent := p.plan.seen, p.plan.sent
	p.sample.IsComplete = false
	p.order(newName, 20*time.Second, 6)
	qt.Check(t, p.run(stepLength, nil).Share, qt.Equals, share)
	qt.Check(t, p.plan.seen > seen && p.plan.sent > sent, qt.IsTrue, qt.Commentf("%d of %d", p.plan.sent, p.plan.seen))
}

// TestNoOldEndpoints guards against requests that wait for an old release whose endpoints are gone,
// and against a plan that goes on from share 1 once they are back.
func TestNoOldEndpoints(t *testing.T) {
	p := newPool()
	p.order(newName, 12*time.Second, 1)
	share := p.run(2*time.Second, nil).Share
	p.sample.Endpoints = map[ident.Release]int{newName: 10}
	d := p.run(stepLength, nil)
	qt.Check(t, d.Share, qt.Equals, 1.0)
	qt.Check(t, d.Endpoints, qt.Equals, 0)
	qt.Check(t, d.State, qt.Equals, Running)
	p.sample.Endpoints = bothReady()
	d = p.run(stepLength, nil)
	qt.Check(t, d.Share <= share, qt.IsTrue, qt.Commentf("share %v after %v", d.Share, share))
	qt.Check(t, p.run(20*time.Second, isFull).Share, qt.Equals, 1.0)
}

// TestOlderVersion guards against an order that a node reads late and that replaces the newer one,
// and against one that is never taken after the store was restored with lower versions.
func TestOlderVersion(t *testing.T) {
	for _, older := range []Order{{"p", oldName, 12 * time.Second, 3}, {"p", newName, 20 * time.Second, 3}, {"p", "", 0, 3}} {
		p := newPool()
		p.order(newName, 12*time.Second, 5)
		p.run(2*time.Second, nil)
		present, _ := p.Order()
		p.Start(older, p.now)
		p.run(9*time.Second, nil)
		p.Start(older, p.now)
		o, _ := p.Order()
		qt.Check(t, o, qt.Equals, present)
		qt.Check(t, p.last.State < Done, qt.IsTrue)
		p.Start(present, p.now) // seen again: the older one was late
		p.run(2*time.Second, nil)
		p.Start(older, p.now)
		o, _ = p.Order()
		qt.Check(t, o, qt.Equals, present)
		p.run(10*time.Second, nil)
		p.Start(older, p.now)
		if older.Target == "" {
			qt.Check(t, p.run(stepLength, nil).State, qt.Equals, RolledBack)
			continue
		}
		o, _ = p.Order()
		qt.Check(t, o, qt.Equals, older)
	}
}
