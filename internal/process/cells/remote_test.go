package cells

import (
	"context"
	"iter"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/stand/script"
	"goldcrestwick/internal/version/config"
)

// TestTrackRequest runs scripts that check how a cell tracks a granted request
// of another node. A script has these commands:
//
//	grant [deadline=T]
//	started                 the stream reports the first token
//	disconnect              the stream ends
//	node has_request|lost_request|unresponsive|removed
//	                        sets the state of the entry node
//	wait T                  lets the time T pass
//	in_flight yes|no        checks whether the cell counts the request as in
//	                        flight
func TestTrackRequest(t *testing.T) { script.Run(t, "testdata/track_*.script", runTrackScript) }

// TestReaderOfEndedRequestLeaks checks that the reader of a grant request's stream ends
// with the request, although the entry node has sent more than the node has read.
func TestReaderOfEndedRequestLeaks(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		near, far := net.Pipe()
		requester, server := link.NewStream(near), link.NewStream(far)
		done := make(chan struct{})
		frames := readFrames(server, done)
		go func() {
			for requester.Send(wire.KindStarted, wire.Started{}) == nil {
				time.Sleep(time.Millisecond)
			}
		}()
		<-frames
		time.Sleep(time.Second)
		close(done)
		server.Close() //nolint:errcheck // the test fails if the reader is left.
	})
}

// TestCompletionLostWithStream checks that a completion counts although the context of its
// stream is done when it is read: it ends when the entry node closes the stream after
// the completion.
func TestCompletionLostWithStream(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			ended := 0
			cell := &sched.Cell{
				ID: testCell, Pool: &config.Pool{ID: testCell.Pool, QueueRequests: 10, QueueTokens: 1 << 20, InitialWindow: 4096},
				Ended: func(e sched.Ended) {
					if e.Completion.IsWhole {
						ended++
					}
				},
			}
			cell.Configure(cell.Pool, []sched.EndpointSpec{{ID: "e", Slots: 1}})
			m := &Manager{
				Self: func() member.Member { return member.Member{ID: "self"} }, Clock: &clock.Clock{},
				local: map[ident.CellID]*localCell{testCell: {cell: cell}},
			}
			near, far := net.Pipe()
			requester, server := link.NewStream(near), link.NewStream(far)
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			request := wire.FromGrantRequest(&sched.GrantRequest{Request: "r", Node: "entry", Deadline: time.Now().Add(time.Hour)}, testCell, 1, time.Now())
			go m.serveGrantRequest(ctx, server, request)
			_, _, err := requester.Receive()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, requester.Send(wire.KindCompleted, wire.FromCompletion(sched.Completion{IsWhole: true})), qt.IsNil)
			synctest.Wait()
			qt.Check(t, ended, qt.Equals, 1)
			requester.Close() //nolint:errcheck // the test is over.
			server.Close()    //nolint:errcheck // the test is over.
		})
	}
}

// TestLateCompletionEndsNextGrant guards against the loss of a crash: the stream of a failed
// attempt delivers its completion after the cell has granted the request again. It must be
// recorded for the first endpoint and leave the second grant to its own completion.
func TestLateCompletionEndsNextGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := map[ident.Endpoint]sched.Ended{}
		cell := &sched.Cell{
			ID: testCell, Pool: &config.Pool{ID: testCell.Pool, QueueRequests: 10, QueueTokens: 1 << 20, InitialWindow: 4096},
			Ended: func(e sched.Ended) { ended[e.Endpoint.ID] = e },
		}
		cell.Configure(cell.Pool, []sched.EndpointSpec{{ID: "e", Slots: 1}, {ID: "f", Slots: 1}})
		m := &Manager{Self: func() member.Member { return member.Member{ID: "self"} }}
		grant := func(avoid ...ident.Endpoint) (ident.Endpoint, func(sched.Completion)) {
			request := &sched.GrantRequest{Request: "r", Node: "entry", Avoid: avoid, Deadline: time.Now().Add(time.Hour)}
			qt.Assert(t, cell.Submit(request), qt.IsTrue)
			frames := make(chan frame)
			go m.trackRequest(t.Context(), cell, request, frames)
			return request.Response.Endpoint, func(c sched.Completion) {
				body, err := cbor.Marshal(wire.FromCompletion(c))
				qt.Assert(t, err, qt.IsNil)
				frames <- frame{wire.KindCompleted, body}
				synctest.Wait()
			}
		}
		first, completeFirst := grant()
		second, completeSecond := grant(first)
		completeFirst(sched.Completion{Failed: true})
		qt.Check(t, cell.IsInFlight("r"), qt.IsTrue)
		completeSecond(sched.Completion{Failed: true, NoAnswer: true})
		qt.Check(t, cell.IsInFlight("r"), qt.IsFalse)
		qt.Check(t, ended, qt.HasLen, 2)
		qt.Check(t, ended[first].Completion.NoAnswer, qt.IsFalse)
		qt.Check(t, ended[first].IsAnswered, qt.IsFalse)
		qt.Check(t, ended[second].Completion.NoAnswer, qt.IsTrue)
		qt.Check(t, cell.Load().InFlight, qt.Equals, 0)
	})
}

// fakeEntryNode responds to in-flight queries according to its state.
type fakeEntryNode struct {
	state atomic.Value // string
	mux   link.Mux
}

var testCell = ident.CellID{Pool: "team/pool"}

func (f *fakeEntryNode) open(context.Context, string) (*link.Stream, error) {
	if f.state.Load() == "unresponsive" {
		return nil, context.DeadlineExceeded
	}
	near, far := net.Pipe()
	go f.mux.Serve(context.Background(), link.NewStream(far))
	return link.NewStream(near), nil
}

func (f *fakeEntryNode) serveInFlight(_ context.Context, s *link.Stream, _ wire.InFlightQuery) {
	var reply wire.InFlightReply
	if f.state.Load() == "has_request" {
		reply.InFlight = append(reply.InFlight, wire.FromInFlight(sched.InFlight{Request: "r", Node: "entry"}))
	}
	s.Send(wire.KindInFlight, reply) //nolint:errcheck // the script checks the cell's state.
}

func (f *fakeEntryNode) members() *member.View {
	if f.state.Load() == "removed" {
		return &member.View{}
	}
	return &member.View{Members: []member.Member{{ID: "entry", PeerAddress: "entry:1"}}}
}

func runTrackScript(t *testing.T, lines iter.Seq[script.Line]) {
	f := &fakeEntryNode{}
	f.state.Store("has_request")
	link.Handle(&f.mux, wire.KindInFlight, f.serveInFlight)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	m := &Manager{Self: func() member.Member { return member.Member{ID: "self"} }, Members: f.members, Open: f.open, ctx: ctx}
	cell := &sched.Cell{ID: testCell, Pool: &config.Pool{ID: testCell.Pool, QueueRequests: 10, QueueTokens: 1 << 20, InitialWindow: 4096}}
	cell.Configure(cell.Pool, []sched.EndpointSpec{{ID: "e", Slots: 1}})
	frames := make(chan frame)
	isOpen := true
	for l := range lines {
		switch l.Command {
		case "grant":
			deadline := time.Hour
			if l.Options["deadline"] != "" {
				deadline = l.ParseDuration(l.Options["deadline"])
			}
			request := &sched.GrantRequest{Request: "r", Node: "entry", Deadline: time.Now().Add(deadline)}
			qt.Assert(t, cell.Submit(request), qt.IsTrue)
			go func() {
				if !m.trackRequest(ctx, cell, request, frames) {
					m.startInFlightCheck(cell, request)
				}
			}()
		case "started":
			frames <- frame{kind: wire.KindStarted}
		case "disconnect":
			close(frames)
			isOpen = false
		case "node":
			f.state.Store(l.Operands[0])
		case "wait":
			time.Sleep(l.ParseDuration(l.Operands[0]))
			synctest.Wait()
		case "in_flight":
			qt.Check(t, cell.IsInFlight("r"), qt.Equals, l.Operands[0] == "yes", qt.Commentf(l.Position))
		default:
			t.Fatalf("%s: unknown command %s", l.Position, l.Command)
		}
	}
	if isOpen {
		close(frames)
	}
	cancel()
	m.tasks.Wait()
}
