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
	maxLineBytes = 64 << 10
	hashBytes    = 32
)

var nameForm = regexp.MustCompile(`^[a-z][a-z0-9_]{0,62}$`)

// field reads one key of a section into a T.
type field[T any] struct {
	name     string
	required bool
	set      func(*T, string) error
}

// fill reads every key of a section into target and records unknown keys,
// missing keys and bad values as findings.
func fill[T any](d *document, section string, target *T, fields []field[T]) {
	known := map[string]field[T]{}
	for _, f := range fields {
		known[f.name] = f
	}
	given := map[string]bool{}
	for _, key := range d.keys[section] {
		f, ok := known[key]
		if !ok {
			d.add(place{section, key}, "unknown key; known are "+names(fields))
			continue
		}
		given[key] = true
		if err := f.set(target, d.value(section, key)); err != nil {
			d.add(place{section, key}, err.Error())
		}
	}
	for _, f := range fields {
		if f.required && !given[f.name] {
			d.add(place{section: section}, "the key "+f.name+" is missing")
		}
	}
}

func names[T any](fields []field[T]) string {
	all := make([]string, len(fields))
	for i, f := range fields {
		all[i] = f.name
	}
	return strings.Join(all, ", ")
}

// text makes a setter for a non-empty string type.
func text[T any, S ~string](at func(*T) *S) func(*T, string) error {
	return func(t *T, v string) error {
		if v == "" {
			return eris.New("the value is empty")
		}
		*at(t) = S(v)
		return nil
	}
}

// count makes a setter for a whole number between low and high.
func count[T any, N ~int | ~int64 | ~uint8](at func(*T) *N, low, high int64) func(*T, string) error {
	return func(t *T, v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < low || n > high {
			return eris.Errorf("%q is not a whole number from %d to %d", v, low, high)
		}
		*at(t) = N(n)
		return nil
	}
}

// rate makes a setter for a positive finite number a second.
func rate[T any](at func(*T) *float64) func(*T, string) error {
	return func(t *T, v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n <= 0 || math.IsInf(n, 0) || math.IsNaN(n) {
			return eris.Errorf("%q is not a positive number a second", v)
		}
		*at(t) = n
		return nil
	}
}

// span makes a setter for a positive duration with its unit.
func span[T any](at func(*T) *time.Duration) func(*T, string) error {
	return func(t *T, v string) error {
		n, err := time.ParseDuration(v)
		if err != nil || n <= 0 {
			return eris.Errorf("%q is not a positive duration with its unit, such as 78ms, 1.1s or 5m", v)
		}
		*at(t) = n
		return nil
	}
}

var byteUnits = []struct {
	suffix string
	factor int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// size makes a setter for a number of bytes with its unit.
func size[T any](at func(*T) *int64) func(*T, string) error {
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
			*at(t) = n * u.factor
			return nil
		}
		return eris.Errorf("%q is not a positive size with its unit, such as 512KiB or 8MiB", v)
	}
}

// address makes a setter for an http or https URL.
func address[T any](at func(*T) *string) func(*T, string) error {
	return func(t *T, v string) error {
		u, err := url.Parse(v)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return eris.Errorf("%q is not an address such as http://10.0.0.7:8000", v)
		}
		*at(t) = strings.TrimSuffix(v, "/")
		return nil
	}
}

// oneOf makes a setter for a value out of a fixed list.
func oneOf[T, V any](at func(*T) *V, choices map[string]V) func(*T, string) error {
	return func(t *T, v string) error {
		chosen, ok := choices[v]
		if !ok {
			return eris.Errorf("%q is not one of %s", v, sortedKeys(choices))
		}
		*at(t) = chosen
		return nil
	}
}

// keyHash makes a setter for a SHA-256 in hexadecimal.
func keyHash[T any](at func(*T) *[hashBytes]byte) func(*T, string) error {
	return func(t *T, v string) error {
		raw, err := hex.DecodeString(v)
		if err != nil || len(raw) != hashBytes {
			return eris.New("the value is not a SHA-256 of 64 hexadecimal digits")
		}
		copy(at(t)[:], raw)
		return nil
	}
}

// list makes a setter for values parted by commas.
func list[T any](at func(*T) *[]string) func(*T, string) error {
	return func(t *T, v string) error {
		for part := range strings.SplitSeq(v, ",") {
			part = strings.TrimSpace(part)
			if part == "" {
				return eris.New("the list has an empty part")
			}
			*at(t) = append(*at(t), part)
		}
		return nil
	}
}

func sortedKeys[V any](m map[string]V) string {
	all := make([]string, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	sortStrings(all)
	return strings.Join(all, ", ")
}

func itoa(n int) string { return strconv.Itoa(n) }

func checkName(name string) error {
	if nameForm.MatchString(name) {
		return nil
	}
	return fmt.Errorf("the name %q is not lower-case snake_case of at most 63 letters", name)
}
