package skew_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/skew"
)

// TestWall checks the layout of time.Time that the package relies on.
func TestWall(t *testing.T) {
	now := time.Now()
	for _, by := range []time.Duration{0, time.Second, -time.Second, time.Hour, -time.Hour} {
		stepped := skew.Wall(now, by)
		qt.Check(t, stepped.Sub(now), qt.Equals, time.Duration(0))
		qt.Check(t, stepped.Round(0).Sub(now.Round(0)), qt.Equals, by)
	}
}
