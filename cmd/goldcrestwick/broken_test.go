package main

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/broken"
)

// TestBrokenNodeAnswers sends each answer of package broken to a command that queries a node.
func TestBrokenNodeAnswers(t *testing.T) {
	defer nodeClient.CloseIdleConnections()
	for _, a := range append(broken.Answers(), broken.HeadCuts("")...) {
		t.Run(a.Name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close() //nolint:errcheck // the test is over.
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go broken.Serve(c, a.KeepsOpen, nil, a.Text("", "the whole answer"))
				}
			}()
			raw, err := queryNode(t.Context(), l.Addr().String(), "/x", "")
			if a.Fault == "" {
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, string(raw), qt.Equals, "the whole answer")
				return
			}
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", raw))
		})
	}
}
