package proxy

import (
	"bufio"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReadEventLongLines checks that a line longer than the read buffer is one
// line: its text cannot set the event's identifier, and a line that just fills the
// buffer does not end the event.
func TestReadEventLongLines(t *testing.T) {
	for _, length := range []int{eventBufferBytes - 1, eventBufferBytes, eventBufferBytes + 1, 3 * eventBufferBytes} {
		for _, rest := range []string{"id: 9\ndata: y\n\n", "\ndata: y\n\n"} {
			comment := qt.Commentf("%d bytes, then %q", length, rest)
			text := "data: " + strings.Repeat("x", length-len("data: ")) + rest
			r := bufio.NewReaderSize(strings.NewReader(text), eventBufferBytes)
			e, err := readEvent(r, nil)
			qt.Assert(t, err, qt.IsNil, comment)
			qt.Check(t, e.hasID, qt.IsFalse, comment)
			qt.Check(t, string(e.raw), qt.Equals, text, comment)
			_, err = readEvent(r, nil)
			qt.Check(t, err, qt.Equals, io.EOF, comment)
		}
	}
}
