package proxy

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/process/ident"
)

// maxPromptParts limits the fingerprints of one prompt and thereby the size of
// its grant request.
const maxPromptParts = 16

// fingerprints returns the fingerprint and the number of tokens of each part of
// a prompt. The fingerprint of a part covers it and all parts before it.
func fingerprints(parts []PromptPart) (prefix []ident.Fingerprint, partTokens []ident.Tokens) {
	var hash xxhash.Digest
	hash.Reset()
	var raw [16]byte
	for _, part := range parts[:min(len(parts), maxPromptParts)] {
		binary.LittleEndian.PutUint64(raw[:8], part.ID)
		binary.LittleEndian.PutUint64(raw[8:], uint64(part.Tokens))
		hash.Write(raw[:]) //nolint:errcheck // xxhash never fails.
		prefix = append(prefix, ident.Fingerprint(hash.Sum64()))
		partTokens = append(partTokens, part.Tokens)
	}
	return prefix, partTokens
}
