package engine

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/batch"
)

// TestSlowReaderMissesEvents checks that a caller that reads slowly gets all events, though
// the engine has generated several of them meanwhile.
func TestSlowReaderMissesEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{
			ID: "e", TokensPerEvent: 6, NextBehaviour: func() Behaviour { return Behaviour{} },
			Batch: &batch.Engine{Slots: 1, CacheTokens: 1000, StepTime: time.Millisecond},
		}
		near, far := net.Pipe()
		go e.Serve(far)
		_, err := fmt.Fprintf(near, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n%s: 10,57\r\n\r\n", TokenCountsHeader)
		qt.Assert(t, err, qt.IsNil)
		var text strings.Builder
		buffer := make([]byte, 16)
		for !strings.HasSuffix(text.String(), "0\r\n\r\n") {
			n, err := near.Read(buffer)
			qt.Assert(t, err, qt.IsNil)
			text.Write(buffer[:n])
			time.Sleep(7 * time.Millisecond)
		}
		qt.Check(t, strings.Count(text.String(), "id: "), qt.Equals, 10)
		near.Close()              //nolint:errcheck // the test is over.
		io.Copy(io.Discard, near) //nolint:errcheck // it is closed.
	})
}
