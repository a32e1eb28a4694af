package soak

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHasLogged checks which processes may end by SIGTERM: those whose log is empty, since they
// may not have handled signals yet. A log that cannot be read excuses nothing.
func TestHasLogged(t *testing.T) {
	n := &nodeProcess{name: "n", dir: t.TempDir(), starts: 2}
	qt.Check(t, n.hasLogged(), qt.IsTrue)
	qt.Assert(t, os.WriteFile(n.logPath(), nil, 0o600), qt.IsNil)
	qt.Check(t, n.hasLogged(), qt.IsFalse)
	qt.Assert(t, os.WriteFile(n.logPath(), []byte("x"), 0o600), qt.IsNil)
	qt.Check(t, n.hasLogged(), qt.IsTrue)
}
