package runner

import (
	"container/list"

	"goldcrestwick/internal/process/ident"
)

// prefixCache holds prompt blocks by fingerprint and evicts the least recently
// used first.
type prefixCache struct {
	capacity int // in blocks
	blocks   map[ident.Fingerprint]*list.Element
	lru      list.List
}

// cachedBlock is a block of a prompt. owner is the request whose prefill cached it,
// index its position, from 0, in the prompt of that request, and print its
// fingerprint.
type cachedBlock struct {
	print ident.Fingerprint
	owner ident.RequestID
	index int
}

// match returns the number of leading blocks that are cached, and marks them as
// recently used.
func (c *prefixCache) match(fingerprints []ident.Fingerprint) int {
	for i, f := range fingerprints {
		element, ok := c.blocks[f]
		if !ok {
			return i
		}
		c.lru.MoveToFront(element)
	}
	return len(fingerprints)
}

// insert caches all blocks of a prompt and returns the evicted ones.
func (c *prefixCache) insert(fingerprints []ident.Fingerprint, owner ident.RequestID) []cachedBlock {
	if c.blocks == nil {
		c.blocks = map[ident.Fingerprint]*list.Element{}
	}
	for i := len(fingerprints) - 1; i >= 0; i-- {
		if element, ok := c.blocks[fingerprints[i]]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[fingerprints[i]] = c.lru.PushFront(cachedBlock{fingerprints[i], owner, i})
	}
	var evicted []cachedBlock
	for len(c.blocks) > c.capacity {
		last := c.lru.Back()
		b, ok := c.lru.Remove(last).(cachedBlock)
		if !ok {
			break
		}
		delete(c.blocks, b.print)
		evicted = append(evicted, b)
	}
	return evicted
}
