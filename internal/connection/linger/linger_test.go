package linger_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/linger"
	"goldcrestwick/internal/stand/pipes"
)

// TestScripts runs each line of testdata/answers.txt. In each case, the caller must
// receive the complete answer, including one that is sent before the body is read,
// and the connection must then be open or closed as the line specifies.
func TestScripts(t *testing.T) {
	raw, err := os.ReadFile("testdata/answers.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		t.Run(strings.ReplaceAll(strings.TrimSpace(line), " ", "_"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScript(t, strings.Fields(line)) })
		})
	}
}

func runScript(t *testing.T, fields []string) {
	handler, connection, want := fields[0], fields[1], fields[4]
	length, err := strconv.Atoi(fields[2])
	qt.Assert(t, err, qt.IsNil)
	sendBytes, err := strconv.Atoi(fields[3])
	qt.Assert(t, err, qt.IsNil)

	network := &pipes.Network{}
	l, err := network.Listen("node:80")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: linger.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if handler == "async" {
			go io.Copy(io.Discard, r.Body) //nolint:errcheck // like a connection to which the body is proxied.
			time.Sleep(time.Millisecond)
		}
		if handler == "reads" {
			http.NewResponseController(w).SetReadDeadline(time.Time{}) //nolint:errcheck // the caller detects a failure.
			io.Copy(io.Discard, r.Body)                                //nolint:errcheck // the caller detects a failure.
		}
		w.Header().Set("Content-Length", "12")
		w.WriteHeader(http.StatusUnauthorized)
		fmt.Fprint(w, "no such key\n") //nolint:errcheck // the caller detects a failure.
	}))}
	go server.Serve(l)   //nolint:errcheck // returns when the test ends.
	defer server.Close() //nolint:errcheck // the test has ended.

	conn, err := network.Dial("caller")(t.Context(), "tcp", "node:80")
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close() //nolint:errcheck // the test has ended.
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n", connection, length)
	qt.Assert(t, err, qt.IsNil)
	start := time.Now()
	written := make(chan error, 1)
	send := func() {
		_, err := conn.Write(make([]byte, sendBytes))
		written <- err
	}
	if handler != "unread" {
		go send()
	}
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusUnauthorized)
	qt.Assert(t, string(body), qt.Equals, "no such key\n")
	qt.Assert(t, time.Since(start) <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("the answer came after %v", time.Since(start)))
	if handler == "unread" {
		go send()
	}
	qt.Assert(t, <-written, qt.IsNil)
	checkReuse(t, conn, reader, want)
}

// checkReuse checks whether the connection serves another request.
func checkReuse(t *testing.T, conn net.Conn, reader *bufio.Reader, want string) {
	go fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") //nolint:errcheck // the caller detects a failure.
	resp, err := http.ReadResponse(reader, nil)
	if want == "closed" {
		qt.Assert(t, err, qt.IsNotNil)
		return
	}
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusUnauthorized)
	_, err = io.Copy(io.Discard, resp.Body)
	qt.Assert(t, err, qt.IsNil)
}
