package soak

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFailedStartShowsLogs guards against a failed start of which nothing is left to trace it by.
func TestFailedStartShowsLogs(t *testing.T) {
	w := &world{nodes: []*nodeProcess{{name: "n0", dir: t.TempDir(), starts: 1}, {name: "n1", dir: t.TempDir(), starts: 2}}}
	for _, n := range w.nodes {
		qt.Assert(t, os.WriteFile(n.logPath(), []byte("why "+n.name+" waits"), 0o600), qt.IsNil)
	}
	text := w.logsExcept(map[string]bool{"n0": true})
	qt.Check(t, text, qt.Contains, "why n1 waits")
	qt.Check(t, text, qt.Not(qt.Contains), "why n0 waits")
}
