package cloud

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
)

const (
	maxObject  = 8 << 20
	maxRows    = 500
	maxEntries = 100
	maxWait    = 30 * time.Second
)

// The tables that only the platform itself writes.
var reserved = []string{"op", "servers"}

// ServeHTTP serves the platform's protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.once.Do(func() { p.router = p.routes() })
	op := Op{Write: r.Method != http.MethodGet, Path: r.URL.Path, Table: r.URL.Query().Get("table")}
	p.mu.Lock()
	var fault Fault
	if p.Fault != nil {
		fault = p.Fault(op)
	}
	if op.Write {
		p.writes++
	} else {
		p.reads++
	}
	p.mu.Unlock()
	time.Sleep(fault.Delay)
	switch {
	case fault.Down:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	case fault.Busy:
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	case fault.LoseAnswer:
		w = lost{w}
	}
	p.router.ServeHTTP(w, r)
	if fault.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
}

// lost throws an answer away.
type lost struct{ http.ResponseWriter }

func (lost) Write(b []byte) (int, error) { return len(b), nil }
func (lost) WriteHeader(int)             {}

func (p *Platform) routes() http.Handler {
	r := chi.NewRouter()
	r.Post("/api/rows-tx", p.transact)
	r.Get("/api/rows-get", p.get)
	r.Get("/api/rows-feed", p.feed)
	r.Put("/api/blob-put/*", p.putObject)
	r.Get("/api/blob-get/*", p.object)
	r.Delete("/api/blob-drop/*", p.dropObject)
	r.Get("/api/blob-list", p.list)
	return r
}

// rowForm is a row on the wire; values are base64, as encoding/json does.
type rowForm struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	SchemaVer int64  `json:"schema_ver"`
	Deleted   bool   `json:"deleted,omitempty"`
}

func formOf(f found) rowForm { return rowForm{f.table, f.part, f.key, f.Value, f.Version, f.deleted} }

type rowsForm struct {
	Rows      []rowForm `json:"rows"`
	HasMore   bool      `json:"has_more"`
	SchemaVer int64     `json:"schema_ver"`
	NowMs     int64     `json:"now_ms"`
}

type transactionForm struct {
	Precondition []rowForm `json:"precondition"`
	Write        []rowForm `json:"write"`
	Remove       []rowForm `json:"remove"`
}

func (p *Platform) transact(w http.ResponseWriter, r *http.Request) {
	var form transactionForm
	if err := json.NewDecoder(r.Body).Decode(&form); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t, status := form.transaction()
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	result := p.Apply(t)
	p.mu.Lock()
	answer := rowsForm{Rows: []rowForm{}, SchemaVer: p.version, NowMs: time.Now().UnixMilli()}
	p.mu.Unlock()
	for _, c := range result.Conflicts {
		answer.Rows = append(answer.Rows, rowForm{c.Table, t.Part, c.Key, c.Value, c.Version, false})
	}
	status = http.StatusOK
	if !result.Applied {
		status = http.StatusPreconditionFailed
	}
	writeJSON(w, status, answer)
}

// transaction maps a form. All entries share one part, and reserved tables
// cannot be written.
func (f transactionForm) transaction() (t Transaction, status int) {
	parts := map[string]bool{}
	entries := 0
	for _, rows := range [][]rowForm{f.Precondition, f.Write, f.Remove} {
		entries += len(rows)
		for _, row := range rows {
			parts[row.Part] = true
			t.Part = row.Part
		}
	}
	if len(parts) > 1 || entries > maxEntries {
		return t, http.StatusBadRequest
	}
	for _, row := range f.Precondition {
		t.Checks = append(t.Checks, Check{row.Table, row.Key, row.SchemaVer})
	}
	for _, row := range append(slices.Clone(f.Write), f.Remove...) {
		if slices.Contains(reserved, row.Table) {
			return t, http.StatusForbidden
		}
	}
	for _, row := range f.Write {
		if row.Value == nil {
			row.Value = []byte{}
		}
		t.Writes = append(t.Writes, Write{row.Table, row.Key, row.Value})
	}
	for _, row := range f.Remove {
		t.Writes = append(t.Writes, Write{Table: row.Table, Key: row.Key})
	}
	return t, http.StatusOK
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	rows, version := p.scan(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"))
	most := maxRows
	if n, err := strconv.Atoi(q.Get("max_items")); err == nil && n > 0 {
		most = min(n, maxRows)
	}
	answer := rowsForm{Rows: []rowForm{}, SchemaVer: version, NowMs: time.Now().UnixMilli(), HasMore: len(rows) > most}
	for _, row := range rows[:min(len(rows), most)] {
		answer.Rows = append(answer.Rows, formOf(row))
	}
	writeJSON(w, http.StatusOK, answer)
}

func (p *Platform) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || errWait != nil && q.Get("wait_ms") != "" {
		http.Error(w, "after or wait_ms is no number", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		rows, version, next, ok := p.since(q.Get("table"), after)
		if !ok {
			http.Error(w, "the history is gone", http.StatusGone)
			return
		}
		late := false
		if len(rows) == 0 {
			select {
			case <-next:
				continue
			case <-timer.C:
				late = true
			case <-r.Context().Done():
				return
			}
		}
		if len(rows) > 0 || late {
			answer := rowsForm{Rows: []rowForm{}, SchemaVer: version, NowMs: time.Now().UnixMilli()}
			for _, row := range rows {
				answer.Rows = append(answer.Rows, formOf(row))
			}
			writeJSON(w, http.StatusOK, answer)
			return
		}
	}
}

// objectName returns the name in a path; a slash in it is escaped.
func objectName(r *http.Request) string {
	name, err := url.PathUnescape(chi.URLParam(r, "*"))
	if err != nil {
		return chi.URLParam(r, "*")
	}
	return name
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxObject))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.objects[objectName(r)]; ok && r.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if p.objects == nil {
		p.objects = map[string][]byte{}
	}
	p.objects[objectName(r)] = body
}

func (p *Platform) object(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	body, ok := p.objects[objectName(r)]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Write(body) //nolint:errcheck // the caller may be gone.
}

func (p *Platform) dropObject(_ http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.objects, objectName(r))
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p.mu.Lock()
	defer p.mu.Unlock()
	names := []string{}
	for name := range p.objects {
		if strings.HasPrefix(name, q.Get("prefix")) && name > q.Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	writeJSON(w, http.StatusOK, map[string]any{"names": names, "has_more": false})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) //nolint:errcheck // the caller may be gone.
}
