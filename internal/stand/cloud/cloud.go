// Package cloud is a stand-in for the platform: a transactional table service,
// an object store and a lagging list of instances, with their faults.
//
// # Usage
//
//	p := &cloud.Platform{}
//	p.SetInstances(list)
//	server := httptest.NewServer(p)
//	p.Fault = func(op cloud.Op) cloud.Fault { return cloud.Fault{Down: true} }
package cloud

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const maxObject = 64 << 20

// Platform is the stand-in. The zero value is empty and ready for use; it is
// safe for concurrent use.
type Platform struct {
	// Fault decides the fate of each operation; nil means none. Set it with
	// SetFault while the platform is in use.
	Fault func(Op) Fault
	// Lag is the age of the instance list.
	Lag time.Duration

	mu      sync.Mutex
	rows    map[rowKey]Row
	objects map[string][]byte
	lists   []dated
	writes  int
	reads   int
	once    sync.Once
	router  http.Handler
}

// Op names one operation.
type Op struct {
	// Write tells transactions and object writes from reads.
	Write bool
	Path  string
}

// Fault is what goes wrong with one operation.
type Fault struct {
	// Down answers 503 without effect.
	Down bool
	// LoseAnswer takes effect and then closes the connection.
	LoseAnswer bool
	Delay      time.Duration
}

type rowKey struct{ table, key string }

// Row is one row of a table; versions count from 1.
type Row struct {
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Check is a condition of a transaction: the row's version, 0 for none.
type Check struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write is a change in a transaction.
type Write struct {
	Table string          `json:"table"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Transaction is a list of checks and the writes that follow when all hold.
type Transaction struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// Conflict is a check that did not hold, with the row as it is.
type Conflict struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	Row
}

// Result is the answer to a transaction.
type Result struct {
	Applied   bool       `json:"applied"`
	Conflicts []Conflict `json:"conflicts,omitempty"`
}

// Instance is one entry of the instance list.
type Instance struct {
	ID       string `json:"id"`
	Kind     string `json:"kind"`
	State    string `json:"state"`
	Region   string `json:"region"`
	Zone     string `json:"availability_zone"`
	Address  string `json:"address"`
	Peer     string `json:"peer_address,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Pool     string `json:"pool,omitempty"`
	Hardware string `json:"generation,omitempty"`
}

type dated struct {
	at   time.Time
	list []Instance
}

// SetFault changes the faults while the platform is in use.
func (p *Platform) SetFault(f func(Op) Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Fault = f
}

// SetInstances replaces the list; readers see it after the lag.
func (p *Platform) SetInstances(list []Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, dated{time.Now(), list})
}

// Objects returns the objects by name.
func (p *Platform) Objects() map[string][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.objects)
}

// Counts returns the writes and reads so far.
func (p *Platform) Counts() (writes, reads int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writes, p.reads
}

// ServeHTTP serves the platform's protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.once.Do(func() { p.router = p.routes() })
	op := Op{Write: r.Method != http.MethodGet, Path: r.URL.Path}
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
	if fault.Down {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	if fault.LoseAnswer {
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
	r.Post("/transactions", p.transact)
	r.Get("/rows/{table}/*", p.row)
	r.Get("/rows/{table}", p.table)
	r.Put("/objects/*", p.putObject)
	r.Get("/objects/*", p.object)
	r.Get("/objects", p.list)
	r.Get("/instances", p.instances)
	return r
}

func (p *Platform) transact(w http.ResponseWriter, r *http.Request) {
	var t Transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result := p.Apply(t)
	status := http.StatusOK
	if !result.Applied {
		status = http.StatusConflict
	}
	writeJSON(w, status, result)
}

// Apply runs a transaction.
func (p *Platform) Apply(t Transaction) Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	var result Result
	for _, c := range t.Checks {
		if row := p.rows[rowKey{c.Table, c.Key}]; row.Version != c.Version {
			result.Conflicts = append(result.Conflicts, Conflict{c.Table, c.Key, row})
		}
	}
	if len(result.Conflicts) > 0 {
		return result
	}
	if p.rows == nil {
		p.rows = map[rowKey]Row{}
	}
	for _, change := range t.Writes {
		at := rowKey{change.Table, change.Key}
		p.rows[at] = Row{p.rows[at].Version + 1, change.Value}
	}
	result.Applied = true
	return result
}

func (p *Platform) row(w http.ResponseWriter, r *http.Request) {
	key, err := url.PathUnescape(chi.URLParam(r, "*"))
	p.mu.Lock()
	row, ok := p.rows[rowKey{chi.URLParam(r, "table"), key}]
	p.mu.Unlock()
	if err != nil || !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, row)
}

func (p *Platform) table(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := map[string]Row{}
	for at, row := range p.rows {
		if at.table == chi.URLParam(r, "table") && strings.HasPrefix(at.key, r.URL.Query().Get("prefix")) {
			found[at.key] = row
		}
	}
	writeJSON(w, http.StatusOK, found)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxObject))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.objects == nil {
		p.objects = map[string][]byte{}
	}
	p.objects[chi.URLParam(r, "*")] = body
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) object(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	body, ok := p.objects[chi.URLParam(r, "*")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Write(body) //nolint:errcheck // the caller may be gone.
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := []string{}
	for name := range p.objects {
		if strings.HasPrefix(name, r.URL.Query().Get("prefix")) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	writeJSON(w, http.StatusOK, map[string]any{"names": names})
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []Instance{}
	var at time.Time
	region := r.URL.Query().Get("region")
	tag := `"0"`
	for n, d := range p.lists {
		if time.Since(d.at) < p.Lag {
			break
		}
		at, tag = d.at, strconv.Quote(strconv.Itoa(n+1))
		list = slices.DeleteFunc(slices.Clone(d.list), func(in Instance) bool {
			return region != "" && in.Region != region && in.Kind != "entry"
		})
	}
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"as_of_unix_ms": at.UnixMilli(), "instances": list})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) //nolint:errcheck // the caller may be gone.
}
