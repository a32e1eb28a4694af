package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/conn"
	"goldcrestwick/internal/process/budget"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/memory"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/entry"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/stand/engine"
	"goldcrestwick/internal/stand/pipes"
	"goldcrestwick/internal/version/config"
)

// unreadTimeout is the time after which the endpoints of slowNode usually cut off an answer
// that is not read.
const unreadTimeout = 3 * time.Second

// slowNode is an HTTP server that proxies to endpoints which cut off unread answers, with
// in-memory connections. A request's path is its identifier; its tier is 1 if that begins
// with "low".
type slowNode struct {
	t      *testing.T
	net    pipes.Network
	budget memory.Budget
	proxy  Proxy
	server *http.Server
	// answer is the behaviour of all endpoints.
	answer engine.Behaviour
	kind   config.RouteKind
	body   []byte
	// unread is the time after which endpoints cut off an answer that is not read.
	unread time.Duration
	// bodyPace is the pause of an endpoint before each read.
	bodyPace time.Duration
	// endpoints are the running endpoints.
	endpoints sync.WaitGroup

	mu          sync.Mutex
	results     map[string]Result
	completedAt map[string]time.Time
	givenUp     []string
	// bodyDroppedAt is when a request's body was last dropped before its end.
	bodyDroppedAt time.Time
}

// runSlow runs a test with a node whose budget has a limit, 0 for none.
func runSlow(t *testing.T, limit int64, run func(n *slowNode)) {
	synctest.Test(t, func(t *testing.T) {
		n := &slowNode{t: t, results: map[string]Result{}, completedAt: map[string]time.Time{}, kind: config.Stream, unread: unreadTimeout}
		n.budget.StallTime = memory.AnswerStallTime
		n.budget.GivenUp = func(o memory.Owner, _ int64, _ time.Duration) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.givenUp = append(n.givenUp, string(o.Request))
		}
		n.budget.SetLimit(limit)
		l, err := n.net.Listen("node:80")
		qt.Assert(t, err, qt.IsNil)
		n.server = &http.Server{Handler: http.HandlerFunc(n.serve), ConnContext: memory.ConnContext}
		go n.server.Serve(&memory.Listener{Listener: l, Budget: &n.budget}) //nolint:errcheck // it ends with the test.
		run(n)
		n.server.Close() //nolint:errcheck // the test is over.
		n.proxy.Conns.Close()
		n.endpoints.Wait()
		synctest.Wait()
		qt.Check(t, n.budget.Stats().Held, qt.Equals, int64(0))
		qt.Check(t, n.budget.Stats().Holders, qt.Equals, 0)
	})
}

func (n *slowNode) serve(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, "/")
	tier := ident.Tier(0)
	if strings.HasPrefix(id, "low") {
		tier = 1
	}
	now := time.Now()
	request := &Request{
		ID: ident.RequestID(id), Method: http.MethodPost, Target: r.URL.Path, Host: "h", Header: http.Header{engine.AttemptIDHeader: {id}},
		Info: RequestInfo{AttemptID: id}, Tier: &config.Tier{Rank: tier}, Pool: &config.Pool{ID: "p", Kind: ident.ModelRunner, TokensPerEvent: 1},
		Route:   &config.Route{Kind: n.kind, MaxAttempts: 1, Timeout: time.Hour, FirstAnswerTarget: time.Second},
		Arrived: now, Deadline: now.Add(time.Hour), Body: n.body,
	}
	request.BodyDropped = func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.bodyDroppedAt = time.Now()
	}
	result := n.proxy.Serve(r.Context(), request, w)
	n.mu.Lock()
	n.results[id] = result
	n.mu.Unlock()
	switch {
	case result.Refusal != nil:
		result.Refusal.WriteAs(w, request.ID, http.StatusBadGateway)
	case result.Truncated:
		panic(http.ErrAbortHandler)
	}
}

// start sets up the proxy.
func (n *slowNode) start() {
	n.proxy = Proxy{
		IsLeaving: func(ident.CellID, ident.Endpoint) bool { return false },
		Conns:     &conn.Pool{Dial: n.dial}, Codec: testCodec(),
		Budget: &budget.Budget{Limit: config.RetryBudget{Extra: 100, Window: time.Second}, NodeCount: func() int { return 1 }},
		RequestGrant: func(_ context.Context, j *entry.Job) (*entry.Grant, *refuse.Refusal) {
			id := string(j.Request.ID)
			return &entry.Grant{
				Response: sched.GrantResponse{Outcome: sched.Granted, Endpoint: ident.Endpoint(id), Address: id, TTL: time.Second},
				Received: time.Now(), ReportStarted: func(*sched.Statement) {}, ReportProgress: func(time.Duration) {},
				Complete: func(sched.Completion) {
					n.mu.Lock()
					defer n.mu.Unlock()
					n.completedAt[id] = time.Now()
				},
			}, nil
		},
	}
}

// endpointConn is an endpoint's connection: it cuts off answers that stay unread.
type endpointConn struct {
	net.Conn
	node *slowNode
}

func (c *endpointConn) Write(b []byte) (int, error) {
	c.SetWriteDeadline(time.Now().Add(c.node.unread)) //nolint:errcheck // net.Pipe supports deadlines.
	return c.Conn.Write(b)
}

func (c *endpointConn) Read(b []byte) (int, error) {
	time.Sleep(c.node.bodyPace)
	return c.Conn.Read(b)
}

func (n *slowNode) dial(_ context.Context, address string) (net.Conn, error) {
	e := &engine.Engine{ID: address, NextBehaviour: func() engine.Behaviour { return n.answer }}
	client, server := net.Pipe()
	n.endpoints.Go(func() { e.Serve(&endpointConn{server, n}) })
	return client, nil
}

// pacedReader reads at most step bytes at a time, with a pause before each.
type pacedReader struct {
	net.Conn
	step  int
	pause time.Duration
}

func (r *pacedReader) Read(b []byte) (int, error) {
	time.Sleep(r.pause)
	return r.Conn.Read(b[:min(len(b), r.step)])
}

// call sends a request and returns the connection.
func (n *slowNode) call(id string) net.Conn {
	c, err := n.net.Dial("caller")(n.t.Context(), "tcp", "node:80")
	qt.Assert(n.t, err, qt.IsNil)
	_, err = fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", id)
	qt.Assert(n.t, err, qt.IsNil)
	return c
}

// read reads an answer at 1 kB/s and returns its body, and the error of an incomplete one.
func read(c net.Conn) (string, error) {
	resp, err := http.ReadResponse(bufio.NewReader(&pacedReader{c, 500, 500 * time.Millisecond}), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// completed returns when the grant of a request was completed, the zero time if it was not.
func (n *slowNode) completed(id string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.completedAt[id]
}

// abandoned returns the requests that were given up, in order.
func (n *slowNode) abandoned() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.givenUp)
}

// result returns the result of a request, and whether it has ended.
func (n *slowNode) result(id string) (Result, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok := n.results[id]
	return r, ok
}
