package batch

import (
	"container/list"
	"strings"

	"goldcrestwick/internal/process/ident"
)

// kvCache accounts for the KV cache of an engine: the tokens private to one
// sequence, and the prompt parts that sequences share. A part stays cached
// after its last sequence until its space is needed.
type kvCache struct {
	capacity ident.Tokens
	// privateTokens is the sum of the private tokens of all sequences.
	privateTokens ident.Tokens
	parts         map[string]*cachedPart
	// unreferenced holds the parts that no sequence uses, the least recently
	// used last.
	unreferenced list.List
	// used is the sum of privateTokens and of the tokens of all parts.
	used ident.Tokens
}

type cachedPart struct {
	key    string
	tokens ident.Tokens
	refs   int
	// isPrefilled is set once a sequence has prefilled the part.
	isPrefilled bool
	element     *list.Element
}

// prefixKeys returns a key for each part, built from the IDs of all parts up to
// and including it: a cached part can be reused only behind the same prefix.
func prefixKeys(parts []PromptPart) []string {
	keys := make([]string, len(parts))
	var prefix strings.Builder
	for i, p := range parts {
		prefix.WriteString(p.ID)
		prefix.WriteByte(' ')
		keys[i] = prefix.String()
	}
	return keys
}

// cachedTokens returns the length of the longest cached prefix of a prompt.
func (c *kvCache) cachedTokens(keys []string) ident.Tokens {
	var tokens ident.Tokens
	for _, key := range keys {
		p := c.parts[key]
		if p == nil || !p.isPrefilled {
			break
		}
		tokens += p.tokens
	}
	return tokens
}

// allocate reserves the parts and the private tokens of a sequence, and evicts
// unreferenced parts to make space. It reports false, and reserves nothing, if
// they do not fit.
func (c *kvCache) allocate(keys []string, promptParts []PromptPart, private ident.Tokens) bool {
	need := private
	for i, key := range keys {
		if p := c.parts[key]; p == nil || p.refs == 0 {
			need += promptParts[i].Tokens
		}
	}
	if c.pinnedTokens()+need > c.capacity {
		return false
	}
	if c.parts == nil {
		c.parts = map[string]*cachedPart{}
	}
	for i, key := range keys {
		p := c.parts[key]
		if p == nil {
			p = &cachedPart{key: key, tokens: promptParts[i].Tokens}
			c.parts[key] = p
			c.used += p.tokens
		}
		if p.element != nil {
			c.unreferenced.Remove(p.element)
			p.element = nil
		}
		p.refs++
	}
	c.privateTokens += private
	c.used += private
	c.evict()
	return true
}

// pinnedTokens returns the number of tokens that cannot be evicted.
func (c *kvCache) pinnedTokens() ident.Tokens {
	pinned := c.used
	for e := c.unreferenced.Front(); e != nil; e = e.Next() {
		pinned -= partOf(e).tokens
	}
	return pinned
}

// addPrivate adds private tokens, evicts unreferenced parts to make space, and
// reports whether the tokens fit.
func (c *kvCache) addPrivate(tokens ident.Tokens) bool {
	c.privateTokens += tokens
	c.used += tokens
	c.evict()
	return c.used <= c.capacity
}

// evict drops unreferenced parts, the least recently used first, until the rest
// fits.
func (c *kvCache) evict() {
	for c.used > c.capacity && c.unreferenced.Len() > 0 {
		p := partOf(c.unreferenced.Back())
		c.unreferenced.Remove(p.element)
		delete(c.parts, p.key)
		c.used -= p.tokens
	}
}

// release frees the tokens of a sequence. Later parts of a prompt are evicted
// first, since they cannot be reused without the earlier ones.
func (c *kvCache) release(keys []string, private ident.Tokens) {
	c.privateTokens -= private
	c.used -= private
	for i := len(keys) - 1; i >= 0; i-- {
		p := c.parts[keys[i]]
		if p.refs--; p.refs > 0 {
			continue
		}
		if !p.isPrefilled {
			delete(c.parts, p.key)
			c.used -= p.tokens
			continue
		}
		p.element = c.unreferenced.PushFront(p)
	}
}

// markPrefilled makes parts reusable by later sequences.
func (c *kvCache) markPrefilled(keys []string) {
	for _, key := range keys {
		c.parts[key].isPrefilled = true
	}
}

func partOf(e *list.Element) *cachedPart {
	p, ok := e.Value.(*cachedPart)
	if !ok {
		panic("batch: list of unreferenced parts holds a value that is not a *cachedPart")
	}
	return p
}
