package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// runner is a plain runner that registers itself in the store.
type runner struct {
	w           *world
	id, address string
	born        int64
	server      *http.Server
	// isModel is set if the runner answers with streams.
	isModel bool

	mu  sync.Mutex
	seq int
	// arrived holds the requests that the runner did not reject.
	arrived []arrival
	stop    chan struct{}
}

// arrival is a request that a runner began to work on.
type arrival struct {
	attempt string
	at      time.Duration
}

// entry is a runner's row in the store.
type entry struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Cold    int    `json:"cold_left_ms"`
	Seq     int    `json:"seq"`
	Born    int64  `json:"born"`
}

const workTime = 60 * time.Millisecond

func (w *world) startRunner(id string) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{w: w, id: id, address: l.Addr().String(), born: time.Now().UnixMilli(), stop: make(chan struct{})}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	go r.server.Serve(l) //nolint:errcheck // it ends with the runner.
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	return r, nil
}

// next returns the runner's next heartbeat.
func (r *runner) next() entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e := entry{Service: "claims", Address: r.address, Zone: "z", Version: "v1", Slots: 6, State: "ready", Seq: r.seq, Born: r.born}
	if r.isModel {
		e.Service, e.Slots = "models", 9
	}
	return e
}

func (r *runner) beat() { r.w.put("servers", r.id, r.next()) }

// keepBeating writes heartbeats until the runner has left.
func (r *runner) keepBeating() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			r.beat()
		}
	}
}

// ServeHTTP runs a request.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	io.Copy(io.Discard, req.Body) //nolint:errcheck // the node notices.
	attempt := req.Header.Get("Goldcrestwick-Attempt-Id")
	w.Header().Set("Goldcrestwick-Attempt-Id", attempt)
	w.Header().Set("Keep-Alive", "timeout=10")
	if expected := req.Header.Get("Goldcrestwick-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Goldcrestwick-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	at := r.w.now()
	r.mu.Lock()
	r.arrived = append(r.arrived, arrival{attempt, at})
	r.mu.Unlock()
	r.w.note("%s runs %s %s %s", r.id, attempt, req.Method, req.URL.Path)
	time.Sleep(workTime)
	w.Header().Set("Goldcrestwick-Server-Stamp", "stamp."+r.id+"."+attempt)
	if r.isModel {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, "id: 1\ndata: %s\n\nid: 2\ndata: ran\n\nid: 3\ndata: %s\n\n", r.id, attempt) //nolint:errcheck // the node notices.
		return
	}
	fmt.Fprintf(w, "%s ran %s\n", r.id, attempt) //nolint:errcheck // the node notices.
}

// countBetween returns how many requests arrived from one time to another, and the last time.
func (r *runner) countBetween(from, to time.Duration) (count int, last time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrived {
		if a.at >= from && a.at < to {
			count, last = count+1, a.at
		}
	}
	return count, last
}
