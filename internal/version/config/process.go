package config

import (
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/request/ident"
)

// Process is the settings of one entry node: its place, its addresses, the
// platform and its keys.
type Process struct {
	Name   ident.NodeID
	Zone   ident.AvailabilityZone
	Region ident.Region
	// CallerAddress is the IP and TCP port for callers.
	CallerAddress string
	// PeerAddress is the IP and UDP port for the other nodes.
	PeerAddress string
	// OperatorAddress is the IP and TCP port for metrics and explain.
	OperatorAddress string
	// Tree is the directory of the settings tree; empty takes the tree from
	// the platform and follows its changes.
	Tree string
	// TableURL, ObjectURL and InstancesURL are those of the platform.
	TableURL     string
	ObjectURL    string
	InstancesURL string
	// CAFile, CertFile and KeyFile authenticate the nodes to each other.
	CAFile   string
	CertFile string
	KeyFile  string
	// ResumeKey signs resume tokens; all nodes share it.
	ResumeKey string
	// LedgerKey is the file of the fleet's ed25519 key; empty keeps no ledger.
	LedgerKey string
	// LogLevel is debug, info, warn or error.
	LogLevel  string
	LogFormat string
}

var processSections = map[string][]field[Process]{
	"node": {
		{"name", true, text(func(p *Process) *ident.NodeID { return &p.Name })},
		{"availability_zone", true, text(func(p *Process) *ident.AvailabilityZone { return &p.Zone })},
		{"region", true, text(func(p *Process) *ident.Region { return &p.Region })},
		{"caller_address", true, ipPort(func(p *Process) *string { return &p.CallerAddress })},
		{"peer_address", true, ipPort(func(p *Process) *string { return &p.PeerAddress })},
		{"operator_address", true, ipPort(func(p *Process) *string { return &p.OperatorAddress })},
	},
	"platform": {
		{"table", true, address(func(p *Process) *string { return &p.TableURL })},
		{"objects", true, address(func(p *Process) *string { return &p.ObjectURL })},
		{"instances", true, address(func(p *Process) *string { return &p.InstancesURL })},
	},
	"tls": {
		{"ca_file", true, text(func(p *Process) *string { return &p.CAFile })},
		{"cert_file", true, text(func(p *Process) *string { return &p.CertFile })},
		{"key_file", true, text(func(p *Process) *string { return &p.KeyFile })},
	},
	"settings": {
		{"tree", false, text(func(p *Process) *string { return &p.Tree })},
	},
	"resume": {
		{"key_file", true, text(func(p *Process) *string { return &p.ResumeKey })},
	},
	"ledger": {
		{"key_file", true, text(func(p *Process) *string { return &p.LedgerKey })},
	},
	"log": {
		{"level", false, oneOf(func(p *Process) *string { return &p.LogLevel }, map[string]string{
			"debug": "debug", "info": "info", "warn": "warn", "error": "error",
		})},
		{"format", false, oneOf(func(p *Process) *string { return &p.LogFormat }, map[string]string{
			"text": "text", "json": "json", "logfmt": "logfmt",
		})},
	},
}

var requiredSections = []string{"node", "platform", "tls", "resume"}

// LoadProcess reads the settings of one process from a file. Paths inside it
// are relative to the file. The error is of type Findings when the file is at
// fault.
func LoadProcess(file string) (Process, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Process{}, eris.Wrap(err, "read process settings")
	}
	p, err := ParseProcess(file, raw)
	if err != nil {
		return Process{}, err
	}
	base := filepath.Dir(file)
	for _, at := range []*string{&p.Tree, &p.CAFile, &p.CertFile, &p.KeyFile, &p.ResumeKey, &p.LedgerKey} {
		if *at != "" && !filepath.IsAbs(*at) {
			*at = filepath.Join(base, *at)
		}
	}
	return p, nil
}

// ParseProcess reads the settings of one process from a text.
func ParseProcess(file string, raw []byte) (Process, error) {
	p := Process{LogLevel: "info", LogFormat: "logfmt"}
	d := parse(file, raw)
	for _, section := range d.sections {
		fields, ok := processSections[section]
		if !ok {
			d.add(place{section: section}, "unknown section; known are "+sortedKeys(processSections))
			continue
		}
		fill(d, section, &p, fields)
	}
	for _, section := range requiredSections {
		if !slices.Contains(d.sections, section) {
			d.findings = append(d.findings, Finding{File: file, Problem: "the section [" + section + "] is missing"})
		}
	}
	return p, d.findings.Err()
}

// ipPort makes a setter for an IP address with a port.
func ipPort(at func(*Process) *string) func(*Process, string) error {
	return func(p *Process, v string) error {
		if _, err := netip.ParseAddrPort(v); err != nil {
			return eris.Errorf("%q is not an IP address with a port, such as 10.0.0.7:8443", v)
		}
		*at(p) = v
		return nil
	}
}
