// Package prefix finds the endpoint that has a prompt's beginning in its
// cache.
//
// A prompt is cut into blocks; the fingerprint of a block is a hash over all
// blocks up to it, so that equal fingerprints mean equal prefixes. An Index
// keeps, for the endpoints of one cell, which fingerprints each was lately
// given. It is a guess built from our own dispatches; Trim corrects it when an
// endpoint reports fewer cached tokens than expected.
//
// # Usage
//
//	prints := prefix.Fingerprints(prompt)
//	var cached prefix.Match
//	index.Find(prints, &cached)     // cached[slot] in blocks
//	index.Insert(prints, nil, slot) // after the grant
//	index.Trim(prints, slot, 2)     // the endpoint had only two blocks
//
// An Index is not safe for concurrent use; its cell's lock protects it.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/request/ident"
)

const (
	// MaxSlots is the number of endpoints that one Index can tell apart.
	MaxSlots = 64
	// BytesPerToken is the mean length of a token used for estimates.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in a block.
	BlockTokens = 64
	blockBytes  = BlockTokens * BytesPerToken
	// maxBlocks bounds the fingerprints of one prompt, and so its message.
	maxBlocks = 256
	// holders bounds the endpoints remembered for one fingerprint.
	holders = 6
	// sweepPerInsert bounds the stale entries looked at for each new one.
	sweepPerInsert = 2
	// narrowBy and widenBy divide a capacity into the steps of its change.
	narrowBy    = 20
	widenBy     = 200
	minCapacity = 16
	maxCapacity = 1 << 16
)

// Fingerprints returns the chained fingerprints of the whole blocks of a
// prompt, the shortest prefix first. Blocks past the 256th are left out.
func Fingerprints(prompt []byte) []ident.Fingerprint {
	n := len(prompt) / blockBytes
	if n > maxBlocks {
		n = maxBlocks
	}
	prints := make([]ident.Fingerprint, n)
	var hash xxhash.Digest
	hash.Reset()
	var size [8]byte
	for i := range prints {
		block := prompt[i*blockBytes : (i+1)*blockBytes]
		binary.LittleEndian.PutUint64(size[:], uint64(i))
		hash.Write(size[:]) //nolint:errcheck // xxhash never fails.
		hash.Write(block)   //nolint:errcheck // xxhash never fails.
		prints[i] = ident.Fingerprint(hash.Sum64())
	}
	return prints
}

// TokensOf returns the tokens in a number of leading blocks of a prompt with
// such sizes; nil sizes are of BlockTokens each.
func TokensOf(blocks int, sizes []ident.Tokens) ident.Tokens {
	if sizes == nil {
		return ident.Tokens(blocks) * BlockTokens
	}
	sum := ident.Tokens(0)
	for _, n := range sizes[:min(blocks, len(sizes))] {
		sum += n
	}
	return sum
}

// Match holds the number of leading blocks that each slot has cached.
type Match [MaxSlots]int16

type holder struct {
	stamp uint32
	slot  uint8
	used  bool
}

type entry [holders]holder

// Index remembers which endpoint slots hold which prefixes. The zero value is
// an empty index in which no slot holds anything; SetCapacity opens a slot.
type Index struct {
	entries  map[ident.Fingerprint]entry
	clock    [MaxSlots]uint32
	capacity [MaxSlots]uint32
}

// SetCapacity says how many blocks the endpoint of a slot can cache.
func (x *Index) SetCapacity(slot, blocks int) {
	if slot < MaxSlots {
		x.capacity[slot] = uint32(blocks)
	}
}

// Find counts the leading blocks of a prompt that each slot holds.
func (x *Index) Find(prints []ident.Fingerprint, into *Match) {
	*into = Match{}
	for i, print := range prints {
		e, ok := x.entries[print]
		if !ok {
			return
		}
		advanced := false
		for _, h := range e {
			if x.isValid(h) && int(into[h.slot]) == i {
				into[h.slot]++
				advanced = true
			}
		}
		if !advanced {
			return
		}
	}
}

// Insert records that a slot now holds all blocks of a prompt. Sizes gives the
// tokens of each where they are not of BlockTokens.
func (x *Index) Insert(prints []ident.Fingerprint, sizes []ident.Tokens, slot int) {
	if slot >= MaxSlots || x.capacity[slot] == 0 {
		return
	}
	if x.entries == nil {
		x.entries = map[ident.Fingerprint]entry{}
	}
	for i, print := range prints {
		blocks := uint32(1)
		if i < len(sizes) {
			blocks = uint32(max((sizes[i]+BlockTokens-1)/BlockTokens, 1))
		}
		e := x.entries[print]
		x.hold(&e, uint8(slot), blocks)
		x.entries[print] = e
	}
	x.sweep(len(prints) * sweepPerInsert)
}

// Trim records that a slot holds only the first keep blocks of a prompt.
func (x *Index) Trim(prints []ident.Fingerprint, slot, keep int) {
	for _, print := range prints[min(keep, len(prints)):] {
		e, ok := x.entries[print]
		if !ok {
			continue
		}
		for i := range e {
			if e[i].used && int(e[i].slot) == slot {
				e[i] = holder{}
			}
		}
		x.entries[print] = e
	}
}

// Narrow takes a slot's capacity down a little: the endpoint had less in its
// cache than expected.
func (x *Index) Narrow(slot int) {
	if slot < MaxSlots {
		x.capacity[slot] = max(x.capacity[slot]-x.capacity[slot]/narrowBy, minCapacity)
	}
}

// Widen takes a slot's capacity up a little: the endpoint had what was
// expected. Steps up are smaller than steps down, so the guess settles where
// most predictions hold.
func (x *Index) Widen(slot int) {
	if slot < MaxSlots && x.capacity[slot] > 0 {
		x.capacity[slot] = min(x.capacity[slot]+x.capacity[slot]/widenBy, maxCapacity)
	}
}

// Forget records that a slot holds nothing, as after a restart.
func (x *Index) Forget(slot int) {
	if slot < MaxSlots {
		x.clock[slot] += x.capacity[slot]
	}
}

// hold refreshes the slot's place in an entry or takes the stalest place.
// Only a new place moves the slot's clock, by its blocks, so a slot forgets what
// is older than its capacity of new blocks.
func (x *Index) hold(e *entry, slot uint8, blocks uint32) {
	stalest, age := 0, uint32(0)
	for i := range e {
		if e[i].used && e[i].slot == slot && x.isValid(e[i]) {
			e[i].stamp = x.clock[slot]
			return
		}
		if a := x.age(e[i]); a >= age {
			stalest, age = i, a
		}
	}
	x.clock[slot] += blocks
	e[stalest] = holder{stamp: x.clock[slot], slot: slot, used: true}
}

func (x *Index) isValid(h holder) bool {
	return h.used && x.clock[h.slot]-h.stamp < x.capacity[h.slot]
}

func (x *Index) age(h holder) uint32 {
	if !x.isValid(h) {
		return ^uint32(0)
	}
	return x.clock[h.slot] - h.stamp
}

// sweep drops entries that no slot holds any more. Map iteration starts at a
// random place, so every entry is reached in time.
func (x *Index) sweep(budget int) {
	for print, e := range x.entries {
		if budget == 0 {
			return
		}
		budget--
		live := false
		for _, h := range e {
			live = live || x.isValid(h)
		}
		if !live {
			delete(x.entries, print)
		}
	}
}
