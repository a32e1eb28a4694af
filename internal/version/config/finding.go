package config

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault in the settings, with its location.
type Finding struct {
	// File is the path that was passed to the parser.
	File string
	// Section and Key locate the fault inside the file; either may be empty.
	Section string
	Key     string
	// Line counts from 1; 0 means the whole file.
	Line int
	// Problem describes the fault and what is expected instead.
	Problem string
}

// String returns "file:line: [section] key: problem".
func (f Finding) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:", f.File, f.Line)
	if f.Section != "" {
		fmt.Fprintf(&b, " [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s", f.Key)
	}
	if f.Section != "" || f.Key != "" {
		b.WriteByte(':')
	}
	return b.String() + " " + f.Problem
}

// Findings is a list of faults. It implements error; see Err for empty lists.
type Findings []Finding

// Error returns all findings, one per line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the findings by file and line and returns them as an error, or nil
// if there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	sort.SliceStable(fs, func(i, j int) bool {
		if fs[i].File != fs[j].File {
			return fs[i].File < fs[j].File
		}
		return fs[i].Line < fs[j].Line
	})
	return fs
}
