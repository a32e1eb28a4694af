package spool

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// slowWriter blocks each Write until allow has a value or is closed.
type slowWriter struct {
	mu      sync.Mutex
	allow   chan struct{}
	written bytes.Buffer
	longest int
}

func (s *slowWriter) Write(b []byte) (int, error) {
	<-s.allow
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longest = max(s.longest, len(b))
	return s.written.Write(b)
}

// TestChunks checks that lines arrive complete and in order, in chunks that a pipe
// writes atomically, and that a long line is not split.
func TestChunks(t *testing.T) {
	s := &slowWriter{allow: make(chan struct{})}
	w := New(s)
	var want strings.Builder
	for i := range 500 {
		line := fmt.Sprintf("line %d %s\n", i, strings.Repeat("x", i%90))
		want.WriteString(line)
		w.Write([]byte(line)) //nolint:errcheck // Write never returns an error.
	}
	close(s.allow)
	w.Close()
	qt.Assert(t, s.written.String(), qt.Equals, want.String())
	qt.Assert(t, s.longest <= atomicWriteBytes, qt.IsTrue)
	long := bytes.Repeat([]byte("y"), atomicWriteBytes+10)
	qt.Assert(t, chunkLen(append(append(long, '\n'), "more\n"...)), qt.Equals, len(long)+1)
}

// TestFullBuffer checks that Write does not block when the reader is stalled, and
// that dropped lines are counted.
func TestFullBuffer(t *testing.T) {
	s := &slowWriter{allow: make(chan struct{})}
	w := New(s)
	line := bytes.Repeat([]byte("z"), 1023)
	line = append(line, '\n')
	for range 3 * maxBufferedBytes / len(line) {
		n, err := w.Write(line)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, len(line))
	}
	w.mu.Lock()
	dropped := w.dropped
	w.mu.Unlock()
	qt.Assert(t, dropped >= maxBufferedBytes/len(line), qt.IsTrue)
	close(s.allow)
	w.Close()
	w = New(s)
	w.dropped = dropped
	w.Write([]byte("next\n")) //nolint:errcheck // Write never returns an error.
	w.Close()
	qt.Assert(t, s.written.String(), qt.Contains, fmt.Sprintf("msg=log_lines_dropped count=%d\nnext\n", dropped))
}
