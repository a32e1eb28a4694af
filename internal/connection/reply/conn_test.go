package reply

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// endingConn is a connection that its peer ends behind an answer. Its writes fail after a time, or
// block if that is negative.
type endingConn struct {
	net.Conn
	answer      string
	writeFailed time.Duration
}

func (c *endingConn) Read(b []byte) (int, error) {
	if c.answer == "" {
		return 0, io.EOF
	}
	n := copy(b, c.answer)
	c.answer = c.answer[n:]
	return n, nil
}

func (c *endingConn) Write(b []byte) (int, error) {
	if c.writeFailed < 0 {
		time.Sleep(time.Hour)
		return len(b), nil
	}
	time.Sleep(c.writeFailed)
	return 0, syscall.ECONNRESET
}

// TestEndWhileWriting checks whether the end of a connection counts as that of its answer, by the
// time at which a write fails.
func TestEndWhileWriting(t *testing.T) {
	for _, test := range []struct {
		name   string
		failed time.Duration
		fault  Fault
	}{
		{"failed_before", 0, Reset},
		{"fails_soon", settleTimeout / 2, Reset},
		{"blocks", -1, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &Conn{Conn: &endingConn{answer: "HTTP/1.1 200 OK\r\n\r\npart", writeFailed: test.failed}}
				qt.Assert(t, c.Begin(nil), qt.IsNil)
				go c.Write([]byte("upload")) //nolint:errcheck // the read reports the failure.
				synctest.Wait()
				begin := time.Now()
				_, err := io.ReadAll(c)
				if test.fault == "" {
					qt.Check(t, err, qt.IsNil)
				} else {
					qt.Check(t, FaultOf(err), qt.Equals, test.fault)
					qt.Check(t, errors.Is(err, syscall.ECONNRESET), qt.IsTrue)
				}
				qt.Check(t, time.Since(begin) <= settleTimeout, qt.IsTrue)
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// TestEnd checks the error of a connection that ends without a write that failed.
func TestEnd(t *testing.T) {
	for text, want := range map[string]error{
		"":                             nil,
		"HTTP/1.1 200 OK\r\n\r\n":      nil,
		"H":                            io.ErrUnexpectedEOF,
		"HTTP/1.1 200 OK\r\n\r":        io.ErrUnexpectedEOF,
		"HTTP/1.1 103 Early Hints\r\n": io.ErrUnexpectedEOF,
	} {
		c := &Conn{Conn: &endingConn{answer: text}}
		qt.Assert(t, c.Begin(nil), qt.IsNil)
		_, err := io.ReadAll(c)
		if want == nil {
			qt.Check(t, err, qt.IsNil, qt.Commentf("%q", text))
			continue
		}
		qt.Check(t, err, qt.ErrorIs, want, qt.Commentf("%q", text))
		qt.Check(t, FaultOf(err), qt.Equals, HeadCut, qt.Commentf("%q", text))
	}
}
