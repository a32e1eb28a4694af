package main

import (
	"io"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes the program a command of the scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"goldcrestwick": func() { os.Exit(run(os.Args, os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the command lines in testdata.
func TestScripts(t *testing.T) {
	examples, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples+"/../../examples")
			return nil
		},
	})
}

// TestExitCodes checks the documented codes.
func TestExitCodes(t *testing.T) {
	for args, want := range map[string]int{
		"--help":                                  0,
		"settings check ../../examples/ekin":      0,
		"settings check nowhere":                  exitUsage,
		"load --profile nobody":                   exitUsage,
		"load --no-such-flag":                     exitUsage,
		"serve":                                   exitUsage,
		"serve --settings nowhere":                exitFailed,
		"explain --node 127.0.0.1:1 some-request": exitFailed,
	} {
		got := run(append([]string{"goldcrestwick"}, strings.Fields(args)...), io.Discard, io.Discard)
		qt.Assert(t, got, qt.Equals, want, qt.Commentf(args))
	}
}
