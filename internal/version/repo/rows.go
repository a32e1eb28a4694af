package repo

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/request/ident"
)

type headRow struct {
	Version uint64             `json:"version"`
	Files   map[string]fileRow `json:"files"`
}

type fileRow struct {
	Hash    string `json:"sha256"`
	Changed uint64 `json:"changed"`
}

type pastRow struct {
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
		panic(err) // strings and numbers always encode.
	}
	return raw
}

func encodeHead(h Head) []byte {
	row := headRow{uint64(h.Version), map[string]fileRow{}}
	for name, f := range h.Files {
		row.Files[name] = fileRow{f.Hash, uint64(f.Changed)}
	}
	return encode(row)
}

func decodeHead(r store.Row) (Head, error) {
	var row headRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return Head{}, eris.Wrap(err, "head of the settings")
	}
	h := Head{Version: ident.Version(row.Version), Files: map[string]File{}, row: r.Version}
	for name, f := range row.Files {
		h.Files[name] = File{f.Hash, ident.Version(f.Changed)}
	}
	return h, nil
}

func textWrite(hash string, text []byte) store.Write {
	return store.Write{Table: Table, Key: textPrefix + hash, Value: encode(text)}
}

func pastWrite(p Past) store.Write {
	row := pastRow{uint64(p.Version), p.File, p.Hash, p.Operator, p.Token, p.Time.UnixMilli()}
	return store.Write{Table: Table, Key: pastKey(p.Version), Value: encode(row)}
}

func decodePast(raw []byte) (Past, error) {
	var row pastRow
	if err := json.Unmarshal(raw, &row); err != nil {
		return Past{}, eris.Wrap(err, "history of the settings")
	}
	return Past{ident.Version(row.Version), row.File, row.Hash, row.Operator, row.Token, time.UnixMilli(row.Time)}, nil
}
