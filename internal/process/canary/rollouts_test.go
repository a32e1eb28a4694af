package canary

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	simSeeds = flag.Uint64("canary.seeds", 6, "number of seeds of each kind of rollout")
	simFirst = flag.Uint64("canary.first", 0, "the first seed")
)

// kinds are the simulated rollouts. The bounds are those of the rules: false alarms of good
// releases at most 1%, EXPOSURE of bad ones broken at most as often as beta allows: over all
// kinds in TestSimulation, and for each kind that isCheckedAlone in TestScarceReleases. The latter
// show in few of the answers that EXPOSURE permits.
var kinds = []struct {
	name           string
	isCheckedAlone bool
	apply          func(*scenario, *rand.Rand)
}{
	{"fails 5%", true, func(s *scenario, _ *rand.Rand) { s.failShare = 0.05 }},
	{"fails 5%, 400 requests/s", false, func(s *scenario, _ *rand.Rand) { s.failShare, s.rate = 0.05, 400 }},
	{"fails 10%", false, func(s *scenario, _ *rand.Rand) { s.failShare = 0.1 }},
	{"fails 20% to 100%", false, func(s *scenario, r *rand.Rand) { s.failShare = 0.2 + 0.8*r.Float64() }},
	{"fails 30% to 100%, 3 to 15 requests/s", false, func(s *scenario, r *rand.Rand) {
		s.rate, s.failShare = 3+12*r.Float64(), 0.3+0.7*r.Float64()
	}},
	{"slow 5% to 20%, 2 to 8 times", true, func(s *scenario, r *rand.Rand) {
		s.slowShare, s.slowFactor = 0.05+0.15*r.Float64(), 2+6*r.Float64()
	}},
	{"slow 100%, 2 times", true, func(s *scenario, _ *rand.Rand) { s.slowShare, s.slowFactor = 1, 2 }},
	{"slow 50% to 100%, 4 to 8 times", false, func(s *scenario, r *rand.Rand) {
		s.slowShare, s.slowFactor = 0.5+0.5*r.Float64(), 4+4*r.Float64()
	}},
	{"one route fails 30% to 100%", false, func(s *scenario, r *rand.Rand) {
		s.badRoute, s.failShare = r.IntN(simRoutes), 0.3+0.7*r.Float64()
	}},
	{"one route slow 50% to 100%, 3 to 8 times", true, func(s *scenario, r *rand.Rand) {
		s.badRoute, s.slowShare, s.slowFactor = r.IntN(simRoutes), 0.5+0.5*r.Float64(), 3+5*r.Float64()
	}},
	{"after 60 s of 90 s fails 5%", true, func(s *scenario, _ *rand.Rand) {
		s.ramp, s.onset, s.failShare = 90*time.Second, time.Minute, 0.05
	}},
	{"after 60 s of 90 s fails 10% to 100%", false, func(s *scenario, r *rand.Rand) {
		s.ramp, s.onset, s.failShare = 90*time.Second, time.Minute, 0.1+0.9*r.Float64()
	}},
	{"after 60 s of 90 s slow 30% to 100%, 3 to 8 times", false, func(s *scenario, r *rand.Rand) {
		s.ramp, s.onset, s.slowShare, s.slowFactor = 90*time.Second, time.Minute, 0.3+0.7*r.Float64(), 3+5*r.Float64()
	}},
	{"above 70% load fails 10% to 100%", true, func(s *scenario, r *rand.Rand) {
		s.load, s.minLoad, s.failShare = 0.75+0.2*r.Float64(), 0.7, 0.1+0.9*r.Float64()
	}},
	{"above 70% load slow 50% to 100%, 3 to 8 times", true, func(s *scenario, r *rand.Rand) {
		s.load, s.minLoad, s.slowShare, s.slowFactor = 0.75+0.2*r.Float64(), 0.7, 0.5+0.5*r.Float64(), 3+5*r.Float64()
	}},
	{"good", false, func(*scenario, *rand.Rand) {}},
	{"good, 1 to 15 requests/s", false, func(s *scenario, r *rand.Rand) { s.rate = 1 + 14*r.Float64() }},
	{"good, 400 requests/s", false, func(s *scenario, _ *rand.Rand) { s.rate = 400 }},
	{"good, ramp of 90 s", false, func(s *scenario, _ *rand.Rand) { s.ramp = 90 * time.Second }},
	{"good, cold cache", false, func(s *scenario, _ *rand.Rand) { s.isCold = true }},
	{"good, burst", false, func(s *scenario, r *rand.Rand) {
		s.burstAt, s.burstLength = within(r, s.ramp), time.Second+within(r, 5*time.Second)
		s.burstFactor = 1.5 + 2*r.Float64()
	}},
	{"good, crash of up to half of the endpoints", false, func(s *scenario, r *rand.Rand) {
		s.crashAt = time.Second + within(r, s.ramp)
		s.crashed, s.oldCrashed = r.IntN(s.newEndpoints/2+1), r.IntN(s.oldEndpoints/2+1)
	}},
	{"good, a node cut off", false, func(s *scenario, r *rand.Rand) {
		s.cutAt, s.cutLength = time.Second+within(r, s.ramp), time.Second+within(r, 6*time.Second)
	}},
	{"good, a node cut off from the target", false, func(s *scenario, r *rand.Rand) {
		s.cutAt, s.cutLength, s.isCutAtNew = time.Second+within(r, s.ramp), time.Second+within(r, 6*time.Second), true
	}},
	{"good, endpoints of unequal speed", false, func(s *scenario, _ *rand.Rand) { s.isUnequal = true }},
	{"good, a slow node", false, func(s *scenario, r *rand.Rand) { s.slowNode = 2 + 8*r.Float64() }},
}

func within(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Float64() * float64(d))
}

// newScenario draws a pool with 30 to 200 requests per second, of which half have a history
// from before the order.
func newScenario(r *rand.Rand) scenario {
	n := 4 + r.IntN(13)
	s := scenario{
		ramp: 12 * time.Second, rate: 30 * math.Exp(r.Float64()*math.Log(200.0/30)),
		oldEndpoints: n, newEndpoints: n, load: 0.3 + 0.3*r.Float64(),
		baseFailures: []float64{0, 0.001, 0.005, 0.01}[r.IntN(4)], sigma: 0.2 + 0.4*r.Float64(), badRoute: -1,
	}
	if r.IntN(2) == 0 {
		s.warm = 15 * time.Second
	}
	return s
}

// results sums up the outcomes of a kind's seeds.
type results struct {
	isBad         bool
	states        [RolledBack + 1]int
	exposed, late int
	ends, bad     []float64
}

// play runs the seeds of a kind. It guards against a release that gets more than the plan's bound
// before a verdict.
func play(t *testing.T, index int) (o results) {
	kind := kinds[index]
	for seed := *simFirst; seed < *simFirst+*simSeeds; seed++ {
		r := rand.New(rand.NewPCG(seed, uint64(index)))
		s := newScenario(r)
		kind.apply(&s, r)
		o.isBad = s.isBad()
		one := run(s, seed)
		qt.Check(t, one.isBeyond, qt.IsFalse, qt.Commentf("%s, seed %d: more than the plan's bound without a verdict", kind.name, seed))
		o.states[one.state]++
		o.ends, o.bad = append(o.ends, one.end.Seconds()), append(o.bad, float64(one.bad))
		if one.isExposed {
			o.exposed++
		}
		if one.isLate {
			o.late++
		}
		if !o.isBad && one.state == RolledBack {
			t.Logf("%s, seed %d: rolled back after %v: %s", kind.name, seed, one.end, one.reason)
		}
	}
	row := fmt.Sprintf("%-50s %4d %4d %4d |", kind.name, o.states[RolledBack], o.states[Done], o.states[Running]+o.states[Finishing])
	if o.isBad {
		t.Logf("%s %4d %4d | %5.1f %5.1f  %4.0f %4.0f", row, o.exposed, o.late, quantile(o.ends, 0.5), quantile(o.ends, 0.95), quantile(o.bad, 0.5), quantile(o.bad, 0.95))
	} else {
		t.Logf("%s           | %5.1f %5.1f", row, quantile(o.ends, 0.5), quantile(o.ends, 0.95))
	}
	return o
}

// checkExposure guards against bad releases that get more than EXPOSURE permits.
func checkExposure(t *testing.T, releases, exposed, late int) {
	t.Logf("of %d bad releases, %d broke EXPOSURE by share and %d by time", releases, exposed, late)
	qt.Check(t, float64(exposed) <= beta*float64(releases), qt.IsTrue, qt.Commentf("%d of %d by share", exposed, releases))
	qt.Check(t, float64(late) <= beta*float64(releases), qt.IsTrue, qt.Commentf("%d of %d by time", late, releases))
}

// TestSimulation plays rollouts in virtual time. It guards against a bad release that gets
// more than EXPOSURE permits, and against good ones that are rolled back or never done.
func TestSimulation(t *testing.T) {
	t.Parallel()
	t.Logf("seeds %d to %d of each kind", *simFirst, *simFirst+*simSeeds-1)
	t.Log("rolled back, done, neither | EXPOSURE broken by share, by time | median and 95% of: seconds to the end, bad answers")
	var good, falseAlarms, bad, exposed, late int
	for i, kind := range kinds {
		if kind.isCheckedAlone {
			continue
		}
		if o := play(t, i); o.isBad {
			bad, exposed, late = bad+int(*simSeeds), exposed+o.exposed, late+o.late
		} else {
			good, falseAlarms = good+int(*simSeeds), falseAlarms+o.states[RolledBack]
		}
	}
	checkExposure(t, bad, exposed, late)
	t.Logf("%d false alarms of %d good releases", falseAlarms, good)
	qt.Check(t, float64(falseAlarms) <= 0.01*float64(good), qt.IsTrue, qt.Commentf("%d false alarms of %d", falseAlarms, good))
}

// TestScarceReleases guards, for each kind on its own, against a bad release that gets more than
// EXPOSURE permits although it shows in few answers. KNOWN-RED.txt lists the kinds that fail.
func TestScarceReleases(t *testing.T) {
	t.Parallel()
	t.Logf("seeds %d to %d of each kind", *simFirst, *simFirst+*simSeeds-1)
	for i, kind := range kinds {
		if kind.isCheckedAlone {
			t.Run(kind.name, func(t *testing.T) {
				o := play(t, i)
				checkExposure(t, int(*simSeeds), o.exposed, o.late)
			})
		}
	}
}

func quantile(v []float64, q float64) float64 {
	slices.Sort(v)
	return v[int(q*float64(len(v)-1))]
}
