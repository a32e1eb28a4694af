package cells

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/admit"
	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/sched"
)

// TestTakeOverBesideDeadMemberAtStart guards against calls of lower tiers that wait for seconds
// in a cell with idle endpoints: its owner starts together with the fleet, a member dies in that
// moment, and the owner waits until the member has left its view. The members' closures that the
// owner knows of still hold.
func TestTakeOverBesideDeadMemberAtStart(t *testing.T) {
	for _, test := range []struct {
		name     string
		isClosed bool
		want     sched.Outcome
	}{
		{"open", false, sched.Granted},
		{"closed", true, sched.Shed},
	} {
		synctest.Test(t, func(t *testing.T) {
			m, id := newStandbyManager(t)
			m.InFlight = func(ident.CellID) []sched.InFlight { return nil }
			self := member.Member{ID: "self", State: member.Ready, Incarnation: 1_000_000}
			m.Self = func() member.Member { return self }
			view := &member.View{Members: []member.Member{{ID: "dead", State: member.Joining, Incarnation: 1_000_000}, self}}
			m.Members = func() *member.View { return view }
			m.Open = func(ctx context.Context, _ string) (*link.Stream, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				m.Run(ctx)
				close(done)
			}()
			synctest.Wait()
			started := time.Now()
			m.Reconcile()
			cell := m.LocalCell(id)
			qt.Assert(t, cell != nil, qt.IsTrue)
			decided := make(chan sched.Outcome, 1)
			low := &sched.GrantRequest{Request: "low", Tier: 1, Deadline: started.Add(time.Minute)}
			low.Wake = func() { decided <- low.Response.Outcome }
			time.Sleep(admit.EarlierAckTTL - time.Millisecond)
			qt.Assert(t, cell.Submit(low), qt.IsFalse)
			synctest.Wait()
			qt.Check(t, decided, qt.HasLen, 0, qt.Commentf(test.name))
			if test.isClosed {
				m.admission.Close("dead", admit.CloseRequest{Pool: id.Pool, Level: 0, Run: 1}, time.Now())
				m.enforceLevel(id.Pool)
			}
			time.Sleep(time.Millisecond)
			synctest.Wait()
			qt.Assert(t, decided, qt.HasLen, 1, qt.Commentf(test.name))
			qt.Check(t, <-decided, qt.Equals, test.want, qt.Commentf(test.name))
			cancel()
			<-done
		})
	}
}

// TestStandbyRequestDuringTakeOver guards against requests that wait in a cell that is taken over,
// after their requester has found the node unresponsive that owns the cell by its view: a standby
// node that does not take itself for the owner grants them at once.
func TestStandbyRequestDuringTakeOver(t *testing.T) {
	for _, test := range []struct {
		name      string
		isStandby bool
		want      link.Kind
	}{
		{"to the owner", false, wire.KindQueued},
		{"to a standby node", true, wire.KindGrantResponse},
	} {
		synctest.Test(t, func(t *testing.T) {
			m, id := newStandbyManager(t)
			m.Clock = &clock.Clock{}
			m.InFlight = func(ident.CellID) []sched.InFlight { return nil }
			ctx, cancel := context.WithCancel(t.Context())
			m.Members = func() *member.View {
				return &member.View{Members: []member.Member{{ID: "dead", State: member.Joining}, m.Self()}}
			}
			m.Open = func(ctx context.Context, _ string) (*link.Stream, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			var running sync.WaitGroup
			running.Go(func() { m.Run(ctx) })
			synctest.Wait()
			m.Reconcile()
			time.Sleep(settleTime + 2*maxTakeOverPause)
			near, far := net.Pipe()
			requester, server := link.NewStream(near), link.NewStream(far)
			request := &sched.GrantRequest{Request: "low", Node: "entry", Tier: 1, Deadline: time.Now().Add(time.Minute)}
			message := wire.FromGrantRequest(request, id, 1, time.Now())
			message.Standby = test.isStandby
			running.Go(func() { m.serveGrantRequest(ctx, server, message) })
			kind, body, err := requester.Receive()
			qt.Assert(t, err, qt.IsNil, qt.Commentf(test.name))
			qt.Check(t, kind, qt.Equals, test.want, qt.Commentf(test.name))
			if kind == wire.KindGrantResponse {
				response, err := link.Decode[wire.GrantResponse](body)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, response.ToGrantResponse().Outcome, qt.Equals, sched.Granted)
			}
			requester.Close() //nolint:errcheck // the test is over.
			cancel()
			running.Wait()
		})
	}
}
