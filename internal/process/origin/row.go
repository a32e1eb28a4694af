package origin

import (
	"slices"
	"time"

	"goldcrestwick/internal/process/ident"
)

// Row is the record of a pool in the store, which outlives all processes.
type Row struct {
	// Releases lists the releases, sorted, at whose endpoints streams can have begun in the
	// last two minutes.
	Releases []ident.Release
	// Gone lists those of them that no endpoint has at present. They must be confirmed
	// again before they are used.
	Gone []ident.Release
	// Era is the era of the store in which the row was written, and Serial the number of
	// writes of the row.
	Era, Serial int64
	// CompleteSince is the time in Unix milliseconds since when no other release than
	// Releases can have begun a stream.
	CompleteSince int64
}

// Sole returns the only release that can have begun a stream of the pool within maxAge
// before now, given that the row was read from a store of an era just now. It returns false
// if that cannot be told: the row lists several, or other ones may have been lost with the
// latest changes of the store.
func (r Row) Sole(era int64, maxAge time.Duration, now time.Time) (ident.Release, bool) {
	if len(r.Releases) != 1 || r.Era != era || now.UnixMilli()-r.CompleteSince < maxAge.Milliseconds() {
		return "", false
	}
	return r.Releases[0], true
}

// Usable returns the releases that may be used once the row is known to be in the store.
func (r Row) Usable() []ident.Release {
	return slices.DeleteFunc(slices.Clone(r.Releases), func(release ident.Release) bool { return slices.Contains(r.Gone, release) })
}

// isEmpty reports whether the row is none, as before it is known.
func (r Row) isEmpty() bool { return r.Serial == 0 && len(r.Releases) == 0 }

// isAfter reports whether the row was written after another one.
func (r Row) isAfter(other Row) bool {
	return r.Era > other.Era || r.Era == other.Era && r.Serial > other.Serial
}

// union returns the sorted releases that any of the lists has.
func union(lists ...[]ident.Release) []ident.Release {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(lists...))))
}
