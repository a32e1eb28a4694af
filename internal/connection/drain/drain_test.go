package drain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// gatedListener lets the server accept no connection until open is closed, as on a machine
// without a free processor.
type gatedListener struct {
	*net.TCPListener
	open <-chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.open
	return l.TCPListener.Accept()
}

// TestShutdownAnswersNewConnections guards against requests that a stopping server neither runs nor
// refuses: their connections wait to be accepted when it shuts down.
func TestShutdownAnswersNewConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	open := make(chan struct{})
	s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		io.WriteString(w, "done") //nolint:errcheck // the caller checks the answer.
	})})
	served := make(chan error, 1)
	go func() { served <- s.HTTP.Serve(s.Listener(&gatedListener{l.(*net.TCPListener), open})) }()
	var conns []net.Conn
	for range 20 {
		c, err := net.Dial("tcp", l.Addr().String()) //nolint:noctx // it is local.
		qt.Assert(t, err, qt.IsNil)
		defer c.Close() //nolint:errcheck // the test is over.
		fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		conns = append(conns, c)
	}
	stopped := make(chan error, 1)
	started := make(chan struct{})
	go func() {
		close(started)
		stopped <- s.Shutdown(context.Background())
	}()
	<-started
	close(open)
	for i, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("connection %d", i))
		body, err := io.ReadAll(resp.Body)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(body), qt.Equals, "done")
	}
	qt.Check(t, <-stopped, qt.IsNil)
	qt.Check(t, <-served, qt.Equals, http.ErrServerClosed)
	_, err = net.Dial("tcp", l.Addr().String()) //nolint:noctx // it is local.
	qt.Check(t, err, qt.IsNotNil)
}

// TestShutdownWithoutConnections checks that a server without connections stops, also before
// Serve is called.
func TestShutdownWithoutConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := New(&http.Server{Handler: http.NotFoundHandler()})
	served := make(chan error, 1)
	go func() { served <- s.HTTP.Serve(s.Listener(l)) }()
	qt.Check(t, s.Shutdown(context.Background()), qt.IsNil)
	qt.Check(t, <-served, qt.Equals, http.ErrServerClosed)
}
