// Package lint checks a configuration before it takes effect, and compares it with the
// one in force.
//
// It works on plain values and decodes no format. Locations such as "accounts[0].keys[1]"
// use the names of this package; who decodes a format translates them.
//
// # Usage
//
//	findings := lint.Check(proposed)
//	differences, more := lint.Compare(inForce, proposed)
package lint

import (
	"fmt"
	"strings"
)

// Location is the path of a value in a configuration, for example "routes[3].service".
type Location string

// Milliseconds is a duration as configurations state it.
type Milliseconds int64

// Config is a configuration with its entries in the order of the document.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route is the policy for requests to one host below one path prefix.
type Route struct {
	Name, Host, Prefix     string
	Kind                   RouteKind
	Timeout, LatencyTarget Milliseconds
	Priority               int
	// Service is used only if Shares is empty.
	Service           string
	Shares            []Share
	Attempts          int
	Public, Resumable bool
	// EventGapTarget is the longest pause between the events of a stream that is in
	// time, 0 if there is no such target.
	EventGapTarget Milliseconds
}

// RouteKind is the kind of a route as text.
type RouteKind string

// The valid kinds of route.
const (
	Idempotent    RouteKind = "idempotent"
	NonIdempotent RouteKind = "non_idempotent"
	Stream        RouteKind = "stream"
)

// Share is the weight of a service on a route.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of equivalent endpoints.
type Service struct {
	Name string
	// Engine is nil if the service has no model runners.
	Engine *Engine
}

// Engine describes the model runners of a service.
type Engine struct {
	Slots          int
	CacheTokens    int64
	TokensPerEvent int
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority is nil if the route's priority applies.
	Priority *int
	// Rate is per second, in tokens if HasTokens, and in requests otherwise. 0 means
	// unlimited.
	Rate float64
	// Burst applies only if HasTokens; 0 means the rate times 1 s.
	Burst     float64
	HasTokens bool
	Unit      string
	// DefaultTokens is charged for a request that states no token counts.
	DefaultTokens int64
}

// Limits are the limits of callers' connections. Defaults have been applied.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout Milliseconds
}

// Severity tells whether a configuration with a finding can be used.
type Severity uint8

// The severities.
const (
	// Warning marks a configuration that can be used but probably not as intended.
	Warning Severity = iota
	// Error marks a configuration that must not be sent.
	Error
)

// String returns the severity in lower case.
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// Finding is one fault in a configuration.
type Finding struct {
	Severity Severity
	Location Location
	// Problem describes the fault and what is expected instead.
	Problem string
}

// String returns "severity: location: problem".
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Severity, f.Location, f.Problem)
}

// report collects findings.
type report struct{ findings []Finding }

func (r *report) add(s Severity, at Location, format string, values ...any) {
	r.findings = append(r.findings, Finding{s, at, fmt.Sprintf(format, values...)})
}

// index returns the location of an item of a list.
func (l Location) index(i int) Location { return Location(fmt.Sprintf("%s[%d]", l, i)) }

// field returns the location of a field.
func (l Location) field(name string) Location { return l + "." + Location(name) }

// Contains reports whether inner is l or lies within it.
func (l Location) Contains(inner Location) bool {
	rest, ok := strings.CutPrefix(string(inner), string(l))
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}
