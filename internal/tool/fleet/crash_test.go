package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/batch"
	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/engine"
)

// crashLog holds the part of a prompt that crashes engines, and the crashes.
type crashLog struct {
	mu   sync.Mutex
	part string
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

// crash crashes an engine if the prompt has the crashing part, and starts it again
// later.
func (p *proxyCase) crash(name string, parts []batch.PromptPart) bool {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	if !slices.ContainsFunc(parts, func(part batch.PromptPart) bool { return part.ID == p.crashes.part }) {
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
	nodes, step := strings.Split(given["to"], ","), 10*time.Millisecond
	for elapsed := time.Duration(0); elapsed < p.ParseDuration(names[0]); elapsed += step {
		for kind, part := range map[string]string{"sound": "c", "crashing": p.crashes.part} {
			interval := p.ParseDuration(given[kind])
			if interval == 0 || elapsed%interval != 0 {
				continue
			}
			p.crashes.sent++
			n := p.crashes.sent
			p.send([]string{fmt.Sprintf("%s_%s%d", given["prefix"], kind, n)}, map[string]string{
				"to": nodes[n%len(nodes)], "route": given["route"], "key": given["key"], "tokens": "160,60",
				"parts": fmt.Sprintf("a:50,b:40,%s:50,%x:20", part, 1000+n),
			})
		}
		time.Sleep(step)
	}
}

// checkCrashes bounds the requests with the crashing part that have reached engines
// later than after= from the fifth crash.
func (p *proxyCase) checkCrashes(_ []string, given map[string]string) {
	p.crashes.mu.Lock()
	at := slices.Clone(p.crashes.at)
	p.crashes.mu.Unlock()
	if len(at) < 5 {
		return
	}
	from, late := at[4].Add(p.ParseDuration(given["after"])), 0
	for _, e := range p.engines {
		for _, r := range e.ReceivedRequests() {
			if strings.Contains(r.Header.Get(engine.PromptPrefixHeader), ","+p.crashes.part+":") && r.At.After(from) {
				late++
			}
		}
	}
	qt.Check(p.T, late <= p.IntOption("at_most", 0), qt.IsTrue,
		qt.Commentf("%s: %d crashes, %d requests with the part after %v", p.Position, len(at), late, from))
}
