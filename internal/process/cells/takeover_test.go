package cells

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
)

// TestTakeOverWithUnresponsiveMember guards against calls that are refused for waiting too long
// in a cell with idle endpoints, because its new owner grants nothing until its query to a
// dead member has timed out. A pool with several cells grants the highest tier alone, since the
// member may have closed the others.
func TestTakeOverWithUnresponsiveMember(t *testing.T) {
	for _, test := range []struct {
		name      string
		endpoints int
		want      sched.Outcome
	}{
		{"one cell", 1, sched.Granted},
		{"several cells", 100, sched.Waiting},
	} {
		synctest.Test(t, func(t *testing.T) {
			m, id := newStandbyManager(t)
			var instances []roster.Instance
			for i := range test.endpoints {
				e := ident.Endpoint(fmt.Sprintf("e%02d", i))
				instances = append(instances, roster.Instance{Endpoint: e, Pool: "t/p", Address: string(e), Slots: 1})
			}
			m.storeRoster(roster.Build(m.Tree(), instances, ""))
			m.InFlight = func(ident.CellID) []sched.InFlight { return nil }
			self := member.Member{ID: "self", State: member.Ready, Capacity: 800, Incarnation: 1}
			view := &member.View{Members: []member.Member{{ID: "dead", State: member.Leaving, Incarnation: 1}, self}}
			m.Self = func() member.Member { return self }
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
			time.Sleep(startPeriod)
			m.Reconcile()
			cell := m.LocalCell(id)
			qt.Assert(t, cell != nil, qt.IsTrue)
			submit := func(name ident.RequestID, tier ident.Tier) *sched.GrantRequest {
				r := &sched.GrantRequest{Request: name, Tier: tier, Deadline: time.Now().Add(2 * time.Second), Wake: func() {}}
				cell.Submit(r)
				return r
			}
			low := submit("low", 1)
			time.Sleep(150 * time.Millisecond)
			synctest.Wait()
			qt.Check(t, low.Response.Outcome, qt.Equals, test.want, qt.Commentf(test.name))
			if test.want != sched.Granted {
				qt.Check(t, submit("high", 0).Response.Outcome, qt.Equals, sched.Granted)
			}
			cancel()
			<-done
		})
	}
}

// TestRemovedMemberHoldsStandbyCapacity guards against capacity of standby cells that stays
// occupied by the requests of a dead entry node.
func TestRemovedMemberHoldsStandbyCapacity(t *testing.T) {
	m, id := newStandbyManager(t)
	view := &member.View{Members: []member.Member{{ID: "entry", State: member.Ready}}}
	m.Members = func() *member.View { return view }
	m.Reconcile()
	cell := m.StandbyCell(id, false)
	cell.Submit(&sched.GrantRequest{Request: "r", Node: "entry", Deadline: time.Now().Add(time.Hour)})
	qt.Assert(t, cell.Load().InFlight, qt.Equals, 1)
	view = &member.View{}
	m.Reconcile()
	qt.Check(t, cell.Load().InFlight, qt.Equals, 0)
}
