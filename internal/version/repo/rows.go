package repo

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/store"
)

type headRow struct {
	Version uint64             `json:"version"`
	Files   map[string]fileRow `json:"files"`
}

type fileRow struct {
	Hash    string `json:"sha256"`
	Changed uint64 `json:"changed"`
}

type historyRow struct {
	Version  uint64 `json:"version"`
	File     string `json:"file"`
	Hash     string `json:"sha256"`
	Operator string `json:"operator"`
	Token    string `json:"token"`
	Time     int64  `json:"unix_ms"`
}

func encode(row any) []byte {
	raw, err := json.Marshal(row)
	if err != nil {
		panic(err) // strings and numbers can always be encoded.
	}
	return raw
}

func encodeHead(h Head) []byte {
	row := headRow{uint64(h.Version), map[string]fileRow{}}
	for name, f := range h.Files {
		row.Files[name] = fileRow{f.Hash, uint64(f.ChangedIn)}
	}
	return encode(row)
}

func decodeHead(r store.Row) (Head, error) {
	var row headRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return Head{}, eris.Wrap(err, "decode the head row of the settings")
	}
	h := Head{Version: ident.Version(row.Version), Files: map[string]File{}, rowVersion: r.Version}
	for name, f := range row.Files {
		h.Files[name] = File{f.Hash, ident.Version(f.Changed)}
	}
	return h, nil
}

func textWrite(hash string, text []byte) store.Write {
	return store.Write{Table: Table, Key: textPrefix + hash, Value: encode(text)}
}

func historyWrite(entry HistoryEntry) store.Write {
	row := historyRow{uint64(entry.Version), entry.File, entry.Hash, entry.Operator, entry.Token, entry.Time.UnixMilli()}
	return store.Write{Table: Table, Key: historyKey(entry.Version), Value: encode(row)}
}

func decodeHistoryEntry(raw []byte) (HistoryEntry, error) {
	var row historyRow
	if err := json.Unmarshal(raw, &row); err != nil {
		return HistoryEntry{}, eris.Wrap(err, "decode a history row of the settings")
	}
	return HistoryEntry{ident.Version(row.Version), row.File, row.Hash, row.Operator, row.Token, time.UnixMilli(row.Time)}, nil
}
