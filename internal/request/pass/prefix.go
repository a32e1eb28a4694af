package pass

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/process/prefix"
	"goldcrestwick/internal/request/ident"
)

// maxBlocks bounds the fingerprints of one prompt, and so its bid.
const maxBlocks = 256

// fingerprints returns the fingerprints of the whole blocks of a prompt that
// is given by its parts. A block's fingerprint covers all parts up to its end.
// Blocks past maxBlocks are left out.
func fingerprints(parts []Part) []ident.Fingerprint {
	var prints []ident.Fingerprint
	var hash xxhash.Digest
	hash.Reset()
	var raw [16]byte
	var end ident.Tokens
	for _, part := range parts {
		binary.LittleEndian.PutUint64(raw[:8], part.ID)
		binary.LittleEndian.PutUint64(raw[8:], uint64(part.Tokens))
		hash.Write(raw[:]) //nolint:errcheck // xxhash never fails.
		end += part.Tokens
		for ident.Tokens(len(prints)+1)*prefix.BlockTokens <= end && len(prints) < maxBlocks {
			prints = append(prints, ident.Fingerprint(hash.Sum64()+uint64(len(prints))))
		}
	}
	return prints
}
