package soak

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStreamsTakenUpAtNodeOutOfStep checks that streams go on at the release that began them, or
// not at all, at a node that missed that endpoints of this release joined.
func TestStreamsTakenUpAtNodeOutOfStep(t *testing.T) {
	t.Parallel()
	program := buildProgram(t, "../../..")
	for name, o := range map[string]OutOfStep{
		"stopped":               {Lost: 1, Stops: true, For: 2 * time.Second},
		"stopped_long":          {Node: 2, Lost: 1, Stops: true, For: 6 * time.Second},
		"stopped_others_lost":   {Node: 3, Lost: 1, Stops: true, LosesOthers: true, For: 3 * time.Second},
		"without_store":         {Lost: 1, IsCut: true, For: 2 * time.Second},
		"stopped_without_store": {Node: 2, Lost: 1, Stops: true, IsCut: true, For: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 3*startTimeout)
			defer cancel()
			o.Program, o.Dir = program, t.ArtifactDir()
			report, err := o.Run(ctx)
			qt.Assert(t, err, qt.IsNil)
			t.Logf("cut streams by release %v, %d went on", report.Cut, report.GoneOn)
			qt.Check(t, report.Violations, qt.HasLen, 0)
			qt.Check(t, report.Cut[targetRelease] > 0, qt.IsTrue)
		})
	}
}
