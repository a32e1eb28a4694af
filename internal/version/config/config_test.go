package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"

	"goldcrestwick/internal/process/ident"
)

// TestParseFindings parses the settings in testdata/*.txtar and compares the
// findings with the file "want", one per line. An archive with process.ini holds
// the settings of a process, any other one a tree.
func TestParseFindings(t *testing.T) {
	archives, err := filepath.Glob("testdata/*.txtar")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(archives) > 0, qt.IsTrue)
	for _, name := range archives {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(name)
			qt.Assert(t, err, qt.IsNil)
			files, want := map[string][]byte{}, ""
			for _, f := range archive.Files {
				if f.Name == "want" {
					want = strings.TrimSpace(string(f.Data))
					continue
				}
				files[f.Name] = f.Data
			}
			var tree *Tree
			if raw, ok := files["process.ini"]; ok {
				_, err = ParseProcess("process.ini", raw)
			} else {
				tree, err = Parse(files, 1)
				qt.Assert(t, tree == nil, qt.Equals, err != nil, qt.Commentf("got both a tree and findings, or neither"))
			}
			got := ""
			if err != nil {
				got = err.Error()
			}
			qt.Assert(t, got, qt.Equals, want)
		})
	}
}

// TestLoadExamples loads both example trees and counts their objects.
func TestLoadExamples(t *testing.T) {
	for _, want := range []struct {
		dir                      string
		zones, accounts          int
		runners, services, tiers int
	}{
		{"ekin", 4, 5, 20, 4, 4},
		{"sabarmati", 3, 5, 20, 3, 3},
	} {
		t.Run(want.dir, func(t *testing.T) {
			tree, err := Load(os.DirFS(filepath.Join("..", "..", "..", "examples", want.dir)), 7)
			qt.Assert(t, err, qt.IsNil)
			team := tree.Teams[0]
			zones, kinds := map[ident.AvailabilityZone]bool{}, map[ident.EndpointKind]int{}
			for _, e := range team.Endpoints {
				zones[e.Zone] = true
				kinds[e.Pool.Kind]++
			}
			qt.Assert(t, len(zones), qt.Equals, want.zones)
			qt.Assert(t, len(team.Accounts), qt.Equals, want.accounts)
			qt.Assert(t, kinds[ident.ModelRunner], qt.Equals, want.runners)
			qt.Assert(t, kinds[ident.ApplicationRunner], qt.Equals, want.services)
			qt.Assert(t, len(team.Tiers), qt.Equals, want.tiers)
			qt.Assert(t, tree.Version, qt.Equals, ident.Version(7))
		})
	}
}

// TestTierOfByRules checks the tiers that the rules of an example assign, and the
// operations that it declares as not idempotent.
func TestTierOfByRules(t *testing.T) {
	tree, err := Load(os.DirFS("../../../examples/ekin"), 1)
	qt.Assert(t, err, qt.IsNil)
	account := tree.Account("ekin/grain_union")
	reader := tree.PoolFor(account, ident.ModelRunner, "crop-reader")
	writer := tree.PoolFor(account, ident.ModelRunner, "season-writer")
	qt.Assert(t, account.TierOf(reader, 8).Name, qt.Equals, "label")
	qt.Assert(t, account.TierOf(reader, 100).Name, qt.Equals, "summary")
	qt.Assert(t, account.TierOf(reader, 1000).Name, qt.Equals, "report")
	qt.Assert(t, account.TierOf(writer, 8).Name, qt.Equals, "report")
	qt.Assert(t, account.HighestTier().Name, qt.Equals, "label")
	service := tree.PoolFor(account, ident.ApplicationRunner, "subsidy")
	qt.Assert(t, service.IsIdempotent("POST", "/claims"), qt.IsFalse)
	qt.Assert(t, service.IsIdempotent("POST", "/claims/7/confirm"), qt.IsFalse)
	qt.Assert(t, service.IsIdempotent("GET", "/claims/7"), qt.IsTrue)
	qt.Assert(t, service.CallTimeout, qt.Equals, 20*time.Second)
}

// FuzzParse checks that no input makes the parser panic, and that every finding
// has a file and a problem.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"../../../examples/ekin/teams/ekin.ini", "../../../examples/sabarmati/teams/sabarmati.ini"} {
		raw, err := os.ReadFile(name)
		qt.Assert(f, err, qt.IsNil)
		f.Add(raw)
	}
	f.Add([]byte("[tier.a]\nrank = 0\n[tier.a]\nrank=0\n=\n[\n]x\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		tree, err := Parse(map[string][]byte{"root.ini": []byte("[fleet]\nregion = r\n"), "teams/a.ini": raw}, 1)
		var findings Findings
		if err == nil || !errors.As(err, &findings) {
			qt.Assert(t, tree, qt.IsNotNil)
			return
		}
		for _, finding := range findings {
			qt.Assert(t, finding.File, qt.Not(qt.Equals), "")
			qt.Assert(t, finding.Problem, qt.Not(qt.Equals), "")
		}
	})
}
