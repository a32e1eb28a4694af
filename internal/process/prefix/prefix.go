// Package prefix estimates which endpoints have a prefix of a prompt in their
// cache.
//
// A prompt is split into blocks. The fingerprint of a block is a hash over all
// blocks up to and including it, so equal fingerprints mean equal prefixes. An
// Index records, for each endpoint of one cell, the fingerprints that were
// dispatched to it recently. It is an estimate from the cell's own grants; Trim
// corrects it when an endpoint reports fewer cached tokens than expected.
//
// # Usage
//
//	var index prefix.Index
//	index.SetCapacity(slot, 1024) // in blocks
//	fingerprints := prefix.Fingerprints(prompt)
//	var cached prefix.Match
//	index.Find(fingerprints, &cached)     // cached[slot] in blocks
//	index.Insert(fingerprints, nil, slot) // after the grant
//	index.Trim(fingerprints, slot, 2)     // the endpoint had only two blocks
//
// An Index is not safe for concurrent use; its cell's lock protects it.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/process/ident"
)

const (
	// MaxSlots is the maximum number of endpoints of one Index.
	MaxSlots = 64
	// BytesPerToken is the mean length of a token in bytes, used for estimates.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in a block.
	BlockTokens = 64
	blockBytes  = BlockTokens * BytesPerToken
	// maxPromptBlocks bounds the fingerprints of one prompt, and thus the size
	// of its grant request.
	maxPromptBlocks = 256
	// maxSlotsPerEntry bounds the endpoints recorded for one fingerprint.
	maxSlotsPerEntry = 6
	// sweptPerInsert is the number of entries checked for expiry per inserted
	// fingerprint.
	sweptPerInsert = 2
	// A shrink step is 1/shrinkDivisor of a slot's capacity, and a growth step
	// 1/growDivisor.
	shrinkDivisor     = 20
	growDivisor       = 200
	minCapacityBlocks = 16
	maxCapacityBlocks = 1 << 16
)

// Fingerprints returns the chained fingerprints of the complete blocks of a
// prompt, the shortest prefix first. Blocks past the 256th are ignored.
func Fingerprints(prompt []byte) []ident.Fingerprint {
	n := len(prompt) / blockBytes
	if n > maxPromptBlocks {
		n = maxPromptBlocks
	}
	fingerprints := make([]ident.Fingerprint, n)
	var hash xxhash.Digest
	hash.Reset()
	var size [8]byte
	for i := range fingerprints {
		block := prompt[i*blockBytes : (i+1)*blockBytes]
		binary.LittleEndian.PutUint64(size[:], uint64(i))
		hash.Write(size[:]) //nolint:errcheck // xxhash never fails.
		hash.Write(block)   //nolint:errcheck // xxhash never fails.
		fingerprints[i] = ident.Fingerprint(hash.Sum64())
	}
	return fingerprints
}

// TokensOf returns the number of tokens in the leading blocks of a prompt. Sizes
// holds the tokens of each block; if it is nil, each block has BlockTokens.
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

// Match holds the number of leading blocks of a prompt that each slot has cached.
type Match [MaxSlots]int16

// slotRecord records that a slot has a fingerprint in its cache.
type slotRecord struct {
	// insertedAt is the slot's insertedBlocks when the fingerprint was last
	// inserted.
	insertedAt uint32
	slot       uint8
	isSet      bool
}

type entry [maxSlotsPerEntry]slotRecord

// Index records which endpoint slots have which prefixes in their cache. The zero
// value is an empty index; a slot records nothing until SetCapacity is called.
type Index struct {
	entries map[ident.Fingerprint]entry
	// insertedBlocks counts the blocks inserted for each slot and serves as the
	// logical clock by which its records expire.
	insertedBlocks [MaxSlots]uint32
	capacityBlocks [MaxSlots]uint32
}

// SetCapacity sets the number of blocks that the endpoint of a slot can cache.
func (x *Index) SetCapacity(slot, blocks int) {
	if slot < MaxSlots {
		x.capacityBlocks[slot] = uint32(blocks)
	}
}

// Find sets match to the number of leading blocks of a prompt that each slot has
// cached.
func (x *Index) Find(fingerprints []ident.Fingerprint, match *Match) {
	*match = Match{}
	for i, print := range fingerprints {
		e, ok := x.entries[print]
		if !ok {
			return
		}
		advanced := false
		for _, r := range e {
			if x.isCached(r) && int(match[r.slot]) == i {
				match[r.slot]++
				advanced = true
			}
		}
		if !advanced {
			return
		}
	}
}

// Insert records that a slot has cached all blocks of a prompt. Sizes holds the
// tokens of each block; blocks without a size have BlockTokens.
func (x *Index) Insert(fingerprints []ident.Fingerprint, sizes []ident.Tokens, slot int) {
	if slot >= MaxSlots || x.capacityBlocks[slot] == 0 {
		return
	}
	if x.entries == nil {
		x.entries = map[ident.Fingerprint]entry{}
	}
	for i, print := range fingerprints {
		blocks := uint32(1)
		if i < len(sizes) {
			blocks = uint32(max((sizes[i]+BlockTokens-1)/BlockTokens, 1))
		}
		e := x.entries[print]
		x.touch(&e, uint8(slot), blocks)
		x.entries[print] = e
	}
	x.sweep(len(fingerprints) * sweptPerInsert)
}

// Trim records that a slot has cached only the first keep blocks of a prompt.
func (x *Index) Trim(fingerprints []ident.Fingerprint, slot, keep int) {
	for _, print := range fingerprints[min(keep, len(fingerprints)):] {
		e, ok := x.entries[print]
		if !ok {
			continue
		}
		for i := range e {
			if e[i].isSet && int(e[i].slot) == slot {
				e[i] = slotRecord{}
			}
		}
		x.entries[print] = e
	}
}

// ShrinkCapacity shrinks a slot's capacity by one step. It is called when the
// endpoint had less cached than expected.
func (x *Index) ShrinkCapacity(slot int) {
	if slot < MaxSlots {
		x.capacityBlocks[slot] = max(x.capacityBlocks[slot]-x.capacityBlocks[slot]/shrinkDivisor, minCapacityBlocks)
	}
}

// GrowCapacity grows a slot's capacity by one step. It is called when the
// endpoint had the expected blocks cached. Growth steps are smaller than shrink
// steps, so that the capacity settles where most predictions are right.
func (x *Index) GrowCapacity(slot int) {
	if slot < MaxSlots && x.capacityBlocks[slot] > 0 {
		x.capacityBlocks[slot] = min(x.capacityBlocks[slot]+x.capacityBlocks[slot]/growDivisor, maxCapacityBlocks)
	}
}

// ClearSlot records that a slot has nothing cached, as after a restart of its
// endpoint. It advances the slot's clock by the current capacity, so all records
// expire at that capacity; a later, larger capacity can make them valid again.
func (x *Index) ClearSlot(slot int) {
	if slot < MaxSlots {
		x.insertedBlocks[slot] += x.capacityBlocks[slot]
	}
}

// touch refreshes the slot's record in an entry, or replaces the oldest record of
// any slot; expired and unset records count as the oldest.
// Only a new record advances the slot's insertedBlocks, by its number of blocks,
// so a record expires once as many new blocks as the slot's capacity were inserted.
func (x *Index) touch(e *entry, slot uint8, blocks uint32) {
	oldest, maxAge := 0, uint32(0)
	for i := range e {
		if e[i].isSet && e[i].slot == slot && x.isCached(e[i]) {
			e[i].insertedAt = x.insertedBlocks[slot]
			return
		}
		if age := x.age(e[i]); age >= maxAge {
			oldest, maxAge = i, age
		}
	}
	x.insertedBlocks[slot] += blocks
	e[oldest] = slotRecord{insertedAt: x.insertedBlocks[slot], slot: slot, isSet: true}
}

func (x *Index) isCached(r slotRecord) bool {
	return r.isSet && x.insertedBlocks[r.slot]-r.insertedAt < x.capacityBlocks[r.slot]
}

func (x *Index) age(r slotRecord) uint32 {
	if !x.isCached(r) {
		return ^uint32(0)
	}
	return x.insertedBlocks[r.slot] - r.insertedAt
}

// sweep checks up to limit entries and deletes those that no slot has cached any
// more. Map iteration starts at a random position, so every entry is checked
// eventually.
func (x *Index) sweep(limit int) {
	for print, e := range x.entries {
		if limit == 0 {
			return
		}
		limit--
		isLive := false
		for _, r := range e {
			isLive = isLive || x.isCached(r)
		}
		if !isLive {
			delete(x.entries, print)
		}
	}
}
