package load

import (
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPlan checks that a plan depends only on its seed, has the requested mean
// rate, and that its longest output is at least 40 times its shortest.
func TestPlan(t *testing.T) {
	for name, profile := range Profiles {
		planned := planRequests(profile, 50, time.Minute, 7)
		qt.Assert(t, reflect.DeepEqual(planRequests(profile, 50, time.Minute, 7), planned), qt.IsTrue)
		qt.Assert(t, reflect.DeepEqual(planRequests(profile, 50, time.Minute, 8), planned), qt.IsFalse)
		qt.Assert(t, len(planned) > 2700 && len(planned) < 3300, qt.IsTrue, qt.Commentf("%s: %d arrivals in a minute at 50 per second", name, len(planned)))
		shortest, longest := 1<<30, 0
		for _, p := range planned {
			if p.maxTokens > 0 {
				shortest, longest = min(shortest, p.maxTokens), max(longest, p.maxTokens)
			}
		}
		qt.Assert(t, longest/shortest >= 40, qt.IsTrue, qt.Commentf("%s: outputs from %d to %d tokens", name, shortest, longest))
	}
}

// TestReport checks which outcomes count as goodput and how the others are
// counted.
func TestReport(t *testing.T) {
	g := &Generator{Profile: Profiles["ekin"]}
	r := &g.report
	r.init(g)
	kind := &g.Profile.Kinds[0]
	started := time.Unix(1000, 0)
	r.add(outcome{kind: kind, complete: true, start: started, end: started.Add(kind.Deadline)}, g)
	r.add(outcome{kind: kind, complete: true, start: started, end: started.Add(kind.Deadline + 1)}, g)
	r.add(outcome{kind: kind, reason: "overload", run: "not_run"}, g)
	r.add(outcome{kind: kind, reason: "answer_incomplete", run: "unknown"}, g)
	r.add(outcome{kind: kind, reason: "wrong_answer", mismatched: true}, g)
	r.addSkippedTurns(&plannedRequest{kind: kind}, 3)
	r.finish(time.Second)
	tier := r.tier(kind.Tier)
	qt.Assert(t, *tier, qt.Equals, TierReport{Tier: kind.Tier, Offered: 8, Complete: 2, InTime: 1, Refused: 1, Failed: 2, Goodput: 0.125})
	qt.Assert(t, r.AllComplete(), qt.IsFalse)
	qt.Assert(t, r.Mismatched, qt.Equals, 1)
	var text, csv, js strings.Builder
	qt.Assert(t, r.WriteText(&text), qt.IsNil)
	qt.Assert(t, r.WriteCSV(&csv), qt.IsNil)
	qt.Assert(t, r.WriteJSON(&js), qt.IsNil)
	qt.Assert(t, text.String(), qt.Contains, "12.5%")
	qt.Assert(t, csv.String(), qt.Contains, ",label,8,2,1,1,2\n")
	qt.Assert(t, js.String(), qt.Contains, `"foreign_answers": 1`)
}
