package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/conn"
	"goldcrestwick/internal/connection/reply"
	"goldcrestwick/internal/process/budget"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/reach"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/entry"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/stand/broken"
	"goldcrestwick/internal/stand/engine"
	"goldcrestwick/internal/version/config"
)

// rawRig is a proxy whose endpoints send given bytes.
type rawRig struct {
	*testing.T
	proxy Proxy
	route *config.Route
	// serve holds, by endpoint, the handler of its connections.
	serve map[string]func(net.Conn)
	// lastEventID is the last event that callers have.
	lastEventID int
	// grants are the endpoints that are granted next.
	grants      []string
	completions []sched.Completion
	// faults are those of the answers that were not used.
	faults []reply.Fault
}

func newRawRig(t *testing.T) *rawRig {
	g := &rawRig{T: t, serve: map[string]func(net.Conn){}}
	g.proxy = Proxy{
		IsLeaving: func(ident.CellID, ident.Endpoint) bool { return false }, Conns: &conn.Pool{Dial: g.dial}, Codec: testCodec(),
		Budget: &budget.Budget{Limit: config.RetryBudget{Extra: 100, Window: time.Second}, NodeCount: func() int { return 1 }},
		RequestGrant: func(context.Context, *entry.Job) (*entry.Grant, *refuse.Refusal) {
			if len(g.grants) == 0 {
				return nil, refuse.New(refuse.Overload, "no more endpoints")
			}
			name := g.grants[0]
			g.grants = g.grants[1:]
			return &entry.Grant{
				Response: sched.GrantResponse{Outcome: sched.Granted, Endpoint: ident.Endpoint(name), Address: name, TTL: time.Second},
				Received: time.Now(), ReportStarted: func(*sched.Statement) {}, ReportProgress: func(time.Duration) {},
				Complete: func(c sched.Completion) { g.completions = append(g.completions, c) },
			}, nil
		},
		AnswerUnused: func(_ ident.RequestID, _ ident.Endpoint, fault reply.Fault, reason string) {
			g.faults = append(g.faults, fault)
			qt.Check(t, len(reason) <= maxReasonBytes && reason != "", qt.IsTrue)
		},
	}
	return g
}

func (g *rawRig) dial(_ context.Context, address string) (net.Conn, error) {
	client, server := net.Pipe()
	go g.serve[address](server)
	return client, nil
}

// send sends a request and returns what its caller got.
func (g *rawRig) send(id, method string, body []byte, grants ...string) (*httptest.ResponseRecorder, Result) {
	g.grants, g.completions = grants, nil
	w := httptest.NewRecorder()
	now := time.Now()
	r := &Request{
		ID: ident.RequestID(id), Method: method, Target: "/", Host: "h.example", Header: http.Header{engine.AttemptIDHeader: {id}},
		Body: body, Info: RequestInfo{AttemptID: id, LastEventID: g.lastEventID}, Arrived: now, Deadline: now.Add(g.route.Timeout), Route: g.route,
		Pool: &config.Pool{ID: "team/pool", Kind: ident.ModelRunner, TokensPerEvent: 1}, Tier: &config.Tier{},
	}
	return w, g.proxy.Serve(g.Context(), r, w)
}

// answerFields returns the lines that make an answer one to the attempt.
func answerFields(id string) string {
	return engine.AttemptIDHeader + ": " + id + "\r\n" + engine.ServerStampHeader + ": e." + id + "\r\n"
}

// rawEndpoint returns the handler of an endpoint that answers the requests of a connection by texts and
// counts them.
func rawEndpoint(arrived *int, keepsOpen bool, texts ...string) func(net.Conn) {
	return func(c net.Conn) { broken.Serve(c, keepsOpen, func() { *arrived++ }, texts...) }
}

// answerShape is a kind of request that gets an answer.
type answerShape struct {
	name       string
	kind       config.RouteKind
	isRepeated bool
	// isTakenUp is set if the answer goes on with a stream that broke off at another endpoint, and
	// isResumed if its caller has the beginning.
	isTakenUp, isResumed bool
	// isLong is set if the answer is too long to be buffered.
	isLong bool
}

var answerShapes = []answerShape{
	{name: "once", kind: config.NonIdempotent},
	{name: "repeated", kind: config.Idempotent, isRepeated: true},
	{name: "long", kind: config.NonIdempotent, isLong: true},
	{name: "stream", kind: config.Stream},
	{name: "taken_up", kind: config.Stream, isTakenUp: true},
	{name: "resumed", kind: config.Stream, isResumed: true},
}

// bodies returns what the caller has of the answer before the broken one, and the body of that.
func (s answerShape) bodies() (first, body string) {
	switch {
	case s.isTakenUp:
		return eventsOf(1, 2), eventsOf(3, 4)
	case s.isResumed:
		return "", eventsOf(3, 4)
	case s.kind == config.Stream:
		return "", eventsOf(1, 2)
	case s.isLong:
		return "", strings.Repeat("012345678\n", maxBufferedBytes/9)
	}
	return "", "the whole answer"
}

// TestBrokenAnswers sends each answer of package broken to each kind of request, on a new
// connection and on one that was kept.
func TestBrokenAnswers(t *testing.T) {
	for _, a := range append(broken.Answers(), broken.HeadCuts(answerFields("r1"))...) {
		for _, shape := range answerShapes {
			for _, connection := range []string{"new", "kept"} {
				t.Run(a.Name+"/"+shape.name+"/"+connection, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkBrokenAnswer(t, a, shape, connection == "kept") })
				})
			}
		}
	}
}

func checkBrokenAnswer(t *testing.T, a broken.Answer, shape answerShape, isKept bool) {
	g := newRawRig(t)
	defer g.proxy.Conns.Close()
	g.route = &config.Route{Kind: shape.kind, MaxAttempts: 2, Resumable: shape.isTakenUp, Timeout: 10 * time.Second, FirstAnswerTarget: time.Second}
	first, body := shape.bodies()
	texts := []string{a.Text(answerFields("r1"), body)}
	warmUp := "HTTP/1.1 200 OK\r\n" + answerFields("r0") + "Content-Length: 0\r\n\r\n"
	if isKept {
		texts = []string{warmUp, texts[0]}
	}
	var arrived, others int
	g.serve["a"] = rawEndpoint(&arrived, a.KeepsOpen, texts...)
	// The first endpoint of a stream breaks off; the one of a repeat is sound.
	g.serve["start"] = rawEndpoint(&others, false, "HTTP/1.1 200 OK\r\n"+answerFields("r1")+"Transfer-Encoding: chunked\r\n\r\n"+
		fmt.Sprintf("%x\r\n%s\r\n", len(first), first))
	sound := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", answerFields("r1"), len(body), body)
	g.serve["b"] = rawEndpoint(&others, true, sound)
	if isKept {
		w, _ := g.send("r0", http.MethodPost, []byte("body"), "a")
		qt.Assert(t, w.Code, qt.Equals, http.StatusOK)
		qt.Assert(t, arrived, qt.Equals, 1)
	}
	if shape.isResumed {
		g.lastEventID = 2
	}
	grants := []string{"a", "b"}
	if shape.isTakenUp {
		grants = []string{"start", "a"}
	}
	begin := time.Now()
	w, result := g.send("r1", http.MethodPost, []byte("body"), grants...)
	at := qt.Commentf("%+v, body %.200q", result, w.Body)
	qt.Check(t, time.Since(begin) < time.Second, qt.IsTrue, at)
	dials := 1
	if shape.isTakenUp || shape.isRepeated && a.Fault != "" {
		dials++
	}
	if a.IsUndelimited() && a.Fault == "" {
		dials++ // the check whether the endpoint is gone.
	}
	qt.Check(t, g.proxy.Conns.DialCount(), qt.Equals, int64(dials), at)
	if a.Fault == "" || shape.isRepeated {
		qt.Check(t, result.Refusal == nil && !result.Truncated, qt.IsTrue, at)
		qt.Check(t, w.Code, qt.Equals, http.StatusOK, at)
		qt.Check(t, w.Body.String(), qt.Equals, first+body, at)
	} else {
		checkUnusable(t, a, w, result, first, body)
	}
	if a.Fault == "" {
		qt.Check(t, len(g.faults) > 0, qt.Equals, shape.isTakenUp, at)
		qt.Check(t, g.completions[len(g.completions)-1].Failed, qt.IsFalse, at)
		return
	}
	failed := 0
	if shape.isTakenUp {
		failed = 1
	}
	qt.Check(t, g.completions[failed].Failed, qt.IsTrue, at)
	qt.Check(t, string(g.faults[failed]), qt.Equals, a.Fault, at)
	qt.Check(t, others == 1, qt.Equals, shape.isTakenUp || shape.isRepeated, at)
}

// checkUnusable checks that a caller gets neither a whole answer nor the promise that its request
// did not run, and of a stream only events that came before the fault.
func checkUnusable(t *testing.T, a broken.Answer, w *httptest.ResponseRecorder, result Result, first, body string) {
	at := qt.Commentf("%+v, body %.200q", result, w.Body)
	isBodyFault := reply.Fault(a.Fault) == reply.BodyCut || reply.Fault(a.Fault) == reply.Other
	if w.Body.Len() == 0 {
		qt.Assert(t, result.Refusal != nil, qt.IsTrue, at)
		qt.Check(t, result.Refusal.Reason, qt.Equals, refuse.EndpointFailed, at)
		qt.Check(t, result.Refusal.MayHaveRun(), qt.IsTrue, at)
		return
	}
	qt.Check(t, result.Truncated, qt.IsTrue, at)
	qt.Check(t, strings.HasPrefix(first+body, w.Body.String()), qt.IsTrue, at)
	if !isBodyFault {
		qt.Check(t, w.Body.String(), qt.Equals, first, at)
	}
}

// TestAnswersWithoutBody checks that answers which have no body, whatever their fields say, stay sound
// (RFC 9112, section 6.3).
func TestAnswersWithoutBody(t *testing.T) {
	for _, test := range []struct{ name, method, status, fields string }{
		{"head_length", http.MethodHead, "200 OK", "Content-Length: 5\r\n"},
		{"head_chunks", http.MethodHead, "200 OK", "Transfer-Encoding: chunked\r\n"},
		{"head_no_length", http.MethodHead, "200 OK", ""},
		{"no_content", http.MethodPost, "204 No Content", ""},
		{"no_content_length", http.MethodPost, "204 No Content", "Content-Length: 0\r\n"},
		{"not_modified", http.MethodGet, "304 Not Modified", "ETag: \"a\"\r\n"},
		{"not_modified_length", http.MethodGet, "304 Not Modified", "Content-Length: 5\r\n"},
	} {
		for _, kind := range []config.RouteKind{config.Idempotent, config.Stream} {
			t.Run(fmt.Sprint(test.name, "/", kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := newRawRig(t)
					defer g.proxy.Conns.Close()
					g.route = &config.Route{Kind: kind, MaxAttempts: 1, Timeout: 10 * time.Second, FirstAnswerTarget: time.Second}
					var arrived int
					text := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + test.status + "\r\n" + answerFields("r1") + test.fields + "\r\n"
					g.serve["a"] = rawEndpoint(&arrived, true, text)
					begin := time.Now()
					w, result := g.send("r1", test.method, nil, "a")
					at := qt.Commentf("%+v", result)
					qt.Check(t, result.Refusal == nil && !result.Truncated, qt.IsTrue, at)
					qt.Check(t, strings.HasPrefix(test.status, fmt.Sprint(w.Code)), qt.IsTrue, at)
					qt.Check(t, w.Body.Len(), qt.Equals, 0, at)
					qt.Check(t, time.Since(begin), qt.Equals, time.Duration(0), at)
					qt.Check(t, g.faults, qt.HasLen, 0, at)
				})
			})
		}
	}
}

// TestInvalidAnswerIsReached guards against a node that takes its path to the endpoints for lost since
// several of them answer, but not in a valid form. Their failures count as theirs.
func TestInvalidAnswerIsReached(t *testing.T) {
	for _, a := range broken.Answers() {
		switch reply.Fault(a.Fault) {
		case "", reply.HeadCut, reply.BodyCut, reply.Other:
			continue
		}
		t.Run(a.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newRawRig(t)
				defer g.proxy.Conns.Close()
				g.route = &config.Route{Kind: config.NonIdempotent, MaxAttempts: 1, Timeout: 10 * time.Second, FirstAnswerTarget: time.Second}
				monitor := &reach.Monitor{}
				g.proxy.Reach = monitor
				for _, name := range []string{"a", "b", "c"} {
					var arrived int
					g.serve[name] = rawEndpoint(&arrived, a.KeepsOpen, a.Text(answerFields("r1"), "body"))
					g.send("r1", http.MethodPost, []byte("body"), name)
					qt.Check(t, monitor.IsSuspect(), qt.IsFalse)
					qt.Check(t, g.completions[0].Failed, qt.IsTrue)
					qt.Check(t, g.completions[0].NoAnswer, qt.IsFalse)
				}
			})
		})
	}
}
