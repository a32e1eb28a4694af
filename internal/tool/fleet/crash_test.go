package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/stand/batch"
	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/engine"
	"goldcrestwick/internal/stand/pipes"
	"goldcrestwick/internal/stand/runner"
	"goldcrestwick/internal/version/config"
)

// TestPromptCrashesModelRunners checks that a prompt's beginning which crashes each model
// runner is refused after few crashes on the nodes' own interface too, and that prompts
// which share only a part of it are served.
func TestPromptCrashesModelRunners(t *testing.T) {
	checkCrashingPrompts(t, strings.Repeat("system prompt ", 32), func(i int) string { return fmt.Sprint(" question ", i) })
}

// TestRepeatedPromptCrashesModelRunners checks the same for a prompt that comes again as a
// whole and shares a long beginning with sound ones.
func TestRepeatedPromptCrashesModelRunners(t *testing.T) {
	checkCrashingPrompts(t, strings.Repeat("system prompt ", 512), func(int) string { return "" })
}

// checkCrashingPrompts sends prompts of a common beginning, a document, which crashes model
// runners or not, and a question.
func checkCrashingPrompts(t *testing.T, common string, question func(int) string) {
	synctest.Test(t, func(t *testing.T) {
		var crashes atomic.Int32
		network := &pipes.Network{}
		text := caseTree + "[endpoint.r3]\npool = chat\navailability_zone = z1\n[endpoint.r4]\npool = chat\navailability_zone = z2\n"
		tree, err := config.Parse(map[string][]byte{"root.ini": []byte("[fleet]\nregion = r\n"), "teams/team.ini": []byte(text)}, 1)
		qt.Assert(t, err, qt.IsNil)
		c := &testCase{t: t, net: network}
		c.client.Transport = &http.Transport{DialContext: network.Dial(callerHost), DisableKeepAlives: true}
		c.fleet, err = Start(Options{
			Tree: tree, Nodes: 3, Network: InMemory(network),
			ConfigureRunner: func(id ident.Endpoint, r *runner.Runner) {
				r.CrashPrompt = func(prompt string) bool {
					if !strings.Contains(prompt, "crash") {
						return false
					}
					crashes.Add(1)
					network.Kill(EndpointHost(id))
					time.AfterFunc(2*time.Second, func() { network.Revive(EndpointHost(id)) })
					return true
				}
			},
		})
		qt.Assert(t, err, qt.IsNil)
		send := func(i int, document string) attempt {
			prompt := common + strings.Repeat(document, 64) + question(i)
			return c.sendTo(c.fleet.Nodes[i%3], "chat", "a", prompt)
		}
		for i := range 20 {
			a := send(i, "crash ")
			if i >= 6 {
				qt.Check(t, a.reason, qt.Equals, string(refuse.Quarantined), qt.Commentf("request %d", i))
				qt.Check(t, a.run, qt.Equals, string(refuse.NotRun))
			}
			for range 3 {
				a := send(i, "other ")
				qt.Check(t, a.complete, qt.IsTrue, qt.Commentf("sound request %d: %+v", i, a))
			}
			time.Sleep(time.Second)
		}
		qt.Check(t, crashes.Load() <= 6, qt.IsTrue, qt.Commentf("%d crashes", crashes.Load()))
		c.stop()
	})
}

// crashLog holds what crashes engines, the part of a prompt or the path of a request below
// its route, and the crashes.
type crashLog struct {
	mu         sync.Mutex
	part, path string
	// down is the time until a crashed engine is back, as another incarnation.
	down time.Duration
	at   []time.Time
	// sent counts the requests of the traffic command.
	sent int
}

// crashingPart sets the part of a prompt that crashes each engine that begins to
// generate an answer to it.
func (p *proxyCase) crashingPart(names []string, given map[string]string) {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	p.crashes.part, p.crashes.down = names[0], p.ParseDuration(given["down"])
}

// crashingRequest sets the path below its route of the request that crashes each engine
// that runs it.
func (p *proxyCase) crashingRequest(names []string, given map[string]string) {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	p.crashes.path, p.crashes.down = names[0], p.ParseDuration(given["down"])
}

func (c *crashLog) isRequest(target string) bool {
	return c.path != "" && strings.HasSuffix(target, "/"+c.path)
}

// crash crashes an engine if the prompt has the crashing part or the request is the crashing
// one, and starts it again later.
func (p *proxyCase) crash(name, target string, parts []batch.PromptPart) bool {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	hasPart := slices.ContainsFunc(parts, func(part batch.PromptPart) bool { return part.ID == p.crashes.part })
	if !hasPart && !p.crashes.isRequest(target) {
		return false
	}
	p.crashes.at = append(p.crashes.at, time.Now())
	p.net.Kill(name)
	entry, down := maps.Clone(p.engines[name].entry), p.crashes.down
	entry["born"] = len(p.crashes.at)
	row, err := json.Marshal(entry)
	p.running.Go(func() {
		time.Sleep(down)
		p.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "servers", Key: name, Value: row}}})
		p.net.Revive(name)
	})
	return err == nil
}

// traffic sends requests at intervals to nodes in turn for a duration: sound ones,
// and ones with the crashing part, which share all other parts but the last with them.
func (p *proxyCase) traffic(names []string, given map[string]string) {
	p.sendAtIntervals(names, given, func(n int, isCrashing bool) map[string]string {
		part := "c"
		if isCrashing {
			part = p.crashes.part
		}
		return map[string]string{"tokens": "160,60", "parts": fmt.Sprintf("a:50,b:40,%s:50,%x:20", part, 1000+n)}
	})
}

// reads does the same with the crashing request, and sound ones with a few other paths.
func (p *proxyCase) reads(names []string, given map[string]string) {
	p.sendAtIntervals(names, given, func(n int, isCrashing bool) map[string]string {
		path := fmt.Sprint("stock", n%7)
		if isCrashing {
			path = p.crashes.path
		}
		return map[string]string{"path": path, "tokens": given["tokens"], "parts": given["parts"]}
	})
}

// sendAtIntervals sends sound and crashing requests with the arguments of the n-th one.
func (p *proxyCase) sendAtIntervals(names []string, given map[string]string, argumentsOf func(n int, isCrashing bool) map[string]string) {
	nodes, step := strings.Split(given["to"], ","), 10*time.Millisecond
	for elapsed := time.Duration(0); elapsed < p.ParseDuration(names[0]); elapsed += step {
		for _, kind := range []string{"sound", "crashing"} {
			interval := p.ParseDuration(given[kind])
			if interval == 0 || elapsed%interval != 0 {
				continue
			}
			p.crashes.sent++
			n := p.crashes.sent
			arguments := argumentsOf(n, kind == "crashing")
			arguments["to"], arguments["route"], arguments["key"] = nodes[n%len(nodes)], given["route"], given["key"]
			p.send([]string{fmt.Sprintf("%s_%s%d", given["prefix"], kind, n)}, arguments)
		}
		time.Sleep(step)
	}
}

// checkCrashes bounds the requests with the crashing part, or the crashing requests, that
// have reached engines later than after= from the crash of a number, by default the fifth.
func (p *proxyCase) checkCrashes(_ []string, given map[string]string) {
	p.crashes.mu.Lock()
	at := slices.Clone(p.crashes.at)
	p.crashes.mu.Unlock()
	first := p.IntOption("from", 5)
	if len(at) < first {
		return
	}
	from, late := at[first-1].Add(p.ParseDuration(given["after"])), 0
	for _, e := range p.engines {
		for _, r := range e.ReceivedRequests() {
			hasPart := p.crashes.part != "" && strings.Contains(r.Header.Get(engine.PromptPrefixHeader), ","+p.crashes.part+":")
			if (hasPart || p.crashes.isRequest(r.Target)) && r.At.After(from) {
				late++
			}
		}
	}
	qt.Check(p.T, late <= p.IntOption("at_most", 0), qt.IsTrue,
		qt.Commentf("%s: %d crashes, %d such requests after %v", p.Position, len(at), late, from))
}
