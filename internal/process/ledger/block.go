// Package ledger keeps the proof of what was decided: a chain of records for
// each life of a node, in signed blocks.
//
// Each record's hash covers the one before, so that a record cannot be changed,
// taken out or moved without breaking the chain; each block is signed with the
// fleet's ed25519 key. Blocks are cut twice a second and copied to a node in
// another availability zone; every few seconds they are written to the object
// store together. When a node dies, the one with the copies writes them.
//
// # Usage
//
//	w := &ledger.Writer{Node: id, Key: key, Put: store.Put, Replicate: copyToPeer}
//	go w.Run(ctx)
//	w.Add(record)
//
//	blocks, err := ledger.Decode(object)
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
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/ident"
)

// Hash is the SHA-256 of a record and all before it.
type Hash [sha256.Size]byte

// Record is one step with its place in time.
type Record struct {
	Clock clock.Time
	trace.Record
}

// Chain names one life of a node: its identifier and when it started.
type Chain struct {
	Node  ident.NodeID
	Start int64
}

// Block is a signed run of records of one chain.
type Block struct {
	Chain Chain
	// First is the number of the first record; records count from 1.
	First     uint64
	Before    Hash
	Records   []Record
	After     Hash
	Signature []byte
}

// Last is the number of the last record.
func (b Block) Last() uint64 { return b.First + uint64(len(b.Records)) - 1 }

// wireRecord is the encoded form of a record, over which hashes are made. Its
// fields are never changed, only added to.
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
	Before    []byte       `cbor:"4,keyasint"`
	Records   []wireRecord `cbor:"5,keyasint"`
	After     []byte       `cbor:"6,keyasint"`
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

// next returns the hash of a record that follows a hash.
func next(before Hash, r Record) Hash {
	raw, err := cbor.Marshal(fromRecord(r))
	if err != nil {
		panic(err) // strings and numbers always encode.
	}
	return sha256.Sum256(append(before[:], raw...))
}

// signed returns the bytes that a block's signature covers.
func (b Block) signed() []byte {
	head := fmt.Sprintf("goldcrestwick ledger 1\n%s\n%d\n%d\n%d\n", b.Chain.Node, b.Chain.Start, b.First, len(b.Records))
	return append(append([]byte(head), b.Before[:]...), b.After[:]...)
}

// seal makes a signed block of records that follow a hash.
func seal(c Chain, first uint64, before Hash, records []Record, key ed25519.PrivateKey) Block {
	b := Block{Chain: c, First: first, Before: before, Records: records, After: before}
	for _, r := range records {
		b.After = next(b.After, r)
	}
	b.Signature = ed25519.Sign(key, b.signed())
	return b
}

// Encode writes blocks as an object.
func Encode(blocks []Block) []byte {
	list := make([]wireBlock, len(blocks))
	for i, b := range blocks {
		list[i] = wireBlock{string(b.Chain.Node), b.Chain.Start, b.First, b.Before[:], nil, b.After[:], b.Signature}
		for _, r := range b.Records {
			list[i].Records = append(list[i].Records, fromRecord(r))
		}
	}
	raw, err := cbor.Marshal(list)
	if err != nil {
		panic(err) // strings and numbers always encode.
	}
	return raw
}

// Decode reads the blocks of an object.
func Decode(raw []byte) ([]Block, error) {
	var list []wireBlock
	if err := cbor.Unmarshal(raw, &list); err != nil {
		return nil, eris.Wrap(err, "ledger object")
	}
	blocks := make([]Block, len(list))
	for i, w := range list {
		if len(w.Before) != sha256.Size || len(w.After) != sha256.Size {
			return nil, eris.New("ledger object: a hash has the wrong length")
		}
		b := Block{Chain: Chain{ident.NodeID(w.Node), w.Start}, First: w.First, Before: Hash(w.Before), After: Hash(w.After), Signature: w.Signature}
		for _, r := range w.Records {
			b.Records = append(b.Records, r.toRecord())
		}
		blocks[i] = b
	}
	return blocks, nil
}

// Pack compresses an encoded list of blocks, for the object store and for
// copies at other nodes.
func Pack(encoded []byte) []byte {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid.
	}
	w.Write(encoded) //nolint:errcheck // a buffer never fails.
	w.Close()        //nolint:errcheck // a buffer never fails.
	return packed.Bytes()
}

// maxUnpacked bounds what a packed list may grow to.
const maxUnpacked = 64 << 20

// Unpack reads what Pack returned and decodes it.
func Unpack(packed []byte) ([]Block, error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked))
	if err != nil {
		return nil, eris.Wrap(err, "unpack a ledger object")
	}
	return Decode(encoded)
}

// Fault is one thing wrong with a ledger.
type Fault struct {
	Chain Chain
	// Record is the number of the record at fault.
	Record  uint64
	Problem string
}

// String tells the fault with its place.
func (f Fault) String() string {
	return fmt.Sprintf("chain %s/%d, record %d: %s", f.Chain.Node, f.Chain.Start, f.Record, f.Problem)
}

// Verify checks signatures, hashes and that no record of a chain is missing or
// out of order. The same block may come more than once. The end of a chain
// cannot show that records after it are missing.
func Verify(blocks []Block, key ed25519.PublicKey) []Fault {
	var faults []Fault
	chains := map[Chain][]Block{}
	for _, b := range blocks {
		if problem, record := b.check(key); problem != "" {
			faults = append(faults, Fault{b.Chain, record, problem})
			continue
		}
		chains[b.Chain] = append(chains[b.Chain], b)
	}
	for chain, run := range chains {
		faults = append(faults, checkRun(chain, run)...)
	}
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Chain.Node, b.Chain.Node), cmp.Compare(a.Chain.Start, b.Chain.Start), cmp.Compare(a.Record, b.Record))
	})
	return faults
}

// check looks at one block alone.
func (b Block) check(key ed25519.PublicKey) (problem string, record uint64) {
	if !ed25519.Verify(key, b.signed(), b.Signature) {
		return "the block's head or signature was changed", b.First
	}
	h := b.Before
	for _, r := range b.Records {
		h = next(h, r)
	}
	if h != b.After {
		return "a record from here to " + fmt.Sprint(b.Last()) + " was changed, taken out or moved", b.First
	}
	return "", 0
}

// checkRun looks at how the blocks of a chain follow each other.
func checkRun(chain Chain, run []Block) []Fault {
	slices.SortFunc(run, func(a, b Block) int { return cmp.Compare(a.First, b.First) })
	var faults []Fault
	expected, before := uint64(1), Hash{}
	for i, b := range run {
		if i > 0 && b.First == run[i-1].First && b.After == run[i-1].After {
			continue
		}
		switch {
		case b.First > expected:
			faults = append(faults, Fault{chain, expected, fmt.Sprintf("the records from here to %d are missing", b.First-1)})
		case b.First < expected:
			faults = append(faults, Fault{chain, b.First, "two different records have this number"})
		case b.Before != before:
			faults = append(faults, Fault{chain, b.First, "the record does not follow the one before"})
		}
		expected, before = b.Last()+1, b.After
	}
	return faults
}

// Merge returns the records of all chains in the order of their clocks, each
// once.
func Merge(blocks []Block) []Record {
	type place struct {
		chain Chain
		first uint64
	}
	seen := map[place]bool{}
	var all []Record
	for _, b := range blocks {
		at := place{b.Chain, b.First}
		if seen[at] {
			continue
		}
		seen[at] = true
		all = append(all, b.Records...)
	}
	slices.SortStableFunc(all, func(a, b Record) int { return cmp.Compare(a.Clock, b.Clock) })
	return all
}
