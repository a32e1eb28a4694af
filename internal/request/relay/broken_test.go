package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/client"
	"goldcrestwick/internal/connection/reply"
	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/stand/broken"
)

// collected is what a sink got.
type collected struct {
	status, heads int
	body          bytes.Buffer
	isWhole       bool
}

func (c *collected) sink() answer.Sink {
	return answer.Sink{
		Head: func(h answer.Head) error {
			c.status, c.heads = h.Status, c.heads+1
			return nil
		},
		Chunk: func(chunk answer.Chunk) error {
			c.body.Write(chunk.Data)
			c.isWhole = chunk.Last
			return nil
		},
	}
}

// rawServer answers the requests of each connection by texts, in turn. Dials after the first one are
// refused if it is killed.
type rawServer struct {
	texts     []string
	keepsOpen bool
	isKilled  bool
	dials     int
}

func (s *rawServer) dial(context.Context, string, string) (net.Conn, error) {
	if s.dials++; s.dials > 1 && s.isKilled {
		return nil, syscall.ECONNREFUSED
	}
	local, remote := net.Pipe()
	go broken.Serve(remote, s.keepsOpen, nil, s.texts...)
	return local, nil
}

const brokenFields = RequestIDHeader + ": r1\r\n"

// callService sends a call to an application runner.
func callService(t *testing.T, c *client.Client, id string) (Result, *collected) {
	got := &collected{}
	run := &Run{
		Client: c, Address: "http://runner", Sink: got.sink(), Timeout: 10 * time.Second,
		Request: &intake.Request{ID: "r1", Method: http.MethodPost, Path: "/" + id, Header: http.Header{}, BodyReader: strings.NewReader("body"), ContentLength: 4},
	}
	return run.Service(t.Context()), got
}

// TestBrokenServiceAnswers sends each answer of package broken to a call of an application
// runner, on a new connection and on one that was kept.
func TestBrokenServiceAnswers(t *testing.T) {
	const body = "the whole answer"
	for _, a := range append(broken.Answers(), broken.HeadCuts(brokenFields)...) {
		for _, connection := range []string{"new", "kept"} {
			t.Run(a.Name+"/"+connection, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &rawServer{texts: []string{a.Text(brokenFields, body)}, keepsOpen: a.KeepsOpen}
					var faults []reply.Fault
					c := &client.Client{Dial: s.dial, Unused: func(_ string, err error) { faults = append(faults, reply.FaultOf(err)) }}
					defer c.CloseIdleConnections()
					if connection == "kept" {
						s.texts = []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", s.texts[0]}
						result, _ := callService(t, c, "first")
						qt.Assert(t, result.Refusal == nil, qt.IsTrue)
						synctest.Wait()
					}
					begin := time.Now()
					result, got := callService(t, c, "second")
					at := qt.Commentf("%+v, refusal %+v, status %d, body %q", result, result.Refusal, got.status, got.body.String())
					qt.Check(t, time.Since(begin) < time.Second, qt.IsTrue, at)
					qt.Check(t, got.heads <= 1, qt.IsTrue, at)
					checkServiceAnswer(t, a, result, got, body, at)
					if a.Fault == "" {
						qt.Check(t, faults, qt.HasLen, 0, at)
					} else {
						qt.Check(t, faults, qt.DeepEquals, []reply.Fault{reply.Fault(a.Fault)}, at)
					}
				})
			})
		}
	}
}

func checkServiceAnswer(t *testing.T, a broken.Answer, result Result, got *collected, body string, at qt.Comment) {
	qt.Check(t, result.Sent, qt.IsTrue, at)
	if a.Fault == "" {
		qt.Check(t, result.Refusal == nil && got.isWhole, qt.IsTrue, at)
		qt.Check(t, got.status, qt.Equals, http.StatusOK, at)
		qt.Check(t, got.body.String(), qt.Equals, body, at)
		return
	}
	qt.Check(t, got.isWhole, qt.IsFalse, at)
	qt.Assert(t, result.Refusal != nil, qt.IsTrue, at)
	qt.Check(t, result.Refusal.MayHaveRun(), qt.IsTrue, at)
	qt.Check(t, result.Completion.Failed, qt.IsTrue, at)
	if a.Fault != "body_cut" && a.Fault != "other" {
		qt.Check(t, got.heads, qt.Equals, 0, at)
	}
}

// TestKilledServiceWithoutLength guards against an answer without a length whose application runner was
// killed being taken for whole.
func TestKilledServiceWithoutLength(t *testing.T) {
	for _, isKilled := range []bool{false, true} {
		t.Run(fmt.Sprint("killed_", isKilled), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &rawServer{texts: []string{"HTTP/1.1 200 OK\r\n" + brokenFields + "\r\npart"}, isKilled: isKilled}
				c := &client.Client{Dial: s.dial}
				defer c.CloseIdleConnections()
				result, got := callService(t, c, "x")
				qt.Check(t, got.body.String(), qt.Equals, "part")
				qt.Check(t, got.isWhole, qt.Equals, !isKilled)
				qt.Check(t, result.Refusal != nil && result.Refusal.MayHaveRun(), qt.Equals, isKilled)
			})
		})
	}
}

// TestServiceAnswerAmidUpload guards against a part of an answer being taken for whole though its
// connection was reset while the request was being sent.
func TestServiceAnswerAmidUpload(t *testing.T) {
	const uploadBytes = 4 << 20
	for _, test := range []struct {
		name, answer string
		end          func(*net.TCPConn, io.Reader)
		isWhole      bool
	}{
		{"reset", "closed", func(c *net.TCPConn, _ io.Reader) { c.SetLinger(0) }, false}, //nolint:errcheck // the client notices.
		{"closed_unread", "closed", func(c *net.TCPConn, _ io.Reader) {
			c.Read(make([]byte, 1)) //nolint:errcheck // more of the upload is there.
		}, false},
		{"upload_read", "closed", func(_ *net.TCPConn, r io.Reader) {
			io.CopyN(io.Discard, r, uploadBytes) //nolint:errcheck // the client notices.
		}, true},
		{"kept_open", "length", func(_ *net.TCPConn, r io.Reader) {
			io.Copy(io.Discard, r) //nolint:errcheck // until the client closes the connection.
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close() //nolint:errcheck // the test is over.
			a, _ := broken.Find(test.answer)
			go func() {
				for {
					accepted, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer accepted.Close() //nolint:errcheck // the client notices.
						reader := bufio.NewReader(accepted)
						if _, err := http.ReadRequest(reader); err != nil {
							return
						}
						io.WriteString(accepted, a.Text(brokenFields, "part")) //nolint:errcheck // the client notices.
						test.end(accepted.(*net.TCPConn), reader)              //nolint:revive,errcheck // the listener's connections are of TCP.
					}()
				}
			}()
			c := &client.Client{}
			defer c.CloseIdleConnections()
			got := &collected{}
			run := &Run{
				Client: c, Address: "http://" + l.Addr().String(), Sink: got.sink(), Timeout: 10 * time.Second,
				Request: &intake.Request{
					ID: "r1", Method: http.MethodPost, Path: "/", Header: http.Header{},
					BodyReader: bytes.NewReader(make([]byte, uploadBytes)), ContentLength: uploadBytes,
				},
			}
			result := run.Service(t.Context())
			at := qt.Commentf("%+v, refusal %+v, status %d, body %q", result, result.Refusal, got.status, got.body.String())
			qt.Check(t, got.isWhole, qt.Equals, test.isWhole, at)
			qt.Check(t, result.Refusal == nil, qt.Equals, test.isWhole, at)
			if !test.isWhole {
				qt.Check(t, result.Refusal.MayHaveRun(), qt.IsTrue, at)
			}
		})
	}
}

// TestBrokenModelAnswers sends each answer of package broken to a request to a model runner, which
// does not go on with it afterwards. Only the end marker makes an answer whole.
func TestBrokenModelAnswers(t *testing.T) {
	events := encodeEvents([]string{"1:a", "2:b", "3:c", "stop", "usage:3", "DONE"})
	for _, a := range append(broken.Answers(), broken.HeadCuts(brokenFields)...) {
		t.Run(a.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &rawServer{texts: []string{a.Text(brokenFields, events)}, keepsOpen: a.KeepsOpen}
				var faults []reply.Fault
				c := &client.Client{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
					if s.dials > 0 {
						return nil, syscall.ECONNREFUSED
					}
					return s.dial(ctx, network, address)
				}, Unused: func(_ string, err error) { faults = append(faults, reply.FaultOf(err)) }}
				defer c.CloseIdleConnections()
				got := &collected{}
				run := &Run{Client: c, Address: "http://runner", Sink: got.sink(), Request: &intake.Request{ID: "r1"}}
				result := run.Model(t.Context())
				at := qt.Commentf("%+v, refusal %+v, body %q", result, result.Refusal, got.body.String())
				isBodyFault := a.Fault == "body_cut" || a.Fault == "other"
				if a.Fault == "" || isBodyFault && got.isWhole {
					qt.Check(t, result.Refusal == nil && got.isWhole, qt.IsTrue, at)
					qt.Check(t, got.body.String(), qt.Equals, "abc", at)
					return
				}
				qt.Check(t, got.isWhole, qt.IsFalse, at)
				qt.Check(t, isBodyFault || got.body.Len() == 0, qt.IsTrue, at)
				qt.Assert(t, result.Refusal != nil, qt.IsTrue, at)
				qt.Check(t, result.Refusal.MayHaveRun(), qt.IsTrue, at)
				qt.Check(t, string(faults[0]), qt.Equals, a.Fault, at)
			})
		})
	}
}

// TestAnswerBeforeRequest guards against a second answer behind one on a connection being taken for
// that to the next request.
func TestAnswerBeforeRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close() //nolint:errcheck // the test is over.
	length, _ := broken.Find("length")
	twice := length.Text(brokenFields, "first") + length.Text(brokenFields, "stray")
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go broken.Serve(c, true, nil, twice, length.Text(brokenFields, "second"))
		}
	}()
	c := &client.Client{}
	defer c.CloseIdleConnections()
	for range 200 {
		got := &collected{}
		run := &Run{
			Client: c, Address: "http://" + l.Addr().String(), Sink: got.sink(), Timeout: 10 * time.Second,
			Request: &intake.Request{ID: "r1", Method: http.MethodPost, Path: "/", Header: http.Header{}, BodyReader: strings.NewReader("body"), ContentLength: 4},
		}
		result := run.Service(t.Context())
		qt.Check(t, got.body.String(), qt.Not(qt.Equals), "stray")
		qt.Check(t, result.Refusal != nil || got.body.String() == "first", qt.IsTrue, qt.Commentf("%+v, body %q", result, got.body.String()))
	}
}
