package node

import (
	"context"
	"sync"
	"time"

	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/tick"
)

const (
	// treeFetchTimeout bounds one fetch of a newer version from another node.
	treeFetchTimeout = 2 * time.Second
	// nextSourceDelay is the time without an answer after which a newer version is fetched from
	// another node as well. With readerHeadStart it leaves time for two such nodes in the 2 s in
	// which settings have to be in force.
	nextSourceDelay = 400 * time.Millisecond
	// maxTreeSources bounds the nodes that are known to have a newer version, or that it is being
	// fetched from.
	maxTreeSources = 4
	// readerHeadStart is how long a node that follows a reader of the store waits for a
	// new version from there before it fetches it from the node that gossip names. The
	// reader sends it within the zone and once; gossip brings the news of it several times.
	readerHeadStart = 500 * time.Millisecond
)

// treeSources holds the nodes that told of newer settings than this node has.
type treeSources struct {
	mu sync.Mutex
	// waiting holds those that were not tried yet, and isKnown, by their peer addresses, these and
	// the ones from which a fetch is in progress.
	waiting []wire.Gossip
	isKnown map[string]bool
	// isTrying is set while tryTreeSources runs.
	isTrying bool
}

// add adds a node unless it is known or there are enough. It reports whether the caller has to try
// the sources.
func (s *treeSources) add(g wire.Gossip) (isDue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isKnown[g.PeerAddress] || len(s.isKnown) >= maxTreeSources {
		return false
	}
	if s.isKnown == nil {
		s.isKnown = map[string]bool{}
	}
	s.isKnown[g.PeerAddress] = true
	s.waiting = append(s.waiting, g)
	isDue = !s.isTrying
	s.isTrying = true
	return isDue
}

// next returns the next node to try; ok is false if there is none.
func (s *treeSources) next() (g wire.Gossip, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.isTrying = false
		return wire.Gossip{}, false
	}
	g, s.waiting = s.waiting[0], s.waiting[1:]
	return g, true
}

// end records that a node was tried, so that it can be added again.
func (s *treeSources) end(g wire.Gossip) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.isKnown, g.PeerAddress)
}

// fetchIfNewer fetches the settings in the background from the node that sent the
// gossip, if their version is newer than this node's and they have not come from another node
// before. A node with fixed settings (Tree) fetches none.
func (n *Node) fetchIfNewer(g wire.Gossip) {
	if n.Tree != nil || g.PeerAddress == "" || !n.lacksVersion(g) {
		return
	}
	if n.treeSources.add(wire.Gossip{SettingsVersion: g.SettingsVersion, PeerAddress: g.PeerAddress}) {
		n.tasks.Go(n.tryTreeSources)
	}
}

func (n *Node) lacksVersion(g wire.Gossip) bool {
	return ident.Version(g.SettingsVersion) > n.tree.Load().Version
}

// tryTreeSources fetches newer settings from the nodes that told of them, one after the other. A
// node that does not answer within nextSourceDelay may stand still, and does not hold up the next.
func (n *Node) tryTreeSources() {
	if n.changes.isFollowing.Load() {
		tick.Sleep(context.Background(), readerHeadStart)
	}
	for {
		g, ok := n.treeSources.next()
		if !ok {
			return
		}
		done := make(chan struct{})
		n.tasks.Go(func() {
			defer close(done)
			defer n.treeSources.end(g)
			n.fetchFrom(g)
		})
		select {
		case <-done:
		case <-time.After(nextSourceDelay):
		}
	}
}

// fetchFrom fetches the settings that another node told of, if this node lacks them.
func (n *Node) fetchFrom(g wire.Gossip) {
	if !n.lacksVersion(g) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), treeFetchTimeout)
	defer cancel()
	started := time.Now()
	if err := n.fetchTree(ctx, g.PeerAddress); err != nil {
		n.Log.Warn("settings_not_fetched", "from", g.PeerAddress, "settings_version", g.SettingsVersion, "took", time.Since(started), "error", err)
		return
	}
	n.Log.Info("settings_fetched", "from", g.PeerAddress, "settings_version", g.SettingsVersion, "took", time.Since(started))
}
