package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/stand/cloud"
)

// program is the program of the deploy file's role, from the repository's root.
const program = "target/goldcrestwick"

// settingsFormat is the deploy file's template, filled in as for a small deployment.
const settingsFormat = `[node]
name = %[1]s
availability_zone = z-a
region = r
caller_address = %[2]s
peer_address = %[3]s
operator_address = %[4]s
first_start = true
cores = 1

[platform]
store = %[5]s

[entry]
directory_address = %[6]s
ready_address = %[7]s
metrics_address = %[8]s
zones = z-a:r
memory = 284MiB
grace = 8s

[repeats]
ratio = 0.2
extra = 58
window = 10s

[limits]
over = 0.1
slack = 140000
window = 8s

[log]
level = info
format = logfmt
`

// world holds the stand-ins and the nodes of one case.
type world struct {
	hasTrouble bool
	started    time.Time
	dir        string
	store      cloud.Platform
	server     *httptest.Server
	// way is the nodes' way to the store.
	way     *proxy
	runners []*runner
	nodes   []*node

	mu     sync.Mutex
	record io.Writer
}

// node is one node process.
type node struct {
	name, callers, ready, directory string
	settings, log                   string
	process                         *exec.Cmd
	hasEnded                        chan struct{}
}

func newWorld(record io.Writer, hasTrouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, eris.Wrap(err, "create a temporary folder")
	}
	w := &world{hasTrouble: hasTrouble, started: time.Now(), dir: dir, record: record}
	w.server = httptest.NewServer(&w.store)
	if w.way, err = startProxy(strings.TrimPrefix(w.server.URL, "http://")); err != nil {
		return nil, err
	}
	w.note("trouble: %v", hasTrouble)
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	io.WriteString(w.record, line)  //nolint:errcheck // the exit code tells the result as well.
	io.WriteString(os.Stdout, line) //nolint:errcheck // see above.
}

// close ends all processes that the case started, by their ids, and all stand-ins.
func (w *world) close() {
	for _, n := range w.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-n.hasEnded
	}
	for _, r := range w.runners {
		r.close()
	}
	w.way.close()
	w.server.CloseClientConnections()
	w.server.Close()
	os.RemoveAll(w.dir) //nolint:errcheck // it is a temporary folder.
}

// put writes a row as the operator or a runner does.
func (w *world) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // these values can be encoded.
	}
	w.store.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: table, Key: key, Value: raw}}})
}

// loopback returns a loopback address that no other case uses, as each machine of a deployment has an
// address of its own. The ports are below those that the kernel gives to outgoing connections.
func loopback(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, 1+number)
}

// firstPort is the first of the ports of a node.
const firstPort = 8220

// areFree reports whether the ports of a node are free at a loopback address.
func areFree(ip string, count int) bool {
	for i := range count {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(firstPort+i)))
		if err != nil {
			return false
		}
		l.Close() //nolint:errcheck // only its port was asked.
	}
	return true
}

// startNode starts a node process with the command of the deploy file.
func (w *world) startNode(name string) (*node, error) {
	n := &node{name: name, settings: filepath.Join(w.dir, name+".ini"), log: filepath.Join(w.dir, name+".log")}
	var addresses [6]string
	ip := loopback(len(w.nodes))
	if !areFree(ip, len(addresses)) {
		return nil, eris.Errorf("the ports of %s are in use", ip)
	}
	for i := range addresses {
		addresses[i] = net.JoinHostPort(ip, fmt.Sprint(firstPort+i))
	}
	n.callers, n.directory, n.ready = addresses[0], addresses[3], addresses[4]
	text := fmt.Sprintf(settingsFormat, name, addresses[0], addresses[1], addresses[2],
		w.way.address(), addresses[3], addresses[4], addresses[5])
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, eris.Wrap(err, "write the settings")
	}
	if err := n.start(); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, nil
}

func (n *node) start() error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "create a log")
	}
	defer out.Close() //nolint:errcheck // the process has its own descriptor.
	n.process = exec.Command(program, "entry")
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOLDCRESTWICK_CONFIG=" + n.settings}
	n.process.Stdout, n.process.Stderr = out, out
	if err := n.process.Start(); err != nil {
		return eris.Wrap(err, "start a node")
	}
	process, hasEnded := n.process, make(chan struct{})
	n.hasEnded = hasEnded
	go func() {
		process.Wait() //nolint:errcheck // the case looks at what clients see.
		close(hasEnded)
	}()
	return nil
}

// signal sends a signal to the process of the node.
func (n *node) signal(s syscall.Signal) {
	n.process.Process.Signal(s) //nolint:errcheck // the process may have ended.
}

// awaitReady waits until each node says that it is ready and names all nodes to callers.
func (w *world) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	isReady := func(n *node) bool {
		resp, err := client.Get("http://" + n.ready + "/api/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close() //nolint:errcheck // only the status counts.
		if resp.StatusCode != http.StatusOK {
			return false
		}
		var list struct {
			Addresses []string `json:"addresses"`
		}
		if resp, err = client.Get("http://" + n.directory + "/api/resolve?name=h.example&region=r&zone=z-a"); err != nil {
			return false
		}
		defer resp.Body.Close() //nolint:errcheck // it was read.
		return json.NewDecoder(resp.Body).Decode(&list) == nil && len(list.Addresses) == len(w.nodes)
	}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if isReady(n) {
				ready++
			}
		}
		if ready == len(w.nodes) {
			w.note("%d nodes are ready", ready)
			return nil
		}
	}
	return eris.New("the nodes did not become ready")
}

// request is one client attempt and what came of it.
type request struct {
	id, method, path, key, body string
	header                      map[string]string
	deadline                    time.Duration
	// status is 0 without an answer.
	status       int
	stamp, text  string
	sent         time.Time
	took         time.Duration
	err          error
	isIncomplete bool
}

// send sends the request to a node on a connection of its own, and waits at most as long as given.
func (r *request) send(w *world, n *node, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+n.callers+r.path, strings.NewReader(r.body))
	if err != nil {
		r.err = err
		return
	}
	req.Host = "h.example"
	req.Header.Set("Goldcrestwick-Attempt-Id", r.id)
	req.Header.Set("X-Api-Key", r.key)
	req.Header.Set("Goldcrestwick-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	r.sent = time.Now()
	resp, err := transport.RoundTrip(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close() //nolint:errcheck // it was read.
		r.status, r.stamp, r.text, r.isIncomplete = resp.StatusCode, resp.Header.Get("Goldcrestwick-Server-Stamp"), string(text), err != nil
	}
	r.err, r.took = err, time.Since(r.sent)
	w.note("client %s %s %s to %s after %.3f s: status %d, stamp %q, %d bytes, error %v",
		r.id, r.method, r.path, n.name, r.took.Seconds(), r.status, r.stamp, len(r.text), r.err)
}

// The two services, and the route that leads to each.
const (
	modelService = "llm"
	plainService = "app"
)

// settings returns the operator's configuration, with the service of the plain routes.
func settings(version int, plainRouteTo string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "chat", "host": "h.example", "prefix": "/chat/", "kind": "stream", "service": modelService, "timeout_ms": 12000,
				"target_latency_ms": 1000, "priority": 0, "attempts": 2, "resumable": true, "gap_aim_ms": 400, "sticky": true,
			},
			{
				"name": "read", "host": "h.example", "prefix": "/read/", "kind": "idempotent", "service": plainRouteTo,
				"timeout_ms": plainTimeout.Milliseconds(), "target_latency_ms": 300, "priority": 2, "attempts": 2,
			},
			{
				"name": "book", "host": "h.example", "prefix": "/book/", "kind": "non_idempotent", "service": plainRouteTo,
				"timeout_ms": plainTimeout.Milliseconds(), "target_latency_ms": 300, "priority": 2, "attempts": 2,
			},
		},
		"services": []map[string]any{
			{"name": modelService, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "engine": map[string]any{"slots": 9, "kv_capacity": 552008, "increment": 6}},
			{"name": plainService, "health_path": "/healthz", "max_conns": 110, "protocol": "h1"},
			{"name": otherService, "health_path": "/healthz", "max_conns": 110, "protocol": "h1"},
		},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{
			"name": "t1", "api_keys": []string{"k1"}, "priority": 1, "unit": "token_stream", "plain_tokens": 200,
			"rate_per_s": 266430, "burst": 266430,
		}},
	}
}

// otherService is a second service of plain runners.
const otherService = "other"

// plainTimeout is the timeout of the route of the plain requests.
const plainTimeout = 4 * time.Second
