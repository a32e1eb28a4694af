// Package spool writes log lines without ever holding up who logs them.
//
// Lines wait in bounded memory for a slow reader. When that is full, further
// lines are dropped and counted, and the next line that fits is preceded by one
// that tells how many are missing.
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
	// maxWaiting bounds the bytes that wait for the reader.
	maxWaiting = 1 << 20
	// pieceBytes is what a pipe takes at once without other writers in between
	// (PIPE_BUF of Linux).
	pieceBytes = 4096
	// closeTime is how long Close waits for the reader.
	closeTime = 500 * time.Millisecond
)

// Writer is an io.Writer that never blocks. It is safe for concurrent use.
type Writer struct {
	to      io.Writer
	mu      sync.Mutex
	waiting []byte
	dropped int
	closed  bool
	filled  chan struct{}
	done    chan struct{}
}

// New returns a Writer in front of another.
func New(to io.Writer) *Writer {
	w := &Writer{to: to, filled: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It reports success also for a line that is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	if len(w.waiting)+len(line) > maxWaiting {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		w.waiting = fmt.Appendf(w.waiting, "level=warn msg=log_lines_dropped count=%d\n", w.dropped)
		w.dropped = 0
	}
	w.waiting = append(w.waiting, line...)
	w.wake()
	return len(line), nil
}

func (w *Writer) wake() {
	select {
	case w.filled <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for range w.filled {
		w.mu.Lock()
		batch, w.waiting = w.waiting, batch[:0]
		closed := w.closed
		w.mu.Unlock()
		for rest := batch; len(rest) > 0; {
			n := piece(rest)
			w.to.Write(rest[:n]) //nolint:errcheck // there is nowhere to tell it.
			rest = rest[n:]
		}
		if closed {
			return
		}
	}
}

// piece returns how much of some lines to write at once: whole lines of up to
// pieceBytes, or one longer line.
func piece(lines []byte) int {
	if len(lines) <= pieceBytes {
		return len(lines)
	}
	if n := bytes.LastIndexByte(lines[:pieceBytes], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(lines, '\n'); n >= 0 {
		return n + 1
	}
	return len(lines)
}

// Close writes what waits, for a bounded time.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.wake()
	select {
	case <-w.done:
	case <-time.After(closeTime):
	}
}
