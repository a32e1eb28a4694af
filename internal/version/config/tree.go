package config

import (
	"errors"
	"io/fs"
	"path"
	"slices"
	"strings"

	"goldcrestwick/internal/request/ident"
)

const (
	rootFile  = "root.ini"
	teamsDir  = "teams"
	iniSuffix = ".ini"
)

// builder holds a tree while it is read.
type builder struct {
	tree     *Tree
	findings Findings
	// keyPlaces remembers where each key hash was first given.
	keyPlaces map[[hashBytes]byte]string
}

// Load reads and checks a whole tree from root.ini and teams/*.ini. The error
// is of type Findings when the files could be read but are at fault.
func Load(dir fs.FS, version ident.Version) (*Tree, error) {
	files := map[string][]byte{}
	root, err := fs.ReadFile(dir, rootFile)
	if err != nil {
		return nil, Findings{{File: rootFile, Problem: "cannot be read: " + cause(err)}}
	}
	files[rootFile] = root
	entries, err := fs.ReadDir(dir, teamsDir)
	if err != nil {
		return nil, Findings{{File: teamsDir, Problem: "cannot be read: " + cause(err)}}
	}
	for _, e := range entries {
		name := path.Join(teamsDir, e.Name())
		if e.IsDir() || !strings.HasSuffix(name, iniSuffix) {
			continue
		}
		if files[name], err = fs.ReadFile(dir, name); err != nil {
			return nil, Findings{{File: name, Problem: "cannot be read: " + cause(err)}}
		}
	}
	return Parse(files, version)
}

func cause(err error) string {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}

// Parse reads and checks a whole tree from the texts of its files, by name.
func Parse(files map[string][]byte, version ident.Version) (*Tree, error) {
	b := &builder{
		tree: &Tree{
			Version:  version,
			Limits:   defaultLimits(),
			pools:    map[ident.PoolID]*Pool{},
			accounts: map[ident.ClientAccount]*Account{},
			byKey:    map[[hashBytes]byte]*Account{},
			models:   map[string][]*Pool{},
			services: map[string][]*Pool{},

			operators: map[[hashBytes]byte]*Operator{},
		},
		keyPlaces: map[[hashBytes]byte]string{},
	}
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		b.file(name, files[name])
	}
	if _, ok := files[rootFile]; !ok {
		b.findings = append(b.findings, Finding{File: rootFile, Problem: "the file is missing"})
	}
	if err := b.findings.Err(); err != nil {
		return nil, err
	}
	return b.tree, nil
}

func (b *builder) file(name string, text []byte) {
	d := parse(name, text)
	defer func() { b.findings = append(b.findings, d.findings...) }()
	if name == rootFile {
		b.root(d)
		return
	}
	team := teamOf(name)
	if team == "" {
		d.findings = append(d.findings, Finding{File: name, Problem: "the file is neither root.ini nor teams/NAME.ini with a NAME in lower-case snake_case"})
		return
	}
	b.team(d, team)
}

// teamOf returns the team whose subtree a file is, or "".
func teamOf(file string) ident.Team {
	name, ok := strings.CutSuffix(path.Base(file), iniSuffix)
	if !ok || path.Dir(file) != teamsDir || checkName(name) != nil {
		return ""
	}
	return ident.Team(name)
}

// operator reads one [operator.NAME] section.
func (b *builder) operator(d *document, section, name string, team ident.Team) {
	o := &Operator{Name: name, Team: team}
	fill(d, section, o, operatorFields)
	if first, ok := b.keyPlaces[o.KeyHash]; ok && o.KeyHash != [hashBytes]byte{} {
		d.add(place{section, "key_sha256"}, "the key is that of "+first+" already")
		return
	}
	b.keyPlaces[o.KeyHash] = "operator " + name
	b.tree.operators[o.KeyHash] = o
}

func (b *builder) root(d *document) {
	for _, section := range d.sections {
		switch section {
		case "fleet":
			fill(d, section, b.tree, fleetFields)
		case "limits":
			fill(d, section, &b.tree.Limits, limitFields)
		default:
			if name, ok := strings.CutPrefix(section, "operator."); ok && checkName(name) == nil {
				b.operator(d, section, name, "")
				continue
			}
			d.add(place{section: section}, "unknown section; root.ini has [fleet], [limits] and [operator.NAME], all else belongs to teams/NAME.ini")
		}
	}
	if !slices.Contains(d.sections, "fleet") {
		d.findings = append(d.findings, Finding{File: d.file, Problem: "the section [fleet] is missing"})
	}
}

func (b *builder) team(d *document, id ident.Team) {
	team := &Team{ID: id}
	places := map[any]string{}
	for _, section := range d.sections {
		b.teamSection(d, team, section, places)
	}
	b.resolve(d, team, places)
	b.tree.Teams = append(b.tree.Teams, team)
}

// teamSection reads one [kind.name] section; places maps what was read back to
// its section.
func (b *builder) teamSection(d *document, team *Team, section string, places map[any]string) {
	kind, name, _ := strings.Cut(section, ".")
	if kind == "team" || strings.Contains(name, "/") || strings.Contains(name, ".") {
		d.add(place{section: section}, "reaches outside the subtree of team "+string(team.ID))
		return
	}
	if !slices.Contains(sectionKinds, kind) {
		d.add(place{section: section}, "unknown section; a team has [tier.NAME], [account.NAME], [pool.NAME], [endpoint.NAME], [rule.NAME] and [operator.NAME]")
		return
	}
	if err := checkName(name); err != nil {
		d.add(place{section: section}, err.Error())
		return
	}
	qualified := string(team.ID) + "/" + name
	switch kind {
	case "tier":
		t := &Tier{Name: name}
		fill(d, section, t, tierFields)
		team.Tiers = append(team.Tiers, t)
		places[t] = section
	case "account":
		a := &Account{ID: ident.ClientAccount(qualified), Team: team, Weight: 1}
		fill(d, section, a, accountFields)
		team.Accounts = append(team.Accounts, a)
		places[a] = section
	case "pool":
		p := defaultPool(ident.PoolID(qualified), team)
		fill(d, section, p, poolFields)
		team.Pools = append(team.Pools, p)
		places[p] = section
	case "endpoint":
		e := &Endpoint{ID: ident.Endpoint(qualified)}
		fill(d, section, e, endpointFields)
		team.Endpoints = append(team.Endpoints, e)
		places[e] = section
	case "operator":
		b.operator(d, section, name, team.ID)
	case "rule":
		r := &Rule{Name: name}
		fill(d, section, r, ruleFields)
		team.Rules = append(team.Rules, r)
		places[r] = section
	}
}

var sectionKinds = []string{"tier", "account", "pool", "endpoint", "rule", "operator"}
