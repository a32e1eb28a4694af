package proxy

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/process/ident"
)

// partTraits returns the identifiers of the parts of a prompt.
func partTraits(parts []PromptPart) []ident.Trait {
	var traits []ident.Trait
	for _, part := range parts[:min(len(parts), maxPromptParts)] {
		traits = append(traits, ident.Trait(part.ID))
	}
	return traits
}

// Fingerprint identifies the request however often it comes: it is the same for requests
// of one account with the same method, host, target and body.
func (r *Request) Fingerprint() ident.Trait {
	var hash xxhash.Digest
	hash.Reset()
	account := ""
	if r.Account != nil {
		account = string(r.Account.ID)
	}
	for _, field := range []string{account, r.Method, r.Host, r.Target} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:])   //nolint:errcheck // xxhash never fails.
		hash.WriteString(field) //nolint:errcheck // see above.
	}
	hash.Write(r.Body) //nolint:errcheck // see above.
	return ident.Trait(hash.Sum64())
}
