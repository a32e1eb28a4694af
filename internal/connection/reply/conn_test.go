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

// endingConn is a connection that its peer ends behind an answer. Its writes succeed until the time
// failsAt, or block if that is zero.
type endingConn struct {
	net.Conn
	answer  string
	failsAt time.Time
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
	switch {
	case c.failsAt.IsZero():
		time.Sleep(time.Hour)
		return len(b), nil
	case time.Now().Before(c.failsAt):
		return len(b), nil
	}
	return 0, syscall.ECONNRESET
}

// TestEndWhileSending checks whether the end of a connection counts as that of its answer, by what
// becomes of the request that is being sent. Its parts come at intervals.
func TestEndWhileSending(t *testing.T) {
	const interval = time.Millisecond
	for _, test := range []struct {
		name  string
		parts int
		// failsAfter is the time after which writes fail; -1 blocks them.
		failsAfter time.Duration
		fault      Fault
		takes      time.Duration
	}{
		{"failed_before", 1, 0, Reset, 0},
		{"fails_soon", 1000, settleTimeout / 2, Reset, settleTimeout / 2},
		{"fails_late", 1000, 2 * settleTimeout, "", settleTimeout},
		{"blocks", 1, -1, "", settleTimeout},
		{"sent", 1, time.Hour, "", interval},
		{"being_sent", 1000, time.Hour, "", settleTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				ending := &endingConn{answer: "HTTP/1.1 200 OK\r\n\r\npart"}
				if test.failsAfter >= 0 {
					ending.failsAt = begin.Add(test.failsAfter)
				}
				c := &Conn{Conn: ending}
				qt.Assert(t, c.Begin(nil), qt.IsNil)
				c.SetSending(true)
				go func() {
					defer c.SetSending(false)
					for range test.parts {
						if _, err := c.Write([]byte("part")); err != nil {
							return
						}
						time.Sleep(interval)
					}
				}()
				synctest.Wait()
				_, err := io.ReadAll(c)
				qt.Check(t, time.Since(begin), qt.Equals, test.takes)
				if test.fault == "" {
					qt.Check(t, err, qt.IsNil)
				} else {
					qt.Check(t, FaultOf(err), qt.Equals, test.fault)
					qt.Check(t, errors.Is(err, syscall.ECONNRESET), qt.IsTrue)
				}
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

// TestResetNotRecorded guards against a reset that the kernel has reported to a write whose goroutine
// does not run again in time: the read finds the end of the connection.
func TestResetNotRecorded(t *testing.T) {
	for name, isReset := range map[string]bool{"reset": true, "closed": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close() //nolint:errcheck // the test is over.
			near, err := net.Dial("tcp", l.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer near.Close() //nolint:errcheck // the test is over.
			far, err := l.Accept()
			qt.Assert(t, err, qt.IsNil)
			c := &Conn{Conn: near}
			qt.Assert(t, c.Begin(nil), qt.IsNil)
			_, err = io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\npart")
			qt.Assert(t, err, qt.IsNil)
			if isReset {
				far.(*net.TCPConn).SetLinger(0) //nolint:errcheck,revive // a TCP connection; the read shows a failure.
			}
			qt.Assert(t, far.Close(), qt.IsNil)
			for isReset && err == nil {
				_, err = near.Write([]byte("upload")) // It takes the report of the kernel.
			}
			_, err = io.ReadAll(c)
			if !isReset {
				qt.Check(t, err, qt.IsNil)
				return
			}
			qt.Check(t, FaultOf(err), qt.Equals, Reset)
		})
	}
}
