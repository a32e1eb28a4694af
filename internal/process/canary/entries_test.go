package canary

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
)

// TestChanceOfCost guards against a step whose cost grows with the number of failures, which
// delays the rollback of a release that fails as a whole.
func TestChanceOfCost(t *testing.T) {
	for _, part := range []float64{0.005, 0.1, 0.5, 0.9} {
		const failures = 1_000_000
		for _, k := range []int{0, 1, int(part*failures) + 1, int(part*failures) + 2000, failures} {
			chance, terms := atLeast(k, failures, part)
			qt.Check(t, chance >= 0 && chance <= 1, qt.IsTrue)
			qt.Check(t, terms <= 5000, qt.IsTrue, qt.Commentf("%d terms from %d on, part %v", terms, k, part))
		}
	}
	chance, _ := atLeast(4, 4, 0.2)
	qt.Check(t, chance > 0.00159 && chance < 0.00161, qt.IsTrue, qt.Commentf("%v", chance))
}

// TestEncodeSizeOfEntries guards against a state of a large fleet that does not fit a row.
func TestEncodeSizeOfEntries(t *testing.T) {
	const old, target = ident.Release("2026-12-03.build-71f0a9c2"), ident.Release("2026-12-04.build-0d3e55b8")
	m := &Machine{}
	m.Start(Order{Pool: "p", Target: target, Ramp: 12 * time.Second, Version: 1}, 0)
	for i := range 40 {
		s := Sample{Interval: stepLength, IsComplete: true, Endpoints: map[ident.Release]int{old: 10, target: 10}}
		s.Counts, s.Entries = map[Key]Count{}, map[Entry]Tally{}
		for _, release := range []ident.Release{old, target} {
			for n := range 195 {
				s.Entries[Entry{ident.NodeID(fmt.Sprintf("entry-node-%04d.cell-%04d.zone-a.region-one.example", n, n)), release}] = Tally{300, 3}
			}
			for r := range maxRoutes - 1 {
				s.Counts[Key{release, fmt.Sprintf("/v1/route/%02d", r), 4}] = answers(300, i%2)
			}
		}
		m.Step(s, time.Duration(i+1)*stepLength)
		if i%8 != 7 {
			continue
		}
		encoded := m.Encode()
		qt.Assert(t, len(encoded) <= maxEncoded, qt.IsTrue, qt.Commentf("%d bytes", len(encoded)))
	}
	next := &Machine{}
	qt.Assert(t, next.Decode(m.Encode()), qt.IsNil)
	qt.Check(t, next.decision(), qt.Equals, m.decision())
}
