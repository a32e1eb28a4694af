package canary

import (
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
)

// TestDecodeVersion1 guards against a rollout that stops or begins anew at an update of the nodes,
// because they cannot read the state that the previous code saved. The files are such states, 3 s after
// the order and at share 1.
func TestDecodeVersion1(t *testing.T) {
	for name, after := range map[string]time.Duration{"version1": 3 * time.Second, "version1_finishing": 11 * time.Second} {
		b, err := os.ReadFile("testdata/" + name + ".state")
		qt.Assert(t, err, qt.IsNil)
		p := newPool()
		qt.Assert(t, p.Decode(b), qt.IsNil, qt.Commentf(name))
		order, start := p.Order()
		qt.Check(t, order, qt.Equals, Order{Pool: "p", Target: newName, Ramp: 12 * time.Second, Version: 1})
		p.now, p.last = start+after, p.decision()
		qt.Check(t, p.last.Share, qt.Equals, map[string]float64{"version1": 0.08, "version1_finishing": 1}[name])
		p.sample.OldInFlight = 0
		qt.Check(t, p.run(20*time.Second, nil).State, qt.Equals, Done, qt.Commentf(name))
	}
}

// TestPacesEqual guards against a slow host that is taken for a slow release since the old
// release's hosts seem alike, and against equal ones that seem to differ or are lost with the
// conductor.
func TestPacesEqual(t *testing.T) {
	for _, test := range []struct {
		name               string
		slow, steps, hosts int
		want               bool
	}{
		{"equal", 1, 20, 8, true},
		{"one three times slower", 3, 20, 8, false},
		{"one host", 1, 20, 1, false},
		{"few answers", 1, 3, 8, false},
	} {
		m := &Machine{}
		for range test.steps {
			s := Sample{Counts: map[Key]Count{}, Paces: map[PaceKey]Pace{}}
			key := Key{Release: oldName, Route: "/r", Class: 4}
			var c Count
			for i := range test.hosts {
				d := 50 * time.Millisecond
				if i == 0 {
					d *= time.Duration(test.slow)
				}
				c.Latency.Observe(d)
				s.Paces[PaceKey{key, ident.Endpoint(fmt.Sprint(i))}] = Pace{1, BucketOf(d)}
			}
			s.Counts[key] = c
			m.Step(s, 0)
		}
		next := &Machine{}
		qt.Assert(t, next.Decode(m.Encode()), qt.IsNil)
		qt.Check(t, next.judge.paces.areEqual(), qt.Equals, test.want, qt.Commentf(test.name))
	}
}
