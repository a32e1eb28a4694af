package canary

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDropInDoubt guards against a release that keeps the second step's share until the deadline
// while a test is in doubt, and against one that never gets it back.
func TestDropInDoubt(t *testing.T) {
	p := Plan{ramp: 12 * time.Second, next: 2, share: 0.5, raised: 9 * time.Second, seen: 1000, sent: 80}
	l := Limits{ExposeShare: 0.1, ExposeSlack: 50}
	doubtful := finding{verdict: Good, doubt: dropDoubt}
	qt.Check(t, p.update(l, doubtful, 50, 8, false, 9500*time.Millisecond), qt.Equals, 0.125)
	qt.Check(t, p.update(l, doubtful, 50, 8, true, 11*time.Second), qt.Equals, 0.125)
	good := finding{verdict: Good}
	qt.Check(t, p.update(l, good, 50, 8, true, 11500*time.Millisecond), qt.Equals, 0.5)
	qt.Check(t, p.update(l, good, 50, 8, true, 13*time.Second), qt.Equals, 1.0)

	p = Plan{ramp: 12 * time.Second}
	p.resume(0.6, 0)
	qt.Check(t, p.update(l, doubtful, 50, 8, true, 9500*time.Millisecond), qt.Equals, 0.6, qt.Commentf("a share from before the order"))
}

// TestFirstStepOfFewEndpoints guards against a first step of one endpoint of four, a quarter of
// the requests, that spends what EXPOSURE permits before its answers are there.
func TestFirstStepOfFewEndpoints(t *testing.T) {
	l := Limits{ExposeShare: 0.1, ExposeSlack: 50}
	p := Plan{ramp: 12 * time.Second, next: 1, share: 0.25, raised: 6 * time.Second, seen: 700, sent: 80}
	good := finding{verdict: Good}
	qt.Check(t, p.update(l, good, 100, 4, true, 7*time.Second), qt.Equals, 0.25)
	p.sent = 105
	qt.Check(t, p.update(l, good, 100, 4, false, 7500*time.Millisecond), qt.Equals, 0.15)
	p.sent = 130
	qt.Check(t, p.update(l, good, 100, 4, false, 8*time.Second), qt.Equals, canaryShare)
}
