package node

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/reply"
)

// TestUnusedAnswersLogged checks that each answer that is not used is counted by its fault, and that the
// log lines are bounded in number and length.
func TestUnusedAnswersLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		n := &Node{Log: log.New(&out)}
		n.unused.limit()
		const answers = 5 * unusedLinesBurst
		for range answers {
			n.logUnused("r1", "e1", reply.Status, strings.Repeat("x", 10*maxLoggedReason))
		}
		qt.Check(t, strings.Count(out.String(), "answer_not_used"), qt.Equals, unusedLinesBurst)
		qt.Check(t, out.Len() < unusedLinesBurst*(maxLoggedReason+200), qt.IsTrue)
		var metrics bytes.Buffer
		n.meter.Write(&metrics)
		qt.Check(t, metrics.String(), qt.Contains, `goldcrestwick_unused_answers_total{fault="status"} 1000`)
	})
}
