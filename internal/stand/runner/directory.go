package runner

import (
	"sync"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/prefix"
)

// CacheDirectory records which prompt blocks are cached in which of several
// runners, to count the prefill of blocks that some runner had cached.
// The zero value is ready for use and safe for concurrent use.
type CacheDirectory struct {
	mu sync.Mutex
	// runners holds the runners that cache each block.
	runners   map[ident.Fingerprint]map[*Runner]bool
	byRequest map[ident.RequestID]ident.Tokens
	total     ident.Tokens
	wasted    ident.Tokens
}

// countPrefill records the prefill of one request when the request is admitted,
// before the prefill runs. uncached is the number of tokens to prefill. Blocks that it must process
// although some runner, which can be the same one, has them cached count as
// wasted.
func (d *CacheDirectory) countPrefill(id ident.RequestID, fingerprints []ident.Fingerprint, uncached ident.Tokens) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byRequest == nil {
		d.byRequest = map[ident.RequestID]ident.Tokens{}
	}
	d.byRequest[id] = uncached
	d.total += uncached
	cachedBlocks := 0
	for _, f := range fingerprints {
		if len(d.runners[f]) > 0 {
			cachedBlocks++
		}
	}
	firstUncached := len(fingerprints) - int(uncached/prefix.BlockTokens)
	d.wasted += prefix.TokensOf(max(cachedBlocks-max(firstUncached, 0), 0), nil)
}

// update records the blocks that a runner has cached and evicted.
func (d *CacheDirectory) update(r *Runner, inserted []ident.Fingerprint, evicted []cachedBlock) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runners == nil {
		d.runners = map[ident.Fingerprint]map[*Runner]bool{}
	}
	for _, f := range inserted {
		if d.runners[f] == nil {
			d.runners[f] = map[*Runner]bool{}
		}
		d.runners[f][r] = true
	}
	for _, b := range evicted {
		delete(d.runners[b.print], r)
		if len(d.runners[b.print]) == 0 {
			delete(d.runners, b.print)
		}
	}
}

// PrefillTokens returns the number of prompt tokens to prefill of all requests that
// were admitted, and how many of them were in the cache of a runner already.
func (d *CacheDirectory) PrefillTokens() (total, wasted ident.Tokens) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.total, d.wasted
}

// PrefillTokensOf returns the number of prompt tokens to prefill for a request, 0 if
// it was never admitted. For a request that several runners admitted, it is the
// number of the last one.
func (d *CacheDirectory) PrefillTokensOf(id ident.RequestID) ident.Tokens {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byRequest[id]
}
