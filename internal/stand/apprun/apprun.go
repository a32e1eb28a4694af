// Package apprun is a stand-in for an application runner: a plain service that
// records every call it ran.
//
// # Usage
//
//	a := &apprun.Runner{Time: 20 * time.Millisecond}
//	server := httptest.NewServer(a)
//	a.Runs()["booking-7"] // how often the call with this body ran
package apprun

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const maxBody = 8 << 20

// Runner is one application runner. The zero value answers at once; it is
// safe for concurrent use.
type Runner struct {
	// Time is how long a call takes.
	Time time.Duration
	// Fault decides the fate of each call; nil means none.
	Fault func(*http.Request) Fault

	mu       sync.Mutex
	runs     map[string]int
	running  atomic.Int64
	draining atomic.Bool
}

// Fault is what goes wrong with one call.
type Fault struct {
	// Refuse closes the connection before the call ran.
	Refuse bool
	// CutAfterRun closes the connection after the call ran.
	CutAfterRun bool
	// CutMid closes the connection in the middle of the answer.
	CutMid bool
	// Crossed answers with another request's identifier.
	Crossed bool
	Delay   time.Duration
}

// Reply is the body of an answer.
type Reply struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Run    int    `json:"run"`
}

// Drain makes the runner report that it is leaving.
func (a *Runner) Drain() { a.draining.Store(true) }

// Runs returns how often a call was run, by its body, or its path when the
// body is empty.
func (a *Runner) Runs() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.runs)
}

// ServeHTTP runs one call.
func (a *Runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		a.load(w)
		return
	}
	var fault Fault
	if a.Fault != nil {
		fault = a.Fault(r)
	}
	if fault.Refuse {
		panic(http.ErrAbortHandler)
	}
	a.running.Add(1)
	defer a.running.Add(-1)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(a.Time + fault.Delay)
	reply := Reply{r.Method, r.URL.Path, string(body), a.record(string(body), r.URL.Path)}
	if fault.CutAfterRun {
		panic(http.ErrAbortHandler)
	}
	a.answer(w, r, reply, fault)
}

func (a *Runner) answer(w http.ResponseWriter, r *http.Request, reply Reply, fault Fault) {
	id := r.Header.Get("X-Request-Id")
	if fault.Crossed {
		id = "another-request"
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "application/json")
	raw, err := json.Marshal(reply)
	if err != nil {
		panic(err) // strings and numbers always encode.
	}
	if fault.CutMid {
		w.Write(raw[:len(raw)/2])             //nolint:errcheck // about to be cut.
		http.NewResponseController(w).Flush() //nolint:errcheck // about to be cut.
		panic(http.ErrAbortHandler)
	}
	w.Write(raw) //nolint:errcheck // the caller may be gone.
}

func (a *Runner) record(body, path string) int {
	key := body
	if key == "" {
		key = path
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs == nil {
		a.runs = map[string]int{}
	}
	a.runs[key]++
	return a.runs[key]
}

func (a *Runner) load(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{ //nolint:errcheck // the caller may be gone.
		"as_of_unix_ms": time.Now().UnixMilli(), "running": a.running.Load(), "waiting": 0,
		"draining": a.draining.Load(),
	})
}
