package soak

import (
	"cmp"
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
	seedCount = flag.Uint64("soak.seeds", 0, "number of seeds; 0 is 3 of TestSoak and 1 of TestSilentEndpoints")
	duration  = flag.Duration("soak.duration", 0, "time with faults of each seed")
	nodeCount = flag.Int("soak.nodes", 0, "number of nodes")
)

// TestSoak plays seeds against real processes. With the flag -artifacts, their settings and
// logs are kept in the folder that go test prints.
func TestSoak(t *testing.T) {
	playSeeds(t, 3, Options{Program: buildProgram(t, "../../..")})
}

// TestSilentEndpoints guards against settings that are late, go back or lose their time-outs, and
// against answers that are cut, while sound endpoints stand still.
func TestSilentEndpoints(t *testing.T) {
	t.Parallel()
	playSeeds(t, 1, Options{Program: buildProgram(t, "../../.."), HasSilences: true})
}

// buildProgram builds the program of a copy of the module.
func buildProgram(t *testing.T, module string) string {
	program := filepath.Join(t.TempDir(), "goldcrestwick")
	out, err := exec.Command("go", "build", "-C", module, "-o", program, "./cmd/goldcrestwick").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return program
}

func playSeeds(t *testing.T, count uint64, o Options) {
	for seed := *firstSeed; seed < *firstSeed+cmp.Or(*seedCount, count); seed++ {
		o.Dir, o.Seed, o.Duration, o.Nodes = filepath.Join(t.ArtifactDir(), fmt.Sprint("seed_", seed)), seed, *duration, *nodeCount
		qt.Assert(t, os.MkdirAll(o.Dir, 0o700), qt.IsNil)
		report, err := Run(t.Context(), o)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
		t.Logf("seed %d: %d sent, %d whole, %d refused, %d of them by endpoints, %d of %d streams went on, %d of %d slow answers whole, %d crashes, %d falls, %d losses, %d faults, %d violations",
			seed, report.Sent, report.Whole, report.Refused, report.RefusedThere, report.GoneOn, report.TakenUp, report.SlowWhole, report.Slow, report.Crashes, report.Falls, report.Losses, len(report.Plan), len(report.Violations))
		if o.HasSilences {
			t.Logf("seed %d: %d probes", seed, report.Probes)
		}
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

// TestAllNodesStop guards against requests that nobody answers when all nodes get SIGTERM within
// two seconds, and against a fleet in which nobody serves until the first of them is back.
func TestAllNodesStop(t *testing.T) {
	t.Parallel()
	report, err := RunStop(t.Context(), Options{Program: buildProgram(t, "../../.."), Dir: t.ArtifactDir(), Seed: 1})
	qt.Assert(t, err, qt.IsNil)
	t.Logf("seed 1: %d sent, %d whole, %d refused, %v", report.Sent, report.Whole, report.Refused, report.Plan)
	for _, v := range report.Violations {
		t.Error(v)
	}
}
