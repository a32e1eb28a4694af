// Package apprun is a stand-in for an application runner: a plain HTTP service
// that counts the calls it has run.
//
// # Usage
//
//	a := &apprun.Runner{CallDuration: 20 * time.Millisecond}
//	server := httptest.NewServer(a)
//	runs := a.RunCounts()["booking-7"] // how often the call with this body ran
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

const maxBodyBytes = 8 << 20

// Runner is one application runner. The zero value answers without delay. It is
// safe for concurrent use.
type Runner struct {
	// CallDuration is the time that a call takes.
	CallDuration time.Duration
	// InjectFault returns the fault to inject into a call; nil means none.
	InjectFault func(*http.Request) Fault

	mu           sync.Mutex
	runCounts    map[string]int
	runningCalls atomic.Int64
	isDraining   atomic.Bool
}

// Fault is a set of faults to inject into one call.
type Fault struct {
	// CloseBeforeRun closes the connection before the call is run.
	CloseBeforeRun bool
	// CloseAfterRun runs the call and closes the connection without an answer.
	CloseAfterRun bool
	// TruncateAnswer closes the connection in the middle of the answer.
	TruncateAnswer bool
	// WrongID answers with the ID of another request.
	WrongID bool
	Delay   time.Duration
}

// Reply is the body of an answer.
type Reply struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Run    int    `json:"run"`
}

// Drain makes the runner report that it is draining.
func (a *Runner) Drain() { a.isDraining.Store(true) }

// RunCounts returns how often each call was run. The key is the body of the call, or
// its path if the body is empty.
func (a *Runner) RunCounts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.runCounts)
}

// ServeHTTP runs one call, or returns the load report for the path /load.
func (a *Runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		a.serveLoad(w)
		return
	}
	var fault Fault
	if a.InjectFault != nil {
		fault = a.InjectFault(r)
	}
	if fault.CloseBeforeRun {
		panic(http.ErrAbortHandler)
	}
	a.runningCalls.Add(1)
	defer a.runningCalls.Add(-1)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(a.CallDuration + fault.Delay)
	reply := Reply{r.Method, r.URL.Path, string(body), a.countRun(string(body), r.URL.Path)}
	if fault.CloseAfterRun {
		panic(http.ErrAbortHandler)
	}
	a.writeAnswer(w, r, reply, fault)
}

func (a *Runner) writeAnswer(w http.ResponseWriter, r *http.Request, reply Reply, fault Fault) {
	id := r.Header.Get("X-Request-Id")
	if fault.WrongID {
		id = "another-request"
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "application/json")
	raw, err := json.Marshal(reply)
	if err != nil {
		panic(err) // encoding strings and numbers cannot fail.
	}
	if fault.TruncateAnswer {
		w.Write(raw[:len(raw)/2])             //nolint:errcheck // the connection is closed next.
		http.NewResponseController(w).Flush() //nolint:errcheck // the connection is closed next.
		panic(http.ErrAbortHandler)
	}
	w.Write(raw) //nolint:errcheck // the caller may have disconnected.
}

func (a *Runner) countRun(body, path string) int {
	key := body
	if key == "" {
		key = path
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runCounts == nil {
		a.runCounts = map[string]int{}
	}
	a.runCounts[key]++
	return a.runCounts[key]
}

func (a *Runner) serveLoad(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{ //nolint:errcheck // the caller may have disconnected.
		"as_of_unix_ms": time.Now().UnixMilli(), "running": a.runningCalls.Load(), "waiting": 0,
		"draining": a.isDraining.Load(),
	})
}
