package cells

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/admit"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/version/config"
)

// newStandbyManager returns a manager with a pool of two tiers and one endpoint.
func newStandbyManager(t *testing.T) (*Manager, ident.CellID) {
	team := &config.Team{}
	team.Pools = []*config.Pool{config.NewPool("t/p", team)}
	tree, err := config.NewTree(config.TreeSpec{Version: 1, Team: team})
	qt.Assert(t, err, qt.IsNil)
	m := &Manager{
		Self:    func() member.Member { return member.Member{ID: "self", State: member.Ready} },
		Members: func() *member.View { return &member.View{} },
		Tree:    func() *config.Tree { return tree },
	}
	m.storeRoster(roster.Build(tree, []roster.Instance{{Endpoint: "e", Pool: "t/p", Address: "a", Slots: 1}}, ""))
	return m, ident.CellID{Pool: "t/p"}
}

// TestStandbyCellOfUnknownCell checks that there is no standby cell for a cell that the
// roster lacks, whose requests could not be decided, and that a cell which was never
// configured answers at once.
func TestStandbyCellOfUnknownCell(t *testing.T) {
	m, id := newStandbyManager(t)
	qt.Check(t, m.StandbyCell(id, false) != nil, qt.IsTrue)
	qt.Check(t, m.StandbyCell(ident.CellID{Pool: "t/p", Index: 7}, false) == nil, qt.IsTrue)

	r := &sched.GrantRequest{Request: "r", Deadline: time.Now().Add(time.Second)}
	qt.Check(t, (&sched.Cell{Pool: m.Tree().Pool("t/p")}).Submit(r), qt.IsTrue)
	qt.Check(t, r.Response.Outcome, qt.Equals, sched.Moved)
}

// TestStandbyCellShedsClosedTiers checks that a request to close lower tiers also sheds
// those that wait in standby cells: a higher tier may be shed once it is acknowledged.
func TestStandbyCellShedsClosedTiers(t *testing.T) {
	m, id := newStandbyManager(t)
	cell := m.StandbyCell(id, false)
	submit := func(name ident.RequestID, tier ident.Tier) *sched.GrantRequest {
		r := &sched.GrantRequest{Request: name, Tier: tier, Deadline: time.Now().Add(time.Minute), Wake: func() {}}
		cell.Submit(r)
		return r
	}
	submit("first", 0)
	low := submit("low", 1)
	qt.Assert(t, low.Response.Outcome, qt.Equals, sched.Waiting)
	m.admission.Close("other", admit.CloseRequest{Pool: "t/p", Level: 0}, time.Now())
	m.enforceLevel("t/p")
	qt.Check(t, low.Response.Outcome, qt.Equals, sched.Shed)
	qt.Check(t, submit("later", 1).Response.Reason, qt.Equals, sched.ReasonTierClosed)
}

// TestRunEndsCells checks that a request which waits in a cell gets an outcome when the
// manager ends, also in a cell that is still paused, and that no cell takes one later.
func TestRunEndsCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, id := newStandbyManager(t)
		m.InFlight = func(ident.CellID) []sched.InFlight { return nil }
		view := &member.View{Members: []member.Member{{ID: "self", State: member.Ready}}}
		m.Members = func() *member.View { return view }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			m.Run(ctx)
			close(done)
		}()
		synctest.Wait()
		m.Reconcile()
		waiting := &sched.GrantRequest{Request: "r", Deadline: time.Now().Add(time.Minute), Wake: func() {}}
		qt.Assert(t, m.LocalCell(id).Submit(waiting), qt.IsFalse)
		cancel()
		<-done
		qt.Check(t, waiting.Response.Outcome, qt.Equals, sched.Moved)
		qt.Check(t, m.StandbyCell(id, true) == nil, qt.IsTrue)
		later := &sched.GrantRequest{Request: "s", Deadline: time.Now().Add(time.Minute)}
		qt.Check(t, m.LocalCell(id).Submit(later), qt.IsTrue)
	})
}
