package adapt

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testSeed is the seed of the random draws of all tests.
const testSeed = 20261204

// traffic feeds an endpoint with the answers of calls at a varying load.
type traffic struct {
	Endpoint
	rand  *rand.Rand
	slots int
	now   time.Time
	// time returns the time of a call of size 1 as a function of the number in flight.
	time func(inFlight int) time.Duration
	// state, if it is not nil, returns the statement with an answer.
	state   func() int
	changes int
}

func newTraffic(t *testing.T, slots int, f func(int) time.Duration) *traffic {
	t.Logf("seed %d", testSeed)
	return &traffic{rand: rand.New(rand.NewPCG(testSeed, 0)), slots: slots, now: time.Unix(1000, 0), time: f}
}

// knee returns the times of an endpoint that slows down by slope for each call beyond knee.
func knee(unit time.Duration, knee int, slope float64) func(int) time.Duration {
	return func(n int) time.Duration { return time.Duration(float64(unit) * (1 + slope*float64(max(n-knee, 0)))) }
}

// run passes time, with a number in flight from low to high that changes a few times a second.
// Calls differ in work fourfold, as log-uniform draws.
func (tr *traffic) run(d time.Duration, low, high int) {
	for end := tr.now.Add(d); tr.now.Before(end); {
		n := low + tr.rand.IntN(high-low+1)
		for until := tr.now.Add(200 * time.Millisecond); tr.now.Before(until); {
			span := tr.Start(n, tr.now)
			if tr.state != nil {
				tr.State(tr.state(), tr.now)
			}
			took := time.Duration(float64(tr.time(n)) * math.Exp(math.Log(4)*(tr.rand.Float64()-0.5)))
			limit := tr.Limit(tr.slots)
			// Of n calls in flight one ends in an nth of the time of one.
			tr.now = tr.now.Add(took / time.Duration(n))
			tr.advance(n, tr.now)
			tr.End(span, n-1, tr.slots, took, tr.now)
			tr.advance(n, tr.now)
			if tr.Limit(tr.slots) != limit {
				tr.changes++
			}
		}
	}
}

// ratio returns the expected time relative to the true one.
func (tr *traffic) ratio(n int) float64 {
	return float64(tr.Expect(1, n-1, tr.slots, tr.now)) / float64(tr.time(n))
}

// TestLimit guards against a limit that is far from the knee of the endpoint, that a flat
// endpoint is held below its slots, and against flapping.
func TestLimit(t *testing.T) {
	for _, test := range []struct {
		slots, knee int
		slope       float64
		low, high   int
	}{{6, 3, 0.6, 2, 4}, {6, 1, 1, 1, 2}, {6, 6, 0, 6, 6}, {12, 6, 0.3, 4, 8}, {40, 20, 0.1, 12, 28}, {11, 11, 0, 11, 11}, {1, 1, 0, 1, 1}} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			tr := newTraffic(t, test.slots, knee(30*time.Millisecond, test.knee, test.slope))
			tr.run(20*time.Second, 1, test.slots)
			limit := tr.Limit(test.slots)
			qt.Check(t, limit >= test.low && limit <= test.high, qt.IsTrue, qt.Commentf("limit %d", limit))
			tr.changes = 0
			tr.run(20*time.Second, 1, test.slots)
			qt.Check(t, tr.changes <= 20, qt.IsTrue, qt.Commentf("%d changes", tr.changes))
			for _, n := range []int{1, (test.slots + 1) / 2, test.slots} {
				qt.Check(t, math.Abs(math.Log(tr.ratio(n))) < math.Log(1.4), qt.IsTrue, qt.Commentf("at %d: ratio %.2f", n, tr.ratio(n)))
			}
		})
	}
}

// TestSpeedChange guards against an estimate that does not follow a fourfold change of
// speed within two seconds, or that takes it for one of the knee.
func TestSpeedChange(t *testing.T) {
	tr := newTraffic(t, 6, knee(30*time.Millisecond, 3, 0.6))
	tr.run(20*time.Second, 1, 6)
	for _, unit := range []time.Duration{120 * time.Millisecond, 30 * time.Millisecond} {
		tr.time = knee(unit, 3, 0.6)
		tr.run(2*time.Second, 2, 4)
		for n := 2; n <= 4; n++ {
			qt.Check(t, math.Abs(math.Log(tr.ratio(n))) < math.Log(1.4), qt.IsTrue, qt.Commentf("%v, %d in flight: ratio %.2f", unit, n, tr.ratio(n)))
		}
		qt.Check(t, tr.Limit(6) >= 2 && tr.Limit(6) <= 4, qt.IsTrue, qt.Commentf("limit %d", tr.Limit(6)))
	}
}

// TestStale guards against an endpoint that is passed over for good since it was slow for a
// moment.
func TestStale(t *testing.T) {
	tr := newTraffic(t, 6, knee(30*time.Millisecond, 3, 0.6))
	tr.run(30*time.Second, 1, 4)
	tr.time = knee(120*time.Millisecond, 3, 0.6)
	tr.run(time.Second, 1, 4)
	slow := tr.Expect(1, 0, 6, tr.now)
	qt.Check(t, slow > 80*time.Millisecond, qt.IsTrue, qt.Commentf("%v", slow))
	tr.now = tr.now.Add(10 * time.Second)
	later := tr.Expect(1, 0, 6, tr.now)
	qt.Check(t, later < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", later))
}

// TestHint guards against a wrong statement that changes the estimate, a right one that
// does not, and one that is used when it is old.
func TestHint(t *testing.T) {
	statements := map[string]func(pace int, r *rand.Rand) int{
		"right":    func(pace int, _ *rand.Rand) int { return pace },
		"inverse":  func(pace int, _ *rand.Rand) int { return 10000 / pace },
		"random":   func(_ int, r *rand.Rand) int { return 25 + r.IntN(375) },
		"constant": func(int, *rand.Rand) int { return 700 },
	}
	for name, statement := range statements {
		t.Run(name, func(t *testing.T) {
			tr, pace := newTraffic(t, 6, nil), 100
			tr.time = func(n int) time.Duration { return knee(30*time.Millisecond, 3, 0.6)(n) * time.Duration(pace) / 100 }
			tr.state = func() int {
				pace = 50 << tr.rand.IntN(3)
				return statement(pace, tr.rand)
			}
			tr.run(20*time.Second, 1, 6)
			without := tr.Expect(1, 0, 6, tr.now.Add(hintTTL))
			tr.State(statement(200, tr.rand), tr.now)
			effect := float64(tr.Expect(1, 0, 6, tr.now)) / float64(without)
			if name == "right" {
				qt.Check(t, effect > 1.4, qt.IsTrue, qt.Commentf("%.2f", effect))
				return
			}
			qt.Check(t, effect > 0.8 && effect < 1.25, qt.IsTrue, qt.Commentf("%.2f", effect))
		})
	}
}

// TestEstimate guards against estimates that are lost or distorted on the way to another
// node, that replace what a node has learned itself, or that make no sense.
func TestEstimate(t *testing.T) {
	tr := newTraffic(t, 6, knee(30*time.Millisecond, 3, 0.6))
	qt.Check(t, tr.Estimate(), qt.DeepEquals, Estimate{})
	tr.run(20*time.Second, 1, 6)
	var next Endpoint
	next.Set(tr.Estimate(), tr.now)
	qt.Check(t, next.Limit(6), qt.Equals, tr.Limit(6))
	for others := range 6 {
		qt.Check(t, math.Abs(float64(next.Expect(1, others, 6, tr.now)-tr.Expect(1, others, 6, tr.now))) < 1e4, qt.IsTrue)
	}
	before := tr.Estimate()
	tr.Set(Estimate{Slots: 1, Limit: 1, PerUnit: []time.Duration{time.Hour}}, tr.now)
	qt.Check(t, tr.Estimate(), qt.DeepEquals, before)
	for _, wrong := range []Estimate{
		{},
		{Slots: 6, Limit: 7, PerUnit: before.PerUnit},
		{Slots: 6, Limit: 3, PerUnit: before.PerUnit[:2]},
		{Slots: -6, Limit: -9},
		{Slots: 1, Limit: 1, PerUnit: []time.Duration{0}},
		{Slots: 1, Limit: 1, PerUnit: []time.Duration{-time.Second}},
	} {
		var e Endpoint
		e.Set(wrong, tr.now)
		qt.Check(t, e.IsKnown(), qt.IsFalse, qt.Commentf("%v", wrong))
	}
}

// TestUnknown guards against an endpoint without answers that is held back, against
// nonsensical times, and against allocations for each request.
func TestUnknown(t *testing.T) {
	var e Endpoint
	now := time.Unix(1000, 0)
	qt.Check(t, e.Limit(6), qt.Equals, 6)
	qt.Check(t, e.Expect(1, 3, 6, now), qt.Equals, time.Duration(0))
	allocations := testing.AllocsPerRun(1000, func() {
		span := e.Start(1, now)
		now = now.Add(10 * time.Millisecond)
		e.State(100, now)
		e.End(span, 0, 6, 10*time.Millisecond, now)
		e.Expect(1, 2, 6, now)
	})
	qt.Check(t, allocations, qt.Equals, 0.0)
	for _, took := range []time.Duration{-1, 0, 1, math.MaxInt64} {
		for range 100 {
			e.End(Span{}, -5, 6, took, now)
			e.End(e.Start(1000, now), 1000, 6, took, now.Add(-time.Hour))
		}
		expected := e.Expect(1, 5, 6, now)
		qt.Check(t, expected > 0 && expected < 1e6*time.Hour, qt.IsTrue, qt.Commentf("%v: %v", took, expected))
		qt.Check(t, e.Limit(6) >= 1 && e.Limit(6) <= 6, qt.IsTrue)
	}
}

// BenchmarkEnd measures the estimates' part of a request.
func BenchmarkEnd(b *testing.B) {
	var e Endpoint
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for i := range b.N {
		span := e.Start(1+i%6, now)
		now = now.Add(10 * time.Millisecond)
		e.End(span, i%6, 11, 10*time.Millisecond, now)
	}
}

// BenchmarkExpect measures the comparison of one endpoint.
func BenchmarkExpect(b *testing.B) {
	var e Endpoint
	now := time.Unix(1000, 0)
	e.End(e.Start(1, now), 0, 11, 10*time.Millisecond, now.Add(time.Second))
	for i := range b.N {
		e.Expect(1, i%11, 11, now)
	}
}
