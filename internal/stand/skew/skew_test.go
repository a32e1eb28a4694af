package skew_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/skew"
)

// TestShiftWallClock checks that the package's assumption on the layout of time.Time holds
// for this Go version.
func TestShiftWallClock(t *testing.T) {
	now := time.Now()
	for _, d := range []time.Duration{0, time.Second, -time.Second, time.Hour, -time.Hour} {
		shifted := skew.ShiftWallClock(now, d)
		qt.Check(t, shifted.Sub(now), qt.Equals, time.Duration(0))
		qt.Check(t, shifted.Round(0).Sub(now.Round(0)), qt.Equals, d)
	}
}
