package config

import (
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/ident"
)

// Process holds the settings of one entry node: its location, its addresses, the
// platform's address, the paths of its keys, the regions of the availability zones,
// its memory size, its grace period, the fleet's retry budget and its logging.
type Process struct {
	// Ignored lists the unknown sections and keys.
	Ignored Findings
	Name    ident.NodeID
	Zone    ident.AvailabilityZone
	Region  ident.Region
	// CallerAddress is the IP and TCP port for callers.
	CallerAddress string
	// PeerAddress is the IP and UDP port for other nodes.
	PeerAddress string
	// OperatorAddress is the IP and TCP port for operators: metrics, recorded steps
	// of requests, and settings.
	OperatorAddress string
	// TreeDir is the directory of the settings tree. If empty, the tree is read
	// from the platform and its changes are applied.
	TreeDir string
	// IsFirstStart is set if the whole fleet starts for the first time.
	IsFirstStart bool
	// Capacity is this instance's processor time in thousandths of a core; 0 means
	// unknown.
	Capacity int
	// StoreAddress is the IP and port of the platform's store.
	StoreAddress string
	// CAFile, CertFile and KeyFile are the paths of the TLS credentials with which
	// nodes authenticate to each other.
	CAFile   string
	CertFile string
	KeyFile  string
	// ResumeKeyFile is the path of the key that signs resume tokens; all nodes share
	// it.
	ResumeKeyFile string
	// LedgerKeyFile is the path of the fleet's ed25519 key. If empty, no ledger is
	// kept.
	LedgerKeyFile string
	// DirectoryAddress and ReadyAddress are the IPs and TCP ports for callers'
	// requests for entry node addresses and for the platform's readiness checks.
	// They are empty if CallerAddress serves both.
	DirectoryAddress string
	ReadyAddress     string
	// MetricsAddress is an additional IP and TCP port for metrics. If empty, only
	// OperatorAddress serves them.
	MetricsAddress string
	// Zones maps availability zones to regions.
	Zones map[ident.AvailabilityZone]ident.Region
	// MemoryBytes is how much memory this process can use; 0 means unknown.
	MemoryBytes int64
	// Descriptors is how many file descriptors this process may open; 0 means as many as the
	// system allows.
	Descriptors int
	// GracePeriod is the longest time that the process may take to exit after a stop
	// signal.
	GracePeriod time.Duration
	// RetryBudget bounds the retries of the fleet at other endpoints.
	RetryBudget RetryBudget
	// ExposeShare, ExposeSlack and Rollback bound what a bad release may get while a pool
	// is moved to it; see canary.Limits. No rollout is conducted if they are 0.
	ExposeShare float64
	ExposeSlack int
	Rollback    time.Duration
	// LimitTolerance is what the platform tolerates above the limits of an account.
	LimitTolerance LimitTolerance
	// StartsFromNodes lets a starting node of a large fleet get the settings and the endpoints
	// from another node. It saves calls to the store, and makes the start of all nodes at once
	// some tenths of a second longer.
	StartsFromNodes bool
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// LogFormat is text, json or logfmt.
	LogFormat string
}

// RetryBudget bounds the retries in any Window to Ratio times the number of
// requests, plus Extra.
type RetryBudget struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// LimitTolerance bounds the tokens that an account may use in any Window, summed over all
// nodes: its rate times Window plus its burst, times 1 + Over, plus Slack tokens.
type LimitTolerance struct {
	Over   float64
	Slack  float64
	Window time.Duration
}

// IsSet reports whether the settings state a tolerance.
func (t LimitTolerance) IsSet() bool { return t.Window > 0 }

var processFields = map[string][]field[Process]{
	"node": {
		{"name", true, stringSetter(func(p *Process) *ident.NodeID { return &p.Name })},
		{"availability_zone", true, stringSetter(func(p *Process) *ident.AvailabilityZone { return &p.Zone })},
		{"region", true, stringSetter(func(p *Process) *ident.Region { return &p.Region })},
		{"caller_address", true, addrPortSetter(func(p *Process) *string { return &p.CallerAddress })},
		{"peer_address", true, addrPortSetter(func(p *Process) *string { return &p.PeerAddress })},
		{"operator_address", true, addrPortSetter(func(p *Process) *string { return &p.OperatorAddress })},
		{"first_start", false, boolSetter(func(p *Process) *bool { return &p.IsFirstStart })},
		{"cores", false, setCapacity},
	},
	"platform": {
		{"store", true, addrPortSetter(func(p *Process) *string { return &p.StoreAddress })},
		{"start_from_nodes", false, boolSetter(func(p *Process) *bool { return &p.StartsFromNodes })},
	},
	"entry": {
		{"directory_address", true, addrPortSetter(func(p *Process) *string { return &p.DirectoryAddress })},
		{"ready_address", true, addrPortSetter(func(p *Process) *string { return &p.ReadyAddress })},
		{"metrics_address", false, addrPortSetter(func(p *Process) *string { return &p.MetricsAddress })},
		{"zones", false, setZones},
		{"memory", false, byteSizeSetter(func(p *Process) *int64 { return &p.MemoryBytes })},
		{"descriptors", false, setDescriptors},
		{"grace", true, durationSetter(func(p *Process) *time.Duration { return &p.GracePeriod })},
	},
	"repeats": {
		{"ratio", true, rateSetter(func(p *Process) *float64 { return &p.RetryBudget.Ratio })},
		{"extra", true, rateSetter(func(p *Process) *float64 { return &p.RetryBudget.Extra })},
		{"window", true, durationSetter(func(p *Process) *time.Duration { return &p.RetryBudget.Window })},
	},
	"rollout": {
		{"expose_share", true, rateSetter(func(p *Process) *float64 { return &p.ExposeShare })},
		{"expose_slack", false, setExposeSlack},
		{"rollback", false, setRollback},
	},
	"limits": {
		{"over", true, fractionSetter(func(p *Process) *float64 { return &p.LimitTolerance.Over })},
		{"slack", false, setLimitSlack},
		{"window", false, setLimitWindow},
	},
	"tls": {
		{"ca_file", true, stringSetter(func(p *Process) *string { return &p.CAFile })},
		{"cert_file", true, stringSetter(func(p *Process) *string { return &p.CertFile })},
		{"key_file", true, stringSetter(func(p *Process) *string { return &p.KeyFile })},
	},
	"settings": {
		{"tree", false, stringSetter(func(p *Process) *string { return &p.TreeDir })},
	},
	"resume": {
		{"key_file", true, stringSetter(func(p *Process) *string { return &p.ResumeKeyFile })},
	},
	"ledger": {
		{"key_file", true, stringSetter(func(p *Process) *string { return &p.LedgerKeyFile })},
	},
	"log": {
		{"level", false, enumSetter(func(p *Process) *string { return &p.LogLevel }, map[string]string{
			"debug": "debug", "info": "info", "warn": "warn", "error": "error",
		})},
		{"format", false, enumSetter(func(p *Process) *string { return &p.LogFormat }, map[string]string{
			"text": "text", "json": "json", "logfmt": "logfmt",
		})},
	},
}

// Sections that the settings of a process must have. A process with an entry
// section gets its certificates and settings from the platform's store; any
// other process reads its keys from files.
var (
	requiredNodeSections  = []string{"node", "platform", "tls", "resume"}
	requiredEntrySections = []string{"node", "platform", "entry", "repeats"}
)

// setCapacity parses a number of cores, such as 0.4. An empty value is unknown.
func setCapacity(p *Process, v string) error {
	if v == "" {
		return nil
	}
	cores, err := strconv.ParseFloat(v, 64)
	if err != nil || cores <= 0 || cores > maxCores {
		return eris.Errorf("%q is not a number of cores above 0", v)
	}
	p.Capacity = int(cores * 1000)
	return nil
}

// setDescriptors parses a number of file descriptors; an empty value is unknown.
func setDescriptors(p *Process, v string) error {
	if v == "" {
		return nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n <= 0 {
		return eris.Errorf("%q is not a positive number of descriptors", v)
	}
	p.Descriptors = n
	return nil
}

// setExposeSlack parses a number of requests; an empty value is unknown.
func setExposeSlack(p *Process, v string) error {
	if v == "" {
		return nil
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 0 || n > maxExposeSlack {
		return eris.Errorf("%q is not a number of requests", v)
	}
	p.ExposeSlack = int(n)
	return nil
}

// setRollback parses a duration. A unit alone, which the template leaves if the platform
// gives no number, is unknown.
func setRollback(p *Process, v string) error {
	if v == "" || v == "ms" {
		return nil
	}
	return durationSetter(func(p *Process) *time.Duration { return &p.Rollback })(p, v)
}

// fractionSetter returns a setter for a fraction from 0 to 1.
func fractionSetter(fieldPtr func(*Process) *float64) func(*Process, string) error {
	return func(p *Process, v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= 0 && n <= 1) {
			return eris.Errorf("%q is not a fraction from 0 to 1", v)
		}
		*fieldPtr(p) = n
		return nil
	}
}

// setLimitSlack parses a number of tokens; an empty value is 0.
func setLimitSlack(p *Process, v string) error {
	if v == "" {
		return nil
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= 0 && n <= maxSlackTokens) {
		return eris.Errorf("%q is not a number of tokens", v)
	}
	p.LimitTolerance.Slack = n
	return nil
}

// setLimitWindow parses a duration. A unit alone, which the template leaves if the platform
// gives no number, is unknown, and there is no tolerance then.
func setLimitWindow(p *Process, v string) error {
	if v == "" || v == "s" {
		return nil
	}
	return durationSetter(func(p *Process) *time.Duration { return &p.LimitTolerance.Window })(p, v)
}

// maxSlackTokens bounds the tokens that are tolerated above a limit.
const maxSlackTokens = 1 << 40

// maxExposeSlack bounds the requests that a bad release may get beyond its share.
const maxExposeSlack = 1 << 20

// maxCores bounds the number of cores of an instance.
const maxCores = 4096

// setZones parses pairs of a zone and its region, such as a:north, b:north.
func setZones(p *Process, v string) error {
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

// LoadProcess reads and parses the settings of one process. The error is of
// type Findings if the file can be read but is invalid.
func LoadProcess(file string) (Process, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Process{}, eris.Wrap(err, "read process settings")
	}
	return ParseProcess(file, content)
}

// ParseProcess parses the settings of one process. Paths in the settings are
// relative to the directory of file. The error is of type Findings. With a section [entry],
// unknown sections and keys are ignored: the platform may fill in the template of a later build.
func ParseProcess(file string, content []byte) (Process, error) {
	p := Process{LogLevel: "info", LogFormat: "logfmt"}
	d := parseDocument(file, content)
	d.ignoresUnknown = slices.Contains(d.sections, "entry")
	for _, section := range d.sections {
		fields, ok := processFields[section]
		if !ok {
			d.addUnknown(location{section: section}, "unknown section; known are "+sortedKeys(processFields))
			continue
		}
		setFields(d, section, &p, fields)
	}
	required := requiredNodeSections
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
	p.Ignored = d.ignored
	dir := filepath.Dir(file)
	for _, path := range []*string{&p.TreeDir, &p.CAFile, &p.CertFile, &p.KeyFile, &p.ResumeKeyFile, &p.LedgerKeyFile} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
	return p, nil
}

// addrPortSetter returns a setter for an IP address with a port.
func addrPortSetter(fieldPtr func(*Process) *string) func(*Process, string) error {
	return func(p *Process, v string) error {
		if _, err := netip.ParseAddrPort(v); err != nil {
			return eris.Errorf("%q is not an IP address with a port, such as 10.0.0.7:8443", v)
		}
		*fieldPtr(p) = v
		return nil
	}
}
