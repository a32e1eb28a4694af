package runner

import (
	"container/list"

	"goldcrestwick/internal/request/ident"
)

// cache is a prefix cache: blocks by fingerprint, the least recently used
// dropped first.
type cache struct {
	limit  int
	blocks map[ident.Fingerprint]*list.Element
	order  list.List
}

type block struct {
	print ident.Fingerprint
	owner ident.RequestID
	index int
}

func (c *cache) match(prints []ident.Fingerprint) int {
	for i, p := range prints {
		at, ok := c.blocks[p]
		if !ok {
			return i
		}
		c.order.MoveToFront(at)
	}
	return len(prints)
}

// insert stores all blocks of a prompt and returns those that were dropped.
func (c *cache) insert(prints []ident.Fingerprint, owner ident.RequestID) []block {
	if c.blocks == nil {
		c.blocks = map[ident.Fingerprint]*list.Element{}
	}
	for i := len(prints) - 1; i >= 0; i-- {
		if at, ok := c.blocks[prints[i]]; ok {
			c.order.MoveToFront(at)
			continue
		}
		c.blocks[prints[i]] = c.order.PushFront(block{prints[i], owner, i})
	}
	var dropped []block
	for len(c.blocks) > c.limit {
		last := c.order.Back()
		b, ok := c.order.Remove(last).(block)
		if !ok {
			break
		}
		delete(c.blocks, b.print)
		dropped = append(dropped, b)
	}
	return dropped
}
