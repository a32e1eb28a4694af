package config

import (
	"bufio"
	"bytes"
	"strings"

	"gopkg.in/ini.v1"
)

// document is one parsed INI file together with the lines on which its
// sections and keys stand, which ini.v1 does not keep.
type document struct {
	file     string
	ini      *ini.File
	lines    map[place]int
	sections []string
	keys     map[string][]string
	findings Findings
}

type place struct{ section, key string }

// parse reads one INI file. Duplicate sections and keys, lines outside any
// section and syntax errors become findings.
func parse(file string, text []byte) *document {
	d := &document{file: file, lines: map[place]int{}, keys: map[string][]string{}}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment:     true,
		SkipUnrecognizableLines: true,
	}, text)
	if err != nil {
		d.add(place{}, "cannot be read as INI: "+err.Error())
		parsed = ini.Empty()
	}
	d.ini = parsed
	d.scan(text)
	return d
}

func (d *document) scan(text []byte) {
	section := ""
	number := 0
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		number++
		line := strings.TrimSpace(scanner.Text())
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = d.scanSection(line, number)
		default:
			d.scanKey(section, line, number)
		}
	}
	if scanner.Err() != nil {
		d.findings = append(d.findings, Finding{File: d.file, Line: number + 1, Problem: "the line is longer than 64 KiB"})
	}
}

func (d *document) scanSection(line string, number int) string {
	if !strings.HasSuffix(line, "]") {
		d.findings = append(d.findings, Finding{File: d.file, Line: number, Problem: "the section header lacks its closing ]"})
		return ""
	}
	name := strings.TrimSpace(line[1 : len(line)-1])
	at := place{section: name}
	if first, ok := d.lines[at]; ok {
		d.addAt(at, number, "duplicate section; the first is on line "+itoa(first))
		return name
	}
	d.lines[at] = number
	d.sections = append(d.sections, name)
	return name
}

func (d *document) scanKey(section, line string, number int) {
	key, _, ok := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	at := place{section, key}
	switch first, seen := d.lines[at]; {
	case !ok:
		d.findings = append(d.findings, Finding{File: d.file, Section: section, Line: number, Problem: "the line is neither a [section] nor key = value"})
	case section == "":
		d.addAt(at, number, "the key stands outside any section")
	case seen:
		d.addAt(at, number, "duplicate key; the first is on line "+itoa(first))
	default:
		d.lines[at] = number
		d.keys[section] = append(d.keys[section], key)
	}
}

func (d *document) value(section, key string) string {
	s, err := d.ini.GetSection(section)
	if err != nil {
		return ""
	}
	return s.Key(key).Value()
}

func (d *document) add(at place, problem string) {
	line, ok := d.lines[at]
	if !ok {
		line = d.lines[place{section: at.section}]
	}
	d.addAt(at, line, problem)
}

func (d *document) addAt(at place, line int, problem string) {
	d.findings = append(d.findings, Finding{File: d.file, Section: at.section, Key: at.key, Line: line, Problem: problem})
}
