package runner

import (
	"sync"

	"goldcrestwick/internal/process/prefix"
	"goldcrestwick/internal/request/ident"
)

// Holdings knows which prompt blocks are cached in any of several engines, to
// count prefill that a better choice of engine would have saved. The zero value
// is ready for use and safe for concurrent use.
type Holdings struct {
	mu      sync.Mutex
	holders map[ident.Fingerprint]map[*Runner]bool
	prompts map[ident.RequestID]ident.Tokens
	total   ident.Tokens
	wasted  ident.Tokens
}

// prefill counts the blocks that an engine must process although another
// engine, or itself a moment later, has them.
func (h *Holdings) prefill(id ident.RequestID, prints []ident.Fingerprint, uncached ident.Tokens) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.prompts == nil {
		h.prompts = map[ident.RequestID]ident.Tokens{}
	}
	h.prompts[id] = uncached
	h.total += uncached
	held := 0
	for _, p := range prints {
		if len(h.holders[p]) > 0 {
			held++
		}
	}
	first := len(prints) - int(uncached/prefix.BlockTokens)
	h.wasted += prefix.TokensOf(max(held-max(first, 0), 0), nil)
}

func (h *Holdings) change(e *Runner, inserted []ident.Fingerprint, dropped []block) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holders == nil {
		h.holders = map[ident.Fingerprint]map[*Runner]bool{}
	}
	for _, p := range inserted {
		if h.holders[p] == nil {
			h.holders[p] = map[*Runner]bool{}
		}
		h.holders[p][e] = true
	}
	for _, b := range dropped {
		delete(h.holders[b.print], e)
		if len(h.holders[b.print]) == 0 {
			delete(h.holders, b.print)
		}
	}
}

// Wasted returns all prompt tokens processed, and those that another engine
// had cached.
func (h *Holdings) Wasted() (total, wasted ident.Tokens) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total, h.wasted
}

// Prompt returns the prompt tokens processed for one request.
func (h *Holdings) Prompt(id ident.RequestID) ident.Tokens {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.prompts[id]
}
