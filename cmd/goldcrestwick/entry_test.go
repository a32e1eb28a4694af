package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/engine"
	"goldcrestwick/internal/version/config"
)

const entrySettingsFormat = `[node]
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

// operatorSettings is the settings row that the platform's operator writes.
const operatorSettings = `{"version":3,
 "routes":[{"name":"chat","host":"h.example","prefix":"/chat/","kind":"stream","timeout_ms":5000,
  "target_latency_ms":1000,"service":"llm","attempts":2,"resumable":true}],
 "services":[{"name":"llm","engine":{"slots":4,"kv_capacity":100000,"increment":6}}],
 "tenants":[{"name":"a1","api_keys":["k1"],"unit":"token_stream","plain_tokens":200}]}`

// startEntry starts a node with its own settings and waits until it is ready.
func startEntry(t *testing.T, name, store string) (e *entryNode, stop func() error) {
	p, err := config.ParseProcess("node.ini", fmt.Appendf(nil, entrySettingsFormat, name, store))
	qt.Assert(t, err, qt.IsNil)
	e = newEntryNode(p, log.New(io.Discard))
	e.drainDelay = 0 // no caller has this node's address cached.
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.run(ctx) }()
	select {
	case <-e.listening:
	case err := <-done:
		t.Fatal(err)
	}
	for getStatus(t, e.startSettings.ReadyAddress, "/api/readyz") != http.StatusOK {
		continue
	}
	return e, func() error {
		cancel()
		return <-done
	}
}

func getStatus(t *testing.T, address, path string) int {
	status, _ := get(t, address, path)
	return status
}

func get(t *testing.T, address, path string) (int, string) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close() //nolint:errcheck // the body has been read.
	raw, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return resp.StatusCode, string(raw)
}

// postChat sends a request of the route chat to a node.
func postChat(t *testing.T, e *entryNode, id string) *http.Response {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.startSettings.CallerAddress+"/chat/x", strings.NewReader("hello"))
	qt.Assert(t, err, qt.IsNil)
	req.Host = "h.example"
	req.Header.Set(engine.AttemptIDHeader, id)
	req.Header.Set("X-Api-Key", "k1")
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	return resp
}

// TestEntryNodes runs two nodes on loopback against a simulated platform. Over
// real sockets they discover and authenticate each other through the store,
// resume a stream that is interrupted at its first endpoint, count it in the
// metrics, and stop without an error.
func TestEntryNodes(t *testing.T) {
	var cloudPlatform cloud.Platform
	server := httptest.NewServer(&cloudPlatform)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	engines := map[string]*engine.Engine{}
	writes := []cloud.Write{{Table: "op", Key: "config", Value: []byte(operatorSettings)}}
	for _, id := range []string{"e1", "e2"} {
		e := &engine.Engine{ID: id}
		e.NextBehaviour = func() engine.Behaviour {
			if len(engines["e1"].ReceivedRequests())+len(engines["e2"].ReceivedRequests()) == 0 {
				return engine.Behaviour{LastEvent: 2, EndMode: engine.EndTruncated}
			}
			return engine.Behaviour{LastEvent: 5}
		}
		engines[id] = e
		entry, err := json.Marshal(map[string]any{
			"service": "llm", "address": serveEngine(t, e), "zone": "z", "version": "v1", "slots": 4, "state": "ready", "seq": 1,
		})
		qt.Assert(t, err, qt.IsNil)
		writes = append(writes, cloud.Write{Table: "servers", Key: id, Value: entry})
	}
	cloudPlatform.Apply(cloud.Transaction{Writes: writes})

	first, stopFirst := startEntry(t, "n1", address)
	second, stopSecond := startEntry(t, "n2", address)
	for {
		_, text := get(t, first.startSettings.DirectoryAddress, "/api/resolve?name=h.example&region=r&zone=z")
		if strings.Contains(text, first.startSettings.CallerAddress) && strings.Contains(text, second.startSettings.CallerAddress) {
			break
		}
	}
	resp := postChat(t, second, "r1")
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	resp.Body.Close() //nolint:errcheck // the body has been read.
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, strings.Count(string(body), "id: "), qt.Equals, 5)
	qt.Assert(t, len(engines["e1"].ReceivedRequests()), qt.Equals, 1)
	qt.Assert(t, len(engines["e2"].ReceivedRequests()), qt.Equals, 1)

	_, metrics := get(t, second.startSettings.MetricsAddress, "/metrics")
	qt.Assert(t, metrics, qt.Contains, `goldcrestwick_answers_total{tier="rank_0_0",pool="platform/llm",in_time="true"} 1`)
	_, explained := get(t, first.startSettings.OperatorAddress, "/v1/explain/r1")
	for _, want := range []string{"accepted for account platform/a1", "it is sent to another", "the whole answer was delivered"} {
		qt.Assert(t, explained, qt.Contains, want)
	}
	qt.Assert(t, stopFirst(), qt.IsNil)
	qt.Assert(t, stopSecond(), qt.IsNil)
	qt.Assert(t, len(cloudPlatform.Objects()) > 0, qt.IsTrue, qt.Commentf("no ledger blocks in the store"))
}

// serveEngine serves a simulated engine on loopback and returns its address.
func serveEngine(t *testing.T, e *engine.Engine) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() }) //nolint:errcheck // the test is over.
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.Serve(c)
		}
	}()
	return l.Addr().String()
}

// TestEntryWithoutSettingsFile checks that a missing settings file is a usage
// error.
func TestEntryWithoutSettingsFile(t *testing.T) {
	var out, errs strings.Builder
	t.Setenv("GOLDCRESTWICK_CONFIG", "")
	qt.Check(t, run([]string{"goldcrestwick", "entry"}, &out, &errs), qt.Equals, exitUsage)
	qt.Check(t, errs.String(), qt.Contains, "no settings file is given")
}

// TestLimitProcessors guards against threads that are woken on processors which the node may
// not use.
func TestLimitProcessors(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
	limitProcessors(config.Process{})
	qt.Check(t, runtime.GOMAXPROCS(0), qt.Equals, before)
	limitProcessors(config.Process{Capacity: 1500})
	qt.Check(t, runtime.GOMAXPROCS(0), qt.Equals, min(2, runtime.NumCPU()))
	limitProcessors(config.Process{Capacity: 130})
	qt.Check(t, runtime.GOMAXPROCS(0), qt.Equals, 1)
	// A limit of the environment or of the runtime that is lower than the settings stays.
	limitProcessors(config.Process{Capacity: 1500})
	qt.Check(t, runtime.GOMAXPROCS(0), qt.Equals, 1)
}

// TestOwnerStops guards against a node that ends its background work at SIGTERM: callers who have
// its address cached then wait in vain for a grant of the cells that it owned.
func TestOwnerStops(t *testing.T) {
	var cloudPlatform cloud.Platform
	server := httptest.NewServer(&cloudPlatform)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	e := &engine.Engine{ID: "e1", NextBehaviour: func() engine.Behaviour { return engine.Behaviour{LastEvent: 2} }}
	entry := fmt.Sprintf(`{"service":"llm","address":%q,"zone":"z","version":"v1","slots":4,"state":"ready","seq":1}`, serveEngine(t, e))
	cloudPlatform.Apply(cloud.Transaction{Writes: []cloud.Write{
		{Table: "op", Key: "config", Value: []byte(operatorSettings)}, {Table: "servers", Key: "e1", Value: []byte(entry)},
	}})
	owner, stopOwner := startEntry(t, "n1", address)
	other, stopOther := startEntry(t, "n2", address)
	for len(owner.node.Members().Ready("")) < 2 || len(other.node.Members().Ready("")) < 2 ||
		len(owner.node.Cells().Loads())+len(other.node.Cells().Loads()) != 1 {
		runtime.Gosched()
	}
	if len(owner.node.Cells().Loads()) == 0 {
		owner, stopOwner, other, stopOther = other, stopOther, owner, stopOwner
	}
	owner.drainDelay = 3 * time.Second
	stopped := make(chan error, 1)
	go func() { stopped <- stopOwner() }()
	for getStatus(t, owner.startSettings.ReadyAddress, "/api/readyz") == http.StatusOK {
		continue
	}
	resp := postChat(t, owner, "r1")
	resp.Body.Close() //nolint:errcheck // the body is not used.
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
	qt.Check(t, <-stopped, qt.IsNil)
	qt.Check(t, stopOther(), qt.IsNil)
}

// TestStopReportsCutRequests guards against a log that says that no request was cut although the stop
// of the node ended some that had been sent: here a stream, and a request without an answer.
func TestStopReportsCutRequests(t *testing.T) {
	var cloudPlatform cloud.Platform
	server := httptest.NewServer(&cloudPlatform)
	defer server.Close()
	e := &engine.Engine{ID: "e1"}
	e.NextBehaviour = func() engine.Behaviour {
		if len(e.ReceivedRequests()) == 0 {
			return engine.Behaviour{LastEvent: 1000, EventInterval: 10 * time.Millisecond}
		}
		return engine.Behaviour{LastEvent: 2, EventInterval: time.Minute}
	}
	entry := fmt.Sprintf(`{"service":"llm","address":%q,"zone":"z","version":"v1","slots":4,"state":"ready","seq":1}`, serveEngine(t, e))
	cloudPlatform.Apply(cloud.Transaction{Writes: []cloud.Write{
		{Table: "op", Key: "config", Value: []byte(operatorSettings)}, {Table: "servers", Key: "e1", Value: []byte(entry)},
	}})
	n, stop := startEntry(t, "n1", strings.TrimPrefix(server.URL, "http://"))
	var logged strings.Builder
	n.log.SetOutput(&logged)
	p := *n.settings.Load()
	p.GracePeriod = graceMargin + 200*time.Millisecond
	n.settings.Store(&p)
	stream := postChat(t, n, "r1")
	defer stream.Body.Close() //nolint:errcheck // it has been read.
	silent := make(chan int, 1)
	go func() {
		defer close(silent)
		resp := postChat(t, n, "r2")
		resp.Body.Close() //nolint:errcheck // the body is not used.
		silent <- resp.StatusCode
	}()
	for len(e.ReceivedRequests()) < 2 {
		runtime.Gosched()
	}
	qt.Check(t, stop(), qt.IsNil)
	_, err := io.ReadAll(stream.Body)
	qt.Check(t, err, qt.Not(qt.IsNil))
	qt.Check(t, <-silent, qt.Equals, http.StatusGatewayTimeout)
	n.log.SetOutput(io.Discard)
	qt.Check(t, logged.String(), qt.Matches, `(?s).*process_stopped [^\n]*requests_cut=2 .*`)
}
