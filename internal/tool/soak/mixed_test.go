package soak

import (
	"flag"
	"os/exec"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	earlier    = flag.String("soak.earlier", "2920b02", "commit of the earlier build")
	mixedSeeds = flag.Uint64("soak.mixed", 1, "number of seeds with nodes of two builds")
)

// TestMixedBuilds guards against builds that break promises side by side: nodes are replaced by
// those of a later build and back, or both run together, among the faults of TestSoak.
func TestMixedBuilds(t *testing.T) {
	source := t.TempDir()
	archive := filepath.Join(t.TempDir(), "source.tar")
	for _, command := range [][]string{
		{"git", "-C", "../../..", "archive", "-o", archive, *earlier, "cmd", "internal", "platform", "go.mod", "go.sum"},
		{"tar", "-x", "-f", archive, "-C", source},
	} {
		out, err := exec.Command(command[0], command[1:]...).CombinedOutput()
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%v, with the whole history of the repository: %s", command, out))
	}
	playSeeds(t, *mixedSeeds, Options{Program: buildProgram(t, "../../.."), Earlier: buildProgram(t, source)})
}
