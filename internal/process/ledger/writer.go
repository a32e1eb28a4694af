package ledger

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/trace"
)

const (
	// BlockInterval is the time between blocks and the timeout for replicating one.
	// When a node dies, the records that it added since the last replicated block
	// are lost. When the node that holds the replicas dies with it, so are those of
	// the blocks that are not yet in the object store.
	BlockInterval = time.Second
	// writeInterval is the default time between writes to the object store; 360
	// nodes make 72 writes per second.
	writeInterval = 5 * time.Second
	// putTimeout bounds one call of Put, and all calls after the end of Run's
	// context together.
	putTimeout = 10 * time.Second
	// maxBlocksPerObject bounds the blocks in one object.
	maxBlocksPerObject = 64
	// maxPendingRecords bounds the records that wait for the object store, at about
	// 200 bytes each. It is enough for an hour of 5 requests per second with 10
	// records each.
	maxPendingRecords = 200_000
	// detailThreshold is the fraction of maxPendingRecords above which detail events
	// are omitted.
	detailThreshold = 0.5
	// Prefix is the prefix of the names of all ledger objects.
	Prefix = "ledger/"
)

// detailEvents are the events that are omitted while the store is unavailable and
// many records are pending, since the other events imply them.
var detailEvents = map[trace.Event]bool{trace.GrantRequested: true, trace.GrantTaken: true, trace.Moved: true}

// Writer writes the chain of this run of the node. Set Clock before calling Add,
// and all exported fields before calling Run. It is safe for concurrent use, but
// WriteObjects must not be called while another call of it or Run is in progress.
type Writer struct {
	Node ident.NodeID
	Key  ed25519.PrivateKey
	// Clock is the hybrid logical clock that stamps the records.
	Clock *clock.Clock
	// Interval returns the time between writes to the object store; nil means the
	// default of 5 seconds.
	Interval func() time.Duration
	// Put writes an object, whose body is the result of Encode.
	Put func(ctx context.Context, name string, body []byte) error
	// Replicate sends a block to a node in another zone, with the number of the
	// last record that the object store has. Nil disables replication.
	Replicate func(ctx context.Context, block Block, written uint64) error

	mu        sync.Mutex
	chain     Chain
	unsealed  []Record
	unwritten []Block
	// lastSealed is the number of the last sealed record, and lastHash its hash.
	lastSealed uint64
	lastHash   Hash
	// pending counts the records in unsealed and unwritten.
	pending int
	// omitted counts the records that were omitted since the last RecordsOmitted.
	omitted int
	// lastWritten is the number of the last record in the object store.
	lastWritten uint64
	// recent holds the objects that were written within rewriteWindow, in order.
	recent []writtenObject
}

// writtenObject is an object that was written to the object store.
type writtenObject struct {
	blocks []Block
	at     time.Time
}

// rewriteWindow is how long written objects are kept, to be written again if the
// store is restored from an older copy of itself. Copies are some seconds old.
const rewriteWindow = 30 * time.Second

// Add appends a record. It reports false if the ledger is full; the caller must
// then not accept new requests until records have been written. It also reports
// true for a detail event that it omits.
func (w *Writer) Add(r trace.Record) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if detailEvents[r.Event] && float64(w.pending) > detailThreshold*maxPendingRecords {
		w.omitted++
		return true
	}
	if w.pending >= maxPendingRecords {
		w.omitted++
		return false
	}
	w.appendRecord(r)
	return true
}

func (w *Writer) appendRecord(r trace.Record) {
	w.unsealed = append(w.unsealed, Record{w.Clock.Now(), r})
	w.pending++
}

// IsFull reports whether no more records can be added until pending ones have been
// written.
func (w *Writer) IsFull() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending >= maxPendingRecords
}

// Pending returns the number of records not yet written to the object store.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending
}

// Run seals blocks and writes objects until the context ends; then it makes a
// final attempt to write the remaining records.
func (w *Writer) Run(ctx context.Context) {
	w.mu.Lock()
	w.chain = Chain{w.Node, time.Now().UnixMilli()}
	w.mu.Unlock()
	var tasks sync.WaitGroup
	tasks.Go(func() { tick.Every(ctx, BlockInterval, w.SealBlock) })
	tasks.Go(func() { w.writePeriodically(ctx) })
	tasks.Wait()
	finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), putTimeout)
	defer cancel()
	// If the ledger was full, the second round records how many records were
	// omitted; before the first round there is no capacity for that record.
	for range 2 {
		w.SealBlock(finalCtx)
		w.WriteObjects(finalCtx)
	}
}

// writePeriodically writes objects until the context ends. The first write is at a
// random time, so that the nodes of a fleet that starts at once do not write at once.
func (w *Writer) writePeriodically(ctx context.Context) {
	interval := func() time.Duration { return writeInterval }
	if w.Interval != nil {
		interval = w.Interval
	}
	delay := interval()/2 + rand.N(interval()/2)
	for tick.Sleep(ctx, delay) {
		w.WriteObjects(ctx)
		delay = interval()
	}
}

// SealBlock seals the unsealed records into a block and tries once to replicate it.
// If records were omitted, it first appends a record with their number.
func (w *Writer) SealBlock(ctx context.Context) {
	w.mu.Lock()
	if w.omitted > 0 && w.pending < maxPendingRecords {
		w.appendRecord(trace.Record{Time: time.Now(), Node: w.Node, Event: trace.RecordsOmitted, Reason: fmt.Sprintf("%d records of detail", w.omitted)})
		w.omitted = 0
	}
	if len(w.unsealed) == 0 {
		w.mu.Unlock()
		return
	}
	b := sealBlock(w.chain, w.lastSealed+1, w.lastHash, w.unsealed, w.Key)
	w.lastSealed, w.lastHash, w.unsealed = b.Last(), b.LastHash, nil
	w.unwritten = append(w.unwritten, b)
	written := w.lastWritten
	w.mu.Unlock()
	if w.Replicate == nil {
		return
	}
	replicateCtx, cancel := context.WithTimeout(ctx, BlockInterval)
	defer cancel()
	w.Replicate(replicateCtx, b, written) //nolint:errcheck // the writer keeps the block in any case.
}

// WriteObjects writes the sealed blocks as objects of at most maxBlocksPerObject
// blocks. Blocks that
// cannot be written are kept for the next call.
func (w *Writer) WriteObjects(ctx context.Context) {
	for w.writeObject(ctx) {
	}
}

// writeObject writes one object and reports whether there may be more to write.
func (w *Writer) writeObject(ctx context.Context) bool {
	w.mu.Lock()
	blocks := w.unwritten[:min(len(w.unwritten), maxBlocksPerObject)]
	w.mu.Unlock()
	if len(blocks) == 0 {
		return false
	}
	putCtx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	if w.Put(putCtx, objectName(blocks), Encode(blocks)) != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unwritten = w.unwritten[len(blocks):]
	now := time.Now()
	w.recent = slices.DeleteFunc(w.recent, func(o writtenObject) bool { return now.Sub(o.at) > rewriteWindow })
	w.recent = append(w.recent, writtenObject{slices.Clone(blocks), now})
	for _, b := range blocks {
		w.pending -= len(b.Records)
		w.lastWritten = b.Last()
	}
	return true
}

// Rewrite writes the objects of the last rewriteWindow again, under their names.
// It is used after the store was restored from an older copy of itself, which may
// have lost them. It returns the first error.
func (w *Writer) Rewrite(ctx context.Context) error {
	w.mu.Lock()
	recent := slices.Clone(w.recent)
	w.mu.Unlock()
	for _, o := range recent {
		putCtx, cancel := context.WithTimeout(ctx, putTimeout)
		err := w.Put(putCtx, objectName(o.blocks), Encode(o.blocks))
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

func objectName(blocks []Block) string {
	first, last := blocks[0], blocks[len(blocks)-1]
	return fmt.Sprintf("%s%s/%d/%012d-%012d", Prefix, first.Chain.Node, first.Chain.Start, first.First, last.Last())
}

// SortKey returns a string that orders object names by the age of their first
// record: the chain's start and the record's number, from the name. A name of
// another form sorts first.
func SortKey(name string) string {
	parts := strings.Split(strings.TrimPrefix(name, Prefix), "/")
	if len(parts) != objectNameParts {
		return ""
	}
	return parts[1] + "/" + parts[2]
}

// objectNameParts is the number of parts of an object's name: the node, the
// chain's start and the range of records.
const objectNameParts = 3
