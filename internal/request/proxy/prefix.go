package proxy

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/request/ident"
)

// maxParts bounds the fingerprints of one prompt, and so its bid.
const maxParts = 16

// fingerprints returns a fingerprint and the tokens of each part of a prompt. A
// part's fingerprint covers all parts up to it.
func fingerprints(parts []Part) (prints []ident.Fingerprint, sizes []ident.Tokens) {
	var hash xxhash.Digest
	hash.Reset()
	var raw [16]byte
	for _, part := range parts[:min(len(parts), maxParts)] {
		binary.LittleEndian.PutUint64(raw[:8], part.ID)
		binary.LittleEndian.PutUint64(raw[8:], uint64(part.Tokens))
		hash.Write(raw[:]) //nolint:errcheck // xxhash never fails.
		prints = append(prints, ident.Fingerprint(hash.Sum64()))
		sizes = append(sizes, part.Tokens)
	}
	return prints, sizes
}
