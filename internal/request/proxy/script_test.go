package proxy

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/conn"
	"goldcrestwick/internal/process/budget"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/entry"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/stand/engine"
	"goldcrestwick/internal/stand/script"
	"goldcrestwick/internal/version/config"
)

// TestScripts passes requests to engines that misbehave, by scripts of lines:
//
//	route KIND [resumable] [attempts N] [timeout T]
//	request [after N] [body TEXT] [leave T]     the caller leaves after a time
//	budget N                                    repeats that the budget has
//	engine NAME WORDS...                        the answer of the next endpoint
//	send
//	want WORDS...                               what the caller got
//	arrived NAME N [HEADER VALUE]               what reached an endpoint
func TestScripts(t *testing.T) { script.Run(t, "testdata/*.script", play) }

// player is one running test.
type player struct {
	*testing.T
	script.Line
	proxy    Proxy
	request  *Request
	leave    time.Duration
	engines  map[string]*engine.Engine
	order    []string
	answers  map[string]engine.Behaviour
	granted  int
	endings  []sched.Completion
	recorder *httptest.ResponseRecorder
	result   Result
	open     []net.Conn
}

func play(t *testing.T, lines iter.Seq[script.Line]) {
	s := &player{T: t, engines: map[string]*engine.Engine{}, answers: map[string]engine.Behaviour{}}
	s.proxy = Proxy{
		RequestGrant: s.bid, IsLeaving: func(ident.CellID, ident.Endpoint) bool { return false },
		Conns: &conn.Pool{Dial: s.dial}, Codec: testCodec(),
		Budget: &budget.Budget{Limit: config.RetryBudget{Extra: 100, Window: time.Second}, Nodes: func() int { return 1 }},
	}
	pool := &config.Pool{ID: "team/pool", Kind: ident.ModelRunner, EventTokens: 1}
	s.request = &Request{
		ID: "r1", Method: http.MethodPost, Target: "/a/b?c=d", Host: "h.example", Pool: pool,
		Header: http.Header{engine.AttemptHeader: {"r1"}, "X-Other": {"kept"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		Info:   RequestInfo{ID: "r1"}, Tier: &config.Tier{}, Body: []byte("body"),
	}
	for s.Line = range lines {
		s.run(s.Command, s.Args)
	}
	for _, c := range s.open {
		c.Close() //nolint:errcheck // the test is over.
	}
	s.proxy.Conns.Close()
}

func (s *player) run(command string, words []string) {
	switch command {
	case "route":
		s.route(words)
	case "request":
		s.caller(words)
	case "budget":
		s.proxy.Budget.Limit.Extra = float64(s.Number(words[0])) / 0.7
	case "engine":
		s.engine(words[0], words[1:])
	case "send":
		s.send()
	case "want":
		s.want(words)
	case "arrived":
		s.arrived(words)
	default:
		s.Fatalf("%s: unknown command %s", s.Place, command)
	}
}

var kinds = map[string]config.RouteKind{"once": config.NonIdempotent, "idempotent": config.Idempotent, "stream": config.Stream}

func (s *player) route(words []string) {
	r := &config.Route{Kind: kinds[words[0]], Attempts: 1, Timeout: 10 * time.Second, FirstAnswer: time.Second}
	for i := 1; i < len(words); i++ {
		switch words[i] {
		case "resumable":
			r.Resumable = true
		case "attempts":
			i++
			r.Attempts = s.Number(words[i])
		case "timeout":
			i++
			r.Timeout = s.Span(words[i])
		default:
			s.Fatalf("%s: unknown word %s", s.Place, words[i])
		}
	}
	s.request.Route = r
}

func (s *player) caller(words []string) {
	for i := 0; i+1 < len(words); i += 2 {
		switch words[i] {
		case "after":
			s.request.Info.After = s.Number(words[i+1])
		case "body":
			s.request.Body = []byte(strings.Repeat("x", s.Number(words[i+1])))
		case "leave":
			s.leave = s.Span(words[i+1])
		default:
			s.Fatalf("%s: unknown word %s", s.Place, words[i])
		}
	}
}

// engine sets the answer of the endpoint that is granted next.
func (s *player) engine(name string, words []string) {
	var b engine.Behaviour
	for i := 0; i < len(words); i++ {
		switch word := words[i]; word {
		case "status":
			i++
			b.Status = s.Number(words[i])
		case "body":
			i++
			b.Body = words[i]
		case "events":
			i++
			first, last, _ := strings.Cut(words[i], "-")
			b.First, b.Last = s.Number(first), s.Number(last)
		case "stray":
			i++
			b.Stray = words[i]
		case "encoded":
			b.Encoding = "gzip"
		case "not_run":
			b.NotRun = true
		case "unsigned":
			b.Unsigned = true
		case "unframed":
			b.Unframed = true
		case "extra":
			b.Extra = true
		case "early":
			b.Early = true
		case "drop":
			b.Drop = true
		case "whole", "cut", "torn", "silent":
			b.Ending = engine.Ending(word)
		case "unreachable", "other":
		default:
			s.Fatalf("%s: unknown word %s", s.Place, word)
		}
	}
	id := name
	if strings.Contains(strings.Join(words, " "), "other") {
		id = "another"
	}
	if !strings.Contains(strings.Join(words, " "), "unreachable") {
		s.engines[name] = &engine.Engine{ID: id, Next: func() engine.Behaviour { return s.answers[name] }}
	}
	s.answers[name] = b
	s.order = append(s.order, name)
}

func (s *player) bid(context.Context, *entry.Job) (*entry.Grant, *refuse.Refusal) {
	if s.granted >= len(s.order) {
		return nil, refuse.New(refuse.Overload, "no more endpoints")
	}
	name := ident.Endpoint(s.order[s.granted])
	s.granted++
	return &entry.Grant{
		Response: sched.GrantResponse{Outcome: sched.Granted, Endpoint: name, Address: string(name), TTL: time.Second},
		Received: time.Now(), Started: func(*sched.Occupancy) {}, Progress: func(time.Duration) {},
		Complete: func(e sched.Completion) { s.endings = append(s.endings, e) },
	}, nil
}

var errUnreachable = errors.New("connection refused")

func (s *player) dial(_ context.Context, address string) (net.Conn, error) {
	e := s.engines[address]
	if e == nil {
		return nil, errUnreachable
	}
	here, there := net.Pipe()
	s.open = append(s.open, here)
	go e.Serve(there)
	return here, nil
}

func testCodec() HeaderCodec {
	return HeaderCodec{
		EncodeForward: func(h http.Header, o ForwardInfo) {
			h.Set(engine.ExpectHeader, string(o.Endpoint))
			h.Set("Left", strconv.FormatInt(o.Remaining.Milliseconds(), 10))
			if o.After > 0 {
				h.Set(engine.AfterHeader, strconv.Itoa(o.After))
			}
		},
		DecodeResponse: func(h http.Header) ResponseInfo {
			return ResponseInfo{
				ID: h.Get(engine.AttemptHeader), NotRun: h.Get(engine.NotRunHeader) != "",
				IsSigned: h.Get(engine.StampHeader) != "",
			}
		},
	}
}

func (s *player) send() {
	s.granted, s.endings = 0, nil
	s.recorder = httptest.NewRecorder()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.leave > 0 {
		stop := time.AfterFunc(s.leave, cancel)
		defer stop.Stop()
	}
	s.request.Arrived = time.Now()
	s.request.Deadline = s.request.Arrived.Add(s.request.Route.Timeout)
	s.result = s.proxy.Serve(ctx, s.request, s.recorder)
	s.order = nil
}

// want checks what the caller got: status N, body TEXT, events F-L, cut,
// refused REASON not_run|unknown, signed NAME, ending WORD, took T.
func (s *player) want(words []string) {
	for i := 0; i < len(words); i++ {
		at := qt.Commentf("%s: %+v", s.Place, s.result)
		switch words[i] {
		case "status":
			i++
			qt.Check(s.T, s.result.Refusal == nil, qt.IsTrue, at)
			qt.Check(s.T, s.recorder.Code, qt.Equals, s.Number(words[i]), at)
		case "body":
			i++
			qt.Check(s.T, s.recorder.Body.String(), qt.Equals, words[i], at)
		case "events":
			i++
			first, last, _ := strings.Cut(words[i], "-")
			qt.Check(s.T, s.recorder.Body.String(), qt.Equals, eventsOf(s.Number(first), s.Number(last)), at)
		case "cut":
			qt.Check(s.T, s.result.Cut, qt.IsTrue, at)
		case "whole":
			qt.Check(s.T, s.result.Cut, qt.IsFalse, at)
			qt.Check(s.T, s.result.Refusal == nil, qt.IsTrue, at)
		case "refused":
			qt.Assert(s.T, s.result.Refusal != nil, qt.IsTrue, at)
			qt.Check(s.T, string(s.result.Refusal.Reason), qt.Equals, words[i+1], at)
			qt.Check(s.T, string(s.result.Refusal.Run), qt.Equals, words[i+2], at)
			i += 2
		case "signed":
			i++
			qt.Check(s.T, s.recorder.Header().Get(engine.StampHeader), qt.Equals, words[i]+".r1", at)
		case "attempts":
			i++
			qt.Check(s.T, s.result.Attempts, qt.Equals, s.Number(words[i]), at)
		case "took":
			i++
			qt.Check(s.T, time.Since(s.request.Arrived), qt.Equals, s.Span(words[i]), at)
		default:
			s.Fatalf("%s: unknown word %s", s.Place, words[i])
		}
	}
}

func eventsOf(first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return b.String()
}

// arrived checks how many requests reached an endpoint and a header of the
// last one; every one has the caller's method, target, body and other headers.
func (s *player) arrived(words []string) {
	at := qt.Commentf(s.Place)
	e := s.engines[words[0]]
	all := e.Arrivals()
	qt.Assert(s.T, len(all), qt.Equals, s.Number(words[1]), at)
	for _, a := range all {
		qt.Check(s.T, a.Method+" "+a.Target, qt.Equals, "POST /a/b?c=d", at)
		qt.Check(s.T, a.Header.Get("X-Other"), qt.Equals, "kept", at)
		qt.Check(s.T, a.Header.Get("X-Hop"), qt.Equals, "", at)
		if a.Body != "" {
			qt.Check(s.T, a.Body, qt.Equals, string(s.request.Body), at)
		}
	}
	if len(words) == 4 {
		qt.Check(s.T, all[len(all)-1].Header.Get(words[2]), qt.Equals, words[3], at)
	}
}
