package node

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/poison"
	"goldcrestwick/internal/process/store"
)

const (
	// crashTable has crashes of endpoints, for the case that all nodes are killed. Its keys
	// are POOL|NODE|SLOT, and each node overwrites its rows in turn.
	crashTable = "crashes"
	// crashSlots is the number of rows of a node for each pool. It also bounds what is kept
	// in memory to be written.
	crashSlots = 32
	// maxCrashRowBytes bounds the estimated size of a row, which may have 65,536 bytes.
	maxCrashRowBytes = 60_000
	// crashRowBytes and traitRowBytes bound the encoded size of a crash without the name of
	// its endpoint and of a trait with the time of its completion.
	crashRowBytes, traitRowBytes = 160, 56
	// maxRowTraits is the number of traits of a crash that are written. More do not fit into
	// a row.
	maxRowTraits = 1000
)

// crashRow is the value of a row of crashTable. Traits are hexadecimal numbers.
type crashRow struct {
	WrittenUnixMilli int64        `json:"written_unix_ms"`
	Crashes          []crashEntry `json:"crashes"`
	// CompletedAges has the time from the latest completion of a request with each trait of
	// the crashes to the write.
	CompletedAges map[string]int64 `json:"completed_ages_ms,omitempty"`
}

type crashEntry struct {
	Endpoint         ident.Endpoint `json:"endpoint"`
	StartedUnixMilli int64          `json:"started_unix_ms,omitempty"`
	AgeMilli         int64          `json:"age_ms"`
	// SentAgeMilli is the age of the request, which was sent before the crash.
	SentAgeMilli int64    `json:"sent_age_ms"`
	Traits       []string `json:"traits"`
}

func encodeCrashRow(crashes []poison.Crash, completed map[ident.Trait]time.Time, now time.Time) []byte {
	row := crashRow{WrittenUnixMilli: now.UnixMilli(), CompletedAges: map[string]int64{}}
	for _, c := range crashes {
		entry := crashEntry{
			Endpoint: c.Endpoint.ID, StartedUnixMilli: c.Endpoint.StartedUnixMilli,
			AgeMilli: now.Sub(c.At).Milliseconds(), SentAgeMilli: now.Sub(c.SentAt).Milliseconds(),
		}
		for _, trait := range c.Traits[:min(len(c.Traits), maxRowTraits)] {
			entry.Traits = append(entry.Traits, traitKey(trait))
			if at, ok := completed[trait]; ok {
				row.CompletedAges[traitKey(trait)] = now.Sub(at).Milliseconds()
			}
		}
		row.Crashes = append(row.Crashes, entry)
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // encoding strings and integers cannot fail.
	}
	return value
}

// sizeInRow returns an upper bound of the size of a crash in a row.
func sizeInRow(c poison.Crash) int {
	// An escaped character of a name takes up to six bytes.
	return crashRowBytes + 6*len(c.Endpoint.ID) + traitRowBytes*min(len(c.Traits), maxRowTraits)
}

// decodeCrashRow returns what a row has, without what is older than the evidence time. A row
// that was written after now, by another node's clock, counts as written now.
func decodeCrashRow(pool ident.PoolID, value []byte, now time.Time) (report poison.Report, written time.Time, err error) {
	var row crashRow
	if err := json.Unmarshal(value, &row); err != nil {
		return poison.Report{}, time.Time{}, err
	}
	written = time.UnixMilli(row.WrittenUnixMilli)
	base := written
	if base.After(now) {
		base = now
	}
	before := func(age int64) time.Time {
		// Longer ages count as just outdated: as durations they may overflow.
		return base.Add(-time.Duration(min(max(age, 0), 2*poison.EvidenceTime.Milliseconds())) * time.Millisecond)
	}
	for _, entry := range row.Crashes {
		c := poison.Crash{
			Endpoint: poison.Endpoint{Pool: pool, ID: entry.Endpoint, StartedUnixMilli: entry.StartedUnixMilli},
			SentAt:   before(entry.SentAgeMilli), At: before(entry.AgeMilli),
		}
		if now.Sub(c.At) > poison.EvidenceTime {
			continue
		}
		for _, key := range entry.Traits {
			if trait, err := strconv.ParseUint(key, 16, 64); err == nil {
				c.Traits = append(c.Traits, ident.Trait(trait))
			}
		}
		report.Crashes = append(report.Crashes, c)
	}
	report.Completed = map[ident.Trait]time.Time{}
	for key, age := range row.CompletedAges {
		if trait, err := strconv.ParseUint(key, 16, 64); err == nil {
			report.Completed[ident.Trait(trait)] = before(age)
		}
	}
	return report, written, nil
}

// parseCrashKey splits a key of crashTable. Names of pools and nodes have no bar.
func parseCrashKey(r store.Row) (pool ident.PoolID, node ident.NodeID, slot int, ok bool) {
	parts := strings.Split(r.Key, "|")
	if len(parts) != 3 {
		return "", "", 0, false
	}
	slot, err := strconv.Atoi(parts[2])
	return ident.PoolID(parts[0]), ident.NodeID(parts[1]), slot, err == nil && slot >= 0 && slot < crashSlots
}
