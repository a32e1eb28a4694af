// Package spool writes log lines without ever blocking the code that logs them.
//
// Lines are buffered in bounded memory for a slow reader. When the buffer is full,
// further lines are dropped and counted, and the next line that fits is preceded
// by one with the number of dropped lines.
//
// # Usage
//
//	w := spool.New(os.Stdout)
//	logger := log.New(w)
//	defer w.Close()
package spool

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the lines buffered for the reader, without those of
	// the batch that is being written.
	maxBufferedBytes = 1 << 20
	// atomicWriteBytes is the size up to which a write to a pipe is not interleaved
	// with those of other writers (PIPE_BUF on Linux).
	atomicWriteBytes = 4096
	// closeTimeout is how long Close waits for the reader.
	closeTimeout = 500 * time.Millisecond
)

// Writer is an io.Writer that never blocks. It is safe for concurrent use.
type Writer struct {
	dst      io.Writer
	mu       sync.Mutex
	buffered []byte
	// dropped counts the lines dropped since the last line that was buffered.
	dropped  int
	isClosed bool
	// wakeup tells run that lines were buffered or the Writer was closed.
	wakeup chan struct{}
	// done is closed when run returns.
	done chan struct{}
}

// New returns a Writer that writes to dst in a goroutine of its own, until Close.
func New(dst io.Writer) *Writer {
	w := &Writer{dst: dst, wakeup: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, with its newline. It never returns an error, even
// for a line that is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isClosed {
		return len(line), nil
	}
	if len(w.buffered)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		w.buffered = fmt.Appendf(w.buffered, "level=warn msg=log_lines_dropped count=%d\n", w.dropped)
		w.dropped = 0
	}
	w.buffered = append(w.buffered, line...)
	w.wake()
	return len(line), nil
}

func (w *Writer) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for range w.wakeup {
		w.mu.Lock()
		batch, w.buffered = w.buffered, batch[:0]
		isClosed := w.isClosed
		w.mu.Unlock()
		for rest := batch; len(rest) > 0; {
			n := chunkLen(rest)
			w.dst.Write(rest[:n]) //nolint:errcheck // an error in writing the log cannot be logged.
			rest = rest[n:]
		}
		if isClosed {
			return
		}
	}
}

// chunkLen returns the number of bytes to write at once: complete lines of up to
// atomicWriteBytes in all, or one longer line.
func chunkLen(lines []byte) int {
	if len(lines) <= atomicWriteBytes {
		return len(lines)
	}
	if n := bytes.LastIndexByte(lines[:atomicWriteBytes], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(lines, '\n'); n >= 0 {
		return n + 1
	}
	return len(lines)
}

// Close stops accepting lines and waits until the buffered ones are written, for at
// most closeTimeout. Later lines are discarded.
func (w *Writer) Close() {
	w.mu.Lock()
	w.isClosed = true
	w.mu.Unlock()
	w.wake()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
