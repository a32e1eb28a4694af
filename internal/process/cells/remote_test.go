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

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/stand/script"
	"goldcrestwick/internal/version/config"
)

// TestFollow plays a granted request of a node by scripts of lines:
//
//	grant
//	started                 the stream says that the first token came
//	breaks                  the stream ends
//	node holds|forgot|silent|gone
//	wait T
//	in_flight yes|no
func TestFollow(t *testing.T) { script.Run(t, "testdata/follow*.script", playFollow) }

type followed struct {
	state atomic.Value // a string
	mux   link.Mux
}

var followedCell = ident.CellID{Pool: "team/pool"}

func (f *followed) open(context.Context, string) (*link.Stream, error) {
	if f.state.Load() == "silent" {
		return nil, context.DeadlineExceeded
	}
	near, far := net.Pipe()
	go f.mux.Serve(context.Background(), link.NewStream(far))
	return link.NewStream(near), nil
}

func (f *followed) serveInFlight(_ context.Context, s *link.Stream, _ wire.InFlightCall) {
	var reply wire.InFlightReply
	if f.state.Load() == "holds" {
		reply.InFlight = append(reply.InFlight, wire.FromInFlight(sched.InFlight{Request: "r", Node: "entry"}))
	}
	s.Send(wire.KindInFlight, reply) //nolint:errcheck // seen in the cell.
}

func (f *followed) members() *member.View {
	if f.state.Load() == "gone" {
		return &member.View{}
	}
	return &member.View{Members: []member.Member{{ID: "entry", PeerAddress: "entry:1"}}}
}

func playFollow(t *testing.T, lines iter.Seq[script.Line]) {
	f := &followed{}
	f.state.Store("holds")
	link.Handle(&f.mux, wire.KindInFlight, f.serveInFlight)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	m := &Manager{Self: func() member.Member { return member.Member{ID: "self"} }, Members: f.members, Open: f.open, ctx: ctx}
	cell := &sched.Cell{ID: followedCell, Pool: &config.Pool{ID: followedCell.Pool, QueueRequests: 10, QueueTokens: 1 << 20, Window: 4096}}
	cell.Configure(cell.Pool, []sched.EndpointSpec{{ID: "e", Slots: 1}})
	frames := make(chan frame)
	isOpen := true
	for l := range lines {
		switch l.Command {
		case "grant":
			b := &sched.GrantRequest{Request: "r", Node: "entry", Deadline: time.Now().Add(time.Hour)}
			qt.Assert(t, cell.Submit(b), qt.IsTrue)
			go func() {
				if !m.follow(ctx, cell, b, frames) {
					m.startAudit(cell, b.Request, b.Node)
				}
			}()
		case "started":
			frames <- frame{kind: wire.KindStarted}
		case "breaks":
			close(frames)
			isOpen = false
		case "node":
			f.state.Store(l.Names[0])
		case "wait":
			time.Sleep(l.Span(l.Names[0]))
			synctest.Wait()
		case "in_flight":
			qt.Check(t, cell.IsInFlight("r"), qt.Equals, l.Names[0] == "yes", qt.Commentf(l.Place))
		default:
			t.Fatalf("%s: unknown command %s", l.Place, l.Command)
		}
	}
	if isOpen {
		close(frames)
	}
	cancel()
	m.tasks.Wait()
}
