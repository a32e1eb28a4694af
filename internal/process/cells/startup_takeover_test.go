package cells

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/admit"
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
