package guard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/pipes"
)

// testPort is a port with a server on in-memory connections.
type testPort struct {
	*Port
	t       *testing.T
	network pipes.Network
}

// servePort runs a test in a bubble with a server of h within limits.
func servePort(t *testing.T, limits Limits, h http.HandlerFunc, test func(t *testing.T, p *testPort)) {
	synctest.Test(t, func(t *testing.T) {
		p := &testPort{Port: &Port{Name: "test", limits: limits, HeaderBytes: func() int64 { return siteHeaderBytes }}, t: t}
		l, err := p.network.Listen("node:80")
		qt.Assert(t, err, qt.IsNil)
		server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
		protected := p.Protect(server, l)
		go server.Serve(protected) //nolint:errcheck // it ends with the test.
		test(t, p)
		server.Close() //nolint:errcheck // the test is over.
		synctest.Wait()
		time.Sleep(time.Minute)
		qt.Check(t, p.Stats().Open, qt.Equals, 0)
		qt.Check(t, p.Stats().HeldHeadBytes, qt.Equals, int64(0))
		qt.Check(t, p.Stats().Answering, qt.Equals, 0)
	})
}

// siteHeaderBytes is the limit on heads of all sites.
const siteHeaderBytes = 16384

func ok(http.ResponseWriter, *http.Request) {}

// client is one connection to the port.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (p *testPort) dial() *client {
	c, err := p.network.Dial("caller")(p.t.Context(), "tcp", "node:80")
	qt.Assert(p.t, err, qt.IsNil)
	return &client{c, p.t, bufio.NewReader(c)}
}

// send sends a text, in the background since nothing may read it. All that follows from it has
// happened when it returns.
func (c *client) send(text string) {
	go io.WriteString(c, text) //nolint:errcheck // the port may close the connection.
	synctest.Wait()
}

// answer returns the next answer, nil if there is none.
func (c *client) answer() *http.Response {
	c.SetReadDeadline(time.Now().Add(time.Second)) //nolint:errcheck // pipes have deadlines.
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil
	}
	io.Copy(io.Discard, resp.Body) //nolint:errcheck // the length is known.
	synctest.Wait()
	return resp
}

func (c *client) checkStatus(want int) *http.Response {
	c.t.Helper()
	resp := c.answer()
	qt.Assert(c.t, resp, qt.IsNotNil)
	qt.Check(c.t, resp.StatusCode, qt.Equals, want)
	if want == http.StatusServiceUnavailable {
		qt.Check(c.t, resp.Header.Get("Retry-After"), qt.Equals, "1")
	}
	return resp
}

// isClosed reports whether the port has closed the connection.
func (c *client) isClosed() bool {
	c.SetReadDeadline(time.Now().Add(time.Millisecond)) //nolint:errcheck // pipes have deadlines.
	_, err := c.Read(make([]byte, 1))
	timeout, isTimeout := err.(net.Error) //nolint:errorlint // pipes do not wrap.
	return err != nil && !(isTimeout && timeout.Timeout())
}

const ordinary = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// lines returns header lines of n bytes together. The last one is as long as is left.
func lines(n int, line func(i int) string) string {
	var b strings.Builder
	for i, next := 0, line(0); b.Len()+len(next)+len("P:\r\n") <= n; i++ {
		b.WriteString(next)
		next = line(i + 1)
	}
	return b.String() + "P:" + strings.Repeat(" ", n-b.Len()-len("P:\r\n")) + "\r\n"
}

// TestLongestLawfulHead guards against limits that a client within those of the settings meets in
// calm: the head has as many bytes as the sites allow, in lines of any length, and the process has
// as little memory as that of the smallest site.
func TestLongestLawfulHead(t *testing.T) {
	const smallestMemory, smallestDescriptors = 134 << 20, 4100
	start := "GET / HTTP/1.1\r\nHost: h\r\n"
	room := siteHeaderBytes - len(start) - len("\r\n")
	heads := map[string]string{
		"one line":              "X: " + strings.Repeat("v", room-len("X: \r\n")) + "\r\n",
		"lines of four bytes":   lines(room, func(int) string { return "x:\r\n" }),
		"lines of three bytes":  lines(room, func(int) string { return "x:\n" }),
		"lines of other names":  lines(room, func(i int) string { return fmt.Sprintf("%x:\r\n", i) }),
		"lines of usual length": lines(room, func(i int) string { return fmt.Sprintf("X-Header-Number-%d: some value\r\n", i) }),
	}
	for name, share := range map[string]Share{"caller": CallerShare, "directory": DirectoryShare, "operator": OperatorShare} {
		for kind, head := range heads {
			t.Run(name+" "+kind, func(t *testing.T) {
				qt.Assert(t, len(start+head+"\r\n"), qt.Equals, siteHeaderBytes)
				servePort(t, share.limits(smallestMemory, smallestDescriptors), ok, func(_ *testing.T, p *testPort) {
					c := p.dial()
					for range 3 {
						c.send(start + head + "\r\n")
						c.checkStatus(http.StatusOK)
					}
				})
			})
		}
	}
}

// TestHeaderTooLarge guards against a head beyond the limit that is read on, or whose client is
// not told.
func TestHeaderTooLarge(t *testing.T) {
	servePort(t, Limits{8, 8 << 20}, ok, func(t *testing.T, p *testPort) {
		c := p.dial()
		c.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("x:\r\n", 16384))
		c.checkStatus(http.StatusRequestHeaderFieldsTooLarge)
		qt.Check(t, p.Stats().HeldHeadBytes, qt.Equals, int64(0))
		qt.Check(t, p.Stats().GivenUp[HeaderTooLarge], qt.Equals, int64(1))
		time.Sleep(refusalTimeout + lingerTime + time.Millisecond) // the client may read just before the first one.
		qt.Check(t, c.isClosed(), qt.IsTrue)
	})
}

// TestPlaceNeeded guards against clients that keep ordinary ones out by connections on which
// nothing happens: silent ones, between requests, in a head and in a body.
func TestPlaceNeeded(t *testing.T) {
	readAll := func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) } //nolint:errcheck // the test checks who is closed.
	for name, start := range map[string]string{
		"silent": "", "in_head": "GET / HTTP/1.1\r\nX: ", "between": ordinary,
		"in_body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n", "in_chunks": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			servePort(t, Limits{4, 1 << 20}, readAll, func(t *testing.T, p *testPort) {
				var crowd []*client
				for range 4 {
					c := p.dial()
					c.send(start)
					if name == "between" {
						c.checkStatus(http.StatusOK)
					}
					crowd = append(crowd, c)
					time.Sleep(requestGrace)
				}
				for i := range 3 {
					c := p.dial()
					c.send(ordinary)
					c.checkStatus(http.StatusOK)
					qt.Check(t, crowd[0].isClosed(), qt.IsTrue)
					qt.Check(t, p.Stats().Open, qt.Equals, 4)
					crowd = crowd[1:]
					qt.Check(t, crowd[0].isClosed(), qt.IsFalse, qt.Commentf("after %d", i))
				}
				qt.Check(t, p.Stats().GivenUp[PlaceNeeded], qt.Equals, int64(3))
			})
		})
	}
}

// TestNewConnectionHasTime guards against clients that open connections so fast that none is open
// until its request has come.
func TestNewConnectionHasTime(t *testing.T) {
	servePort(t, Limits{4, 1 << 20}, ok, func(t *testing.T, p *testPort) {
		start := time.Now()
		var open []*client
		opened := make(chan *client)
		go func() {
			for range 40 {
				opened <- p.dial()
			}
			close(opened)
		}()
		for c := range opened {
			open = append(open, c)
		}
		qt.Check(t, time.Since(start) >= 8*minWait, qt.IsTrue)
		c := open[len(open)-1]
		c.send(ordinary)
		c.checkStatus(http.StatusOK)
		qt.Check(t, open[0].isClosed(), qt.IsTrue)
	})
}

// TestPlaceOfBusyClient guards against clients that send request after request, and keep new ones
// out: their connections end with an answer.
func TestPlaceOfBusyClient(t *testing.T) {
	servePort(t, Limits{2, 1 << 20}, ok, func(t *testing.T, p *testPort) {
		busy := p.dial()
		busy.send(ordinary)
		qt.Check(t, busy.checkStatus(http.StatusOK).Close, qt.IsFalse)
		p.mu.Lock()
		p.hasNewcomer = true
		p.mu.Unlock()
		busy.send(ordinary)
		qt.Check(t, busy.checkStatus(http.StatusOK).Close, qt.IsTrue)
		qt.Check(t, busy.isClosed(), qt.IsTrue)
	})
}

// TestDrippedBody guards against a client that keeps its place by a byte now and then.
func TestDrippedBody(t *testing.T) {
	readAll := func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) } //nolint:errcheck // the test checks who is closed.
	servePort(t, Limits{2, 1 << 20}, readAll, func(t *testing.T, p *testPort) {
		dripping, sending := p.dial(), p.dial()
		for _, c := range []*client{dripping, sending} {
			c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n")
		}
		for range 4 {
			time.Sleep(requestGrace / 2)
			dripping.send("x")
			sending.send(strings.Repeat("x", progressBytes))
		}
		c := p.dial()
		c.send(ordinary)
		c.checkStatus(http.StatusOK)
		qt.Check(t, dripping.isClosed(), qt.IsTrue)
		qt.Check(t, sending.isClosed(), qt.IsFalse)
	})
}

// TestHeadsFull guards against heads that together cost more than their budget, and against one
// that keeps smaller ones out. The largest goes first; ordinary heads need none of the budget.
func TestHeadsFull(t *testing.T) {
	head := func(n int) string { return "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("x:\r\n", n) }
	servePort(t, Limits{8, 3 * headCost(4000, 1000)}, ok, func(t *testing.T, p *testPort) {
		large, medium := p.dial(), p.dial()
		large.send(head(2000))
		medium.send(head(900))
		c := p.dial()
		c.send(ordinary)
		c.checkStatus(http.StatusOK)
		qt.Check(t, large.isClosed(), qt.IsFalse)
		small := p.dial()
		small.send(head(800) + "\r\n")
		small.checkStatus(http.StatusOK)
		qt.Check(t, large.isClosed(), qt.IsTrue)
		larger := p.dial()
		larger.send(head(2500))
		larger.checkStatus(http.StatusServiceUnavailable)
		qt.Check(t, medium.isClosed(), qt.IsFalse)
		qt.Check(t, p.Stats().GivenUp[HeadsFull], qt.Equals, int64(2))
	})
}

// TestHeadIsHeld guards against a head that is no longer counted while its request is answered.
func TestHeadIsHeld(t *testing.T) {
	var release chan struct{}
	wait := func(http.ResponseWriter, *http.Request) { <-release }
	servePort(t, Limits{8, 3 * headCost(4000, 1000)}, wait, func(t *testing.T, p *testPort) {
		release = make(chan struct{})
		c := p.dial()
		c.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("x:\r\n", 1000) + "\r\n")
		qt.Check(t, p.Stats().HeldHeadBytes > headCost(0, 1000), qt.IsTrue)
		close(release)
		c.checkStatus(http.StatusOK)
		qt.Check(t, p.Stats().HeldHeadBytes, qt.Equals, int64(0))
	})
}

// TestPipelinedHead guards against a head that net/http has read with the request before it, and
// against a body that is taken for a head.
func TestPipelinedHead(t *testing.T) {
	next := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("x:\r\n", 900)
	readAll := func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) } //nolint:errcheck // the test checks what is held.
	servePort(t, Limits{8, 8 << 20}, readAll, func(t *testing.T, p *testPort) {
		c := p.dial()
		c.send(ordinary + next)
		c.checkStatus(http.StatusOK)
		c.send("x:\r\n")
		qt.Check(t, p.Stats().HeldHeadBytes > headCost(0, 900), qt.IsTrue)
		c.send("\r\n")
		c.checkStatus(http.StatusOK)
		body := strings.Repeat("\n", 2000)
		for range 2 {
			c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
			c.checkStatus(http.StatusOK)
		}
		c.send("GET / HTTP/1.1\r\n")
		qt.Check(t, p.Stats().HeldHeadBytes, qt.Equals, int64(0))
	})
}

// TestWaitsForNode guards against giving up a connection whose request has come, while the node, on a
// machine without a free processor, has read it and not yet begun to answer.
func TestWaitsForNode(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()  //nolint:errcheck // the test is over.
	defer remote.Close() //nolint:errcheck // the test is over.
	p := &Port{limits: Limits{1, 1 << 20}}
	c := p.admit(local)
	later := c.since.Add(time.Hour)
	victim, retry := p.waiting.choose(later)
	qt.Check(t, victim, qt.IsNil)
	qt.Check(t, retry, qt.Equals, lookInterval)
	c.setInRead(true)
	victim, _ = p.waiting.choose(later)
	qt.Check(t, victim, qt.Equals, c)
	c.setInRead(false)
	p.wait(c, waitsForBody)
	victim, _ = p.waiting.choose(later)
	qt.Check(t, victim, qt.IsNil)
}

// TestBlankLineWithinHead guards against heads that are not counted behind a line that only looks
// blank to the port: the end of a line whose beginning came with the request before, and one
// before the request line, which net/http skips behind a POST.
func TestBlankLineWithinHead(t *testing.T) {
	readAll := func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) } //nolint:errcheck // the test checks what is held.
	many := strings.Repeat("x:\r\n", 1000)
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	for name, parts := range map[string][]string{
		"end of a line":     {ordinary + "GET / HTTP/1.1\r\nHost: h\r\nX: y", "\r\n" + many},
		"before the line":   {chunked, "\r\n", "GET / HTTP/1.1\r\nHost: h\r\n" + many},
		"together":          {chunked, "\r\nGET / HTTP/1.1\r\nHost: h\r\n" + many},
		"before its end":    {ordinary + "GET / HTTP/1.1\r\nHost: h\r\n\r", "\n" + ordinary + "GET / HTTP/1.1\r\nHost: h\r\n" + many},
		"with the body":     {chunked + "\r\nGET / HTTP/1.1\r\nHost: h\r\n", many},
		"in the first head": {"GET / HTTP/1.1\r\nHost: h\r\n" + many},
	} {
		t.Run(name, func(t *testing.T) {
			servePort(t, Limits{8, 8 << 20}, readAll, func(t *testing.T, p *testPort) {
				c := p.dial()
				for _, part := range parts {
					c.send(part)
					if strings.HasPrefix(part, chunked) || strings.HasPrefix(part, ordinary) {
						c.checkStatus(http.StatusOK)
					}
					if strings.HasPrefix(part, "\n") {
						c.checkStatus(http.StatusOK)
						c.checkStatus(http.StatusOK)
					}
				}
				c.send(strings.Repeat("y:\r\n", 100))
				qt.Check(t, p.Stats().HeldHeadBytes >= headCost(0, 1000), qt.IsTrue, qt.Commentf("%d bytes", p.Stats().HeldHeadBytes))
				c.send(strings.Repeat("y:\r\n", siteHeaderBytes))
				c.checkStatus(http.StatusRequestHeaderFieldsTooLarge)
			})
		})
	}
}

// TestAllAnswering guards against requests in progress that take all places, so that new clients
// are not even refused, and against answers that nobody reads.
func TestAllAnswering(t *testing.T) {
	var release chan struct{}
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/wait":
			<-release
		case "/large":
			io.WriteString(w, strings.Repeat("x", 64<<10)) //nolint:errcheck // the client does not read.
		}
	}
	servePort(t, Limits{16, 1 << 20}, handler, func(t *testing.T, p *testPort) {
		release = make(chan struct{})
		unread := p.dial()
		unread.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
		for range 13 {
			p.dial().send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		qt.Check(t, p.Stats().Answering, qt.Equals, 14)
		refused := p.dial()
		refused.send(ordinary)
		refused.checkStatus(http.StatusServiceUnavailable)
		time.Sleep(answerGrace)
		c := p.dial()
		c.send(ordinary)
		c.checkStatus(http.StatusOK)
		qt.Check(t, unread.isClosed(), qt.IsTrue)
		qt.Check(t, p.Stats().GivenUp[PlaceNeeded], qt.Equals, int64(1))
		close(release)
		synctest.Wait()
	})
}

// TestNoPlaceForBody guards against requests that take places by bodies beyond those which
// requests in progress may have.
func TestNoPlaceForBody(t *testing.T) {
	var release chan struct{}
	var readErr error
	handler := func(_ http.ResponseWriter, r *http.Request) {
		if _, readErr = io.ReadAll(r.Body); readErr == nil {
			<-release
		}
	}
	servePort(t, Limits{2, 1 << 20}, handler, func(t *testing.T, p *testPort) {
		release = make(chan struct{})
		p.limits.Connections = 8
		for range 7 {
			p.dial().send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		c := p.dial()
		c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
		qt.Check(t, readErr, qt.Equals, ErrNoPlace)
		close(release)
		synctest.Wait()
	})
}

// TestTrailersAreDropped guards against trailers that are kept while a request is answered.
func TestTrailersAreDropped(t *testing.T) {
	var request *http.Request
	handler := func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) //nolint:errcheck // the test checks the trailers.
		request = r
	}
	servePort(t, Limits{8, 1 << 20}, handler, func(t *testing.T, p *testPort) {
		c := p.dial()
		c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: 1\r\nB: 2\r\n\r\n")
		c.checkStatus(http.StatusOK)
		qt.Check(t, request.Trailer, qt.HasLen, 0)
	})
}

// TestReportsAreBounded guards against a log line for each client that is given up.
func TestReportsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reports, given := 0, int64(0)
		p := &Port{Report: func(r Report) { reports++; given += r.Count }}
		for range 1000 {
			p.record(PlaceNeeded, 1)
			time.Sleep(reportInterval / 100)
		}
		qt.Check(t, reports, qt.Equals, 10)
		qt.Check(t, given, qt.Equals, int64(901))
		qt.Check(t, p.Stats().GivenUp[PlaceNeeded], qt.Equals, int64(1000))
	})
}

// TestLimits checks the limits that follow from memory and descriptors, and those without stated
// memory.
func TestLimits(t *testing.T) {
	qt.Check(t, CallerShare.limits(284<<20, 4100), qt.Equals, Limits{1454, 11911823})
	qt.Check(t, CallerShare.limits(284<<20, 1200), qt.Equals, Limits{400, 11911823})
	qt.Check(t, OperatorShare.limits(64<<20, 512), qt.Equals, Limits{minConnections, minHeadBytes})
	qt.Check(t, CallerShare.limits(0, 1<<20), qt.Equals, CallerShare.limits(defaultMemoryBytes, 1<<20))
	qt.Check(t, Descriptors(100), qt.Equals, 100)
	qt.Check(t, Descriptors(0) > 0, qt.IsTrue)
}
