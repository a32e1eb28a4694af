// Package script runs tests that are written as scripts in data files.
//
// Each line holds a command and its arguments, separated by spaces. A # starts a
// comment. Each file is run as a subtest in a testing/synctest bubble, under fake
// time.
//
// # Usage
//
//	script.Run(t, "testdata/*.script", func(t *testing.T, lines iter.Seq[script.Line]) {
//		for line := range lines {
//			switch line.Command { ... }
//		}
//	})
package script

import (
	"bufio"
	"fmt"
	"io"
	"iter"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Line is one command of a script.
type Line struct {
	// Position is the file name and the line number, for messages.
	Position string
	Command  string
	// Args holds all arguments of the command, in order.
	Args []string
	// Operands holds the arguments without a "=", in order.
	Operands []string
	// Options holds the values of the arguments of the form key=value, by key.
	Options map[string]string

	t *testing.T
}

// Run runs each file that matches the pattern as a subtest: it calls run with
// the lines of the file. It fails if no file matches.
func Run(t *testing.T, pattern string, run func(*testing.T, iter.Seq[Line])) {
	files, err := filepath.Glob(pattern)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue, qt.Commentf("no script matches %s", pattern))
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, readLines(t, file)) })
		})
	}
}

func readLines(t *testing.T, file string) iter.Seq[Line] {
	return func(yield func(Line) bool) {
		f, err := os.Open(file)
		qt.Assert(t, err, qt.IsNil)
		defer f.Close() //nolint:errcheck // the file was only read.
		parse(t, file, f, yield)
	}
}

// Lines returns the lines of a script that a test composes. The name is for messages.
func Lines(t *testing.T, name, text string) iter.Seq[Line] {
	return func(yield func(Line) bool) { parse(t, name, strings.NewReader(text), yield) }
}

func parse(t *testing.T, name string, r io.Reader, yield func(Line) bool) {
	scanner := bufio.NewScanner(r)
	for n := 1; scanner.Scan(); n++ {
		text, _, _ := strings.Cut(scanner.Text(), "#")
		words := strings.Fields(text)
		if len(words) > 0 && !yield(parseLine(t, fmt.Sprintf("%s:%d", name, n), words)) {
			return
		}
	}
	qt.Assert(t, scanner.Err(), qt.IsNil)
}

func parseLine(t *testing.T, position string, words []string) Line {
	line := Line{Position: position, Command: words[0], Args: words[1:], Options: map[string]string{}, t: t}
	for _, word := range line.Args {
		if key, value, ok := strings.Cut(word, "="); ok {
			line.Options[key] = value
			continue
		}
		line.Operands = append(line.Operands, word)
	}
	return line
}

// ParseInt parses a decimal integer; the test fails if word is not one.
func (l Line) ParseInt(word string) int {
	n, err := strconv.Atoi(word)
	qt.Assert(l.t, err, qt.IsNil, qt.Commentf(l.Position))
	return n
}

// ParseDuration parses a duration; the test fails if word is not one. The empty string is
// a duration of 0.
func (l Line) ParseDuration(word string) time.Duration {
	if word == "" {
		return 0
	}
	d, err := time.ParseDuration(word)
	qt.Assert(l.t, err, qt.IsNil, qt.Commentf(l.Position))
	return d
}

// IntOption returns the integer value of an optional key=value argument, or
// defaultValue if it is absent or empty.
func (l Line) IntOption(key string, defaultValue int) int {
	if l.Options[key] == "" {
		return defaultValue
	}
	return l.ParseInt(l.Options[key])
}
