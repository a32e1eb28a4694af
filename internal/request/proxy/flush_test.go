package proxy

import (
	"bufio"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHasEvent guards against an event that is kept back while its successor has not arrived
// whole, and against a write for each of several events that arrived together.
func TestHasEvent(t *testing.T) {
	for _, c := range []struct {
		rest     string
		isWanted bool
	}{
		{"", false},
		{"id: 2", false},
		{"id: 2\ndata: y\n", false},
		{"id: 2\ndata: y\n\n", true},
		{"id: 2\r\ndata: y\r\n\r\n", true},
		{"id: 2\ndata: y\n\nid: 3", true},
	} {
		r := bufio.NewReaderSize(strings.NewReader("id: 1\ndata: x\n\n"+c.rest), eventBufferBytes)
		_, err := readEvent(r, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, hasEvent(r), qt.Equals, c.isWanted, qt.Commentf("%q", c.rest))
	}
}
