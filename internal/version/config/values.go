package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxLineBytes bounds a line of an INI file.
	maxLineBytes = 64 << 10
	sha256Bytes  = 32
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_]{0,62}$`)

// field describes one key of a section and sets its value in a T.
type field[T any] struct {
	key      string
	required bool
	set      func(*T, string) error
}

// setFields sets the fields of target from the keys of a section and records
// unknown keys, missing keys and invalid values as findings.
func setFields[T any](d *document, section string, target *T, fields []field[T]) {
	known := map[string]field[T]{}
	for _, f := range fields {
		known[f.key] = f
	}
	given := map[string]bool{}
	for _, key := range d.keys[section] {
		f, ok := known[key]
		if !ok {
			d.addUnknown(location{section, key}, "unknown key; known are "+fieldKeys(fields))
			continue
		}
		given[key] = true
		if err := f.set(target, d.value(section, key)); err != nil {
			d.addFinding(location{section, key}, err.Error())
		}
	}
	for _, f := range fields {
		if f.required && !given[f.key] {
			d.addFinding(location{section: section}, "the key "+f.key+" is missing")
		}
	}
}

// fieldKeys returns the keys of the fields as a comma-separated list.
func fieldKeys[T any](fields []field[T]) string {
	all := make([]string, len(fields))
	for i, f := range fields {
		all[i] = f.key
	}
	return strings.Join(all, ", ")
}

// stringSetter returns a setter for a non-empty string.
func stringSetter[T any, S ~string](fieldPtr func(*T) *S) func(*T, string) error {
	return func(t *T, v string) error {
		if v == "" {
			return eris.New("the value is empty")
		}
		*fieldPtr(t) = S(v)
		return nil
	}
}

// integerSetter returns a setter for an integer from low to high.
func integerSetter[T any, N ~int | ~int64 | ~uint8](fieldPtr func(*T) *N, low, high int64) func(*T, string) error {
	return func(t *T, v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < low || n > high {
			return eris.Errorf("%q is not a whole number from %d to %d", v, low, high)
		}
		*fieldPtr(t) = N(n)
		return nil
	}
}

// rateSetter returns a setter for a positive finite number, such as a rate per
// second.
func rateSetter[T any](fieldPtr func(*T) *float64) func(*T, string) error {
	return func(t *T, v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n <= 0 || math.IsInf(n, 0) || math.IsNaN(n) {
			return eris.Errorf("%q is not a positive number per second", v)
		}
		*fieldPtr(t) = n
		return nil
	}
}

// boolSetter returns a setter for true or false; an empty value is false.
func boolSetter[T any](fieldPtr func(*T) *bool) func(*T, string) error {
	return func(t *T, v string) error {
		if v != "true" && v != "false" && v != "" {
			return eris.Errorf("%q is neither true nor false", v)
		}
		*fieldPtr(t) = v == "true"
		return nil
	}
}

// durationSetter returns a setter for a positive duration with a unit.
func durationSetter[T any](fieldPtr func(*T) *time.Duration) func(*T, string) error {
	return func(t *T, v string) error {
		n, err := time.ParseDuration(v)
		if err != nil || n <= 0 {
			return eris.Errorf("%q is not a positive duration with its unit, such as 78ms, 1.1s or 5m", v)
		}
		*fieldPtr(t) = n
		return nil
	}
}

var byteUnits = []struct {
	suffix string
	factor int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// byteSizeSetter returns a setter for a positive number of bytes with a unit.
func byteSizeSetter[T any](fieldPtr func(*T) *int64) func(*T, string) error {
	return func(t *T, v string) error {
		for _, u := range byteUnits {
			digits, ok := strings.CutSuffix(v, u.suffix)
			if !ok {
				continue
			}
			n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
			if err != nil || n <= 0 || n > math.MaxInt64/u.factor {
				break
			}
			*fieldPtr(t) = n * u.factor
			return nil
		}
		return eris.Errorf("%q is not a positive size with its unit, such as 512KiB or 8MiB", v)
	}
}

// urlSetter returns a setter for an http or https URL, from which it removes a
// trailing slash.
func urlSetter[T any](fieldPtr func(*T) *string) func(*T, string) error {
	return func(t *T, v string) error {
		u, err := url.Parse(v)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return eris.Errorf("%q is not an address such as http://10.0.0.7:8000", v)
		}
		*fieldPtr(t) = strings.TrimSuffix(v, "/")
		return nil
	}
}

// enumSetter returns a setter for one of a fixed set of values.
func enumSetter[T, V any](fieldPtr func(*T) *V, choices map[string]V) func(*T, string) error {
	return func(t *T, v string) error {
		chosen, ok := choices[v]
		if !ok {
			return eris.Errorf("%q is not one of %s", v, sortedKeys(choices))
		}
		*fieldPtr(t) = chosen
		return nil
	}
}

// hashSetter returns a setter for a SHA-256 hash in hexadecimal.
func hashSetter[T any](fieldPtr func(*T) *[sha256Bytes]byte) func(*T, string) error {
	return func(t *T, v string) error {
		raw, err := hex.DecodeString(v)
		if err != nil || len(raw) != sha256Bytes {
			return eris.New("the value is not a SHA-256 of 64 hexadecimal digits")
		}
		copy(fieldPtr(t)[:], raw)
		return nil
	}
}

// listSetter returns a setter for a comma-separated list without empty elements.
func listSetter[T any](fieldPtr func(*T) *[]string) func(*T, string) error {
	return func(t *T, v string) error {
		for element := range strings.SplitSeq(v, ",") {
			element = strings.TrimSpace(element)
			if element == "" {
				return eris.New("the list has an empty element")
			}
			*fieldPtr(t) = append(*fieldPtr(t), element)
		}
		return nil
	}
}

// sortedKeys returns the sorted keys of m as a comma-separated list.
func sortedKeys[V any](m map[string]V) string {
	all := make([]string, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	sortStrings(all)
	return strings.Join(all, ", ")
}

func itoa(n int) string { return strconv.Itoa(n) }

// checkName checks the name of a team, a section or an operator.
func checkName(name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return fmt.Errorf("the name %q is not lower-case snake_case of at most 63 characters", name)
}
