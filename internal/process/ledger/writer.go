package ledger

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"strings"
	"sync"
	"time"

	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/ident"
)

const (
	// CutInterval is the time between blocks, and so the most that is lost
	// when a node and the holder of its copies die together.
	CutInterval = 500 * time.Millisecond
	// writeInterval is the time between objects; with 360 nodes it makes 72
	// writes a second.
	writeInterval = 5 * time.Second
	putTimeout    = 10 * time.Second
	// maxObject bounds the blocks in one object.
	maxObject = 64
	// maxKept bounds the records that wait for the object store: about 200
	// bytes each. An hour of 5 requests a second with 10 records each fits.
	maxKept = 200_000
	// detailAbove is the share of maxKept above which details are left out.
	detailAbove = 0.5
	// Prefix begins the names of all ledger objects.
	Prefix = "ledger/"
)

// details are the events that can be left out while the store is away: what
// they tell follows from the others.
var details = map[trace.Event]bool{trace.GrantRequested: true, trace.GrantTaken: true, trace.Moved: true}

// Writer writes the chain of this node's life. Set the exported fields before
// Run; it is safe for concurrent use.
type Writer struct {
	Node ident.NodeID
	Key  ed25519.PrivateKey
	// Clock gives the readings of the records.
	Clock *clock.Clock
	// Interval is the time between objects; 0 takes the default.
	Interval time.Duration
	// Put writes an object.
	Put func(ctx context.Context, name string, body []byte) error
	// Replicate gives a block to a node in another zone, and says up to which
	// record the object store has the chain. Nil makes no copies.
	Replicate func(ctx context.Context, block Block, written uint64) error

	mu      sync.Mutex
	chain   Chain
	open    []Record
	blocks  []Block
	count   uint64
	hash    Hash
	kept    int
	left    int
	written uint64
}

// Add appends a record. It reports false when the ledger is full: the caller
// must not accept new requests until it is written.
func (w *Writer) Add(r trace.Record) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if details[r.Event] && float64(w.kept) > detailAbove*maxKept {
		w.left++
		return true
	}
	if w.kept >= maxKept {
		w.left++
		return false
	}
	w.add(r)
	return true
}

func (w *Writer) add(r trace.Record) {
	w.open = append(w.open, Record{w.Clock.Now(), r})
	w.kept++
}

// IsFull reports whether no more can be kept until the object store is back.
func (w *Writer) IsFull() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kept >= maxKept
}

// Kept returns the number of records that wait for the object store.
func (w *Writer) Kept() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kept
}

// Run cuts blocks and writes objects until the context ends; then it makes one
// last attempt to write what is left.
func (w *Writer) Run(ctx context.Context) {
	w.mu.Lock()
	w.chain = Chain{w.Node, time.Now().UnixMilli()}
	w.mu.Unlock()
	interval := w.Interval
	if interval == 0 {
		interval = writeInterval
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { tick.Every(ctx, CutInterval, w.Cut) })
	tasks.Go(func() { tick.Every(ctx, interval, w.Write) })
	tasks.Wait()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), putTimeout)
	defer cancel()
	// The second round tells what a full ledger left out before the first.
	for range 2 {
		w.Cut(last)
		w.Write(last)
	}
}

// Cut seals the open records into a block and copies it.
func (w *Writer) Cut(ctx context.Context) {
	w.mu.Lock()
	if w.left > 0 && w.kept < maxKept {
		w.add(trace.Record{Time: time.Now(), Node: w.Node, Event: trace.LeftOut, Reason: fmt.Sprintf("%d records of detail", w.left)})
		w.left = 0
	}
	if len(w.open) == 0 {
		w.mu.Unlock()
		return
	}
	b := seal(w.chain, w.count+1, w.hash, w.open, w.Key)
	w.count, w.hash, w.open = b.Last(), b.After, nil
	w.blocks = append(w.blocks, b)
	written := w.written
	w.mu.Unlock()
	if w.Replicate == nil {
		return
	}
	copying, cancel := context.WithTimeout(ctx, CutInterval)
	defer cancel()
	w.Replicate(copying, b, written) //nolint:errcheck // the block stays here in any case.
}

// Write puts the blocks that wait into objects of bounded size. What cannot be
// written is kept for the next time.
func (w *Writer) Write(ctx context.Context) {
	for w.writeOne(ctx) {
	}
}

// writeOne writes one object and reports whether there may be more to write.
func (w *Writer) writeOne(ctx context.Context) bool {
	w.mu.Lock()
	blocks := w.blocks[:min(len(w.blocks), maxObject)]
	w.mu.Unlock()
	if len(blocks) == 0 {
		return false
	}
	putting, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	if w.Put(putting, objectName(blocks), Encode(blocks)) != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blocks = w.blocks[len(blocks):]
	for _, b := range blocks {
		w.kept -= len(b.Records)
		w.written = b.Last()
	}
	return true
}

func objectName(blocks []Block) string {
	first, last := blocks[0], blocks[len(blocks)-1]
	return fmt.Sprintf("%s%s/%d/%012d-%012d", Prefix, first.Chain.Node, first.Chain.Start, first.First, last.Last())
}

// Age orders objects by the time of their first record: the start of the chain
// and the number in it, from the object's name. A name of another form is the
// oldest.
func Age(name string) string {
	parts := strings.Split(strings.TrimPrefix(name, Prefix), "/")
	if len(parts) != objectParts {
		return ""
	}
	return parts[1] + "/" + parts[2]
}

// objectParts are the node, the chain's start and the records.
const objectParts = 3
