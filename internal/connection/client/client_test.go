package client

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// startEndpoint starts a server that answers the given number of requests on each
// connection, then reads one more and closes the connection without an answer to
// it. The channel gets the method of each request.
func startEndpoint(t *testing.T, answers int) (address string, methods chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() }) //nolint:errcheck // the test has ended.
	methods = make(chan string, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, answers, methods)
		}
	}()
	return "http://" + listener.Addr().String(), methods
}

func serve(conn net.Conn, answers int, methods chan string) {
	defer conn.Close() //nolint:errcheck // the client detects the close.
	reader := bufio.NewReader(conn)
	for i := range answers + 1 {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body) //nolint:errcheck // the test itself sends the body.
		methods <- req.Method
		if i == answers {
			return
		}
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) //nolint:errcheck // the client detects a failure.
	}
}

// do sends a request that net/http regards as idempotent.
func do(t *testing.T, c *Client, method, url, body string) (sent bool, err error) {
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set("Idempotency-Key", "k")
	resp, sent, err := c.Do(req)
	if err == nil {
		resp.Body.Close() //nolint:errcheck // the body is empty.
	}
	return sent, err
}

// TestNeverRetries closes a reused connection after a request that net/http would
// retry by itself was sent, and checks that the endpoint receives it only once.
func TestNeverRetries(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, body := range []string{"", "x"} {
			url, methods := startEndpoint(t, 1)
			c := &Client{}
			sent, err := do(t, c, method, url, body)
			qt.Assert(t, sent && err == nil, qt.IsTrue)
			sent, err = do(t, c, method, url, body)
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%s with body %q", method, body))
			qt.Assert(t, sent, qt.IsTrue)
			qt.Assert(t, methods, qt.HasLen, 2)
		}
	}
}

// TestNotSent checks that a request is reported as not sent if the dial fails.
func TestNotSent(t *testing.T) {
	errRefused := errors.New("connection refused")
	c := &Client{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errRefused }}
	sent, err := do(t, c, http.MethodPost, "http://nowhere", "x")
	qt.Assert(t, err, qt.ErrorIs, errRefused)
	qt.Assert(t, sent, qt.IsFalse)
}
