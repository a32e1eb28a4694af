package lint

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"slices"
	"strconv"
	"strings"
)

// keyHashDigits is the number of hexadecimal digits that are shown of a key's hash. Keys
// are secrets, and the output of a comparison is often kept.
const keyHashDigits = 4

// Change tells how an entry or a field differs.
type Change uint8

// The changes.
const (
	Changed Change = iota
	Added
	Removed
)

// String returns the change in lower case.
func (c Change) String() string { return [...]string{"changed", "added", "removed"}[min(c, Removed)] }

// Difference is one difference between two configurations.
type Difference struct {
	Change Change
	// List is "routes", "services", "accounts" or "limits".
	List string
	// Name is the name of the entry, and empty for limits.
	Name string
	// Field is empty if the entry as a whole was added or removed. For keys, Change
	// tells whether one was added or removed.
	Field Location
	// Old and New are the values, "" if there is none.
	Old, New string
	// IsRisky marks a change that may refuse requests that are served now.
	IsRisky bool
}

// value is a field of an entry.
type value struct {
	field Location
	text  string
	// limit is the number that bounds what is served, if isLimit.
	limit   float64
	isLimit bool
}

// entry is a named item of a list.
type entry struct {
	name   string
	values []value
	keys   []string
}

// Compare returns the differences between the configuration in force and the proposed one,
// and the faults that only the comparison shows. Entries correspond by name.
func Compare(inForce, proposed Config) ([]Difference, []Finding) {
	var r report
	if proposed.Version <= inForce.Version {
		r.add(Error, "version", "%d is not higher than %d, the version in force", proposed.Version, inForce.Version)
	}
	used, willUse := routesByService(inForce.Routes), routesByService(proposed.Routes)
	all := compareLists("routes", entriesOf(inForce.Routes, Route.entry), entriesOf(proposed.Routes, Route.entry))
	for i := range all {
		all[i].IsRisky = all[i].IsRisky || all[i].Change == Removed
	}
	services := compareLists("services", entriesOf(inForce.Services, Service.entry), entriesOf(proposed.Services, Service.entry))
	for i, d := range services {
		services[i].IsRisky = d.IsRisky || d.Change == Removed && len(used[d.Name]) > 0
	}
	all = append(all, services...)
	for _, s := range proposed.Services {
		if len(used[s.Name]) > 0 && len(willUse[s.Name]) == 0 &&
			slices.ContainsFunc(inForce.Services, func(old Service) bool { return old.Name == s.Name }) {
			all = append(all, Difference{List: "services", Name: s.Name, Field: "routes", Old: strings.Join(used[s.Name], ", "), IsRisky: true})
		}
	}
	all = append(all, compareLists("accounts", entriesOf(inForce.Accounts, Account.entry), entriesOf(proposed.Accounts, Account.entry))...)
	limits := compareLists("limits", []entry{inForce.Limits.entry()}, []entry{proposed.Limits.entry()})
	return append(all, limits...), r.findings
}

func entriesOf[T any](items []T, convert func(T) entry) []entry {
	all := make([]entry, len(items))
	for i, item := range items {
		all[i] = convert(item)
	}
	return all
}

// compareLists compares the entries of two lists by name: those removed, then the others
// in the order of the new list. Of entries with the same name only the first counts.
func compareLists(list string, before, after []entry) (all []Difference) {
	find := func(entries []entry, name string) int {
		return slices.IndexFunc(entries, func(e entry) bool { return e.name == name })
	}
	for i, e := range before {
		if find(before, e.name) == i && find(after, e.name) < 0 {
			all = append(all, Difference{Change: Removed, List: list, Name: e.name, IsRisky: len(e.keys) > 0})
		}
	}
	for i, e := range after {
		if find(after, e.name) != i {
			continue
		}
		at := find(before, e.name)
		if at < 0 {
			all = append(all, Difference{Change: Added, List: list, Name: e.name})
			continue
		}
		all = append(all, compareEntries(list, before[at], e)...)
	}
	return all
}

// compareEntries compares two states of an entry field by field.
func compareEntries(list string, before, after entry) (all []Difference) {
	for _, v := range after.values {
		i := slices.IndexFunc(before.values, func(old value) bool { return old.field == v.field })
		old := value{field: v.field}
		if i >= 0 {
			old = before.values[i]
		}
		if old.text != v.text {
			isLowered := v.isLimit && old.isLimit && v.limit < old.limit/2
			all = append(all, Difference{List: list, Name: after.name, Field: v.field, Old: old.text, New: v.text, IsRisky: isLowered})
		}
	}
	for _, old := range before.values {
		if !slices.ContainsFunc(after.values, func(v value) bool { return v.field == old.field }) {
			all = append(all, Difference{List: list, Name: after.name, Field: old.field, Old: old.text})
		}
	}
	for _, key := range before.keys {
		if !slices.Contains(after.keys, key) {
			all = append(all, Difference{Change: Removed, List: list, Name: after.name, Field: "keys", Old: hashPrefix(key), IsRisky: true})
		}
	}
	for _, key := range after.keys {
		if !slices.Contains(before.keys, key) {
			all = append(all, Difference{Change: Added, List: list, Name: after.name, Field: "keys", New: hashPrefix(key)})
		}
	}
	return all
}

func hashPrefix(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])[:keyHashDigits]
}

func text(field Location, s string) value   { return value{field: field, text: s} }
func number(field Location, n int) value    { return text(field, strconv.Itoa(n)) }
func boolean(field Location, is bool) value { return text(field, strconv.FormatBool(is)) }
func limit[N ~int | ~int64](f Location, n N) value {
	return value{field: f, text: strconv.FormatInt(int64(n), 10), limit: float64(n), isLimit: true}
}

func (r Route) entry() entry {
	shares := make([]string, len(r.Shares))
	service := r.Service
	for i, s := range r.Shares {
		shares[i] = s.Service + " " + strconv.Itoa(s.Weight)
		service = ""
	}
	return entry{name: r.Name, values: []value{
		text("host", strings.ToLower(r.Host)), text("prefix", r.Prefix), text("kind", string(r.Kind)),
		limit("timeout", r.Timeout), text("latency_target", strconv.FormatInt(int64(r.LatencyTarget), 10)),
		number("priority", r.Priority), text("service", service), text("shares", strings.Join(shares, ", ")),
		limit("attempts", max(r.Attempts, 1)), boolean("public", r.Public), boolean("resumable", r.Resumable),
		text("event_gap_target", strconv.FormatInt(int64(r.EventGapTarget), 10)),
	}}
}

func (s Service) entry() entry {
	e := entry{name: s.Name, values: []value{boolean("engine", s.Engine != nil)}}
	if s.Engine != nil {
		e.values = append(e.values, limit("engine.slots", s.Engine.Slots),
			limit("engine.cache_tokens", s.Engine.CacheTokens), number("engine.tokens_per_event", s.Engine.TokensPerEvent))
	}
	return e
}

func (a Account) entry() entry {
	priority := ""
	if a.Priority != nil {
		priority = strconv.Itoa(*a.Priority)
	}
	rate, burst := a.Rate, math.Inf(1)
	if rate <= 0 {
		rate = math.Inf(1)
	} else if a.HasTokens {
		burst = a.effectiveBurst()
	}
	return entry{name: a.Name, keys: a.Keys, values: []value{
		text("priority", priority), text("unit", a.Unit),
		{"rate", strconv.FormatFloat(a.Rate, 'f', -1, 64), rate, true},
		{"burst", strconv.FormatFloat(a.Burst, 'f', -1, 64), burst, true},
		text("default_tokens", strconv.FormatInt(a.DefaultTokens, 10)),
	}}
}

func (l Limits) entry() entry {
	return entry{values: []value{
		limit("header_bytes", l.HeaderBytes), limit("body_bytes", l.BodyBytes),
		limit("header_timeout", l.HeaderTimeout), limit("idle_timeout", l.IdleTimeout),
	}}
}
