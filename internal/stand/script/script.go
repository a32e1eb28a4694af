// Package script runs tests that are scripts of lines in data files.
//
// A line is a command and its arguments. What follows a # is a comment. Each
// file is a test of its own in a bubble of fake time.
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

// Line is one command.
type Line struct {
	// Place is the file and the line, for messages.
	Place   string
	Command string
	// Args are all words after the command. Names are those without a "=",
	// Given the others by their keys.
	Args  []string
	Names []string
	Given map[string]string

	t *testing.T
}

// Run plays each file that matches the pattern.
func Run(t *testing.T, pattern string, play func(*testing.T, iter.Seq[Line])) {
	files, err := filepath.Glob(pattern)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue, qt.Commentf("no file matches %s", pattern))
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, lines(t, file)) })
		})
	}
}

func lines(t *testing.T, file string) iter.Seq[Line] {
	return func(yield func(Line) bool) {
		f, err := os.Open(file)
		qt.Assert(t, err, qt.IsNil)
		defer f.Close() //nolint:errcheck // only read.
		scanner := bufio.NewScanner(f)
		for n := 1; scanner.Scan(); n++ {
			text, _, _ := strings.Cut(scanner.Text(), "#")
			words := strings.Fields(text)
			if len(words) > 0 && !yield(parse(t, fmt.Sprintf("%s:%d", file, n), words)) {
				return
			}
		}
		qt.Assert(t, scanner.Err(), qt.IsNil)
	}
}

func parse(t *testing.T, place string, words []string) Line {
	line := Line{Place: place, Command: words[0], Args: words[1:], Given: map[string]string{}, t: t}
	for _, word := range line.Args {
		if key, value, ok := strings.Cut(word, "="); ok {
			line.Given[key] = value
			continue
		}
		line.Names = append(line.Names, word)
	}
	return line
}

// Number reads a whole number.
func (l Line) Number(word string) int {
	n, err := strconv.Atoi(word)
	qt.Assert(l.t, err, qt.IsNil, qt.Commentf(l.Place))
	return n
}

// Span reads a duration; "" is 0.
func (l Line) Span(word string) time.Duration {
	if word == "" {
		return 0
	}
	d, err := time.ParseDuration(word)
	qt.Assert(l.t, err, qt.IsNil, qt.Commentf(l.Place))
	return d
}

// Int returns a number that may be given by key.
func (l Line) Int(key string, otherwise int) int {
	if l.Given[key] == "" {
		return otherwise
	}
	return l.Number(l.Given[key])
}
