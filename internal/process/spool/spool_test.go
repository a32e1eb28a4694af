package spool

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// slow is a reader that takes one piece each time it is let.
type slow struct {
	mu      sync.Mutex
	let     chan struct{}
	taken   bytes.Buffer
	longest int
}

func (s *slow) Write(b []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longest = max(s.longest, len(b))
	return s.taken.Write(b)
}

// TestPieces checks that lines arrive whole and in order, in pieces that a pipe
// takes at once, and that a long line is not split.
func TestPieces(t *testing.T) {
	s := &slow{let: make(chan struct{})}
	w := New(s)
	var want strings.Builder
	for i := range 500 {
		line := fmt.Sprintf("line %d %s\n", i, strings.Repeat("x", i%90))
		want.WriteString(line)
		w.Write([]byte(line)) //nolint:errcheck // it never fails.
	}
	close(s.let)
	w.Close()
	qt.Assert(t, s.taken.String(), qt.Equals, want.String())
	qt.Assert(t, s.longest <= pieceBytes, qt.IsTrue)
	long := bytes.Repeat([]byte("y"), pieceBytes+10)
	qt.Assert(t, piece(append(append(long, '\n'), "more\n"...)), qt.Equals, len(long)+1)
}

// TestFull checks that a reader that does not read holds up nobody, and that
// dropped lines are counted.
func TestFull(t *testing.T) {
	s := &slow{let: make(chan struct{})}
	w := New(s)
	line := bytes.Repeat([]byte("z"), 1023)
	line = append(line, '\n')
	for range 3 * maxWaiting / len(line) {
		n, err := w.Write(line)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, len(line))
	}
	w.mu.Lock()
	dropped := w.dropped
	w.mu.Unlock()
	qt.Assert(t, dropped >= maxWaiting/len(line), qt.IsTrue)
	close(s.let)
	w.Close()
	w = New(s)
	w.dropped = dropped
	w.Write([]byte("next\n")) //nolint:errcheck // it never fails.
	w.Close()
	qt.Assert(t, s.taken.String(), qt.Contains, fmt.Sprintf("msg=log_lines_dropped count=%d\nnext\n", dropped))
}
