package conn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startServer starts a server that sends the given answers, in order, to the
// requests of each connection. It sends the server side of each connection to
// serverConns.
func startServer(t *testing.T, answers ...string) (address string, serverConns <-chan net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() }) //nolint:errcheck // the test has ended.
	conns := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
			go func() {
				buffer := make([]byte, 4096)
				for _, answer := range answers {
					if _, err := c.Read(buffer); err != nil {
						return
					}
					io.WriteString(c, answer) //nolint:errcheck // the assertions detect a failure.
				}
			}()
		}
	}()
	return l.Addr().String(), conns
}

// exchange sends a request and returns the body of the answer.
func exchange(t *testing.T, c *Conn) string {
	qt.Assert(t, c.Send(RequestHead(http.MethodGet, "/", "h", nil, -1), nil), qt.IsNil)
	resp, err := c.Receive(http.MethodGet)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return string(body)
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestReuse checks that a connection is reused after a complete answer.
func TestReuse(t *testing.T) {
	address, _ := startServer(t, okAnswer, okAnswer)
	p := &Pool{}
	defer p.Close()
	first, err := p.Get(t.Context(), address, "r1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, exchange(t, first), qt.Equals, "ok")
	p.Put(first)
	second, err := p.Get(t.Context(), address, "r1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second, qt.Equals, first)
	qt.Assert(t, second.Reused, qt.IsTrue)
	qt.Assert(t, second.Sent(), qt.IsFalse)
	qt.Assert(t, exchange(t, second), qt.Equals, "ok")
	qt.Assert(t, p.DialCount(), qt.Equals, int64(1))
}

// TestNotReused checks the answers after which a connection must not be reused.
func TestNotReused(t *testing.T) {
	for name, answer := range map[string]string{
		"connection close":  "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"zero idle timeout": "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
		"trailing bytes":    okAnswer + "more",
		"second answer":     okAnswer + okAnswer,
		"half of another":   okAnswer + okAnswer[:len(okAnswer)/2],
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startServer(t, answer, okAnswer)
			p := &Pool{}
			defer p.Close()
			first, err := p.Get(t.Context(), address, "r1")
			qt.Assert(t, err, qt.IsNil)
			exchange(t, first)
			p.Put(first)
			second, err := p.Get(t.Context(), address, "r1")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, second.Reused, qt.IsFalse)
			p.Put(second)
		})
	}
}

// TestDisturbedWhileIdle checks that a connection is not reused if bytes arrive on
// it, or if the endpoint closes it, while it is idle.
func TestDisturbedWhileIdle(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn){
		"bytes": func(c net.Conn) { io.WriteString(c, okAnswer) },     //nolint:errcheck // the assertions detect a failure.
		"half":  func(c net.Conn) { io.WriteString(c, okAnswer[:9]) }, //nolint:errcheck // the assertions detect a failure.
		"close": func(c net.Conn) { c.Close() },                       //nolint:errcheck // the assertions detect a failure.
	} {
		t.Run(name, func(t *testing.T) {
			address, serverConns := startServer(t, okAnswer)
			p := &Pool{}
			defer p.Close()
			c, err := p.Get(t.Context(), address, "r1")
			qt.Assert(t, err, qt.IsNil)
			exchange(t, c)
			p.Put(c)
			disturb(<-serverConns)
			// Wait until the bytes or the close have arrived at this socket.
			for c.isHealthy() {
				continue
			}
			next, err := p.Get(t.Context(), address, "r1")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, next.Reused, qt.IsFalse)
			p.Put(next)
		})
	}
}

// TestNotReusedForRefusedRequest checks that a request which was refused on a connection does not
// get that connection again, on which the endpoint may repeat its refusal, while others do.
func TestNotReusedForRefusedRequest(t *testing.T) {
	address, _ := startServer(t, okAnswer, okAnswer)
	p := &Pool{}
	defer p.Close()
	kept, err := p.Get(t.Context(), address, "r1")
	qt.Assert(t, err, qt.IsNil)
	exchange(t, kept)
	kept.RecordRefused("r1")
	p.Put(kept)
	fresh, err := p.Get(t.Context(), address, "r1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, fresh.Reused, qt.IsFalse)
	p.Put(fresh)
	other, err := p.Get(t.Context(), address, "r2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, other, qt.Equals, kept)
	exchange(t, other)
	for range maxRefused {
		other.RecordRefused("r3")
	}
	p.Put(other)
	qt.Assert(t, p.takeIdle(address, "r4") == nil, qt.IsTrue)
}

// TestNoLength checks that an answer without a length ends when its connection is
// closed, and that informational answers are skipped.
func TestNoLength(t *testing.T) {
	address, serverConns := startServer(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\npart")
	p := &Pool{}
	defer p.Close()
	c, err := p.Get(t.Context(), address, "r1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Send(RequestHead(http.MethodGet, "/", "h", nil, -1), nil), qt.IsNil)
	qt.Assert(t, c.Sent(), qt.IsTrue)
	resp, err := c.Receive(http.MethodGet)
	qt.Assert(t, err, qt.IsNil)
	(<-serverConns).Close() //nolint:errcheck // the assertions detect a failure.
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "part")
	p.Put(c)
	qt.Assert(t, p.takeIdle(address, "r1") == nil, qt.IsTrue)
}

// TestHead checks the encoding of a request's head without its hop-by-hop headers.
func TestHead(t *testing.T) {
	header := EndToEndHeader(http.Header{
		"X-B": {"1", "2"}, "X-A": {"3"}, "Connection": {"x-hop, close"}, "X-Hop": {"4"},
		"Transfer-Encoding": {"chunked"}, "Content-Length": {"7"},
	})
	got := string(RequestHead(http.MethodPost, "/a?b", "h.example", header, 5))
	want := strings.Join([]string{
		"POST /a?b HTTP/1.1", "Host: h.example", "X-A: 3", "X-B: 1", "X-B: 2", "Content-Length: 5", "", "",
	}, "\r\n")
	qt.Assert(t, got, qt.Equals, want)
}

// TestParseKeepAlive checks the idle timeout derived from the header Keep-Alive.
func TestParseKeepAlive(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                   defaultIdleTimeout,
		"timeout=10":         10*time.Second - idleMargin,
		"max=5, timeout = 3": 3*time.Second - idleMargin,
		"timeout=x":          defaultIdleTimeout,
	} {
		qt.Check(t, parseKeepAlive(http.Header{"Keep-Alive": {value}}), qt.Equals, want, qt.Commentf(value))
	}
}
