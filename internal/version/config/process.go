package config

import (
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

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
	// StoreAddress is the IP and port of the platform's store.
	StoreAddress string
	// CAFile, CertFile and KeyFile authenticate the nodes to each other.
	CAFile   string
	CertFile string
	KeyFile  string
	// ResumeKey signs resume tokens; all nodes share it.
	ResumeKey string
	// LedgerKey is the file of the fleet's ed25519 key; empty keeps no ledger.
	LedgerKey string
	// DirectoryAddress and ReadyAddress are the IP and TCP ports for callers
	// that ask where to connect and for the platform's checks; empty where the
	// callers' own interface has both.
	DirectoryAddress string
	ReadyAddress     string
	// MetricsAddress is the IP and TCP port for metrics; empty leaves them to
	// the operators' address alone.
	MetricsAddress string
	// Zones gives the region of each availability zone.
	Zones map[ident.AvailabilityZone]ident.Region
	// Memory is what this process may use, in bytes; 0 is not said.
	Memory int64
	// Grace is the time between the signal to stop and the end.
	Grace time.Duration
	// RetryBudget bounds what the fleet sends to a second endpoint.
	RetryBudget RetryBudget
	// LogLevel is debug, info, warn or error.
	LogLevel  string
	LogFormat string
}

// RetryBudget bounds repeats in any window to a share of the requests plus a fixed
// number.
type RetryBudget struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
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
		{"store", true, ipPort(func(p *Process) *string { return &p.StoreAddress })},
	},
	"entry": {
		{"directory_address", true, ipPort(func(p *Process) *string { return &p.DirectoryAddress })},
		{"ready_address", true, ipPort(func(p *Process) *string { return &p.ReadyAddress })},
		{"metrics_address", false, ipPort(func(p *Process) *string { return &p.MetricsAddress })},
		{"zones", false, zones},
		{"memory", false, size(func(p *Process) *int64 { return &p.Memory })},
		{"grace", true, span(func(p *Process) *time.Duration { return &p.Grace })},
	},
	"repeats": {
		{"ratio", true, rate(func(p *Process) *float64 { return &p.RetryBudget.Ratio })},
		{"extra", true, rate(func(p *Process) *float64 { return &p.RetryBudget.Extra })},
		{"window", true, span(func(p *Process) *time.Duration { return &p.RetryBudget.Window })},
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

// A node takes certificates and settings from the platform's store, or its
// keys from files.
var (
	requiredSections      = []string{"node", "platform", "tls", "resume"}
	requiredEntrySections = []string{"node", "platform", "entry", "repeats"}
)

// zones reads pairs of a zone and its region, such as a:north, b:north.
func zones(p *Process, v string) error {
	p.Zones = map[ident.AvailabilityZone]ident.Region{}
	for pair := range strings.SplitSeq(v, ",") {
		zone, region, ok := strings.Cut(strings.TrimSpace(pair), ":")
		if !ok || zone == "" || region == "" {
			return eris.Errorf("%q is not ZONE:REGION", pair)
		}
		p.Zones[ident.AvailabilityZone(zone)] = ident.Region(region)
	}
	return nil
}

// LoadProcess reads the settings of one process from a file. The error is of
// type Findings when the file is at fault.
func LoadProcess(file string) (Process, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Process{}, eris.Wrap(err, "read process settings")
	}
	return ParseProcess(file, raw)
}

// ParseProcess reads the settings of one process from the text of a file.
// Paths inside it are relative to the file.
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
	required := requiredSections
	if slices.Contains(d.sections, "entry") {
		required = requiredEntrySections
	}
	for _, section := range required {
		if !slices.Contains(d.sections, section) {
			d.findings = append(d.findings, Finding{File: file, Problem: "the section [" + section + "] is missing"})
		}
	}
	if err := d.findings.Err(); err != nil {
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
