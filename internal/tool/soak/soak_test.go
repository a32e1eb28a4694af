package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed")
	seedCount = flag.Uint64("soak.seeds", 3, "number of seeds")
	duration  = flag.Duration("soak.duration", 0, "time with faults of each seed")
	nodeCount = flag.Int("soak.nodes", 0, "number of nodes")
)

// TestSoak plays seeds against real processes. With the flag -artifacts, their settings and
// logs are kept in the folder that go test prints.
func TestSoak(t *testing.T) {
	playSeeds(t, *seedCount, Options{Program: buildModule(t, "../../..")})
}

// buildModule builds the program of a copy of the module.
func buildModule(t *testing.T, module string) string {
	program := filepath.Join(t.TempDir(), "goldcrestwick")
	out, err := exec.Command("go", "build", "-C", module, "-o", program, "./cmd/goldcrestwick").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return program
}

func playSeeds(t *testing.T, count uint64, o Options) {
	for seed := *firstSeed; seed < *firstSeed+count; seed++ {
		o.Dir, o.Seed, o.Duration, o.Nodes = filepath.Join(t.ArtifactDir(), fmt.Sprint("seed_", seed)), seed, *duration, *nodeCount
		qt.Assert(t, os.MkdirAll(o.Dir, 0o700), qt.IsNil)
		report, err := Run(t.Context(), o)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
		t.Logf("seed %d: %d sent, %d whole, %d refused, %d of %d streams went on, %d of %d slow answers whole, %d crashes, %d falls, %d losses, %d faults, %d violations",
			seed, report.Sent, report.Whole, report.Refused, report.GoneOn, report.TakenUp, report.SlowWhole, report.Slow, report.Crashes, report.Falls, report.Losses, len(report.Plan), len(report.Violations))
		if report.Rollout != "" {
			t.Logf("seed %d: rollout %s", seed, report.Rollout)
		}
		for _, v := range report.Violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		if len(report.Violations) > 0 {
			for _, fault := range report.Plan {
				t.Log(fault)
			}
		}
	}
}
