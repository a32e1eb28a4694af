package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/stand/cloud"
)

const (
	// eventTime is the time between two events of a stream.
	eventTime   = 20 * time.Millisecond
	runnerSlots = 6
)

// runner is a stand-in runner. It answers plain requests after work, and streams with events.
type runner struct {
	world       *world
	id, service string
	work        time.Duration
	events      int
	listener    net.Listener
	server      *http.Server

	mu sync.Mutex
	// atWork is the number of requests that run.
	atWork int
	// runs holds the requests that began to run, in order.
	runs []run
	// answer, if not nil, answers instead; it returns false to go on as usual.
	answer func(w http.ResponseWriter, r *http.Request) bool
}

func (w *world) startRunner(id, service string, work time.Duration, events int) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "start a runner")
	}
	r := &runner{world: w, id: id, service: service, work: work, events: events, listener: l}
	r.server = &http.Server{Handler: r, IdleTimeout: time.Minute}
	go r.server.Serve(l) //nolint:errcheck // it ends with the case.
	r.register()
	w.runners = append(w.runners, r)
	return r, nil
}

// register writes the runner's entry. It "changes when more than seq changes", so that it is written once.
func (r *runner) register() {
	r.world.put("servers", r.id, map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": "z-a", "version": "v1", "slots": runnerSlots,
		"state": "ready", "cold_left_ms": 0, "seq": 1, "born": r.world.started.UnixMilli(),
	})
}

func (r *runner) close() {
	r.server.Close() //nolint:errcheck // the case is over.
}

// remove removes the runner's entry, as one that never reports draining does when it leaves. It returns the time at
// which the store has acknowledged that. The runner serves on.
func (r *runner) remove() time.Time {
	r.world.store.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "servers", Key: r.id}}})
	return time.Now()
}

// end ends the runner as a process that exits. It returns the number of requests at work.
func (r *runner) end() (atWork int) {
	r.mu.Lock()
	atWork = r.atWork
	r.mu.Unlock()
	r.server.Close() //nolint:errcheck // nothing more is served.
	return atWork
}

// ServeHTTP runs a request.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/healthz" {
		w.Header().Set("Goldcrestwick-Runner-Id", r.id)
		return
	}
	id := req.Header.Get("Goldcrestwick-Attempt-Id")
	w.Header().Set("Goldcrestwick-Attempt-Id", id)
	if expected := req.Header.Get("Goldcrestwick-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	io.Copy(io.Discard, req.Body) //nolint:errcheck // the answer does not depend on it.
	r.mu.Lock()
	r.runs = append(r.runs, run{id, time.Now()})
	r.atWork++
	answer := r.answer
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.atWork--
	}()
	r.world.note("runner %s runs %s %s (tokens %q, resumes after %q)", r.id, id, req.URL.Path,
		req.Header.Get("Goldcrestwick-Token-Counts"), req.Header.Get("Last-Event-Id"))
	w.Header().Set("Goldcrestwick-Server-Stamp", fmt.Sprintf("%s.%s", r.id, id))
	if answer != nil && answer(w, req) {
		return
	}
	if r.events == 0 {
		select {
		case <-time.After(r.work):
		case <-req.Context().Done():
			return
		}
		fmt.Fprintf(w, "answer of %s to %s", r.id, id) //nolint:errcheck // the node may have left.
		return
	}
	first, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) //nolint:errcheck // none is 0.
	r.stream(w, req, first, r.events)
}

// stream sends the events after one to a last one, and ends the stream.
func (r *runner) stream(w http.ResponseWriter, req *http.Request, after, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := after + 1; i <= last; i++ {
		select {
		case <-time.After(eventTime):
		case <-req.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, req.Header.Get("Goldcrestwick-Attempt-Id")) //nolint:errcheck // the node may have left.
		w.(http.Flusher).Flush()                                                                             //nolint:errcheck,revive // net/http's writer can.
	}
}

// run is a request that began to run at a time.
type run struct {
	id string
	at time.Time
}

// runsAfter returns the requests that began to run after a time.
func (r *runner) runsAfter(at time.Time) (runs []run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		if run.at.After(at) {
			runs = append(runs, run)
		}
	}
	return runs
}
