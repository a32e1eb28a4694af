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
	maxObjectBytes     = 8 << 20
	maxRows            = 500
	maxTransactionRows = 100
	// maxTextBytes bounds tables, parts and keys.
	maxTextBytes = 200
	maxWait      = 30 * time.Second
)

// platformTables are the tables that only the platform itself writes: op holds the
// operator's settings, servers one row per endpoint.
var platformTables = []string{"op", "servers"}

// ServeHTTP serves the platform's protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.buildRouter.Do(func() { p.router = p.routes() })
	op := Op{IsWrite: r.Method != http.MethodGet, Path: r.URL.Path, Table: r.URL.Query().Get("table")}
	p.mu.Lock()
	var fault Fault
	if p.InjectFault != nil {
		fault = p.InjectFault(op)
	}
	if op.IsWrite {
		p.writeCount++
	} else {
		p.readCount++
	}
	p.mu.Unlock()
	time.Sleep(fault.Delay)
	w.Header().Set("Store-Era", strconv.FormatInt(p.Era(), 10))
	switch {
	case fault.Unavailable:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	case fault.TooManyRequests:
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	case fault.DropResponse:
		w = discardWriter{w}
	}
	p.serveUnlessSilent(w, r, p.router)
	if fault.DropResponse {
		panic(http.ErrAbortHandler)
	}
}

// discardWriter discards a response, so that a transaction is applied but its
// response is lost.
type discardWriter struct{ http.ResponseWriter }

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}

func (p *Platform) routes() http.Handler {
	r := chi.NewRouter()
	r.Post("/api/rows-tx", p.serveTransaction)
	r.Get("/api/rows-get", p.serveRows)
	r.Get("/api/rows-feed", p.serveFeed)
	r.Put("/api/blob-put/*", p.servePutObject)
	r.Get("/api/blob-get/*", p.serveGetObject)
	r.Delete("/api/blob-drop/*", p.serveDeleteObject)
	r.Get("/api/blob-list", p.serveListObjects)
	return r
}

// rowJSON is the wire format of a row; encoding/json writes values as base64.
type rowJSON struct {
	Table     string `json:"table"`
	Partition string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"schema_ver"`
	Deleted   bool   `json:"deleted,omitempty"`
}

func toJSON(r entry) rowJSON { return rowJSON{r.table, r.part, r.key, r.Value, r.Version, r.deleted} }

type rowsJSON struct {
	Rows         []rowJSON `json:"rows"`
	HasMore      bool      `json:"has_more"`
	Version      int64     `json:"schema_ver"`
	NowUnixMilli int64     `json:"now_ms"`
}

type transactionJSON struct {
	Preconditions []rowJSON `json:"precondition"`
	Writes        []rowJSON `json:"write"`
	Removes       []rowJSON `json:"remove"`
}

func (p *Platform) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body transactionJSON
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t, status := body.transaction()
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	result := p.Apply(t)
	p.mu.Lock()
	answer := rowsJSON{Rows: []rowJSON{}, Version: p.lastTransaction, NowUnixMilli: time.Now().UnixMilli()}
	p.mu.Unlock()
	for _, c := range result.Conflicts {
		answer.Rows = append(answer.Rows, rowJSON{c.Table, t.Partition, c.Key, c.Value, c.Version, false})
	}
	status = http.StatusOK
	if !result.Applied {
		status = http.StatusPreconditionFailed
	}
	writeJSON(w, status, answer)
}

// transaction returns the transaction and 200, or the status of the refusal: 400
// if the rows belong to more than one partition or are more than
// maxTransactionRows, 403 if a table of the platform would be written.
func (j transactionJSON) transaction() (t Transaction, status int) {
	partitions := map[string]bool{}
	rowCount := 0
	for _, rows := range [][]rowJSON{j.Preconditions, j.Writes, j.Removes} {
		rowCount += len(rows)
		for _, row := range rows {
			partitions[row.Partition] = true
			t.Partition = row.Partition
		}
	}
	if len(partitions) > 1 || rowCount > maxTransactionRows {
		return t, http.StatusBadRequest
	}
	for _, row := range j.Preconditions {
		t.Checks = append(t.Checks, Check{row.Table, row.Key, row.Version})
	}
	for _, row := range append(slices.Clone(j.Writes), j.Removes...) {
		if slices.Contains(platformTables, row.Table) {
			return t, http.StatusForbidden
		}
	}
	for _, row := range j.Writes {
		if row.Value == nil {
			row.Value = []byte{}
		}
		t.Writes = append(t.Writes, Write{row.Table, row.Key, row.Value})
	}
	for _, row := range j.Removes {
		t.Writes = append(t.Writes, Write{Table: row.Table, Key: row.Key})
	}
	return t, http.StatusOK
}

func (p *Platform) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if max(len(q.Get("table")), len(q.Get("part")), len(q.Get("from")), len(q.Get("to"))) > maxTextBytes {
		http.Error(w, "a text is too long", http.StatusBadRequest)
		return
	}
	rows, version := p.rowsInRange(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"))
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("max_items")); err == nil && n > 0 {
		limit = min(n, maxRows)
	}
	answer := rowsJSON{Rows: []rowJSON{}, Version: version, NowUnixMilli: time.Now().UnixMilli(), HasMore: len(rows) > limit}
	for _, row := range rows[:min(len(rows), limit)] {
		answer.Rows = append(answer.Rows, toJSON(row))
	}
	writeJSON(w, http.StatusOK, answer)
}

func (p *Platform) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil && q.Get("wait_ms") != "" {
		http.Error(w, "after or wait_ms is no number", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		rows, version, next, ok := p.changesAfter(q.Get("table"), after)
		if !ok {
			http.Error(w, "the history is gone", http.StatusGone)
			return
		}
		timedOut := false
		if len(rows) == 0 {
			select {
			case <-next:
				continue
			case <-timer.C:
				timedOut = true
			case <-r.Context().Done():
				return
			}
		}
		if len(rows) > 0 || timedOut {
			// The store may have been restored while the call waited.
			w.Header().Set("Store-Era", strconv.FormatInt(p.Era(), 10))
			answer := rowsJSON{Rows: []rowJSON{}, Version: version, NowUnixMilli: time.Now().UnixMilli()}
			for _, row := range rows {
				answer.Rows = append(answer.Rows, toJSON(row))
			}
			writeJSON(w, http.StatusOK, answer)
			return
		}
	}
}

// objectName returns the object name in the request's path, in which slashes of
// the name are escaped.
func objectName(r *http.Request) string {
	name, err := url.PathUnescape(chi.URLParam(r, "*"))
	if err != nil {
		return chi.URLParam(r, "*")
	}
	return name
}

// servePutObject stores an object. A body of more than maxObjectBytes is truncated
// without an error.
func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes))
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

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	body, ok := p.objects[objectName(r)]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Write(body) //nolint:errcheck // the caller may have disconnected.
}

func (p *Platform) serveDeleteObject(_ http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.objects, objectName(r))
}

func (p *Platform) serveListObjects(w http.ResponseWriter, r *http.Request) {
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
	json.NewEncoder(w).Encode(body) //nolint:errcheck // the caller may have disconnected.
}
