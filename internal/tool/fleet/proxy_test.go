package fleet

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/node"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/stand/batch"
	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/engine"
	"goldcrestwick/internal/stand/pipes"
	"goldcrestwick/internal/stand/script"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/platform"
)

// TestProxy runs whole nodes on the platform's stand-ins, by scripts of
// lines; see testdata/proxy/README.
func TestProxy(t *testing.T) { script.Run(t, "testdata/proxy/*.script", playProxy) }

// proxyFleet is a fleet of nodes that pass requests on.
type proxyFleet struct {
	*testing.T
	script.Line
	net     *pipes.Net
	cloud   cloud.Platform
	url     string
	servers []*http.Server
	nodes   map[string]*passNode
	engines map[string]*passEngine
	calls   map[string]*passCall
	running sync.WaitGroup
	routes  []map[string]any
	tenants []map[string]any
	version int
}

type passNode struct {
	*node.Node
	peers  *Peers
	server *http.Server
}

type passEngine struct {
	engine.Engine
	listener net.Listener
	entry    map[string]any
	mu       sync.Mutex
	next     engine.Behaviour
}

// passCall is one request of a caller and what it got.
type passCall struct {
	status  int
	retry   string
	body    string
	whole   bool
	took    time.Duration
	err     error
	settled bool
}

func playProxy(t *testing.T, lines iter.Seq[script.Line]) {
	p := &proxyFleet{
		T: t, net: &pipes.Net{}, nodes: map[string]*passNode{}, engines: map[string]*passEngine{},
		calls: map[string]*passCall{},
	}
	l, err := p.net.Listen(PlatformHost + ":80")
	qt.Assert(t, err, qt.IsNil)
	p.url = PlatformHost + ":80"
	p.serve(l, &p.cloud)
	for p.Line = range lines {
		p.run(p.Command, p.Names, p.Given)
	}
	p.stop()
}

func (p *proxyFleet) serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second, ErrorLog: quiet()}
	p.servers = append(p.servers, s)
	go s.Serve(l) //nolint:errcheck // it ends with Close.
	return s
}

func (p *proxyFleet) stop() {
	p.cloud.SetFault(nil)
	p.net.Heal()
	p.running.Wait()
	for _, n := range p.nodes {
		n.kill()
	}
	for _, s := range p.servers {
		s.Close() //nolint:errcheck // the test is over.
	}
	for name, e := range p.engines {
		e.listener.Close() //nolint:errcheck // the test is over.
		p.net.Kill(name)
	}
	time.Sleep(lastTimeout)
	synctest.Wait()
}

func (n *passNode) kill() {
	n.server.Close() //nolint:errcheck // a crash.
	n.Stop()
	n.peers.Close()
}

func (p *proxyFleet) run(command string, names []string, given map[string]string) {
	commands := map[string]func([]string, map[string]string){
		"node": p.node, "engine": p.engine, "answers": p.answers, "route": p.route, "account": p.account,
		"settings": p.settings, "state": p.state, "send": p.send, "want": p.want, "arrivals": p.arrivals,
		"wait": p.wait, "freeze": p.freeze, "thaw": p.thaw, "kill": p.kill, "restart": p.restart,
		"store": p.store, "leave": p.leave, "ready": p.ready, "cut": p.cut, "heal": p.heal, "odd_entry": p.oddEntry,
		"batch": p.batch,
	}
	do, ok := commands[command]
	qt.Assert(p.T, ok, qt.IsTrue, qt.Commentf("%s: unknown command %s", p.Place, command))
	do(names, given)
}

func (p *proxyFleet) node(names []string, _ map[string]string) {
	for _, name := range names {
		p.startNode(name)
	}
}

func (p *proxyFleet) startNode(name string) {
	at := qt.Commentf("%s: %s", p.Place, name)
	mux := &link.Mux{}
	listener, err := p.net.Listen(name + ":80")
	qt.Assert(p.T, err, qt.IsNil, at)
	peers, err := InMemory(p.net).Peers(name, mux)
	qt.Assert(p.T, err, qt.IsNil, at)
	dial := p.net.Dial(name)
	calls := &platform.Store{Address: p.url, Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	n := &passNode{peers: peers, Node: &node.Node{
		Process: config.Process{
			Name: ident.NodeID(name), Zone: "z", Region: "r", CallerAddress: name + ":80", PeerAddress: peers.Address,
			RetryBudget: config.RetryBudget{Ratio: 0.2, Extra: 50, Window: 10 * time.Second},
		},
		Store: &store.Client{Service: calls.Service()}, Open: peers.Open, Log: log.New(io.Discard),
		Platform: &node.Platform{
			SettingsTable: platform.OperatorTable, SettingsKey: platform.SettingsKey,
			EndpointTable: platform.EndpointTable, SettingsVersion: platform.SettingsVersion,
			ParseSettings: platform.ParseSettings, ParseEndpoint: platform.ParseEndpoint, HeaderCodec: platform.HeaderCodec(),
		},
		DialEndpoint: func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) },
	}}
	n.Prepare(mux, resumeKey)
	n.SetLedgerKey(ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)))
	n.server = n.Router().Server()
	n.server.ErrorLog = quiet()
	go n.server.Serve(listener) //nolint:errcheck // it ends with Close.
	p.nodes[name] = n
	go n.Start(context.Background())
}

func (p *proxyFleet) engine(names []string, given map[string]string) {
	for _, name := range names {
		e := &passEngine{next: engine.Behaviour{Last: 3, Pace: 10 * time.Millisecond}}
		e.ID = name
		if given["slots"] != "" {
			e.next = engine.Behaviour{}
			e.PerEvent = 6
			e.Batch = &batch.Engine{
				Slots: p.Int("slots", 0), Queue: p.Int("queue", 0), Memory: ident.Tokens(p.Int("memory", 0)),
				Step: p.Span(given["step"]), Prefill: p.Span(given["prefill"]),
			}
		}
		e.Next = func() engine.Behaviour {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.next
		}
		l, err := p.net.Listen(name + ":80")
		qt.Assert(p.T, err, qt.IsNil, qt.Commentf(p.Place))
		e.listener = l
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go e.Serve(c)
			}
		}()
		service := "llm"
		if given["service"] != "" {
			service = given["service"]
		}
		e.entry = map[string]any{"service": service, "address": name + ":80", "zone": "z", "slots": p.Int("slots", 4), "state": "ready", "seq": 1}
		p.engines[name] = e
		p.list(name)
	}
}

func (p *proxyFleet) list(name string) { p.put("servers", name, p.engines[name].entry) }

func (p *proxyFleet) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	qt.Assert(p.T, err, qt.IsNil, qt.Commentf(p.Place))
	p.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: table, Key: key, Value: raw}}})
}

func (p *proxyFleet) answers(names []string, given map[string]string) {
	for _, name := range names {
		e := p.engines[name]
		e.mu.Lock()
		e.next = engine.Behaviour{
			Status: p.Int("status", 0), Body: given["body"], Last: p.Int("events", 0),
			Ending: engine.Ending(given["ending"]), Pace: p.Span(given["pace"]), Drop: given["drop"] == "yes",
			NotRun: given["not_run"] == "yes",
		}
		e.mu.Unlock()
	}
}

// route adds a route of the settings that are written next.
func (p *proxyFleet) route(names []string, given map[string]string) {
	kind := given["kind"]
	if kind == "" {
		kind = "stream"
	}
	service := given["service"]
	if service == "" {
		service = "llm"
	}
	p.routes = slices.DeleteFunc(p.routes, func(r map[string]any) bool { return r["name"] == names[0] })
	if given["drop"] == "yes" {
		return
	}
	p.routes = append(p.routes, map[string]any{
		"name": names[0], "host": "h.example", "prefix": "/" + names[0] + "/", "kind": kind, "service": service,
		"timeout_ms": p.Int("timeout_ms", 5000), "target_latency_ms": p.Int("target_ms", 1000),
		"gap_aim_ms": 400, "attempts": p.Int("attempts", 1), "resumable": given["resumable"] == "yes",
	})
}

func (p *proxyFleet) account(names []string, given map[string]string) {
	p.tenants = slices.DeleteFunc(p.tenants, func(t map[string]any) bool { return t["name"] == names[0] })
	p.tenants = append(p.tenants, map[string]any{
		"name": names[0], "api_keys": strings.Split(given["keys"], ","), "unit": "token_stream", "plain_tokens": 100,
		"rate_per_s": p.Int("rate", 0), "burst": p.Int("burst", 0), "priority": 1,
	})
}

func (p *proxyFleet) settings([]string, map[string]string) {
	p.version += 3
	p.put("op", "config", map[string]any{
		"version": p.version, "routes": p.routes, "tenants": p.tenants,
		"services": []map[string]any{
			{"name": "llm", "engine": map[string]any{"slots": 4, "kv_capacity": 100000, "increment": 1}},
			{"name": "app"},
		},
	})
}

// state changes or removes an endpoint's entry.
func (p *proxyFleet) state(names []string, given map[string]string) {
	for _, name := range names {
		if given["is"] == "gone" {
			p.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "servers", Key: name}}})
			continue
		}
		p.engines[name].entry["state"] = given["is"]
		p.list(name)
	}
}

// oddEntry writes an endpoint's entry that is not as it should be.
func (p *proxyFleet) oddEntry(names []string, given map[string]string) {
	p.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "servers", Key: names[0], Value: []byte(given["text"])}}})
}

// send starts a request; its outcome is looked at with want.
func (p *proxyFleet) send(names []string, given map[string]string) {
	for _, name := range names {
		call := &passCall{}
		p.calls[name] = call
		req, err := http.NewRequest(http.MethodPost, "http://"+given["to"]+":80/"+given["route"]+"/x", strings.NewReader("body")) //nolint:noctx // it ends with the test.
		qt.Assert(p.T, err, qt.IsNil, qt.Commentf(p.Place))
		req.Host = "h.example"
		req.Header.Set(engine.AttemptHeader, name)
		req.Header.Set("X-Api-Key", given["key"])
		if given["tokens"] != "" {
			req.Header.Set(engine.TokensHeader, given["tokens"])
		}
		if given["parts"] != "" {
			req.Header.Set(engine.PartsHeader, given["parts"])
		}
		if given["deadline_ms"] != "" {
			req.Header.Set(engine.DeadlineHeader, given["deadline_ms"])
		}
		gone := p.Span(given["leaves"])
		p.running.Go(func() { call.do(req, p.net, gone) })
	}
	// What has been sent is at its node before the next line.
	time.Sleep(time.Millisecond)
	synctest.Wait()
}

// do sends the request; the caller is gone after a time above 0.
func (c *passCall) do(req *http.Request, n *pipes.Net, gone time.Duration) {
	began := time.Now()
	if gone > 0 {
		ctx, cancel := context.WithTimeout(req.Context(), gone)
		defer cancel()
		req = req.WithContext(ctx)
	}
	client := http.Client{Transport: &http.Transport{DialContext: n.Dial(callerHost), DisableKeepAlives: true}}
	defer func() { c.took, c.settled = time.Since(began), true }()
	resp, err := client.Do(req)
	if err != nil {
		c.err = err
		return
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end.
	c.status, c.retry = resp.StatusCode, resp.Header.Get("Retry-After")
	raw, err := io.ReadAll(resp.Body)
	c.body, c.whole = string(raw), err == nil
}

// want checks a request's outcome: status=, whole=, events=, retry=yes,
// within=, open=yes.
func (p *proxyFleet) want(names []string, given map[string]string) {
	for _, name := range names {
		c := p.calls[name]
		at := qt.Commentf("%s: %s: %+v", p.Place, name, c)
		if given["open"] == "yes" {
			qt.Check(p.T, c.settled, qt.IsFalse, at)
			continue
		}
		qt.Assert(p.T, c.settled, qt.IsTrue, at)
		if given["closed"] == "yes" {
			qt.Check(p.T, c.err != nil, qt.IsTrue, at)
			continue
		}
		qt.Check(p.T, c.err, qt.IsNil, at)
		qt.Check(p.T, c.status, qt.Equals, p.Int("status", http.StatusOK), at)
		qt.Check(p.T, c.whole, qt.Equals, given["whole"] != "no", at)
		if given["events"] != "" {
			qt.Check(p.T, strings.Count(c.body, "id: "), qt.Equals, p.Int("events", 0), at)
		}
		if given["retry"] == "yes" {
			qt.Check(p.T, c.retry != "", qt.IsTrue, at)
		}
		if given["retry_after"] != "" {
			qt.Check(p.T, c.retry, qt.Equals, given["retry_after"], at)
		}
		if given["within"] != "" {
			qt.Check(p.T, c.took <= p.Span(given["within"]), qt.IsTrue, at)
		}
	}
}

func (p *proxyFleet) arrivals(names []string, _ map[string]string) {
	total := 0
	for _, name := range names {
		total += len(p.engines[name].Arrivals())
	}
	qt.Check(p.T, total, qt.Equals, p.Int("are", 0), qt.Commentf("%s: %v", p.Place, names))
}

// batch checks what an engine with a batch is doing and has done.
func (p *proxyFleet) batch(names []string, given map[string]string) {
	load := p.engines[names[0]].Batch.Load()
	for key, got := range map[string]int{
		"running": load.Running, "waiting": load.Waiting, "preempted": load.Preempted, "read": int(load.Read),
	} {
		if given[key] != "" {
			qt.Check(p.T, got, qt.Equals, p.Int(key, 0), qt.Commentf("%s: %s", p.Place, key))
		}
	}
}

func (p *proxyFleet) wait(names []string, _ map[string]string) {
	time.Sleep(p.Span(names[0]))
	synctest.Wait()
}

// hosts returns the machines that names stand for: owner=POOL is the node that
// runs the pool's cell.
func (p *proxyFleet) hosts(names []string, given map[string]string) []string {
	if pool := given["owner"]; pool != "" {
		for _, n := range p.nodes {
			if owner, ok := n.Cells().Owner(ident.CellID{Pool: ident.PoolID("platform/" + pool)}); ok {
				return append(names, string(owner.ID))
			}
		}
	}
	return names
}

func (p *proxyFleet) freeze(names []string, given map[string]string) {
	for _, host := range p.hosts(names, given) {
		p.net.Freeze(host, true)
	}
}

func (p *proxyFleet) thaw([]string, map[string]string) { p.net.Heal() }
func (p *proxyFleet) heal([]string, map[string]string) { p.net.Heal() }

func (p *proxyFleet) cut(names []string, _ map[string]string) {
	p.net.Cut(names[0], names[1], true)
	p.net.Cut(names[1], names[0], true)
}

func (p *proxyFleet) kill(names []string, _ map[string]string) {
	for _, name := range names {
		p.nodes[name].kill()
		delete(p.nodes, name)
	}
}

func (p *proxyFleet) restart(names []string, _ map[string]string) {
	for _, name := range names {
		p.nodes[name].kill()
		p.net.Revive(name)
		p.startNode(name)
	}
}

// leave stops a node gracefully, as the entry command does.
func (p *proxyFleet) leave(names []string, _ map[string]string) {
	n := p.nodes[names[0]]
	p.running.Go(func() {
		n.Router().Leave()
		n.Leave()
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		if err := n.server.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			p.Errorf("shut down: %v", err)
		}
	})
	synctest.Wait()
}

// ready checks which nodes say that they are ready.
func (p *proxyFleet) ready(names []string, given map[string]string) {
	for _, name := range names {
		qt.Check(p.T, p.nodes[name].IsReady(), qt.Equals, given["is"] != "no", qt.Commentf("%s: %s", p.Place, name))
	}
}

var storeStates = map[string]cloud.Fault{
	"down": {Down: true}, "busy": {Busy: true}, "slow": {Delay: 3 * time.Second}, "loses_answers": {LoseAnswer: true},
}

func (p *proxyFleet) store(names []string, _ map[string]string) {
	if names[0] == "up" {
		p.cloud.SetFault(nil)
		return
	}
	if names[0] == "drop_history" {
		p.cloud.DropHistory()
		return
	}
	fault, ok := storeStates[names[0]]
	qt.Assert(p.T, ok, qt.IsTrue, qt.Commentf(p.Place))
	p.cloud.SetFault(func(cloud.Op) cloud.Fault { return fault })
}
