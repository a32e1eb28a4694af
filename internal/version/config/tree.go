package config

import (
	"errors"
	"io/fs"
	"path"
	"slices"
	"strings"

	"goldcrestwick/internal/process/ident"
)

const (
	rootFileName = "root.ini"
	teamsDir     = "teams"
	iniSuffix    = ".ini"
)

// builder holds a tree under construction.
type builder struct {
	tree     *Tree
	findings Findings
	// keyOwners names the account or operator that first used each key hash.
	keyOwners map[[sha256Bytes]byte]string
}

// Load reads, parses and validates a tree from root.ini and teams/*.ini. Any error
// is of type Findings.
func Load(dir fs.FS, version ident.Version) (*Tree, error) {
	files := map[string][]byte{}
	root, err := fs.ReadFile(dir, rootFileName)
	if err != nil {
		return nil, Findings{{File: rootFileName, Problem: "cannot be read: " + pathErrorCause(err)}}
	}
	files[rootFileName] = root
	entries, err := fs.ReadDir(dir, teamsDir)
	if err != nil {
		return nil, Findings{{File: teamsDir, Problem: "cannot be read: " + pathErrorCause(err)}}
	}
	for _, e := range entries {
		name := path.Join(teamsDir, e.Name())
		if e.IsDir() || !strings.HasSuffix(name, iniSuffix) {
			continue
		}
		if files[name], err = fs.ReadFile(dir, name); err != nil {
			return nil, Findings{{File: name, Problem: "cannot be read: " + pathErrorCause(err)}}
		}
	}
	return Parse(files, version)
}

// pathErrorCause returns the message of err without the operation and path of
// an fs.PathError.
func pathErrorCause(err error) string {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}

// Parse parses and validates a tree from the contents of its files, keyed by
// file name. Any error is of type Findings.
func Parse(files map[string][]byte, version ident.Version) (*Tree, error) {
	b := &builder{
		tree: &Tree{
			Version:           version,
			Limits:            defaultLimits(),
			pools:             map[ident.PoolID]*Pool{},
			accounts:          map[ident.ClientAccount]*Account{},
			accountsByKeyHash: map[[sha256Bytes]byte]*Account{},
			poolsByModel:      map[string][]*Pool{},
			poolsByService:    map[string][]*Pool{},

			operatorsByKeyHash: map[[sha256Bytes]byte]*Operator{},
		},
		keyOwners: map[[sha256Bytes]byte]string{},
	}
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		b.parseFile(name, files[name])
	}
	if _, ok := files[rootFileName]; !ok {
		b.findings = append(b.findings, Finding{File: rootFileName, Problem: "the file is missing"})
	}
	if err := b.findings.Err(); err != nil {
		return nil, err
	}
	return b.tree, nil
}

func (b *builder) parseFile(name string, content []byte) {
	d := parseDocument(name, content)
	defer func() { b.findings = append(b.findings, d.findings...) }()
	if name == rootFileName {
		b.parseRoot(d)
		return
	}
	team := teamOfFile(name)
	if team == "" {
		d.findings = append(d.findings, Finding{File: name, Problem: "the file is neither root.ini nor teams/NAME.ini with a NAME in lower-case snake_case"})
		return
	}
	b.parseTeam(d, team)
}

// teamOfFile returns the team whose subtree the file holds, or "".
func teamOfFile(file string) ident.Team {
	name, ok := strings.CutSuffix(path.Base(file), iniSuffix)
	if !ok || path.Dir(file) != teamsDir || checkName(name) != nil {
		return ""
	}
	return ident.Team(name)
}

// parseOperator parses one [operator.NAME] section.
func (b *builder) parseOperator(d *document, section, name string, team ident.Team) {
	o := &Operator{Name: name, Team: team}
	setFields(d, section, o, operatorFields)
	if first, ok := b.keyOwners[o.KeyHash]; ok && o.KeyHash != [sha256Bytes]byte{} {
		d.addFinding(location{section, "key_sha256"}, "the key is used by "+first+" already")
		return
	}
	b.keyOwners[o.KeyHash] = "operator " + name
	b.tree.operatorsByKeyHash[o.KeyHash] = o
}

func (b *builder) parseRoot(d *document) {
	for _, section := range d.sections {
		switch section {
		case "fleet":
			setFields(d, section, b.tree, fleetFields)
		case "limits":
			setFields(d, section, &b.tree.Limits, limitFields)
		default:
			if name, ok := strings.CutPrefix(section, "operator."); ok && checkName(name) == nil {
				b.parseOperator(d, section, name, "")
				continue
			}
			d.addFinding(location{section: section}, "unknown section; root.ini has [fleet], [limits] and [operator.NAME], everything else belongs in teams/NAME.ini")
		}
	}
	if !slices.Contains(d.sections, "fleet") {
		d.findings = append(d.findings, Finding{File: d.file, Problem: "the section [fleet] is missing"})
	}
}

func (b *builder) parseTeam(d *document, id ident.Team) {
	team := &Team{ID: id}
	sectionOf := map[any]string{}
	for _, section := range d.sections {
		b.parseTeamSection(d, team, section, sectionOf)
	}
	b.resolve(d, team, sectionOf)
	b.tree.Teams = append(b.tree.Teams, team)
}

// parseTeamSection parses one [kind.name] section and records in sectionOf the
// section of the object that it creates.
func (b *builder) parseTeamSection(d *document, team *Team, section string, sectionOf map[any]string) {
	kind, name, _ := strings.Cut(section, ".")
	if kind == "team" || strings.Contains(name, "/") || strings.Contains(name, ".") {
		d.addFinding(location{section: section}, "is outside the subtree of team "+string(team.ID))
		return
	}
	if !slices.Contains(teamSectionKinds, kind) {
		d.addFinding(location{section: section}, "unknown section; a team has [tier.NAME], [account.NAME], [pool.NAME], [endpoint.NAME], [rule.NAME] and [operator.NAME]")
		return
	}
	if err := checkName(name); err != nil {
		d.addFinding(location{section: section}, err.Error())
		return
	}
	qualified := string(team.ID) + "/" + name
	switch kind {
	case "tier":
		t := &Tier{Name: name}
		setFields(d, section, t, tierFields)
		team.Tiers = append(team.Tiers, t)
		sectionOf[t] = section
	case "account":
		a := &Account{ID: ident.ClientAccount(qualified), Team: team, Weight: 1}
		setFields(d, section, a, accountFields)
		team.Accounts = append(team.Accounts, a)
		sectionOf[a] = section
	case "pool":
		p := defaultPool(ident.PoolID(qualified), team)
		setFields(d, section, p, poolFields)
		team.Pools = append(team.Pools, p)
		sectionOf[p] = section
	case "endpoint":
		e := &Endpoint{ID: ident.Endpoint(qualified)}
		setFields(d, section, e, endpointFields)
		team.Endpoints = append(team.Endpoints, e)
		sectionOf[e] = section
	case "operator":
		b.parseOperator(d, section, name, team.ID)
	case "rule":
		r := &Rule{Name: name}
		setFields(d, section, r, ruleFields)
		team.Rules = append(team.Rules, r)
		sectionOf[r] = section
	}
}

var teamSectionKinds = []string{"tier", "account", "pool", "endpoint", "rule", "operator"}
