package load

import (
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPlan checks that a plan follows from its seed, keeps the rate and spreads
// lengths a hundredfold.
func TestPlan(t *testing.T) {
	for name, profile := range Profiles {
		first := plan(profile, 50, time.Minute, 7)
		qt.Assert(t, reflect.DeepEqual(plan(profile, 50, time.Minute, 7), first), qt.IsTrue)
		qt.Assert(t, reflect.DeepEqual(plan(profile, 50, time.Minute, 8), first), qt.IsFalse)
		qt.Assert(t, len(first) > 2700 && len(first) < 3300, qt.IsTrue, qt.Commentf("%s: %d arrivals in a minute at 50 a second", name, len(first)))
		shortest, longest := 1<<30, 0
		for _, c := range first {
			if c.output > 0 {
				shortest, longest = min(shortest, c.output), max(longest, c.output)
			}
		}
		qt.Assert(t, longest/shortest >= 40, qt.IsTrue, qt.Commentf("%s: outputs from %d to %d tokens", name, shortest, longest))
	}
}

// TestReport checks what counts as goodput.
func TestReport(t *testing.T) {
	g := &Generator{Profile: Profiles["ekin"]}
	r := &g.report
	r.start(g)
	class := &g.Profile.Classes[0]
	began := time.Unix(1000, 0)
	r.add(outcome{class: class, whole: true, began: began, ended: began.Add(class.Deadline)}, g)
	r.add(outcome{class: class, whole: true, began: began, ended: began.Add(class.Deadline + 1)}, g)
	r.add(outcome{class: class, reason: "overload", run: "not_run"}, g)
	r.add(outcome{class: class, reason: "answer_incomplete", run: "unknown"}, g)
	r.add(outcome{class: class, reason: "wrong_answer", foreign: true}, g)
	r.skipped(&call{class: class}, 3)
	r.finish(time.Second)
	tier := r.tier(class.Tier)
	qt.Assert(t, *tier, qt.Equals, TierReport{Tier: class.Tier, Offered: 8, Whole: 2, InTime: 1, Refused: 1, Broken: 2, Goodput: 0.125})
	qt.Assert(t, r.AllWhole(), qt.IsFalse)
	qt.Assert(t, r.Foreign, qt.Equals, 1)
	var text, csv, js strings.Builder
	qt.Assert(t, r.WriteText(&text), qt.IsNil)
	qt.Assert(t, r.WriteCSV(&csv), qt.IsNil)
	qt.Assert(t, r.WriteJSON(&js), qt.IsNil)
	qt.Assert(t, text.String(), qt.Contains, "12.5%")
	qt.Assert(t, csv.String(), qt.Contains, ",label,8,2,1,1,2\n")
	qt.Assert(t, js.String(), qt.Contains, `"foreign_answers": 1`)
}
