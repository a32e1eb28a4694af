package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/conn"
	"goldcrestwick/internal/stand/broken"
	"goldcrestwick/internal/version/config"
)

// uploadBytes is above what the sockets of both ends hold.
const uploadBytes = 4 << 20

// uploadEnd is how an endpoint ends the connection on which it has answered in the middle of an upload.
type uploadEnd struct {
	name string
	end  func(*net.TCPConn, io.Reader)
	// whole has the answers of package broken that are whole nevertheless.
	whole map[string]bool
}

var uploadEnds = []uploadEnd{
	{name: "reset", end: func(c *net.TCPConn, _ io.Reader) {
		c.SetLinger(0) //nolint:errcheck // the test notices.
	}, whole: map[string]bool{}},
	{name: "closed_unread", end: func(c *net.TCPConn, _ io.Reader) {
		c.Read(make([]byte, 1)) //nolint:errcheck // more of the upload is there.
	}, whole: map[string]bool{}},
	{name: "upload_read", end: func(c *net.TCPConn, r io.Reader) {
		c.CloseWrite()         //nolint:errcheck // the test notices.
		io.Copy(io.Discard, r) //nolint:errcheck // until the proxy closes the connection.
	}, whole: map[string]bool{"closed": true, "length": true, "chunks": true, "version_1_0": true}},
	{name: "kept_open", end: func(_ *net.TCPConn, r io.Reader) {
		io.Copy(io.Discard, r) //nolint:errcheck // until the proxy closes the connection.
	}, whole: map[string]bool{"length": true, "chunks": true}},
}

// serveUploads answers each request by the next text before it has read its body, the last one with
// the given end. All others have no body.
func serveUploads(l net.Listener, end func(*net.TCPConn, io.Reader), texts ...string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close() //nolint:errcheck // the proxy notices.
			reader := bufio.NewReader(c)
			for _, text := range texts {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				io.WriteString(c, text) //nolint:errcheck // the proxy notices.
				if req.ContentLength > 0 {
					end(c.(*net.TCPConn), reader) //nolint:revive,errcheck // the listener's connections are of TCP.
				}
			}
		}()
	}
}

// TestAnswerAmidUpload guards against an answer that only its connection ends being taken for whole though
// the connection was reset while the request was being sent.
func TestAnswerAmidUpload(t *testing.T) {
	for _, end := range uploadEnds {
		for _, name := range []string{"closed", "version_1_0", "length", "chunks", "length_cut", "chunks_cut", "cut_in_head", "status_000_closed", "name_length_blank"} {
			if end.name == "kept_open" && !end.whole[name] {
				continue // nothing ends the answer.
			}
			for _, shape := range answerShapes {
				for _, connection := range []string{"new", "kept"} {
					t.Run(end.name+"/"+name+"/"+shape.name+"/"+connection, func(t *testing.T) {
						checkAmidUpload(t, end, name, shape, connection == "kept")
					})
				}
			}
		}
	}
}

func checkAmidUpload(t *testing.T, end uploadEnd, name string, shape answerShape, isKept bool) {
	g := newRawRig(t)
	g.proxy.Conns = &conn.Pool{}
	defer g.proxy.Conns.Close()
	g.route = &config.Route{Kind: shape.kind, MaxAttempts: 2, Resumable: shape.isTakenUp, Timeout: 10 * time.Second, FirstAnswerTarget: time.Second}
	first, body := shape.bodies()
	a, _ := broken.Find(name)
	texts := []string{a.Text(answerFields("r1"), body)}
	if isKept {
		texts = []string{"HTTP/1.1 200 OK\r\n" + answerFields("r0") + "Content-Length: 0\r\n\r\n", texts[0]}
	}
	addresses := map[string]string{}
	listen := func(name string, end func(*net.TCPConn, io.Reader), texts ...string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { l.Close() }) //nolint:errcheck // the test has ended.
		addresses[name] = l.Addr().String()
		go serveUploads(l, end, texts...)
	}
	readAll := func(_ *net.TCPConn, r io.Reader) { io.CopyN(io.Discard, r, uploadBytes) } //nolint:errcheck // the proxy notices.
	listen("a", end.end, texts...)
	listen("start", readAll, "HTTP/1.1 200 OK\r\n"+answerFields("r1")+"Transfer-Encoding: chunked\r\n\r\n"+fmt.Sprintf("%x\r\n%s\r\n", len(first), first))
	listen("b", readAll, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", answerFields("r1"), len(body), body))
	if isKept {
		w, _ := g.send("r0", http.MethodGet, nil, addresses["a"])
		qt.Assert(t, w.Code, qt.Equals, http.StatusOK)
	}
	if shape.isResumed {
		g.lastEventID = 2
	}
	grants := []string{addresses["a"], addresses["b"]}
	if shape.isTakenUp {
		grants = []string{addresses["start"], addresses["a"]}
	}
	w, result := g.send("r1", http.MethodPost, bytes.Repeat([]byte("x"), uploadBytes), grants...)
	at := qt.Commentf("%+v, body %.200q", result, w.Body)
	isWhole := end.whole[name]
	switch {
	case isWhole || shape.isRepeated:
		qt.Check(t, result.Refusal == nil && !result.Truncated, qt.IsTrue, at)
		qt.Check(t, w.Body.String(), qt.Equals, first+body, at)
	case a.Fault == "" && (name == "length" || name == "chunks") && result.Refusal == nil && !result.Truncated:
		// The whole answer may come before the connection ends.
		qt.Check(t, w.Body.String(), qt.Equals, first+body, at)
	default:
		qt.Check(t, result.Refusal != nil && result.Refusal.MayHaveRun() || result.Truncated, qt.IsTrue, at)
	}
}
