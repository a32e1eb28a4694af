package node

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/canary"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/version/config"
)

const testPool = ident.PoolID("platform/app")

// TestReleaseGate guards against endpoints of a new release that are used before the orders up
// to their rows are known, and against a release that stays in use for its next order when
// all of its endpoints have gone in between.
func TestReleaseGate(t *testing.T) {
	var g releaseGate
	old := roster.Instance{ID: "o", Pool: testPool, Release: "v1"}
	target := roster.Instance{ID: "t", Pool: testPool, Release: "v2"}
	never := func(ident.PoolID) bool { return false }
	g.observe(old, store.Position{Version: 3})
	g.observe(target, store.Position{Version: 12})
	g.observe(target, store.Position{Version: 20})
	admitted, areWaiting := g.admitThrough(store.Position{Version: 11}, never)
	qt.Assert(t, admitted, qt.HasLen, 1)
	qt.Check(t, admitted[0], qt.Equals, poolRelease{testPool, "v1"})
	qt.Check(t, areWaiting, qt.IsTrue)
	qt.Check(t, g.admits(target), qt.IsFalse)
	_, areWaiting = g.admitThrough(store.Position{Era: 1, Version: 30}, never)
	qt.Check(t, areWaiting, qt.IsTrue, qt.Commentf("versions of two eras were compared"))
	_, areWaiting = g.admitThrough(store.Position{Version: 12}, func(ident.PoolID) bool { return true })
	qt.Check(t, areWaiting, qt.IsTrue, qt.Commentf("the pool's order cannot be read"))
	_, areWaiting = g.admitThrough(store.Position{Version: 12}, never)
	qt.Check(t, areWaiting, qt.IsFalse)
	qt.Check(t, g.admits(target), qt.IsTrue)
	leaving := target
	leaving.Leaving = true
	g.retain(map[string]roster.Instance{"o": old, "t": leaving})
	qt.Check(t, g.admits(old), qt.IsTrue)
	g.observe(target, store.Position{Version: 40})
	qt.Check(t, g.admits(target), qt.IsFalse)
}

// TestRolloutCountsResend guards against answers that are lost with a reply, and against such
// that are counted twice.
func TestRolloutCountsResend(t *testing.T) {
	var c rolloutCounts
	now := time.Unix(1000, 0)
	c.granted(testPool, "v1", now) // rollouts are not conducted
	c.isOn = true
	total := func(fencing, sequence, received uint64) int {
		sample, _ := c.collect(wire.RolloutStep{Pool: string(testPool), Fencing: fencing, Sequence: sequence, Received: received}, now)
		return sample.Arrivals["v1"]
	}
	c.granted(testPool, "v1", now)
	qt.Check(t, total(1, 1, 0), qt.Equals, 1)
	c.granted(testPool, "v1", now)
	qt.Check(t, total(1, 2, 0), qt.Equals, 2, qt.Commentf("the reply to step 1 was lost"))
	c.granted(testPool, "v1", now)
	qt.Check(t, total(1, 3, 2), qt.Equals, 1, qt.Commentf("that to step 2 has arrived"))
	qt.Check(t, total(2, 1, 0), qt.Equals, 1, qt.Commentf("another conductor does not have that to step 3"))
	qt.Check(t, total(2, 2, 1), qt.Equals, 0)
}

// TestRolloutCountsHistory guards against a first step that lacks the answers before the order,
// or has those of long ago.
func TestRolloutCountsHistory(t *testing.T) {
	c := rolloutCounts{isOn: true}
	start := time.Unix(1000, 0)
	for i := range 100 {
		c.granted(testPool, "v1", start.Add(time.Duration(i)*time.Second))
	}
	step := wire.RolloutStep{Pool: string(testPool), Fencing: 1, Sequence: 1}
	sample, span := c.collect(step, start.Add(100*time.Second))
	got := sample.Arrivals["v1"]
	qt.Check(t, got >= 15 && got <= 31, qt.IsTrue, qt.Commentf("%d requests of the last %v", got, span))
	qt.Check(t, span >= 15*time.Second && span <= 31*time.Second, qt.IsTrue, qt.Commentf("%v", span))
	c.granted(testPool, "v1", start.Add(101*time.Second))
	step.Sequence, step.Received = 2, 1
	sample, span = c.collect(step, start.Add(101*time.Second))
	qt.Check(t, sample.Arrivals["v1"], qt.Equals, 1)
	qt.Check(t, span, qt.Equals, time.Second)
}

// TestRolloutCountsBroken guards against a crash of an endpoint that counts once for each
// request that it ended, and against failures of a release that hide behind that rule.
func TestRolloutCountsBroken(t *testing.T) {
	c := rolloutCounts{isOn: true}
	start := time.Unix(1000, 0)
	collect := func(sequence, received uint64, after time.Duration) canary.Sample {
		s, _ := c.collect(wire.RolloutStep{Pool: string(testPool), Fencing: 1, Sequence: sequence, Received: received}, start.Add(after))
		return s
	}
	broke := func(endpoint ident.Endpoint, after time.Duration, isUnreached bool) {
		c.answered(testPool, sched.Answer{Release: "v2", Endpoint: endpoint, IsNew: true, Failed: true, Broke: true, Unreached: isUnreached}, start.Add(after))
	}
	for range 5 {
		broke("a", 0, false)
	}
	for i := range 5 {
		broke("a", time.Duration(i+1)*time.Second, true)
	}
	s := collect(1, 0, 5*time.Second)
	qt.Check(t, s.Lost["v2"], qt.Equals, 2, qt.Commentf("the crash, and that it cannot be reached"))
	qt.Check(t, s.Counts, qt.HasLen, 0)
	c.answered(testPool, sched.Answer{Release: "v2", Endpoint: "a", IsNew: true, Latency: time.Millisecond}, start.Add(6*time.Second))
	for i := range 4 {
		broke("a", time.Duration(6+i)*time.Second, false)
		broke("b", time.Duration(6+i)*time.Second, false)
	}
	c.answered(testPool, sched.Answer{Release: "v2", Endpoint: "a", IsNew: true, Failed: true, Route: "r", Node: "n"}, start.Add(9*time.Second))
	s = collect(2, 1, 9*time.Second)
	qt.Check(t, s.Lost["v2"], qt.Equals, 8)
	qt.Check(t, s.Counts[canary.Key{Release: "v2", Route: "r"}].Failures, qt.Equals, 1)
	qt.Check(t, s.Entries[canary.Entry{Node: "n", Release: "v2"}], qt.Equals, canary.Tally{Answers: 1, Failures: 1})
}

// TestRolloutPaces guards against durations that are not separated by endpoint, and against replies
// that grow with the number of endpoints beyond a message.
func TestRolloutPaces(t *testing.T) {
	c := rolloutCounts{isOn: true}
	start := time.Unix(1000, 0)
	answer := func(endpoint ident.Endpoint) {
		c.answered(testPool, sched.Answer{Release: "v1", Endpoint: endpoint, Route: "r", Class: 3, IsNew: true, Latency: time.Second}, start)
	}
	for range 2 {
		answer("a")
	}
	c.answered(testPool, sched.Answer{Release: "v1", Endpoint: "b", IsNew: true, Failed: true}, start)
	for sequence := range uint64(4) { // of which no reply arrives
		s, _ := c.collect(wire.RolloutStep{Pool: string(testPool), Fencing: 1, Sequence: sequence + 1}, start)
		if sequence == 0 {
			key := canary.PaceKey{Key: canary.Key{Release: "v1", Route: "r", Class: 3}, Endpoint: "a"}
			qt.Check(t, s.Paces, qt.DeepEquals, map[canary.PaceKey]canary.Pace{key: {Answers: 2, Buckets: 2 * canary.BucketOf(time.Second)}})
		}
		qt.Check(t, len(s.Paces) <= maxPaces, qt.IsTrue, qt.Commentf("%d paces", len(s.Paces)))
		for i := range maxPaces {
			answer(ident.Endpoint(fmt.Sprint(sequence, "-", i)))
		}
	}
}

// TestEffectiveRollout guards against a target that gets requests without a step of the
// conductor that holds, and against an old release that gets some again at the end.
func TestEffectiveRollout(t *testing.T) {
	now := time.Unix(1000, 0)
	order := canary.Order{Pool: testPool, Target: "v2"}
	both := map[ident.Release]int{"v1": 1, "v2": 1}
	step := func(state canary.State, share float64) wire.RolloutStep {
		return wire.RolloutStep{Target: "v2", State: uint8(state), Share: share}
	}
	for _, test := range []struct {
		name  string
		p     poolRollout
		age   time.Duration
		ready map[ident.Release]int
		share float64 // -1: no restriction
	}{
		{"no order", poolRollout{problem: "unreadable"}, 0, both, -1},
		{"no step yet", poolRollout{order: order}, 0, both, 0},
		{"step", poolRollout{order: order, hasStep: true, step: step(canary.Running, 0.3)}, time.Second, both, 0.3},
		{"old step", poolRollout{order: order, hasStep: true, step: step(canary.Running, 0.3)}, 1600 * time.Millisecond, both, 0},
		{"old step at the end", poolRollout{order: order, hasStep: true, step: step(canary.Finishing, 1)}, time.Hour, both, 1},
		{"done", poolRollout{order: order, hasStep: true, step: step(canary.Done, 1)}, time.Hour, both, 1},
		{"rolled back", poolRollout{order: order, hasStep: true, step: step(canary.RolledBack, 0)}, 0, both, 0},
		{"step of another order", poolRollout{order: canary.Order{Target: "v3"}, hasStep: true, step: step(canary.Done, 1)}, 0, both, 0},
		{"only release", poolRollout{order: order, isTrivial: true}, 0, both, -1},
		{"withdrawn", poolRollout{order: order, isWithdrawn: true, hasStep: true, step: step(canary.Running, 0.3)}, 0, both, 0},
		{"withdrawn after the end", poolRollout{order: order, isWithdrawn: true, hasStep: true, step: step(canary.Done, 1)}, 0, both, -1},
		{"withdrawn, nothing else", poolRollout{order: order, isWithdrawn: true, hasStep: true, step: step(canary.RolledBack, 0)}, 0, map[ident.Release]int{"v2": 1}, -1},
	} {
		test.p.stepAt = now.Add(-test.age)
		r, _ := test.p.effective(test.ready, now)
		got := -1.0
		if r != nil {
			got = r.Share
		}
		qt.Check(t, got, qt.Equals, test.share, qt.Commentf(test.name))
	}
}

// TestRolloutRowOrder guards against two conductors that both take themselves for the latest.
func TestRolloutRowOrder(t *testing.T) {
	mine := rolloutRow{Fencing: 4, Conductor: "a"}
	qt.Check(t, rolloutRow{Fencing: 5, Conductor: "b"}.isNewerThan(mine), qt.IsTrue)
	qt.Check(t, rolloutRow{Fencing: 4, Conductor: "b"}.isNewerThan(mine), qt.IsTrue)
	qt.Check(t, rolloutRow{Fencing: 4, Conductor: "a", Write: 9}.isNewerThan(mine), qt.IsFalse)
	qt.Check(t, rolloutRow{Fencing: 3, Conductor: "b"}.isNewerThan(mine), qt.IsFalse)
	qt.Check(t, rolloutRow{}.isNewerThan(mine), qt.IsFalse)
}

// TestTakeStepFencing guards against a node that follows a conductor which another one has
// replaced, or a step that is overtaken by a later one.
func TestTakeStepFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{Process: config.Process{Name: "n0"}, Tree: &config.Tree{}, Store: &store.Client{}, Log: log.New(io.Discard)}
		n.Prepare(&link.Mux{}, nil)
		n.rollouts.mu.Lock()
		n.rolloutOf(testPool).order = canary.Order{Pool: testPool, Target: "v2"}
		n.rollouts.mu.Unlock()
		take := func(conductor string, fencing, sequence uint64, target string, share float64) bool {
			return n.takeStep(wire.RolloutStep{
				Pool: string(testPool), Target: target, Conductor: conductor, Fencing: fencing, Sequence: sequence, Share: share,
			}).IsApplied
		}
		qt.Check(t, take("a", 2, 5, "v2", 0.1), qt.IsTrue)
		qt.Check(t, take("a", 2, 4, "v2", 0.2), qt.IsFalse)
		qt.Check(t, take("b", 2, 6, "v2", 0.3), qt.IsFalse)
		qt.Check(t, take("b", 1, 9, "v2", 0.4), qt.IsFalse)
		qt.Check(t, take("a", 2, 6, "v3", 0.5), qt.IsFalse)
		qt.Check(t, n.cells.Rollout(testPool).Share, qt.Equals, 0.1)
		qt.Check(t, take("b", 3, 1, "v2", 0.6), qt.IsTrue)
		qt.Check(t, n.cells.Rollout(testPool).Share, qt.Equals, 0.6)
		n.Stop()
	})
}
