package node

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
)

// TestHoldCounters guards against holds that are not counted, and against grants that pause streams
// being counted as if they had not been held.
func TestHoldCounters(t *testing.T) {
	n := &Node{}
	for _, d := range []sched.Decision{
		{}, {WasHeldForGap: true}, {WasHeldForGap: true, PausesStreams: true}, {PausesStreams: true}, {PausesStreams: true},
	} {
		d.Cell = ident.CellID{Pool: "team/pool"}
		n.countHolds(d)
	}
	var text bytes.Buffer
	n.meter.Write(&text)
	for _, line := range []string{
		`goldcrestwick_held_for_gap_total{pool="team/pool"} 2`,
		`goldcrestwick_pausing_grants_total{pool="team/pool",held="true"} 1`,
		`goldcrestwick_pausing_grants_total{pool="team/pool",held="false"} 2`,
	} {
		qt.Check(t, strings.Contains(text.String(), line+"\n"), qt.IsTrue, qt.Commentf("%s\n%s", line, text.String()))
	}
}
