package intake

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/request/ident"
)

// digest hashes what a caller asked for, so that a key that is used again for
// another request can be told.
func digest(form Form, name string, output ident.Tokens, prompt []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	var numbers [9]byte
	numbers[0] = byte(form)
	binary.LittleEndian.PutUint64(numbers[1:], uint64(output))
	d.Write(numbers[:]) //nolint:errcheck // xxhash never fails.
	d.WriteString(name) //nolint:errcheck // xxhash never fails.
	d.Write([]byte{0})  //nolint:errcheck // xxhash never fails.
	d.Write(prompt)     //nolint:errcheck // xxhash never fails.
	return d.Sum64()
}
