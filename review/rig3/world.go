package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestwick/internal/stand/cloud"
)

// The bounds of the users' sheets that a case goes by.
const (
	heartbeat = 1200 * time.Millisecond
	drainTime = 2 * time.Second
	readyTime = 20 * time.Second
)

// world has the store, the runners and the nodes of a case.
type world struct {
	*record
	dir     string
	store   cloud.Platform
	server  *http.Server
	address string

	// requests counts the requests of the tenant, and sent holds when each was sent, by attempt.
	requests atomic.Int64
	sent     sync.Map
	// starts counts the nodes that were started.
	starts int

	mu      sync.Mutex
	runners []*runner
	nodes   []*node
	// started holds all processes that were started.
	started []*os.Process
	closed  bool
}

// node is an entry node, which runs as a process.
type node struct {
	name, ip                  string
	callers, ready, directory string
	ports                     []string
	process                   *exec.Cmd
	log                       *os.File
}

func newWorld(r *record) (*world, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, dir: dir}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	w.server = &http.Server{Handler: &w.store, ReadHeaderTimeout: time.Minute}
	go w.server.Serve(l) //nolint:errcheck // it ends with the case.
	return w, nil
}

// close ends the nodes and the stand-ins. It may be called again.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	for _, p := range w.started {
		p.Kill() //nolint:errcheck // it may have ended.
	}
	for _, r := range w.runners {
		r.server.Close() //nolint:errcheck // the case is over.
	}
	w.server.Close()    //nolint:errcheck // the case is over.
	os.RemoveAll(w.dir) //nolint:errcheck // the folder is a temporary one.
}

// put writes a row as the platform does.
func (w *world) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // these values can be encoded.
	}
	w.store.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: table, Key: key, Value: raw}}})
}

// remove removes a row as the platform does.
func (w *world) remove(table, key string) {
	w.store.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: table, Key: key}}})
}

// writeConfig writes the operator's first configuration: a service of plain runners with a route for
// each kind of request.
func (w *world) writeConfig() {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": "r-" + name, "host": "rig.example", "prefix": "/" + name + "/", "kind": kind, "service": "claims", "timeout_ms": 2000,
			"target_latency_ms": 300, "priority": 2, "attempts": attempts, "public": false,
		}
	}
	w.put("op", "config", map[string]any{
		"version":  1,
		"routes":   []any{route("claim", "non_idempotent", 1), route("read", "idempotent", 2)},
		"services": []any{map[string]any{"name": "claims", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "team", "api_keys": []string{"rig-key"}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 266430, "burst": 266430,
		}},
	})
}

// writeStreamConfig writes a configuration with one route for streams of model runners.
func (w *world) writeStreamConfig() {
	w.put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-stream", "host": "rig.example", "prefix": "/stream/", "kind": "stream", "service": "models", "timeout_ms": 12000,
			"target_latency_ms": 400, "priority": 1, "attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 400,
		}},
		"services": []any{map[string]any{
			"name": "models", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 9, "kv_capacity": 552008, "increment": 6, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "team", "api_keys": []string{"rig-key"}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": rate, "burst": rate,
		}},
	})
}

// portCount is the number of ports of a node, but for that of its metrics.
const portCount = 5

// settings fills in deploy/node.ini.tmpl for a node.
func (w *world) settings(n *node, isFirst bool) (string, error) {
	raw, err := os.ReadFile("deploy/node.ini.tmpl")
	if err != nil {
		return "", err
	}
	_, peerPort, err := net.SplitHostPort(n.ports[portCount-1])
	if err != nil {
		return "", err
	}
	text := string(raw)
	// The sheets of small deployments have no bounds of exposure.
	if before, rest, ok := strings.Cut(text, "{{#bounds.expose_share}}"); ok {
		_, after, _ := strings.Cut(rest, "{{/bounds.expose_share}}")
		text = before + after
	}
	return strings.NewReplacer(
		"{{#bounds.quota_over}}", "", "{{/bounds.quota_over}}", "", "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", "z:r",
		"{{node}}", n.name, "{{zone}}", "z", "{{region}}", "r", "{{listen.front}}", n.callers, "{{listen.ready}}", n.ready,
		"{{listen.control}}", n.ports[2], "{{listen.directory}}", n.directory, "{{ip}}", n.ip, "{{port_range.0}}", peerPort,
		"{{bootstrap}}", strconv.FormatBool(isFirst), "{{limits.cpu_share}}", "0.4", "{{limits.memory_mb}}", "284", "{{limits.max_fds}}", "4100",
		"{{provider.address}}", w.address, "{{bounds.grace_s}}", "8", "{{bounds.budget_ratio}}", "0.2", "{{bounds.budget_extra}}", "58",
		"{{bounds.budget_window_s}}", "10", "{{bounds.quota_over}}", "0.1", "{{bounds.quota_slack}}", "140000", "{{bounds.quota_window_s}}", "8",
	).Replace(text), nil
}

// freePorts returns addresses of an IP address that nothing listens on.
func freePorts(ip string, count int) (addresses []string, err error) {
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() //nolint:errcheck,revive // all are kept until the last is chosen.
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// startNodes starts as many nodes and waits until all are ready.
func (w *world) startNodes(count int) error {
	for i := range count {
		if _, err := w.startNode(fmt.Sprintf("front-%d", i+1), true); err != nil {
			return err
		}
	}
	if err := w.awaitReady(w.nodes); err != nil {
		return err
	}
	w.note("all nodes are ready")
	return nil
}

// startNode adds a node. isFirst is set if the whole system starts for the first time.
func (w *world) startNode(name string, isFirst bool) (n *node, err error) {
	n = &node{name: name, ip: nodeIP(w.starts)}
	w.starts++
	if n.ports, err = freePorts(n.ip, portCount); err != nil {
		return nil, err
	}
	n.callers, n.ready, n.directory = n.ports[0], n.ports[1], n.ports[3]
	if n.log, err = os.Create(filepath.Join(w.dir, n.name+".log")); err != nil {
		return nil, err
	}
	if err := w.run(n, isFirst); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	return n, nil
}

// file returns the path of a node's settings.
func (w *world) file(n *node) string { return filepath.Join(w.dir, n.name+".ini") }

// run starts the process of a node, with the settings as the platform fills them in at each start.
func (w *world) run(n *node, isFirst bool) error {
	text, err := w.settings(n, isFirst)
	if err != nil {
		return err
	}
	if err := os.WriteFile(w.file(n), []byte(text), 0o600); err != nil {
		return err
	}
	n.process = exec.Command("target/goldcrestwick", "entry")
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "GOLDCRESTWICK_CONFIG=" + w.file(n)}
	n.process.Stdout, n.process.Stderr = n.log, n.log
	w.note("%s starts, callers %s", n.name, n.callers)
	if err := n.process.Start(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = append(w.started, n.process.Process)
	return nil
}

// forget drops nodes that were stopped for good.
func (w *world) forget(gone []*node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = slices.DeleteFunc(w.nodes, func(n *node) bool { return slices.Contains(gone, n) })
}

// awaitReady waits until all of the nodes say that they are ready.
func (w *world) awaitReady(nodes []*node) error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if areReady(nodes) {
			return nil
		}
	}
	for _, n := range nodes {
		if !areReady([]*node{n}) {
			w.note("%s is not ready", n.name)
		}
	}
	return errors.New("not all nodes became ready")
}

func areReady(nodes []*node) bool {
	for _, n := range nodes {
		resp, err := http.Get("http://" + n.ready + "/api/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close() //nolint:errcheck // it has no body.
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}
