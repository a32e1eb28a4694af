package main

import (
	"io"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes goldcrestwick a command of the test scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"goldcrestwick": func() { os.Exit(run(os.Args, os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the test scripts in testdata.
func TestScripts(t *testing.T) {
	dir, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", dir+"/../../examples")
			return nil
		},
	})
}

// TestExitCodes checks the documented exit codes.
func TestExitCodes(t *testing.T) {
	for args, want := range map[string]int{
		"--help":                                  0,
		"settings check ../../examples/ekin":      0,
		"settings check nowhere":                  exitUsage,
		"load --profile nobody":                   exitUsage,
		"load --no-such-flag":                     exitUsage,
		"serve":                                   exitUsage,
		"serve --settings nowhere":                exitFailure,
		"explain --node 127.0.0.1:1 some-request": exitFailure,
	} {
		got := run(append([]string{"goldcrestwick"}, strings.Fields(args)...), io.Discard, io.Discard)
		qt.Assert(t, got, qt.Equals, want, qt.Commentf(args))
	}
}
