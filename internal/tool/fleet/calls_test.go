package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/cloud"
)

// callCounts counts the nodes' calls to the store by table and operation.
type callCounts struct {
	mu     sync.Mutex
	counts map[string]int
	total  int
}

func (c *callCounts) add(table, operation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[table+" "+operation]++
	c.total++
}

// take returns the counts since the last call of take.
func (c *callCounts) take() (counts map[string]int, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, total = c.counts, c.total
	c.counts, c.total = nil, 0
	return counts, total
}

// checkStoreCalls bounds the nodes' calls to the store since the last such line, but for
// writes of the ledger's objects, which take place at times of their own. It logs all calls by
// table and operation.
func (p *proxyCase) checkStoreCalls(_ []string, given map[string]string) {
	counts, total := p.storeCalls.take()
	var b strings.Builder
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&b, ", %s %d", key, counts[key])
	}
	total -= counts["objects put"]
	p.Logf("%s: %d calls%s", p.Position, total, b.String())
	if given["at_most"] != "" {
		qt.Check(p.T, total <= p.IntOption("at_most", 0), qt.IsTrue, qt.Commentf("%s: %d calls%s", p.Position, total, b.String()))
	}
}

// refresh lets the engines write their rows again at an interval, each at its own time,
// until the script ends.
func (p *proxyCase) refresh(_ []string, given map[string]string) {
	interval := p.ParseDuration(given["every"])
	names := slices.Sorted(maps.Keys(p.engines))
	p.refreshed = make(chan struct{})
	pause := interval / time.Duration(len(names))
	rows := map[string]map[string]any{}
	for _, name := range names {
		rows[name] = maps.Clone(p.engines[name].entry)
	}
	stopped := p.refreshed
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			case <-time.After(pause):
			}
			name := names[i%len(names)]
			rows[name]["seq"] = i + 2
			raw, err := json.Marshal(rows[name])
			qt.Check(p.T, err, qt.IsNil)
			p.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "servers", Key: name, Value: raw}}})
		}
	}()
}

// restartAll kills all nodes that are not frozen at the same moment, and starts them again after
// a pause.
func (p *proxyCase) restartAll(_ []string, given map[string]string) {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(p.nodes)), func(name string) bool { return p.frozen[name] })
	// Until its tasks are told to end, a node would find that its readers are gone, as the dials to
	// them are refused, and count a call for each table that no killed process makes. The dials of
	// a frozen host wait.
	for _, name := range names {
		p.net.SetFrozen(name, true)
	}
	var kills sync.WaitGroup
	for _, name := range names {
		p.net.Kill(name)
		kills.Go(p.nodes[name].kill)
		delete(p.nodes, name)
	}
	synctest.Wait()
	for _, name := range names {
		// Last writes fail at once rather than wait.
		p.net.SetFrozen(name, false)
	}
	kills.Wait()
	time.Sleep(p.ParseDuration(given["after"]))
	for _, name := range names {
		p.net.Revive(name)
		p.startNode(name)
	}
}

// checkAllReady checks that all nodes that are not frozen report that they are ready.
func (p *proxyCase) checkAllReady([]string, map[string]string) {
	for name, n := range p.nodes {
		if !p.frozen[name] {
			qt.Check(p.T, n.IsReady(), qt.IsTrue, qt.Commentf("%s: %s", p.Position, name))
		}
	}
}
