package ledger

import (
	"context"
	"sync"

	"goldcrestwick/internal/request/ident"
)

// maxHeld bounds the blocks held for one chain.
const maxHeld = 8192

// Replicas keeps the blocks of other nodes until these have written them, and
// writes them when their node dies. The zero value is ready for use and safe
// for concurrent use.
type Replicas struct {
	mu     sync.Mutex
	chains map[Chain][]Block
}

// Add keeps a block and forgets those that the object store has. It reports
// false when the chain has too many.
func (h *Replicas) Add(b Block, written uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.chains == nil {
		h.chains = map[Chain][]Block{}
	}
	kept := h.chains[b.Chain]
	for len(kept) > 0 && kept[0].Last() <= written {
		kept = kept[1:]
	}
	if len(kept) >= maxHeld {
		h.chains[b.Chain] = kept
		return false
	}
	h.chains[b.Chain] = append(kept, b)
	return true
}

// Recover writes the blocks of the nodes that are not alive. What cannot be
// written is kept for the next time.
func (h *Replicas) Recover(ctx context.Context, alive func(ident.NodeID) bool, put func(context.Context, string, []byte) error) {
	h.mu.Lock()
	var dead []Chain
	for c := range h.chains {
		if !alive(c.Node) {
			dead = append(dead, c)
		}
	}
	h.mu.Unlock()
	for _, c := range dead {
		h.rescue(ctx, c, put)
	}
}

func (h *Replicas) rescue(ctx context.Context, c Chain, put func(context.Context, string, []byte) error) {
	h.mu.Lock()
	blocks := h.chains[c]
	h.mu.Unlock()
	if len(blocks) > 0 && put(ctx, objectName(blocks), Encode(blocks)) != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.chains[c]) == len(blocks) {
		delete(h.chains, c)
	}
}

// Count returns the number of blocks held for others.
func (h *Replicas) Count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, blocks := range h.chains {
		n += len(blocks)
	}
	return n
}
