package origin

import (
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
)

const (
	// WriteInterval is the least time between two writes of a process, and ringSlots the
	// number of rows that it writes for a pool before it writes the first one again. They
	// cover 38.4 s, which is longer than a stream can be taken up on routes with a timeout
	// of up to 19 s.
	WriteInterval = 200 * time.Millisecond
	ringSlots     = 192
	// maxRowBytes bounds the identifiers in a row, which may have 65,536 bytes in all, and
	// maxBatchBytes those of a write, which may have 1 MB.
	maxRowBytes   = 48 << 10
	maxBatchBytes = 512 << 10
	// identifierOverhead is the number of bytes of a row for each identifier beside it.
	identifierOverhead = 3
	// maxPending bounds the origins that wait for the store; then the oldest are dropped. It
	// is what a node begins in the time of the ring at 850 streams per second.
	maxPending = 1 << 15
)

// RingSlot returns the number of the row that is written at a time. It follows the time of
// day, so that a process that is started again overwrites none of its latest rows.
func RingSlot(now time.Time) int {
	return int(now.UnixMilli() / WriteInterval.Milliseconds() % ringSlots)
}

// Batch holds the streams that each release of a pool began.
type Batch map[ident.Release][]ident.RequestID

// Pending holds origins that have to be written to the store. The zero value is empty. It is
// safe for concurrent use.
type Pending struct {
	mu    sync.Mutex
	queue []pendingOrigin
}

type pendingOrigin struct {
	stream ident.RequestID
	Origin
}

// Add adds an origin. Streams with identifiers that would fill a row are left out.
func (p *Pending) Add(stream ident.RequestID, o Origin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(stream) > maxRowBytes/2 {
		return
	}
	p.queue = append(p.queue, pendingOrigin{stream, o})
	p.bound()
}

func (p *Pending) bound() {
	if excess := len(p.queue) - maxPending; excess > 0 {
		p.queue = p.queue[excess:]
	}
}

// Take removes the oldest origins, as many as fit into one write, and returns them by pool.
// It drops those of pools for which isWanted returns false, and those that a later origin of
// the same stream replaces, since a batch has no order.
func (p *Pending) Take(isWanted func(ident.PoolID) bool) map[ident.PoolID]Batch {
	p.mu.Lock()
	defer p.mu.Unlock()
	batches := map[ident.PoolID]Batch{}
	rowBytes := map[ident.PoolID]int{}
	batchBytes := 0
	var rest []pendingOrigin
	latest := map[ident.RequestID]int{}
	for i, o := range p.queue {
		latest[o.stream] = i
	}
	for i, o := range p.queue {
		size := len(o.stream) + identifierOverhead
		switch {
		case !isWanted(o.Pool) || latest[o.stream] != i:
		case rowBytes[o.Pool]+size > maxRowBytes || batchBytes+size > maxBatchBytes:
			rest = append(rest, o)
		default:
			rowBytes[o.Pool] += size
			batchBytes += size
			if batches[o.Pool] == nil {
				batches[o.Pool] = Batch{}
			}
			batches[o.Pool][o.Release] = append(batches[o.Pool][o.Release], o.stream)
		}
	}
	p.queue = rest
	return batches
}

// Return adds the origins of a write that failed again, as the oldest ones.
func (p *Pending) Return(batches map[ident.PoolID]Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var failed []pendingOrigin
	for pool, batch := range batches {
		for release, streams := range batch {
			for _, stream := range streams {
				failed = append(failed, pendingOrigin{stream, Origin{pool, release}})
			}
		}
	}
	p.queue = append(failed, p.queue...)
	p.bound()
}

// IsEmpty reports whether no origin waits.
func (p *Pending) IsEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) == 0
}
