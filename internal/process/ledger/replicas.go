package ledger

import (
	"context"
	"slices"
	"sync"

	"goldcrestwick/internal/process/ident"
)

// maxBlocksPerChain bounds the replicated blocks held for one chain.
const maxBlocksPerChain = 8192

// Replicas holds replicas of other nodes' blocks until those nodes have written
// them. Recover writes the blocks of a node that has died. The zero value is ready for use. It
// is safe for concurrent use.
type Replicas struct {
	mu     sync.Mutex
	chains map[Chain][]Block
}

// Add adds a block and removes the blocks of its chain up to the record with the
// number written, which the object store has. If maxBlocksPerChain blocks remain,
// it does not add the block and reports false.
func (r *Replicas) Add(b Block, written uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.chains == nil {
		r.chains = map[Chain][]Block{}
	}
	kept := r.chains[b.Chain]
	for len(kept) > 0 && kept[0].Last() <= written {
		kept = kept[1:]
	}
	if len(kept) >= maxBlocksPerChain {
		r.chains[b.Chain] = kept
		return false
	}
	r.chains[b.Chain] = append(kept, b)
	return true
}

// Recover writes the blocks of the nodes that are not alive, as one object per
// chain. It calls put with the object's name and body. Blocks that cannot be
// written are kept for the next call.
func (r *Replicas) Recover(ctx context.Context, isAlive func(ident.NodeID) bool, put func(context.Context, string, []byte) error) {
	r.mu.Lock()
	var dead []Chain
	for c := range r.chains {
		if !isAlive(c.Node) {
			dead = append(dead, c)
		}
	}
	r.mu.Unlock()
	for _, c := range dead {
		r.recoverChain(ctx, c, put)
	}
}

// recoverChain writes the blocks of one chain and removes them. Blocks that were
// added in the meantime are kept.
func (r *Replicas) recoverChain(ctx context.Context, c Chain, put func(context.Context, string, []byte) error) {
	r.mu.Lock()
	blocks := r.chains[c]
	r.mu.Unlock()
	if len(blocks) > 0 && put(ctx, objectName(blocks), Encode(blocks)) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	written := uint64(0)
	if len(blocks) > 0 {
		written = blocks[len(blocks)-1].Last()
	}
	r.chains[c] = slices.DeleteFunc(slices.Clone(r.chains[c]), func(b Block) bool { return b.Last() <= written })
	if len(r.chains[c]) == 0 {
		delete(r.chains, c)
	}
}

// Count returns the number of blocks held for other nodes.
func (r *Replicas) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, blocks := range r.chains {
		n += len(blocks)
	}
	return n
}
