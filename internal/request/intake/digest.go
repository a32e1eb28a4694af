package intake

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/process/ident"
)

// requestDigest returns a hash of a request's API, name, limit of output tokens and
// prompt. It detects the reuse of an idempotency key for a request that differs in one
// of these; other parameters are not compared.
func requestDigest(form Form, name string, output ident.Tokens, prompt []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	var header [9]byte
	header[0] = byte(form)
	binary.LittleEndian.PutUint64(header[1:], uint64(output))
	d.Write(header[:])  //nolint:errcheck // xxhash never returns an error.
	d.WriteString(name) //nolint:errcheck // xxhash never returns an error.
	d.Write([]byte{0})  //nolint:errcheck // xxhash never returns an error.
	d.Write(prompt)     //nolint:errcheck // xxhash never returns an error.
	return d.Sum64()
}
