// Package ledger keeps a tamper-evident log of decisions: one hash chain of
// records, in signed blocks, for each run of a node.
//
// Each record's hash covers the hash of the previous record, so that a record
// cannot be changed, removed or moved without breaking the chain. Each block is
// signed with the fleet's ed25519 key. Twice a second the new records are sealed
// into a block, which is replicated to a node in another availability zone; every
// few seconds the blocks are written to the object store together. When a node
// dies, the node that holds its replicas writes them.
//
// # Usage
//
//	w := &ledger.Writer{Node: id, Key: key, Clock: clock, Put: putObject, Replicate: sendToPeer}
//	go w.Run(ctx)
//	w.Add(record)
//
//	blocks, err := ledger.Decode(encoded)
//	faults := ledger.Verify(blocks, publicKey)
package ledger

import (
	"bytes"
	"cmp"
	"compress/flate"
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/trace"
)

// Hash is the SHA-256 hash of the previous record's Hash followed by the encoded
// record.
type Hash [sha256.Size]byte

// Record is one step with its hybrid logical clock reading.
type Record struct {
	Clock clock.Time
	trace.Record
}

// Chain identifies one run of a node by the node's identifier and the run's start
// time in Unix milliseconds.
type Chain struct {
	Node  ident.NodeID
	Start int64
}

// Block is a signed sequence of consecutive records of one chain.
type Block struct {
	Chain Chain
	// First is the number of the first record; numbers start at 1.
	First uint64
	// PrevHash is the hash of the record before First, or the zero Hash if First is
	// 1. LastHash is the hash of the last record.
	PrevHash  Hash
	Records   []Record
	LastHash  Hash
	Signature []byte
}

// Last returns the number of the last record.
func (b Block) Last() uint64 { return b.First + uint64(len(b.Records)) - 1 }

// wireRecord is the encoded form of a record, which the hashes cover. Time is in
// Unix nanoseconds and Waited in nanoseconds. Fields may be added but never
// changed.
type wireRecord struct {
	Clock      uint64 `cbor:"1,keyasint"`
	Time       int64  `cbor:"2,keyasint"`
	Node       string `cbor:"3,keyasint"`
	Request    string `cbor:"4,keyasint"`
	Event      string `cbor:"5,keyasint"`
	Account    string `cbor:"6,keyasint,omitempty"`
	Tier       string `cbor:"7,keyasint,omitempty"`
	Pool       string `cbor:"8,keyasint,omitempty"`
	Cell       string `cbor:"9,keyasint,omitempty"`
	Endpoint   string `cbor:"10,keyasint,omitempty"`
	Reason     string `cbor:"11,keyasint,omitempty"`
	Considered string `cbor:"12,keyasint,omitempty"`
	Waiting    int    `cbor:"13,keyasint,omitempty"`
	Cached     int64  `cbor:"14,keyasint,omitempty"`
	Sequence   uint64 `cbor:"15,keyasint,omitempty"`
	Waited     int64  `cbor:"16,keyasint,omitempty"`
	Settings   uint64 `cbor:"17,keyasint,omitempty"`
}

type wireBlock struct {
	Node      string       `cbor:"1,keyasint"`
	Start     int64        `cbor:"2,keyasint"`
	First     uint64       `cbor:"3,keyasint"`
	PrevHash  []byte       `cbor:"4,keyasint"`
	Records   []wireRecord `cbor:"5,keyasint"`
	LastHash  []byte       `cbor:"6,keyasint"`
	Signature []byte       `cbor:"7,keyasint"`
}

func fromRecord(r Record) wireRecord {
	return wireRecord{
		uint64(r.Clock), r.Time.UnixNano(), string(r.Node), string(r.Request), string(r.Event), string(r.Account),
		r.Tier, string(r.Pool), r.Cell, string(r.Endpoint), r.Reason, r.Considered, r.Waiting, int64(r.Cached),
		r.Sequence, int64(r.Waited), uint64(r.Settings),
	}
}

func (w wireRecord) toRecord() Record {
	return Record{Clock: clock.Time(w.Clock), Record: trace.Record{
		Time: time.Unix(0, w.Time), Node: ident.NodeID(w.Node), Request: ident.RequestID(w.Request),
		Event: trace.Event(w.Event), Account: ident.ClientAccount(w.Account), Tier: w.Tier, Pool: ident.PoolID(w.Pool),
		Cell: w.Cell, Endpoint: ident.Endpoint(w.Endpoint), Reason: w.Reason, Considered: w.Considered,
		Waiting: w.Waiting, Cached: ident.Tokens(w.Cached), Sequence: w.Sequence, Waited: time.Duration(w.Waited),
		Settings: ident.Version(w.Settings),
	}}
}

// nextHash returns the hash of a record that follows the record with hash prev.
func nextHash(prev Hash, r Record) Hash {
	raw, err := cbor.Marshal(fromRecord(r))
	if err != nil {
		panic(err) // encoding strings and numbers cannot fail.
	}
	return sha256.Sum256(append(prev[:], raw...))
}

// signedBytes returns the bytes that a block's signature covers. They include the
// records through LastHash only.
func (b Block) signedBytes() []byte {
	head := fmt.Sprintf("goldcrestwick ledger 1\n%s\n%d\n%d\n%d\n", b.Chain.Node, b.Chain.Start, b.First, len(b.Records))
	return append(append([]byte(head), b.PrevHash[:]...), b.LastHash[:]...)
}

// sealBlock returns a signed block of records that follow the record with hash
// prev.
func sealBlock(c Chain, first uint64, prev Hash, records []Record, key ed25519.PrivateKey) Block {
	b := Block{Chain: c, First: first, PrevHash: prev, Records: records, LastHash: prev}
	for _, r := range records {
		b.LastHash = nextHash(b.LastHash, r)
	}
	b.Signature = ed25519.Sign(key, b.signedBytes())
	return b
}

// Encode returns the encoding of blocks as one object.
func Encode(blocks []Block) []byte {
	list := make([]wireBlock, len(blocks))
	for i, b := range blocks {
		list[i] = wireBlock{string(b.Chain.Node), b.Chain.Start, b.First, b.PrevHash[:], nil, b.LastHash[:], b.Signature}
		for _, r := range b.Records {
			list[i].Records = append(list[i].Records, fromRecord(r))
		}
	}
	raw, err := cbor.Marshal(list)
	if err != nil {
		panic(err) // encoding strings and numbers cannot fail.
	}
	return raw
}

// Decode returns the blocks of an object that Encode returned.
func Decode(raw []byte) ([]Block, error) {
	var list []wireBlock
	if err := cbor.Unmarshal(raw, &list); err != nil {
		return nil, eris.Wrap(err, "decode ledger object")
	}
	blocks := make([]Block, len(list))
	for i, w := range list {
		if len(w.PrevHash) != sha256.Size || len(w.LastHash) != sha256.Size {
			return nil, eris.New("decode ledger object: a hash has the wrong length")
		}
		b := Block{Chain: Chain{ident.NodeID(w.Node), w.Start}, First: w.First, PrevHash: Hash(w.PrevHash), LastHash: Hash(w.LastHash), Signature: w.Signature}
		for _, r := range w.Records {
			b.Records = append(b.Records, r.toRecord())
		}
		blocks[i] = b
	}
	return blocks, nil
}

// Pack compresses an encoded list of blocks for the object store and for replicas
// at other nodes.
func Pack(encoded []byte) []byte {
	var packed bytes.Buffer
	w := compressors.Get().(*flate.Writer) //nolint:errcheck,revive // only this type is stored.
	defer compressors.Put(w)
	w.Reset(&packed)
	w.Write(encoded) //nolint:errcheck // writes to a bytes.Buffer cannot fail.
	w.Close()        //nolint:errcheck // writes to a bytes.Buffer cannot fail.
	return packed.Bytes()
}

// compressors keeps the writers of Pack, since a new one allocates 1.2 MB. A node packs a
// block each second.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the compression level is valid.
	}
	return w
}}

// maxUnpackedBytes bounds the decompressed size of a packed list. Unpack truncates
// a larger list, which then fails to decode.
const maxUnpackedBytes = 64 << 20

// Unpack decompresses and decodes a list of blocks that Pack returned.
func Unpack(packed []byte) ([]Block, error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes))
	if err != nil {
		return nil, eris.Wrap(err, "decompress ledger object")
	}
	return Decode(encoded)
}

// Fault is an inconsistency in a ledger.
type Fault struct {
	Chain Chain
	// Record is the number of the first record that the fault concerns; for a fault
	// of a whole block it is that of the block's first record.
	Record  uint64
	Problem string
}

// String returns the problem with its chain and record number.
func (f Fault) String() string {
	return fmt.Sprintf("chain %s/%d, record %d: %s", f.Chain.Node, f.Chain.Start, f.Record, f.Problem)
}

// Verify checks the signatures, the hashes and that no record of a chain is
// missing or out of order. Duplicate blocks are allowed. Records missing from the
// end of a chain cannot be detected. The records of a block whose signature or
// hashes are invalid also count as missing from the chain.
func Verify(blocks []Block, key ed25519.PublicKey) []Fault {
	var faults []Fault
	chains := map[Chain][]Block{}
	for _, b := range blocks {
		if problem, record := b.verify(key); problem != "" {
			faults = append(faults, Fault{b.Chain, record, problem})
			continue
		}
		chains[b.Chain] = append(chains[b.Chain], b)
	}
	for chain, list := range chains {
		faults = append(faults, verifySequence(chain, list)...)
	}
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Chain.Node, b.Chain.Node), cmp.Compare(a.Chain.Start, b.Chain.Start), cmp.Compare(a.Record, b.Record))
	})
	return faults
}

// verify checks a block's signature and hashes. It returns an empty problem if
// they are valid.
func (b Block) verify(key ed25519.PublicKey) (problem string, record uint64) {
	if !ed25519.Verify(key, b.signedBytes(), b.Signature) {
		return "the block's head or signature was changed", b.First
	}
	h := b.PrevHash
	for _, r := range b.Records {
		h = nextHash(h, r)
	}
	if h != b.LastHash {
		return "a record from here to " + fmt.Sprint(b.Last()) + " was changed, taken out or moved", b.First
	}
	return "", 0
}

// verifySequence checks that the blocks of a chain follow each other without gaps
// or conflicts.
func verifySequence(chain Chain, blocks []Block) []Fault {
	slices.SortFunc(blocks, func(a, b Block) int { return cmp.Compare(a.First, b.First) })
	var faults []Fault
	expected, prev := uint64(1), Hash{}
	for i, b := range blocks {
		if i > 0 && b.First == blocks[i-1].First && b.LastHash == blocks[i-1].LastHash {
			continue
		}
		switch {
		case b.First > expected:
			faults = append(faults, Fault{chain, expected, fmt.Sprintf("the records from here to %d are missing", b.First-1)})
		case b.First < expected:
			faults = append(faults, Fault{chain, b.First, "two different records have this number"})
		case b.PrevHash != prev:
			faults = append(faults, Fault{chain, b.First, "the record does not follow the one before"})
		}
		expected, prev = b.Last()+1, b.LastHash
	}
	return faults
}

// Merge returns the records of all chains, ordered by clock. Of several blocks of
// a chain with the same First it uses only the first. It does not verify them.
func Merge(blocks []Block) []Record {
	type position struct {
		chain Chain
		first uint64
	}
	seen := map[position]bool{}
	var all []Record
	for _, b := range blocks {
		at := position{b.Chain, b.First}
		if seen[at] {
			continue
		}
		seen[at] = true
		all = append(all, b.Records...)
	}
	slices.SortStableFunc(all, func(a, b Record) int { return cmp.Compare(a.Clock, b.Clock) })
	return all
}
