package memory

import (
	"context"
	"sync"
	"time"
)

// AnswerStallTime is the stall time for answers. What a caller reads shows here only when
// its kernel has opened the window again, on a loopback link by 64 kB, and a third of the
// send buffer is free: writes to a caller that reads 1 kB/s were seen to block for 125 s.
const AnswerStallTime = 3 * time.Minute

// chunkBytes is the memory of a chunk, the unit in which answers are counted: large enough
// that the budget is asked once for some dozens of events, and small enough that many slow
// callers hold one each.
const chunkBytes = 4 << 10

// chunk is a part of an answer.
type chunk struct {
	data     [chunkBytes - 16]byte
	from, to int
}

// queue is the part of an answer that its caller has not taken yet. While there is any, a
// goroutine writes it to the caller.
type queue struct {
	conn  *Conn
	share *Share
	ctx   context.Context
	// stop releases the function that is called when ctx is done.
	stop func() bool

	mu     sync.Mutex
	chunks []*chunk
	// isDraining is set while the goroutine runs. It may hold one chunk that is not in
	// chunks.
	isDraining bool
	// err is why the caller gets nothing more.
	err error
	// hasEnded is set when finish has read err.
	hasEnded bool
}

func newQueue(c *Conn) *queue {
	q := &queue{conn: c, ctx: c.ctx}
	q.share = c.budget.newShare(c.owner, func() {
		if q.fail(ErrGivenUp) {
			c.reset()
		}
	})
	q.stop = context.AfterFunc(c.ctx, func() {
		q.fail(context.Cause(q.ctx))
		c.Conn.SetWriteDeadline(time.Unix(1, 0)) //nolint:errcheck // the connection is closed then.
	})
	return q
}

// fail drops what is queued. The first error stays. It returns false if the answer has ended:
// the connection may carry another one by then.
func (q *queue) fail(err error) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.hasEnded {
		return false
	}
	if q.err == nil {
		q.err = err
	}
	dropped := len(q.chunks)
	q.chunks = nil
	q.share.release(int64(dropped) * chunkBytes)
	q.share.signal()
	return true
}

// write appends to the queue, or writes to the caller if the queue is empty.
func (q *queue) write(b []byte) (int, error) {
	q.mu.Lock()
	isDraining, err := q.isDraining, q.err
	q.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n := 0
	if !isDraining {
		if n, err = q.conn.writeBriefly(b); err != nil || n == len(b) {
			return n, q.failOn(err)
		}
	}
	m, err := q.buffer(b[n:])
	return n + m, err
}

// buffer appends b to the queue. It waits for room if there is none.
func (q *queue) buffer(b []byte) (int, error) {
	n := 0
	for {
		m, isDraining, err := q.append(b[n:])
		n += m
		if err != nil || n == len(b) {
			return n, err
		}
		if !isDraining {
			// There is no room for a single chunk. The caller sets the pace, as without a buffer.
			m, err := q.conn.Conn.Write(b[n:])
			q.share.stopWaiting()
			return n + m, q.failOn(err)
		}
		<-q.share.wake // also when the goroutine has written a chunk, or the queue has failed.
	}
}

// append appends as much of b as there is room for, and starts the goroutine if there is
// something to write. It reports whether the goroutine runs.
func (q *queue) append(b []byte) (n int, isDraining bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil {
		return 0, false, q.err
	}
	for n < len(b) {
		if len(q.chunks) == 0 || q.last().to == len(q.last().data) {
			if !q.share.tryTake(chunkBytes) {
				break
			}
			q.chunks = append(q.chunks, &chunk{})
		}
		c := q.last()
		m := copy(c.data[c.to:], b[n:])
		c.to += m
		n += m
	}
	if len(q.chunks) > 0 && !q.isDraining {
		q.isDraining = true
		go q.drain()
	}
	return n, q.isDraining, nil
}

func (q *queue) last() *chunk { return q.chunks[len(q.chunks)-1] }

// drain writes the queue to the caller until it is empty or a write fails.
func (q *queue) drain() {
	for c := q.next(); c != nil; c = q.next() {
		_, err := q.conn.Conn.Write(c.data[c.from:c.to])
		q.share.release(chunkBytes)
		if err != nil {
			q.fail(err)
		}
		q.share.signal()
	}
	q.share.signal()
}

// next takes the first chunk. It returns nil, and the goroutine must end, if there is none.
func (q *queue) next() *chunk {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.chunks) == 0 {
		q.chunks, q.isDraining = nil, false
		return nil
	}
	c := q.chunks[0]
	q.chunks[0] = nil
	q.chunks = q.chunks[1:]
	return c
}

// failOn fails the queue if err is not nil. It returns the queue's first error.
func (q *queue) failOn(err error) error {
	if err == nil {
		return nil
	}
	q.fail(err)
	return q.firstError()
}

func (q *queue) firstError() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.err
}

// finish waits until the queue is empty or has failed, and returns the error.
func (q *queue) finish() error {
	for q.isBusy() {
		<-q.share.wake
	}
	q.mu.Lock()
	err := q.err
	q.hasEnded = true
	q.mu.Unlock()
	if !q.stop() && err == nil {
		err = context.Cause(q.ctx)
	}
	q.share.End()
	return err
}

func (q *queue) isBusy() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.isDraining
}
