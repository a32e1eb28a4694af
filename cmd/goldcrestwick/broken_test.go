package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/broken"
)

// TestBrokenNodeAnswers sends each answer of package broken to a command that queries a node.
func TestBrokenNodeAnswers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close() //nolint:errcheck // the test is over.
	defer nodeClient.CloseIdleConnections()
	next := make(chan broken.Answer, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveAnswers(c, next)
		}
	}()
	for _, a := range append(broken.Answers(), broken.HeadCuts("")...) {
		nodeClient.CloseIdleConnections()
		next <- a
		raw, err := queryNode(t.Context(), l.Addr().String(), "/x", "")
		if a.Fault == "" {
			qt.Check(t, err, qt.IsNil, qt.Commentf(a.Name))
			qt.Check(t, string(raw), qt.Equals, "the whole answer", qt.Commentf(a.Name))
			continue
		}
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s: %q", a.Name, raw))
	}
}

// serveAnswers answers one request of a connection by the next answer.
func serveAnswers(c net.Conn, next <-chan broken.Answer) {
	defer c.Close() //nolint:errcheck // the client notices.
	reader := bufio.NewReader(c)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	a := <-next
	io.WriteString(c, a.Text("", "the whole answer")) //nolint:errcheck // the client notices.
	if a.KeepsOpen {
		io.Copy(io.Discard, reader) //nolint:errcheck // blocks until the client closes the connection.
	}
}
