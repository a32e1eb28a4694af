package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/origin"
	"goldcrestwick/internal/process/store"
)

// releaseRow is the value of a row of releaseTable, whose key is the pool. A row without an
// era was written by a version of the program that used releases before it listed them.
type releaseRow struct {
	Releases      []ident.Release `json:"releases"`
	Gone          []ident.Release `json:"gone,omitempty"`
	Era           *int64          `json:"era"`
	Serial        int64           `json:"serial"`
	CompleteSince int64           `json:"complete_since_unix_ms,omitempty"`
}

// unknownEra is the era of a row without one. It precedes all others.
const unknownEra = -1

// decodeReleaseRow decodes a row of releaseTable; a row that does not exist has version 0.
func decodeReleaseRow(r store.Row) (origin.Row, error) {
	if r.Version == 0 || r.Deleted {
		return origin.Row{}, nil
	}
	var row releaseRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return origin.Row{Era: unknownEra}, eris.Wrap(err, "decode the row of a pool's releases")
	}
	decoded := origin.Row{Releases: row.Releases, Gone: row.Gone, Era: unknownEra, Serial: row.Serial, CompleteSince: row.CompleteSince}
	if row.Era != nil {
		decoded.Era = *row.Era
	}
	return decoded, nil
}

func encodeReleaseRow(row origin.Row) []byte {
	value, err := json.Marshal(releaseRow{row.Releases, row.Gone, &row.Era, row.Serial, row.CompleteSince})
	if err != nil {
		panic(err) // encoding strings cannot fail.
	}
	return value
}

// learnReleaseRow records a row that was read by a call which started at a time, and returns it.
func (n *Node) learnReleaseRow(r store.Row, started time.Time) origin.Row {
	row, err := decodeReleaseRow(r)
	if err != nil {
		n.Log.Warn("release_row_unreadable", "key", r.Key, "error", err)
	}
	n.releases.listing.LearnRow(ident.PoolID(r.Key), row, r.Version, started, time.Now())
	return row
}

// releaseVersion returns the version of a pool's row, and reads the row if it is not known.
func (n *Node) releaseVersion(ctx context.Context, pool ident.PoolID) (int64, error) {
	if version, ok := n.releases.listing.Version(pool); ok {
		return version, nil
	}
	started := time.Now()
	r, err := n.readReleaseRow(ctx, pool)
	if err != nil {
		return 0, err
	}
	n.learnReleaseRow(r, started)
	return r.Version, nil
}

// readReleaseRow reads a pool's row; one that does not exist has version 0. Like the writes of
// rows and origins it uses no circuit breaker, which may stay open for 5 s after the store is
// back: these calls are few, and their callers pause after failures.
func (n *Node) readReleaseRow(ctx context.Context, pool ident.PoolID) (store.Row, error) {
	rows, err := n.Store.ScanRange(ctx, releaseTable, string(pool), string(pool)+"\x00")
	if err != nil || len(rows) == 0 {
		return store.Row{Key: string(pool)}, err
	}
	return rows[0], nil
}
