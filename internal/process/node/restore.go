package node

import (
	"context"
	"math/rand/v2"
	"time"

	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
)

const (
	// restoreSpread is the time over which the nodes spread their writes after the
	// store was restored, which all of them notice at about the same time.
	restoreSpread = 400 * time.Millisecond
	// restorePause is the pause between attempts to write the lost data again, and
	// restoreTimeout bounds each attempt.
	restorePause   = 300 * time.Millisecond
	restoreTimeout = 3 * time.Second
)

// enterEra writes again what this node has written to the store, after the store
// was restored from an older copy of itself: first what the process has outside the
// node, such as the fleet's certificate authority, then the node's row, then the
// latest ledger objects. It does so once for each era, in the background.
func (n *Node) enterEra(era store.Era) {
	for known := n.tables.era.Load(); ; known = n.tables.era.Load() {
		if int64(era) <= known {
			return
		}
		if n.tables.era.CompareAndSwap(known, int64(era)) {
			break
		}
	}
	n.Log.Warn("store_restored_from_copy", "era", era)
	n.releases.listing.EnterEra(int64(era), time.Now())
	n.releases.due.Set()
	n.formerPools.due.Set()
	n.rewriteOrigins()
	n.poison.rows.rewrite(time.Now())
	n.tasks.Go(func() { n.restore(n.ctx, era) })
}

func (n *Node) restore(ctx context.Context, era store.Era) {
	if !tick.Sleep(ctx, rand.N(restoreSpread)) {
		return
	}
	if n.StoreRestored != nil {
		n.retryRestore(ctx, era, "authority", n.StoreRestored)
	}
	// The copy may be of a time before tables were marked.
	n.registerNode(ctx, true)
	n.rollouts.mu.Lock()
	n.rollouts.restores++
	n.rollouts.mu.Unlock()
	n.retryRestore(ctx, era, "quarantines", n.rewriteQuarantines)
	if n.ledger != nil {
		n.retryRestore(ctx, era, "ledger", n.ledger.Rewrite)
	}
}

// retryRestore calls write until it succeeds, the context ends, or the store was
// restored once more.
func (n *Node) retryRestore(ctx context.Context, era store.Era, what string, write func(context.Context) error) {
	for int64(era) == n.tables.era.Load() {
		writeCtx, cancel := context.WithTimeout(ctx, restoreTimeout)
		err := write(writeCtx)
		cancel()
		if err == nil {
			return
		}
		n.Log.Warn("not_written_again", "what", what, "era", era, "error", err)
		if !tick.Sleep(ctx, restorePause) {
			return
		}
	}
}
