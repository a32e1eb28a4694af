package rig2

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Run is a request that a runner ran.
type Run struct {
	Attempt, Runner, Service, Path, Tenant string
	At                                     time.Time
	BodyBytes                              int
}

// Runner is a sound runner of a plain service.
type Runner struct {
	ID, Service, Address string
	// Work is the time that a request takes.
	Work time.Duration

	deployment *Deployment
	server     *http.Server
	born       int64
	seq        atomic.Int64
	running    atomic.Int64
	isDown     atomic.Bool
	mu         sync.Mutex
	runs       []Run
}

const (
	slots = 6
	// maxRunning is the number of requests that a runner runs and queues.
	maxRunning = 24
)

// AddRunner starts a runner of a service and registers it.
func (d *Deployment) AddRunner(id, service string, work time.Duration) (*Runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{ID: id, Service: service, Address: l.Addr().String(), Work: work, deployment: d, born: time.Now().UnixMilli()}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l) //nolint:errcheck // it ends when the runner is closed.
	d.mu.Lock()
	d.runners = append(d.runners, r)
	d.mu.Unlock()
	r.beat()
	return r, nil
}

// Row returns the runner's entry.
func (r *Runner) Row() map[string]any {
	return map[string]any{
		"service": r.Service, "address": r.Address, "zone": "z", "version": "v1", "slots": slots, "state": "ready",
		"cold_left_ms": 0, "seq": r.seq.Add(1), "born": r.born,
	}
}

func (r *Runner) beat() {
	if !r.isDown.Load() {
		r.deployment.Put("servers", "", r.ID, r.Row())
	}
}

// Runs returns the requests that the runner has run.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// ServeHTTP runs a request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	attempt := request.Header.Get("Goldcrestwick-Attempt-Id")
	w.Header().Set("Goldcrestwick-Attempt-Id", attempt)
	running := r.running.Add(1)
	defer r.running.Add(-1)
	if expected := request.Header.Get("Goldcrestwick-Expect-Instance"); expected != "" && expected != r.ID {
		w.Header().Set("Goldcrestwick-Runner-Id", r.ID)
		w.Header().Set("Goldcrestwick-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if running > maxRunning {
		w.Header().Set("Goldcrestwick-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := Run{attempt, r.ID, r.Service, request.URL.Path, request.Header.Get("Goldcrestwick-Tenant"), time.Now(), len(body)}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	r.deployment.Record("runner %s (%s) runs %s %s %s, %d bytes", r.ID, r.Service, attempt, request.Method, request.URL.Path, len(body))
	time.Sleep(r.Work)
	w.Header().Set("Goldcrestwick-Server-Stamp", "stamp."+r.ID+"."+attempt)
	w.Header().Set("Goldcrestwick-Runner-Load", fmt.Sprintf("%d,0,%d", running, slots))
	fmt.Fprintf(w, "answer of %s to %s\n", r.ID, attempt)
}

// Crash ends the runner at once: its connections are reset, new ones are refused, and it writes
// its entry no more. The platform removes the entry after three heartbeat intervals.
func (r *Runner) Crash() {
	r.isDown.Store(true)
	r.server.Close() //nolint:errcheck // it has crashed.
	r.deployment.Record("runner %s (%s) crashes", r.ID, r.Service)
	time.AfterFunc(entryIntervals*heartbeatInterval, func() {
		r.deployment.Remove("servers", "", r.ID)
		r.deployment.Record("the entry of runner %s is removed", r.ID)
	})
}

// entryIntervals is the number of heartbeat intervals of silence after which an entry is removed.
const entryIntervals = 3
