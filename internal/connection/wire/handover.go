package wire

import (
	"maps"
	"slices"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/quota"
)

// Handover hands the levels of accounts' buckets to their next coordinator. Run is a random
// number of the sender's process, and Sequence rises with each handover that it sends.
type Handover struct {
	Node     string         `cbor:"1,keyasint"`
	Run      uint64         `cbor:"2,keyasint"`
	Sequence uint64         `cbor:"3,keyasint"`
	Buckets  []HandedBucket `cbor:"4,keyasint"`
}

// HandedBucket has the levels of an account's buckets. A burst of 0 is that of an unlimited one.
type HandedBucket struct {
	Account       string  `cbor:"1,keyasint"`
	Requests      float64 `cbor:"2,keyasint,omitempty"`
	RequestsBurst float64 `cbor:"3,keyasint,omitempty"`
	Tokens        float64 `cbor:"4,keyasint,omitempty"`
	TokensBurst   float64 `cbor:"5,keyasint,omitempty"`
}

// FromLevels converts the levels of accounts, in the order of their identifiers.
func FromLevels(levels map[ident.ClientAccount]quota.Levels) []HandedBucket {
	handed := make([]HandedBucket, 0, len(levels))
	for _, id := range slices.Sorted(maps.Keys(levels)) {
		l := levels[id]
		handed = append(handed, HandedBucket{string(id), l.Requests.Level, l.Requests.Burst, l.Tokens.Level, l.Tokens.Burst})
	}
	return handed
}

// ToLevels converts the received levels of one account.
func (b HandedBucket) ToLevels() quota.Levels {
	return quota.Levels{
		Requests: quota.Level{Level: b.Requests, Burst: b.RequestsBurst},
		Tokens:   quota.Level{Level: b.Tokens, Burst: b.TokensBurst},
	}
}
