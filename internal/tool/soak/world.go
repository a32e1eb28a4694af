package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/stand/batch"
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
	// callTime is the duration of a call to an application.
	callTime = 20 * time.Millisecond

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

// world holds the stand-ins and the nodes.
type world struct {
	cloud    cloud.Platform
	server   *httptest.Server
	crashing atomic.Bool
	// brittle is how many refusals for want of room in a second models survive, 0 for any
	// number.
	brittle atomic.Int32
	models  []*endpoint
	apps    []*endpoint
	nodes   []*nodeProcess

	mu      sync.Mutex
	version int
	isTaken map[string]bool
}

func newWorld(program, dir string, nodes int) (*world, error) {
	w := &world{isTaken: map[string]bool{}}
	w.server = httptest.NewServer(&w.cloud)
	address := strings.TrimPrefix(w.server.URL, "http://")
	for i := range modelCount {
		e, err := newEndpoint(w, fmt.Sprint("m", i), "llm", releases[i%len(releases)])
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
		w.apps = append(w.apps, e)
	}
	w.listEndpoints()
	w.writeSettings()
	for i := range nodes {
		n := &nodeProcess{name: fmt.Sprint("n", i), program: program, dir: dir, store: address}
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
	}
	for _, e := range slices.Concat(w.models, w.apps) {
		e.listener.Close() //nolint:errcheck // the run is over.
	}
	w.server.CloseClientConnections()
	w.server.Close()
}

// take returns a node for a fault, or nil if it has one or only two are without.
func (w *world) take(i int) *nodeProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.nodes[i]
	if w.isTaken[n.name] || len(w.isTaken) >= len(w.nodes)-2 {
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

// waitReady waits until every node serves a request.
func (w *world) waitReady(ctx context.Context, nodes int) error {
	for {
		ready := 0
		for name, address := range w.addresses() {
			r := record{kind: "read", id: fmt.Sprint("ready-", name, "-", time.Now().UnixNano())}
			if r.send(ctx, http.DefaultClient, address); r.status == http.StatusOK {
				ready++
			}
		}
		if ready == nodes {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("%d of %d nodes are ready", ready, nodes)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// writeSettings writes a new version of the operator's settings.
func (w *world) writeSettings() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "prefix": "/" + name + "/", "kind": kind, "service": service, "timeout_ms": routeTimeout.Milliseconds() + int64(w.version%5),
			"target_latency_ms": 1000, "gap_aim_ms": 600, "attempts": attempts, "resumable": resumable,
		}
	}
	w.put("op", "config", map[string]any{
		"version": w.version,
		"routes": []map[string]any{
			route("chat", "stream", "llm", 2, true), route("label", "stream", "llm", 1, false),
			route("book", "non_idempotent", "app", 2, false), route("read", "idempotent", "app", 2, false),
		},
		"services": []map[string]any{
			{"name": "llm", "engine": map[string]any{"slots": modelSlots, "kv_capacity": 100000, "increment": 6}}, {"name": "app"},
		},
		"tenants": []map[string]any{{"name": "a1", "api_keys": []string{"k1"}, "unit": "token_stream", "plain_tokens": 100}},
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
	for _, e := range slices.Concat(w.models, w.apps) {
		w.put("servers", e.name, e.row())
	}
}

// endpoint is a stand-in endpoint on loopback.
type endpoint struct {
	engine.Engine
	name, service string
	world         *world
	listener      net.Listener

	mu        sync.Mutex
	state     string
	born      int64
	isDown    bool
	conns     map[net.Conn]bool
	limitedAt time.Time
	// crashedAt holds the crashes under crashingPart and crashingPath, and downAt all.
	crashedAt, downAt []time.Time
	// spoken is not nil while the endpoint is silent, and closed at the end of that.
	spoken chan struct{}
	// refusedAt holds the latest refusals for want of room, and falls counts how often the
	// endpoint fell over for too many.
	refusedAt []time.Time
	falls     int
}

func newEndpoint(w *world, name, service, release string) (*endpoint, error) {
	e := &endpoint{name: name, service: service, world: w, state: "ready", born: 1, conns: map[net.Conn]bool{}}
	e.ID, e.Release = name, release
	e.NextBehaviour = func() engine.Behaviour { return engine.Behaviour{Body: "done", EventInterval: callTime} }
	if service == "llm" {
		e.NextBehaviour = func() engine.Behaviour { return engine.Behaviour{} }
		e.TokensPerEvent = 6
		e.Batch = &batch.Engine{
			Slots: modelSlots, MaxWaiting: modelSlots, CacheTokens: 50000, StepTime: 4 * time.Millisecond, PrefillTimePerToken: 50 * time.Microsecond,
		}
		e.RateLimit = e.limit
		e.Brittle = func() int { return int(w.brittle.Load()) }
		e.Refused = e.recordRefusal
	}
	e.Crash = e.crashUnder
	var err error
	if e.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, eris.Wrap(err, "start an endpoint")
	}
	go e.accept()
	return e, nil
}

func (e *endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.isDown {
			e.mu.Unlock()
			c.Close() //nolint:errcheck // it acts like a closed port.
			continue
		}
		c = &mutableConn{c, e}
		e.conns[c] = true
		e.mu.Unlock()
		go func() {
			e.Serve(c)
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.conns, c)
		}()
	}
}

func (e *endpoint) row() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": "z", "slots": modelSlots, "state": e.state, "version": e.Release, "seq": 1, "born": e.born,
	}
}

func (e *endpoint) setState(state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = state
}

// setLimit makes the endpoint name a limit, and reports whether it named none before.
func (e *endpoint) setLimit(rate float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.limitedAt.IsZero() || rate == 0 {
		return false
	}
	e.limitedAt = time.Now()
	return true
}

func (e *endpoint) limit() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limitedAt.IsZero() {
		return ""
	}
	return fmt.Sprint(limitRate)
}

// crashUnder crashes the endpoint if a prompt has crashingPart or a request crashingPath.
func (e *endpoint) crashUnder(target string, parts []batch.PromptPart) bool {
	hasPart := slices.ContainsFunc(parts, func(p batch.PromptPart) bool { return p.ID == crashingPart })
	if !hasPart && target != crashingPath {
		return false
	}
	e.mu.Lock()
	e.crashedAt = append(e.crashedAt, time.Now())
	e.mu.Unlock()
	e.crash(nil)
	return true
}

// recordRefusal records that the endpoint refused a request for want of room. A brittle one
// that refuses too many in a second falls over.
func (e *endpoint) recordRefusal() {
	limit, now := int(e.world.brittle.Load()), time.Now()
	e.mu.Lock()
	e.refusedAt = slices.DeleteFunc(append(e.refusedAt, now), func(at time.Time) bool { return now.Sub(at) > time.Second })
	hasFallen := limit > 0 && len(e.refusedAt) > limit
	if hasFallen {
		e.refusedAt, e.falls = nil, e.falls+1
	}
	e.mu.Unlock()
	if hasFallen {
		e.crash(nil)
	}
}

// crash closes all connections and refuses new ones for downTime.
func (e *endpoint) crash(faults *sync.WaitGroup) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown {
		return
	}
	e.isDown = true
	e.downAt = append(e.downAt, time.Now())
	for c := range e.conns {
		c.Close() //nolint:errcheck // it acts like a crash.
	}
	restart := func() {
		time.Sleep(downTime)
		e.mu.Lock()
		e.isDown = false
		e.born++
		e.mu.Unlock()
		e.world.put("servers", e.name, e.row())
	}
	if faults == nil {
		go restart()
		return
	}
	faults.Go(restart)
}
