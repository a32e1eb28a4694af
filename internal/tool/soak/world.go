package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/engine"
)

const (
	modelCount, applicationCount = 8, 2
	modelSlots                   = 6
	// crashingPart is the part of a prompt that crashes models, and crashingPath the path
	// of the request that crashes applications.
	crashingPart = "bad"
	crashingPath = "/read/bad"
	// downTime is how long a crashed endpoint is down.
	downTime = 1500 * time.Millisecond
	// limitRate is the limit on requests per second that models name.
	limitRate = 2.0
	// routeTimeout is the least timeout of the routes.
	routeTimeout = 4 * time.Second
	// accountRate is the callers' limit in tokens per second, and their burst. It refuses requests
	// of unlimited length only.
	accountRate = 1_000_000
	// callTime is the duration of a call to an application.
	callTime = 20 * time.Millisecond

	memorySetting  = "memory = 284MiB"
	settingsFormat = `[node]
name = %s
availability_zone = z
region = r
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
operator_address = 127.0.0.1:0
[platform]
store = %s
[entry]
directory_address = 127.0.0.1:0
ready_address = 127.0.0.1:0
metrics_address = 127.0.0.1:0
zones = z:r
memory = 284MiB
grace = 8s
[repeats]
ratio = 0.2
extra = 58
window = 10s
`
)

// releases are the software releases of the models, which serve side by side.
var releases = []string{"v1", "v1.1"}

// allModels returns the models with those that a rollout adds.
func (w *world) allModels() []*endpoint { return slices.Concat(w.models, w.targets) }

// world holds the stand-ins and the nodes.
type world struct {
	// number is that of the world in this process, and endpoints counts the endpoints so far.
	number    int32
	endpoints int
	cloud     cloud.Platform
	server    *httptest.Server
	// storeConns are the connections to server.
	storeConns *mutableListener
	crashing   atomic.Bool
	// brittle is how many refusals for want of room in a second models survive, 0 for any
	// number.
	brittle atomic.Int32
	models  []*endpoint
	apps    []*endpoint
	// files gives the long answers that slow callers read.
	files *endpoint
	nodes []*nodeProcess
	// rollout is nil in a run without one. targets are the endpoints of its target.
	rollout *rollout
	targets []*endpoint

	// allTaken is held while all nodes are taken for a fault.
	allTaken sync.Mutex

	mu      sync.Mutex
	version int
	// timeout replaces routeTimeout if it is not 0.
	timeout time.Duration
	// probes holds the routes for playSilences by name.
	probes  map[string]probeRoute
	isTaken map[string]bool
	// isLossDue is set while all nodes are to be killed at once; no other fault of a node
	// begins then.
	isLossDue bool
}

// worldOptions configures a world.
type worldOptions struct {
	dir   string
	nodes int
	// firstProgram returns the program that a node runs at first.
	firstProgram func(node int) string
	// releases are those of the models, in turn.
	releases []string
	// hasJoin keeps the models of all releases but the first unlisted at first. hasCutOffs lets
	// nodes be cut off from the store, as a rollout does too.
	hasJoin, hasCutOffs bool
	// isSound leaves out refusals that applications repeat, and odd entries of another writer.
	isSound bool
	rollout *rollout
	// replacements are those of each node, and descriptors, if not 0, limits its descriptors.
	replacements []string
	descriptors  int
}

// only returns a function for worldOptions.firstProgram.
func only(program string) func(int) string { return func(int) string { return program } }

// worldCount counts the worlds of this process, whose nodes have IP addresses of their own.
var worldCount atomic.Int32

// newWorld starts the stand-ins and the nodes.
func newWorld(o worldOptions) (*world, error) {
	planned, number := o.rollout, worldCount.Add(1)
	w := &world{number: number, isTaken: map[string]bool{}, rollout: planned}
	w.server = httptest.NewUnstartedServer(&w.cloud)
	w.storeConns = &mutableListener{Listener: w.server.Listener}
	w.server.Listener = w.storeConns
	w.server.Start()
	address := strings.TrimPrefix(w.server.URL, "http://")
	for i := range modelCount {
		e, err := newEndpoint(w, fmt.Sprint("m", i), "llm", o.releases[i%len(o.releases)])
		if err != nil {
			return nil, err
		}
		w.models = append(w.models, e)
	}
	for i := range applicationCount {
		e, err := newEndpoint(w, fmt.Sprint("a", i), "app", "")
		if err != nil {
			return nil, err
		}
		if o.isSound {
			e.NextBehaviour = func() engine.Behaviour { return callBehaviour }
		}
		w.apps = append(w.apps, e)
	}
	if planned != nil {
		for i := range modelCount {
			e, err := newTarget(w, fmt.Sprint("t", i))
			if err != nil {
				return nil, err
			}
			w.targets = append(w.targets, e)
		}
	}
	var err error
	if w.files, err = newEndpoint(w, "f0", "file", ""); err != nil {
		return nil, err
	}
	if o.hasJoin {
		for _, e := range w.joining() {
			e.setState("")
		}
	}
	w.listEndpoints()
	if !o.isSound {
		w.writeOddEntries()
	}
	w.writeSettings()
	for i := range o.nodes {
		n := &nodeProcess{name: fmt.Sprint("n", i), program: o.firstProgram(i), dir: o.dir, store: address}
		// Other processes would take the port of a node that is down, and answer its callers.
		ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, number%250, 1+i)
		n.callerAddress = ip + ":0"
		n.peerAddress = n.callerAddress
		n.replacements, n.descriptors = o.replacements, o.descriptors
		if err := n.chooseOthers(ip); err != nil {
			return nil, err
		}
		if planned != nil {
			n.settings = rolloutSettings
		}
		if planned != nil || o.hasCutOffs {
			n.serveStore(&w.cloud)
		}
		w.nodes = append(w.nodes, n)
		if err := n.start(); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, nil
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
		n.wait() //nolint:errcheck // it was killed.
		if n.ownStore != nil {
			n.ownStore.CloseClientConnections()
			n.ownStore.Close()
		}
	}
	for _, e := range slices.Concat(w.allModels(), w.apps, []*endpoint{w.files}) {
		e.mu.Lock()
		e.isStopped = true
		e.listener.Close() //nolint:errcheck // the run is over.
		e.mu.Unlock()
	}
	w.server.CloseClientConnections()
	w.server.Close()
}

// take returns a node for a fault, or nil if it has one or only two are without.
func (w *world) take(i int) *nodeProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.nodes[i]
	if w.isLossDue || w.isTaken[n.name] || len(w.isTaken) >= len(w.nodes)-2 {
		return nil
	}
	w.isTaken[n.name] = true
	return n
}

func (w *world) release(n *nodeProcess) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.isTaken, n.name)
}

// addresses returns the caller addresses of the nodes by name.
func (w *world) addresses() map[string]string {
	addresses := map[string]string{}
	for name, value := range w.cloud.Rows("nodes") {
		var row struct {
			CallerAddress string `json:"caller_address"`
		}
		if json.Unmarshal(value, &row) == nil {
			addresses[name] = row.CallerAddress
		}
	}
	return addresses
}

// waitReady waits until every node serves a request. Its error has the end of the log of each node
// that did not.
func (w *world) waitReady(ctx context.Context, nodes int) error {
	for {
		ready := map[string]bool{}
		for name, address := range w.addresses() {
			r := record{kind: "read", id: fmt.Sprint("ready-", name, "-", time.Now().UnixNano())}
			if r.send(ctx, http.DefaultClient, address); r.status == http.StatusOK {
				ready[name] = true
			}
		}
		if len(ready) == nodes {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("%d of %d nodes are ready%s", len(ready), nodes, w.logsExcept(ready))
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// logsExcept returns the ends of the logs of all nodes but those given.
func (w *world) logsExcept(names map[string]bool) string {
	var b strings.Builder
	for _, n := range w.nodes {
		if !names[n.name] {
			fmt.Fprintf(&b, "\nlog of %s:\n%s", n.name, n.logEnd())
		}
	}
	return b.String()
}

// writeSettings writes a new version of the operator's settings.
func (w *world) writeSettings() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "prefix": "/" + name + "/", "kind": kind, "service": service, "timeout_ms": cmp.Or(w.timeout, routeTimeout).Milliseconds() + int64(w.version%5),
			"target_latency_ms": 1000, "gap_aim_ms": 600, "attempts": attempts, "resumable": resumable,
		}
	}
	routes := []map[string]any{
		route("chat", "stream", "llm", 2, true), route("label", "stream", "llm", 1, false),
		route("book", "non_idempotent", "app", 2, false), route("read", "idempotent", "app", 2, false),
		route("file", "idempotent", "file", 1, false),
	}
	for name, p := range w.probes {
		probe := route(name, "idempotent", p.service, 2, false)
		probe["timeout_ms"] = p.timeout.Milliseconds()
		routes = append(routes, probe)
	}
	w.put("op", "config", map[string]any{
		"version": w.version, "routes": routes,
		"services": []map[string]any{
			{"name": "llm", "engine": map[string]any{"slots": modelSlots, "kv_capacity": 100000, "increment": 6}}, {"name": "app"}, {"name": "file"},
		},
		"tenants": []map[string]any{{"name": "a1", "api_keys": []string{"k1"}, "unit": "token_stream", "plain_tokens": 100, "rate_per_s": accountRate, "burst": accountRate}},
	})
}

func (w *world) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // these values can be encoded.
	}
	w.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: table, Key: key, Value: raw}}})
}

// listEndpoints writes the rows of all endpoints that are up.
func (w *world) listEndpoints() {
	for _, e := range slices.Concat(w.allModels(), w.apps, []*endpoint{w.files}) {
		e.list()
	}
}
