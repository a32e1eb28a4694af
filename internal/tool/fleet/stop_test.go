package fleet

import (
	"context"
	"errors"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/node"
)

// shutdown stops a node gracefully, in the order of the entry command.
func (p *proxyCase) shutdown(names []string, given map[string]string) {
	n := p.nodes[p.resolveHosts(names, given)[0]]
	p.running.Go(func() {
		err := n.Shutdown(node.Shutdown{DrainDelay: 3500 * time.Millisecond, ServeTime: 7 * time.Second, CloseCallers: n.server.Shutdown})
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			p.Errorf("shut down node: %v", err)
		}
		n.server.Close() //nolint:errcheck // the process has ended.
		n.peers.Close()
	})
	synctest.Wait()
}

// listed checks the number of nodes that the directories of nodes list to callers.
func (p *proxyCase) listed(names []string, _ map[string]string) {
	for _, name := range names {
		list := p.nodes[name].EntryAddresses("z")
		qt.Check(p.T, list, qt.HasLen, p.IntOption("count", 0), qt.Commentf("%s: %s", p.Position, name))
	}
}

// owners checks the number of nodes that run the cell of a pool.
func (p *proxyCase) owners(names []string, _ map[string]string) {
	var owners []string
	for name, n := range p.nodes {
		_, isMember := n.Members().Find(ident.NodeID(name))
		if isMember && n.Cells().LocalCell(ident.CellID{Pool: ident.PoolID("platform/" + names[0])}) != nil {
			owners = append(owners, name)
		}
	}
	qt.Check(p.T, owners, qt.HasLen, p.IntOption("count", 0), qt.Commentf(p.Position))
}
