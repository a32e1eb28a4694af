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
	program := buildProgram(t)
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		dir := filepath.Join(t.ArtifactDir(), fmt.Sprint("seed_", seed))
		qt.Assert(t, os.MkdirAll(dir, 0o700), qt.IsNil)
		report, err := Run(t.Context(), Options{
			Program: program, Dir: dir, Seed: seed, Duration: *duration, Nodes: *nodeCount,
		})
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

func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "goldcrestwick")
	out, err := exec.Command("go", "build", "-o", program, "goldcrestwick/cmd/goldcrestwick").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return program
}
