package fleet

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/runner"
	"goldcrestwick/internal/version/config"
)

// startBenchmarkFleet starts nodes on the loopback network with model runners
// that take the given time per batch step.
func startBenchmarkFleet(b *testing.B, nodes int, step time.Duration) *Fleet {
	unlimited := strings.Replace(caseTree, "queue_requests = 8\nwindow_tokens = 2048", "window_tokens = 100000000", 1)
	tree, err := config.Parse(map[string][]byte{"root.ini": []byte("[fleet]\nregion = r\n"), "teams/team.ini": []byte(unlimited)}, 1)
	qt.Assert(b, err, qt.IsNil)
	f, err := Start(Options{Tree: tree, Nodes: nodes, ConfigureRunner: func(_ ident.Endpoint, r *runner.Runner) {
		r.StepCost = runner.StepCost{Base: step}
		r.KVCapacity, r.MaxSequences = 1<<30, 1<<10
	}})
	qt.Assert(b, err, qt.IsNil)
	for _, s := range f.ApplicationRunners {
		s.CallDuration = 0
	}
	b.Cleanup(f.Stop)
	return f
}

// ownerAndOther returns the node that runs a pool's cell and another node.
func (f *Fleet) ownerAndOther(pool ident.PoolID) (owner, other *Node) {
	for _, n := range f.Nodes {
		if o, ok := n.Cells().Owner(ident.CellID{Pool: pool}); ok && o.ID == n.Process.Name {
			owner = n
			continue
		}
		other = n
	}
	return owner, other
}

func sendRequest(b *testing.B, client *http.Client, method, url, body string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body)) //nolint:noctx // a benchmark.
	qt.Assert(b, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("X-Request-Id", string(ident.NewRequestID()))
	resp, err := client.Do(req)
	qt.Assert(b, err, qt.IsNil)
	_, err = io.Copy(io.Discard, resp.Body)
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, resp.StatusCode, qt.Equals, http.StatusOK)
	resp.Body.Close() //nolint:errcheck // the body is read completely.
}

// BenchmarkRequestPath compares a service request and a short text-completion
// request sent directly to the endpoint, through the node that runs its cell, and
// through another node.
func BenchmarkRequestPath(b *testing.B) {
	f := startBenchmarkFleet(b, 3, 0)
	serviceURL, runnerURL := "", ""
	for _, instance := range f.instances {
		switch instance.Endpoint {
		case "team/s1":
			serviceURL = instance.Address
		case "team/r1":
			runnerURL = instance.Address
		}
	}
	bikeOwner, bikeOther := f.ownerAndOther("team/bikes")
	chatOwner, chatOther := f.ownerAndOther("team/chat")
	const completion = `{"model":"m","prompt":"x","max_tokens":8,"stream":true}`
	for _, c := range []struct{ name, method, url, body string }{
		{"service/direct", "GET", serviceURL + "/stock", ""},
		{"service/own_cell", "GET", "http://" + bikeOwner.Address + "/services/bikes/stock", ""},
		{"service/other_cell", "GET", "http://" + bikeOther.Address + "/services/bikes/stock", ""},
		{"completion/direct", "POST", runnerURL + "/v1/completions", completion},
		{"completion/own_cell", "POST", "http://" + chatOwner.Address + "/v1/completions", completion},
		{"completion/other_cell", "POST", "http://" + chatOther.Address + "/v1/completions", completion},
	} {
		b.Run(c.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{}}
			b.ReportAllocs()
			for b.Loop() {
				sendRequest(b, client, c.method, c.url, c.body)
			}
		})
	}
}

// BenchmarkOpenConnections measures the memory of the whole process per idle
// and per streaming caller: both ends of the connection, the proxied request
// and the model runner's side.
func BenchmarkOpenConnections(b *testing.B) {
	const callers = 100
	for _, streaming := range []bool{false, true} {
		b.Run(fmt.Sprintf("streaming=%t", streaming), func(b *testing.B) {
			f := startBenchmarkFleet(b, 1, 50*time.Millisecond)
			url := "http://" + f.Nodes[0].Address
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
			memoryBefore := memoryInUse()
			responses := make([]*http.Response, callers)
			for i := range responses {
				responses[i] = openConnection(b, client, url, streaming)
			}
			b.ReportMetric(float64(memoryInUse()-memoryBefore)/callers/1024, "KiB/caller")
			for _, r := range responses {
				r.Body.Close() //nolint:errcheck // the benchmark only measures memory.
			}
			b.ReportMetric(0, "ns/op") // hides the meaningless time.
		})
	}
}

// openConnection opens a connection and leaves it idle or, if streaming is set,
// in the middle of an answer.
func openConnection(b *testing.B, client *http.Client, url string, streaming bool) *http.Response {
	req, err := http.NewRequest(http.MethodGet, url+"/healthz", nil) //nolint:noctx // a benchmark.
	if streaming {
		body := strings.NewReader(`{"model":"m","prompt":"x","max_tokens":2000,"stream":true}`)
		req, err = http.NewRequest(http.MethodPost, url+"/v1/completions", body) //nolint:noctx // a benchmark.
	}
	qt.Assert(b, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("X-Deadline", "2h")
	resp, err := client.Do(req)
	qt.Assert(b, err, qt.IsNil)
	if streaming {
		firstByte := make([]byte, 1)
		_, err := resp.Body.Read(firstByte)
		qt.Assert(b, err, qt.IsNil)
	}
	return resp
}
