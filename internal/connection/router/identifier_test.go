package router

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestLongIdentifiersAreShort guards against identifiers of callers that take memory after their
// requests. Those of different requests stay different, those of the same one the same.
func TestLongIdentifiersAreShort(t *testing.T) {
	rt := &Router{}
	long := strings.Repeat("x", 15<<10)
	first, other, again := rt.reserveID(long), rt.reserveID(long+"y"), rt.reserveID(long)
	for _, id := range []string{string(first), string(other), string(again)} {
		qt.Check(t, len(id) <= 256, qt.IsTrue)
	}
	qt.Check(t, first != other, qt.IsTrue)
	qt.Check(t, again != first && strings.HasPrefix(string(again), string(first)), qt.IsTrue)
	qt.Check(t, string(rt.reserveID("usual")), qt.Equals, "usual")
}
