package fleet

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/engine"
	"goldcrestwick/platform"
)

// logRolloutsEnv names the environment variable that makes the scripts print the nodes' logs.
const logRolloutsEnv = "GOLDCRESTWICK_TEST_LOG"

// logOf returns the log of a node.
func (p *proxyCase) logOf(name string) *log.Logger {
	w := io.Discard
	if os.Getenv(logRolloutsEnv) != "" {
		w = p.Output()
	}
	return log.NewWithOptions(w, log.Options{Prefix: name, ReportTimestamp: true, TimeFormat: "15:04:05.000"})
}

// nextBehaviour returns the behaviour for the next request. The caller holds e.mu.
func (e *proxyEngine) nextBehaviour() engine.Behaviour {
	if e.badEvery == 0 || time.Now().Before(e.badFrom) {
		return e.behaviour
	}
	// A regular choice would put all failures on one of the nodes that send in turn.
	if e.random.IntN(e.badEvery) == 0 {
		return e.bad
	}
	return e.behaviour
}

// setBounds sets the bounds of rollouts for the nodes that are started later.
func (p *proxyCase) setBounds(_ []string, given map[string]string) {
	share, err := strconv.ParseFloat(given["share"], 64)
	qt.Assert(p.T, err, qt.IsNil, qt.Commentf(p.Position))
	p.bounds.ExposeShare, p.bounds.ExposeSlack = share, p.IntOption("slack", 50)
	p.bounds.Rollback = 5 * time.Second
}

// order writes, with text= literally, or removes the order of a service.
func (p *proxyCase) order(names []string, given map[string]string) {
	key := platform.OrderPrefix + names[0]
	write := cloud.Write{Table: "op", Key: key, Value: []byte(given["text"])}
	switch {
	case given["remove"] == "yes":
		write.Value = nil
	case given["text"] == "":
		raw, err := json.Marshal(map[string]any{"service": names[0], "to": given["to"], "ramp_s": p.IntOption("ramp", 12)})
		qt.Assert(p.T, err, qt.IsNil, qt.Commentf(p.Position))
		write.Value = raw
	}
	p.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{write}})
}

// checkStatus checks the state of a service's order, for which it waits up to within=.
func (p *proxyCase) checkStatus(names []string, given map[string]string) {
	var status struct{ State, To string }
	for end := time.Now().Add(p.ParseDuration(given["within"])); ; time.Sleep(50 * time.Millisecond) {
		status = struct{ State, To string }{}
		if value := p.cloud.Rows("status")[platform.OrderPrefix+names[0]]; value != nil {
			qt.Check(p.T, json.Unmarshal(value, &status), qt.IsNil, qt.Commentf(p.Position))
		}
		if status.State == given["is"] || !time.Now().Before(end) {
			break
		}
	}
	qt.Check(p.T, status.State, qt.Equals, given["is"], qt.Commentf(p.Position))
	if given["to"] != "" {
		qt.Check(p.T, status.To, qt.Equals, given["to"], qt.Commentf(p.Position))
	}
}

// checkExposed bounds the requests that reached the engines of a release since the last such
// command: their number, or their part of all requests plus a number.
func (p *proxyCase) checkExposed(names []string, given map[string]string) {
	counts, total := map[string]int{}, 0
	for _, e := range p.engines {
		n := len(e.ReceivedRequests())
		counts[e.Release] += n
	}
	for release, n := range counts {
		total += n - p.exposed[release]
	}
	got := counts[names[0]] - p.exposed[names[0]]
	limit := p.IntOption("plus", 0)
	if given["share"] != "" {
		share, err := strconv.ParseFloat(given["share"], 64)
		qt.Assert(p.T, err, qt.IsNil, qt.Commentf(p.Position))
		limit += int(share * float64(total))
	}
	if given["share"] != "" || given["plus"] != "" {
		qt.Check(p.T, got <= limit, qt.IsTrue, qt.Commentf("%s: %d of %d requests at %s", p.Position, got, total, names[0]))
	}
	qt.Check(p.T, got >= p.IntOption("at_least", 0), qt.IsTrue, qt.Commentf("%s: %d of %d requests at %s", p.Position, got, total, names[0]))
	p.exposed = counts
}

// checkShown checks what each node shows operators of the rollout of a service: the state and
// the verdict, and that the counts of the conductor come along.
func (p *proxyCase) checkShown(names []string, given map[string]string) {
	for name, n := range p.nodes {
		comment := qt.Commentf("%s: %s", p.Position, name)
		s, ok := n.Rollout(context.Background(), names[0])
		qt.Assert(p.T, ok, qt.IsTrue, comment)
		qt.Check(p.T, s.State, qt.Equals, given["is"], comment)
		qt.Check(p.T, s.Verdict, qt.Equals, given["verdict"], comment)
		qt.Check(p.T, s.Target, qt.Equals, given["to"], comment)
		qt.Check(p.T, s.IsFromConductor && len(s.Counts) > 0 && s.Reason != "", qt.IsTrue, comment)
	}
}
