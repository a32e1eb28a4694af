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

// TestScripts plays each line of testdata/answers.txt: an answer is sent early
// and read whole before the caller writes its body.
func TestScripts(t *testing.T) {
	raw, err := os.ReadFile("testdata/answers.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		t.Run(strings.ReplaceAll(strings.TrimSpace(line), " ", "_"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, strings.Fields(line)) })
		})
	}
}

func play(t *testing.T, words []string) {
	reads, connection, want := words[0], words[1], words[4]
	length, err := strconv.Atoi(words[2])
	qt.Assert(t, err, qt.IsNil)
	sends, err := strconv.Atoi(words[3])
	qt.Assert(t, err, qt.IsNil)

	network := &pipes.Net{}
	l, err := network.Listen("node:80")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: linger.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if reads == "aside" {
			go io.Copy(io.Discard, r.Body) //nolint:errcheck // as a connection that the body is passed on to.
			time.Sleep(time.Millisecond)
		}
		if reads == "reads" {
			http.NewResponseController(w).SetReadDeadline(time.Time{}) //nolint:errcheck // seen at the answer.
			io.Copy(io.Discard, r.Body)                                //nolint:errcheck // seen at the answer.
		}
		w.Header().Set("Content-Length", "12")
		w.WriteHeader(http.StatusUnauthorized)
		fmt.Fprint(w, "no such key\n") //nolint:errcheck // seen at the caller.
	}))}
	go server.Serve(l)   //nolint:errcheck // ends with the test.
	defer server.Close() //nolint:errcheck // ends the test.

	conn, err := network.Dial("caller")(t.Context(), "tcp", "node:80")
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close() //nolint:errcheck // ends the test.
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n", connection, length)
	qt.Assert(t, err, qt.IsNil)
	began := time.Now()
	written := make(chan error, 1)
	send := func() {
		_, err := conn.Write(make([]byte, sends))
		written <- err
	}
	if reads != "unread" {
		go send()
	}
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	qt.Assert(t, err, qt.IsNil)
	text, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusUnauthorized)
	qt.Assert(t, string(text), qt.Equals, "no such key\n")
	qt.Assert(t, time.Since(began) <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("the answer came after %v", time.Since(began)))
	if reads == "unread" {
		go send()
	}
	qt.Assert(t, <-written, qt.IsNil)
	checkAfter(t, conn, in, want)
}

// checkAfter checks whether the connection can be used again.
func checkAfter(t *testing.T, conn net.Conn, in *bufio.Reader, want string) {
	go fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") //nolint:errcheck // seen at the answer.
	resp, err := http.ReadResponse(in, nil)
	if want == "closed" {
		qt.Assert(t, err, qt.IsNotNil)
		return
	}
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusUnauthorized)
	_, err = io.Copy(io.Discard, resp.Body)
	qt.Assert(t, err, qt.IsNil)
}
