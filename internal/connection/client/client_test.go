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

// endpoint accepts connections, reads so many requests on each and then closes
// it without an answer to the last.
func endpoint(t *testing.T, answered int) (address string, seen chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() }) //nolint:errcheck // the test is over.
	seen = make(chan string, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, answered, seen)
		}
	}()
	return "http://" + listener.Addr().String(), seen
}

func serve(conn net.Conn, answered int, seen chan string) {
	defer conn.Close() //nolint:errcheck // the point of the test.
	reader := bufio.NewReader(conn)
	for i := range answered + 1 {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body) //nolint:errcheck // the body is the test's own.
		seen <- req.Method
		if i == answered {
			return
		}
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) //nolint:errcheck // seen by the caller.
	}
}

func do(t *testing.T, o *Client, method, url, body string) (sent bool, err error) {
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set("Idempotency-Key", "k")
	resp, sent, err := o.Do(req)
	if err == nil {
		resp.Body.Close() //nolint:errcheck // empty.
	}
	return sent, err
}

// TestNeverRepeats lets a kept connection close under a request that net/http
// would repeat by itself, and checks that it is seen once.
func TestNeverRepeats(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, body := range []string{"", "x"} {
			url, seen := endpoint(t, 1)
			o := &Client{}
			sent, err := do(t, o, method, url, body)
			qt.Assert(t, sent && err == nil, qt.IsTrue)
			sent, err = do(t, o, method, url, body)
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%s with body %q", method, body))
			qt.Assert(t, sent, qt.IsTrue)
			qt.Assert(t, seen, qt.HasLen, 2)
		}
	}
}

// TestNotSent checks that a refused connection counts as not sent.
func TestNotSent(t *testing.T) {
	refused := errors.New("refused")
	o := &Client{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, refused }}
	sent, err := do(t, o, http.MethodPost, "http://nowhere", "x")
	qt.Assert(t, err, qt.ErrorIs, refused)
	qt.Assert(t, sent, qt.IsFalse)
}
