package config

import (
	"bufio"
	"bytes"
	"strings"

	"gopkg.in/ini.v1"
)

// document is one parsed INI file with the line numbers of its sections and
// keys, which ini.v1 does not keep.
type document struct {
	file  string
	ini   *ini.File
	lines map[location]int
	// sections holds the names of the sections, and keys the keys of each section,
	// both in the order of the file and without duplicates.
	sections []string
	keys     map[string][]string
	findings Findings
	// ignoresUnknown makes unknown sections and keys part of ignored instead of findings.
	ignoresUnknown bool
	ignored        Findings
}

// location identifies a key, or a section if key is empty.
type location struct{ section, key string }

// parseDocument parses one INI file. Duplicate sections and keys, lines outside any
// section and syntax errors become findings.
func parseDocument(file string, text []byte) *document {
	d := &document{file: file, lines: map[location]int{}, keys: map[string][]string{}}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment:     true,
		SkipUnrecognizableLines: true,
	}, text)
	if err != nil {
		d.addFinding(location{}, "cannot be read as INI: "+err.Error())
		parsed = ini.Empty()
	}
	d.ini = parsed
	d.indexLines(text)
	return d
}

// indexLines records the line numbers of all sections and keys. Comment lines
// are skipped.
func (d *document) indexLines(text []byte) {
	section := ""
	lineNumber := 0
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		lineNumber++
		line := strings.TrimSpace(scanner.Text())
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = d.indexSection(line, lineNumber)
		default:
			d.indexKey(section, line, lineNumber)
		}
	}
	if scanner.Err() != nil {
		d.findings = append(d.findings, Finding{File: d.file, Line: lineNumber + 1, Problem: "the line is longer than 64 KiB"})
	}
}

// indexSection records a section header and returns the name of the section,
// or "" if the header is malformed.
func (d *document) indexSection(line string, lineNumber int) string {
	if !strings.HasSuffix(line, "]") {
		d.findings = append(d.findings, Finding{File: d.file, Line: lineNumber, Problem: "the section header lacks its closing ]"})
		return ""
	}
	name := strings.TrimSpace(line[1 : len(line)-1])
	loc := location{section: name}
	if first, ok := d.lines[loc]; ok {
		d.addFindingAt(loc, lineNumber, "duplicate section; the first is on line "+itoa(first))
		return name
	}
	d.lines[loc] = lineNumber
	d.sections = append(d.sections, name)
	return name
}

func (d *document) indexKey(section, line string, lineNumber int) {
	key, _, ok := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	loc := location{section, key}
	switch first, seen := d.lines[loc]; {
	case !ok:
		d.findings = append(d.findings, Finding{File: d.file, Section: section, Line: lineNumber, Problem: "the line is neither a [section] nor key = value"})
	case section == "":
		d.addFindingAt(loc, lineNumber, "the key is outside any section")
	case seen:
		d.addFindingAt(loc, lineNumber, "duplicate key; the first is on line "+itoa(first))
	default:
		d.lines[loc] = lineNumber
		d.keys[section] = append(d.keys[section], key)
	}
}

// value returns the value of a key, or "" if there is none.
func (d *document) value(section, key string) string {
	s, err := d.ini.GetSection(section)
	if err != nil {
		return ""
	}
	return s.Key(key).Value()
}

// addFinding records a problem at the line of the key, or of its section if the
// key has no line.
func (d *document) addFinding(loc location, problem string) {
	line, ok := d.lines[loc]
	if !ok {
		line = d.lines[location{section: loc.section}]
	}
	d.addFindingAt(loc, line, problem)
}

// addUnknown records an unknown section or key.
func (d *document) addUnknown(loc location, problem string) {
	d.addFinding(loc, problem)
	if last := len(d.findings) - 1; d.ignoresUnknown {
		d.findings, d.ignored = d.findings[:last], append(d.ignored, d.findings[last])
	}
}

func (d *document) addFindingAt(loc location, line int, problem string) {
	d.findings = append(d.findings, Finding{File: d.file, Section: loc.section, Key: loc.key, Line: line, Problem: problem})
}
